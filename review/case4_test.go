package review_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleRoutes is the number of further routes: the largest big_config of the users' site files.
	idleRoutes = 1896
	// stormVersions at stormGap are 2 s, as the config_storm of trouble-3 on barbagallo.
	stormVersions = 25
	stormGap      = 80 * time.Millisecond
	// versionsBeforeKill is the number of these versions before the kill.
	versionsBeforeKill = 6
	// calmTime is longer than stableMs (3 s), and than the start of a node (10 s).
	calmTime = 12 * time.Second
	// restartDelay is the short delay after which a process that was killed is restarted, as the down_s of kills in the site file.
	restartDelay = 1500 * time.Millisecond
	// configApplyTime is the bound configApplyMs.
	configApplyTime = 2 * time.Second
	// historyTime is historyS, for how long the store keeps its history.
	historyTime = 20 * time.Second
	// watchTime is how long requests are sent after the last version.
	watchTime = 28 * time.Second
	// sendInterval is the time between two requests to one node.
	sendInterval = 100 * time.Millisecond
)

const (
	formerService = "former"
	latterService = "latter"
)

// idleRoute returns a route as in the example of a configuration that the users' bench prints.
func idleRoute(number int) map[string]any {
	made := route(fmt.Sprintf("r-%07d", number), fmt.Sprintf("/idle%05d/", number), formerService, 6000, map[string]any{
		"kind": "stream", "split": []map[string]any{{"service": formerService, "weight": 90}, {"service": latterService, "weight": 10}},
		"attempts": 2, "sticky": true, "resumable": true, "targetGapMs": 500,
	})
	delete(made, "service")

	return made
}

// versionOf returns a version of the large configuration, in which the route /desk/ leads to the given service.
func versionOf(version int, service string) map[string]any {
	routes := []map[string]any{route("r-desk", "/desk/", service, 800+version, nil)}
	for i := range idleRoutes {
		routes = append(routes, idleRoute(i))
	}

	return configuration(version, routes, []string{formerService, latterService}, nil)
}

// playChanges changes a large configuration in quick succession while the node that reads the store is killed. The last version moves a
// route to another service. Without the trouble the same version is written alone, and no process is killed.
func playChanges(ctx context.Context, r *record, trouble bool) (bool, error) {
	s := newStore()
	version := 1
	s.Put(names.ConfigurationKey, versionOf(version, formerService))

	for _, service := range []string{formerService, latterService} {
		for i := range 2 {
			ran := func(at *server, request *http.Request) {
				r.write("server %s runs %s", at.id, request.Header.Get("X-Request-Id"))
			}
			if err := startServer(ctx, s, service, i+1, ran); err != nil {
				return false, err
			}
		}
	}

	f, err := newFleet(ctx, r, 3, func(name string) (string, error) { return s.addressFor(ctx, name) })
	if err != nil {
		return false, err
	}
	defer f.end()

	if err := f.startAll(ctx); err != nil {
		return false, err
	}

	time.Sleep(calmTime)

	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == s.reader() })
	if i < 0 {
		return false, errors.New("no node has read the store")
	}

	reader := f.nodes[i]
	r.write("node %s reads the store", reader.name)

	if trouble {
		began := time.Now()

		for i := range stormVersions - 1 {
			if i == versionsBeforeKill {
				<-f.signal(reader, syscall.SIGKILL)
				time.AfterFunc(restartDelay, func() { _ = f.start(ctx, reader) })
			}

			version++
			s.Put(names.ConfigurationKey, versionOf(version, formerService))
			r.write("version %d acknowledged by the store", version)
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * stormGap)))
		}
	}

	version++
	s.Put(names.ConfigurationKey, versionOf(version, latterService))

	acknowledged := time.Now()
	r.write("version %d acknowledged by the store: /desk/ leads to %s", version, latterService)
	time.AfterFunc(historyTime, func() {
		r.write("the store discards its history")
		s.Compact()
	})

	return watchDesk(ctx, r, f, reader, acknowledged), nil
}

// watchDesk sends requests to all nodes but the reader, and returns whether the former service ran one that was sent too late for it.
func watchDesk(ctx context.Context, r *record, f *fleet, reader *node, acknowledged time.Time) bool {
	q := &requester{client: &http.Client{}}

	var (
		senders sync.WaitGroup
		late    atomic.Int64
	)

	for _, n := range f.nodes {
		if n == reader {
			continue
		}

		senders.Go(func() {
			for time.Since(acknowledged) < watchTime && ctx.Err() == nil {
				sent := time.Since(acknowledged)
				a := q.get(ctx, n, "/desk/", "")
				r.write("request %s sent to %s %.3f s after the acknowledgement: status %d, server %q, %v", a.id, n.name, sent.Seconds(), a.status, a.server, a.err)

				if sent > configApplyTime && len(a.server) > len("i-former") && a.server[:len("i-former")] == "i-former" {
					late.Add(1)
					r.write("request %s ran at the former service", a.id)
				}

				time.Sleep(sendInterval)
			}
		})
	}

	senders.Wait()
	r.write("%d requests ran at the former service later than %s after the acknowledgement", late.Load(), configApplyTime)

	return late.Load() > 0
}
