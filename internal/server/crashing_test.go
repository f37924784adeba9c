package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/launcher"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const (
	// crashingUpstreams is the number of upstreams of each service.
	crashingUpstreams = 8
	// crashesToProve is the number of upstreams that must have crashed before a request may be told from those beside it.
	crashesToProve = 3
	// timeToSpread is how long the nodes have after that until further runs count.
	timeToSpread = 3 * time.Second
	// runsAfterProof is the number of runs that are allowed after that time.
	runsAfterProof = 3
	// sendsAfterProof is the number of times that the request is sent after that time.
	sendsAfterProof = 10
	// downTime is how long a crashed upstream takes no connection.
	downTime = 500 * time.Millisecond
)

// crashers are the upstreams of one service. Each crashes under a body that holds "crash", and is back at its address later.
type crashers struct {
	t       *testing.T
	stopped atomic.Bool
	crashes atomic.Int64
}

// start serves at an address; "" means any.
func (c *crashers) start(address string) string {
	if address == "" {
		address = "127.0.0.1:0"
	}

	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	assert.NilError(c.t, err)

	server := &http.Server{ReadHeaderTimeout: time.Minute}

	var once sync.Once

	crash := func() {
		c.crashes.Add(1)
		once.Do(func() {
			_ = server.Close()

			time.AfterFunc(downTime, func() {
				if !c.stopped.Load() {
					c.start(listener.Addr().String())
				}
			})
		})
	}

	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "crash") {
			crash()
			panic(http.ErrAbortHandler)
		}

		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"fine\"}}]}\n\ndata: [DONE]\n\n")
	})

	go func() { _ = server.Serve(listener) }()

	c.t.Cleanup(func() {
		c.stopped.Store(true)
		_ = server.Close()
	})

	return listener.Addr().String()
}

// crashFleet is two nodes on a platform, before services whose upstreams crash.
type crashFleet struct {
	t        *testing.T
	entries  []string
	crashers map[string]*crashers
	sent     atomic.Int64
}

func startCrashFleet(t *testing.T) *crashFleet {
	f := &crashFleet{t: t, crashers: make(map[string]*crashers)}

	platform := httptest.NewServer(keeper.New(keeper.Options{}, zerolog.Nop()).Handler())
	t.Cleanup(platform.Close)

	settings := loader.Defaults()
	settings.Platform.Addresses = []string{platform.URL}
	settings.Peers.Credential = "secret"
	settings.Services = map[string]loader.Service{
		"chat":    f.service("engine", true),
		"lookup":  f.service("plain", true),
		"booking": f.service("plain", false),
	}

	for i, name := range []string{"chat", "lookup", "booking"} {
		service := settings.Services[name]
		c := &crashers{t: t}
		f.crashers[name] = c

		for j := range crashingUpstreams {
			id := fmt.Sprint("u", i, j)
			service.Upstreams[id] = configurer.Upstream{Address: "http://" + c.start(""), FailureDomain: "d", Slots: 4}
		}
	}

	settings.Node.FailureDomain, settings.Node.DrainTimeout = "d", 5*time.Second
	f.entries = runNodes(t, settings, 2)

	return f
}

func (f *crashFleet) service(kind string, repeatable bool) loader.Service {
	return loader.Service{
		Kind:         kind,
		DefaultClass: "usual",
		Classes: map[string]configurer.Class{"usual": {
			Tier: 1, Target: time.Second, GapLimit: time.Second, MaxWait: 5 * time.Second, Repeatable: repeatable, RetryBudget: 0.2,
		}},
		Organisations: map[string]configurer.Organisation{"barbagallo": {Weight: 1, KeyHashes: []string{testKeyHash}}},
		Upstreams:     make(map[string]configurer.Upstream),
	}
}

// runNodes runs nodes that end with the test, and returns their addresses for callers.
func runNodes(t *testing.T, settings loader.Settings, count int) []string {
	ctx, stop := context.WithCancel(context.Background())
	addresses := launcher.NewAddresses()

	var (
		nodes   []loader.Node
		entries []string
		ended   sync.WaitGroup
	)

	for i := range count {
		node := settings.Node
		node.Name, node.Region = fmt.Sprint("node-", i), "r"

		for _, listen := range []*string{&node.Listen, &node.PeerListen, &node.AdminListen} {
			address, err := addresses.Next(ctx)
			assert.NilError(t, err)

			*listen = address
		}

		node.Advertise = node.Listen
		nodes = append(nodes, node)
		entries = append(entries, node.Listen)
		settings.Peers.Nodes = append(settings.Peers.Nodes, loader.Peer{
			Name: node.Name, PeerAddress: node.PeerListen, EntryAddress: node.Listen, FailureDomain: node.FailureDomain,
		})
	}

	failed := make(chan error, count)

	for _, node := range nodes {
		settings := settings
		settings.Node = node

		ended.Go(func() { failed <- Run(ctx, settings, zerolog.Nop()) })
	}

	t.Cleanup(func() {
		stop()
		ended.Wait()

		for range count {
			assert.NilError(t, <-failed)
		}
	})
	assert.NilError(t, launcher.Await(ctx, entries, failed))

	return entries
}

// ask sends a request to one of the nodes and returns its status, 0 if the answer broke off.
func (f *crashFleet) ask(node int, service, word string) int {
	path := "/services/" + service + "/1"
	if service == "chat" {
		path = "/v1/chat/completions"
	}

	body := fmt.Sprintf(`{"model":"chat","messages":[{"role":"user","content":%q}],"max_tokens":4}`, word)

	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[node%len(f.entries)]+path, strings.NewReader(body))
	if err != nil {
		return 0
	}

	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", fmt.Sprint("k", f.sent.Add(1)))

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()

	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}

	return response.StatusCode
}

// Seen: on the nodes' own interface too, a request that crashes its upstream is run by one upstream after the other.
// Sequence: an upstream crashes under a request; the node sends it again where it may, and its caller does so anyway.
// Cause: the same as at the gateway: only upstreams were judged by failures, never what they ran.
// Proof: the same request, with another key each time, is all that is sent to upstreams that are sound otherwise.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	f := startCrashFleet(t)

	var work sync.WaitGroup

	for service, c := range f.crashers {
		work.Go(func() {
			for f.ask(0, service, "fine") != http.StatusOK || f.ask(1, service, "fine") != http.StatusOK {
				time.Sleep(10 * time.Millisecond)
			}

			for i := 0; c.crashes.Load() < crashesToProve; i++ {
				_ = f.ask(i, service, "crash")
			}

			time.Sleep(timeToSpread)

			before := c.crashes.Load()

			for i := range sendsAfterProof {
				_ = f.ask(i, service, "crash")
				assert.Check(t, f.ask(i, service, "fine") == http.StatusOK, service)
			}

			runs := c.crashes.Load() - before
			assert.Check(t, runs <= runsAfterProof, "%s: %d more runs", service, runs)
		})
	}

	work.Wait()
}
