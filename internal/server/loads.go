package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/drainer"
	"quincepath.example/quincepath/internal/placer"
)

const (
	// loadInterval is the time between load reports when nodes choose upstreams by them.
	loadInterval = time.Second
	// queueLoadInterval is the time between them with a queue, which counts what it
	// granted itself. There a report says only whether an upstream leaves, and how
	// loaded it is for the case that no holder answers.
	queueLoadInterval = 2 * time.Second
	loadTimeout       = 800 * time.Millisecond
)

// loadReport is what an upstream publishes about itself; it lags.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Leaving is set by upstreams that are about to stop and say so themselves.
	Leaving bool `json:"leaving"`
}

// pollLoads asks every upstream for its load until ctx ends.
func (n *Node) pollLoads(ctx context.Context) {
	client := newLoadClient(n.settings.Upstreams.BearerKey)

	ticker := time.NewTicker(n.pollEvery())
	defer ticker.Stop()

	for {
		n.pollOnce(ctx, client)

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// newLoadClient returns a client for answers that are shorter than their
// headers: it leaves out those that ask for compression or advertise the library.
func newLoadClient(bearerKey string) *resty.Client {
	client := resty.New().SetTimeout(loadTimeout).SetHeader("User-Agent", "quincepath")

	if transport, err := client.Transport(); err == nil {
		transport.DisableCompression = true
	}

	if bearerKey != "" {
		client.SetAuthToken(bearerKey)
	}

	return client
}

func (n *Node) pollEvery() time.Duration {
	if n.router == nil {
		return loadInterval
	}

	return queueLoadInterval
}

func (n *Node) pollOnce(ctx context.Context, client *resty.Client) {
	polled := make(map[string]bool)

	for _, service := range n.tree.Snapshot().Services {
		service.Upstreams = n.polled(service)
		n.pollPrefixes(ctx, client, service)

		for _, upstream := range service.Upstreams {
			polled[upstream.Address] = true

			// A pool that is full skips this round; the next comes soon.
			_ = n.background.Go(func() { n.pollUpstream(ctx, client, upstream) })
		}
	}

	n.dropUnpolledMarks(polled)
}

// dropUnpolledMarks takes back what upstreams reported that this node no longer
// polls. Nothing else would: such an upstream could stay "leaving" here for good
// after it came back.
func (n *Node) dropUnpolledMarks(polled map[string]bool) {
	for _, address := range n.leaving.Marked(drainer.SourceReport) {
		if !polled[address] {
			n.markReported(address, false)
		}
	}
}

// markReported takes in what an upstream says of itself. The mark goes by
// address: names are unique within a service only, and a server of another
// service that has the same name must neither set the mark nor clear it.
func (n *Node) markReported(address string, leaving bool) {
	if n.leaving.Mark(time.Now(), drainer.SourceReport, address, leaving) {
		n.tree.refresh()
	}
}

// polled returns the upstreams whose load reports this node reads. With a queue
// only the holder of an upstream's pool needs them: polls of every server by
// every node would grow with the square of the fleet.
func (n *Node) polled(service configurer.Service) map[string]configurer.Upstream {
	if n.router == nil {
		return service.Upstreams
	}

	return n.router.HeldUpstreams(service.Name)
}

func (n *Node) pollUpstream(ctx context.Context, client *resty.Client, upstream configurer.Upstream) {
	var report loadReport

	address := upstream.Address

	response, err := client.R().SetContext(ctx).SetResult(&report).Get(address + "/load")
	if err != nil || response.IsError() {
		n.upstreams.pollFailed(address)

		return
	}

	n.markReported(address, report.Leaving)
	n.upstreams.reported(address, report.Running+report.Waiting)
	n.placer.Report(address, placer.Load{Running: report.Running, Waiting: report.Waiting})
}

// unreachablePolls is how many load reports in a row must fail before operators are told.
const unreachablePolls = 3

// upstreamRow is what a node knows of one upstream beside the settings.
type upstreamRow struct {
	// inFlight counts the attempts that this node has there; never negative.
	inFlight    int
	load        int
	reportedAt  time.Time
	failedPolls int
}

// upstreamTable holds a row for each upstream, by address. It is safe for concurrent use.
type upstreamTable struct {
	mu   sync.Mutex
	rows map[string]upstreamRow

	activities activities
}

func newUpstreamTable() *upstreamTable {
	return &upstreamTable{rows: make(map[string]upstreamRow)}
}

// activity returns what is known of the upstream's last sign of life.
func (u *upstreamTable) activity(address string) *activity {
	return u.activities.of(address)
}

func (u *upstreamTable) row(address string) upstreamRow {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.rows[address]
}

func (u *upstreamTable) change(address string, change func(*upstreamRow)) {
	u.mu.Lock()
	defer u.mu.Unlock()

	row := u.rows[address]
	change(&row)
	u.rows[address] = row
}

func (u *upstreamTable) reported(address string, load int) {
	u.change(address, func(r *upstreamRow) {
		r.load = load
		r.reportedAt = time.Now()
		r.failedPolls = 0
	})
}

func (u *upstreamTable) pollFailed(address string) {
	u.change(address, func(r *upstreamRow) { r.failedPolls++ })
}

// attempt counts an attempt as in flight until the returned function is called.
func (u *upstreamTable) attempt(address string) func() {
	u.change(address, func(r *upstreamRow) { r.inFlight++ })

	return func() {
		u.change(address, func(r *upstreamRow) { r.inFlight-- })
	}
}
