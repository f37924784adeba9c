package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
)

const (
	// upstreamsPerService is enough for the nodes' repeats to find another upstream after each crash.
	upstreamsPerService = 6
	// crashesToProve is the number of upstreams that must have crashed before a request may be told from those beside it.
	crashesToProve = 3
	// timeToSpread is how long the nodes have after that until further runs count.
	timeToSpread = 3 * time.Second
	// runsAfterProof is the number of runs that are allowed after that time.
	runsAfterProof = 3
	// sendsAfterProof is the number of times that the request is sent after that time.
	sendsAfterProof = 10
	// crashDelay is how long a request runs before its upstream crashes.
	crashDelay = 20 * time.Millisecond
)

// crashStore is a store with one service for each route, whose upstreams come and go.
type crashStore struct {
	store

	upstreams []cataloguer.Upstream
}

func (s *crashStore) Configuration(context.Context) (cataloguer.Configuration, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	configuration := cataloguer.Configuration{Version: 1}

	for _, route := range crashRoutes() {
		route.Host, route.PathPrefix = "shop.example", "/"+route.Name+"/"
		route.Attempts, route.Timeout, route.Target = 3, 20*time.Second, 10*time.Second
		route.Shares = []cataloguer.Share{{Service: route.Name, Weight: 1}}
		configuration.Routes = append(configuration.Routes, route)
		configuration.Services = append(configuration.Services, cataloguer.Service{Name: route.Name})
	}

	return configuration, s.revision, nil
}

func (s *crashStore) Registry(context.Context) (cataloguer.Registry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return cataloguer.Registry{
		Revision:    s.revision,
		Upstreams:   slices.Clone(s.upstreams),
		Nodes:       slices.Clone(s.nodes),
		Quarantined: slices.Clone(s.quarantined),
	}, nil
}

func (s *crashStore) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.revision++
	change()
}

func crashRoutes() []cataloguer.Route {
	return []cataloguer.Route{
		{Name: "lookup", Kind: cataloguer.Idempotent},
		{Name: "chat", Kind: cataloguer.Stream, Resumable: true},
		{Name: "advice", Kind: cataloguer.Stream},
		{Name: "booking", Kind: cataloguer.NotRepeatable},
	}
}

// crasher is the upstreams of one service. They crash under a body of "crash" and are started again under another id.
type crasher struct {
	t       *testing.T
	store   *crashStore
	service string
	started atomic.Int64
	crashes atomic.Int64
}

func (c *crasher) start() {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)

	id := fmt.Sprint(c.service, "-", c.started.Add(1))
	server := &http.Server{ReadHeaderTimeout: time.Minute}

	var once sync.Once

	crash := func() {
		c.crashes.Add(1)
		once.Do(func() {
			_ = server.Close()
			c.replace(id)
		})
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.answer(w, r, crash) })

	go func() { _ = server.Serve(listener) }()

	c.t.Cleanup(func() { _ = server.Close() })
	c.store.change(func() {
		c.store.upstreams = append(c.store.upstreams, cataloguer.Upstream{
			ID: id, Service: c.service, Address: listener.Addr().String(), Slots: 6,
		})
	})
}

func (c *crasher) answer(w http.ResponseWriter, r *http.Request, crash func()) {
	body, _ := io.ReadAll(r.Body)

	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "sig")

	if c.service == "chat" || c.service == "advice" {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
	}

	if string(body) == "crash" {
		time.Sleep(crashDelay)
		crash()
		panic(http.ErrAbortHandler)
	}

	_, _ = io.WriteString(w, "id: 1\ndata: done\n\n")
}

func (c *crasher) replace(id string) {
	c.store.change(func() {
		c.store.upstreams = slices.DeleteFunc(c.store.upstreams, func(u cataloguer.Upstream) bool { return u.ID == id })
	})
	c.start()
}

var requestCount atomic.Int64

// ask sends a request under a new id and returns its status, 0 if the answer broke off.
func ask(node loader.Settings, service, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.Node.Listen+"/"+service+"/1", strings.NewReader(body))
	if err != nil {
		return 0
	}

	request.Host = "shop.example"
	request.Header.Set("X-Id", fmt.Sprint("r", requestCount.Add(1)))

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

// Seen: upstream after upstream ended for seconds, and callers of all that ran there got broken answers.
// Sequence: an upstream crashes under a request; its caller sends it again, at any node and under another id.
// Cause: failures were held against upstreams only, and nothing of a request outlived the one attempt of its caller.
// Proof: with the request's content in the logs, the same one is found at each crash.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	s := &crashStore{store: store{revision: 1}}
	crashers := make(map[string]*crasher)

	for _, route := range crashRoutes() {
		c := &crasher{t: t, store: s, service: route.Name}
		crashers[route.Name] = c

		for range upstreamsPerService {
			c.start()
		}
	}

	nodes := []loader.Settings{startNode(t, s, 1), startNode(t, s, 2)}

	until(func() bool {
		return !slices.ContainsFunc(nodes, func(n loader.Settings) bool { return ask(n, "lookup", "fine") != http.StatusOK })
	})

	var work sync.WaitGroup

	for _, route := range crashRoutes() {
		work.Go(func() { sendUntilProven(crashers[route.Name], nodes) })
	}

	work.Wait()
	time.Sleep(timeToSpread)

	// A node that has not seen any of it.
	late := startNode(t, s, 3)
	nodes = append(nodes, late)
	until(func() bool { return ask(late, "lookup", "fine") == http.StatusOK })

	for _, route := range crashRoutes() {
		work.Go(func() {
			c := crashers[route.Name]
			before := c.crashes.Load()

			for i := range sendsAfterProof {
				_ = ask(nodes[(i+2)%len(nodes)], route.Name, "crash")
				// The request beside it is served as ever.
				assert.Check(t, ask(nodes[i%len(nodes)], route.Name, "fine") == http.StatusOK, route.Name)
			}

			runs := c.crashes.Load() - before
			assert.Check(t, runs <= runsAfterProof, "%s: %d more runs", route.Name, runs)
		})
	}

	work.Wait()
}

// startNode starts a node that ends with the test: another test uses its addresses.
func startNode(t *testing.T, s gateway.Store, number int) loader.Settings {
	settings, stop, ended := start(t, s, number)

	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})

	return settings
}

// sendUntilProven sends the request until enough upstreams have crashed under it, each time at another node.
func sendUntilProven(c *crasher, nodes []loader.Settings) {
	for i := 0; c.crashes.Load() < crashesToProve; i++ {
		_ = ask(nodes[i%len(nodes)], c.service, "crash")
	}
}
