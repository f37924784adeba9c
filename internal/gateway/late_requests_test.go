package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/storer"
)

// stopStore is a store with the services busy, whose upstream has as many slots as busyRequests takes, and idle.
type stopStore struct {
	store
}

const busyRequests = 2

// Configuration implements gateway.Store.
func (s *stopStore) Configuration(ctx context.Context) (cataloguer.Configuration, storer.Position, error) {
	configuration, position, err := s.store.Configuration(ctx)
	route := configuration.Routes[0]
	route.Kind, route.Target = cataloguer.NotRepeatable, 300*time.Millisecond
	configuration.Routes, configuration.Services = nil, nil

	for _, service := range []string{"busy", "idle"} {
		route.Name, route.PathPrefix, route.Shares = service, "/"+service+"/", []cataloguer.Share{{Service: service, Weight: 1}}
		configuration.Routes = append(configuration.Routes, route)
		configuration.Services = append(configuration.Services, cataloguer.Service{Name: service})
	}

	return configuration, position, err
}

// Registry implements gateway.Store.
func (s *stopStore) Registry(ctx context.Context, progress func()) (cataloguer.Listing, error) {
	listing, err := s.store.Registry(ctx, progress)
	busy, idle := listing.Upstreams[0], listing.Upstreams[0]
	busy.ID, busy.Service, busy.Slots = "b", "busy", busyRequests
	idle.ID, idle.Service = "i", "idle"
	listing.Upstreams = []cataloguer.Upstream{busy, idle}

	return listing, err
}

// heldRequests answers requests once release is closed, and counts those that arrived by path.
type heldRequests struct {
	release chan struct{}

	mu      sync.Mutex
	arrived map[string]int
}

// ServeHTTP implements http.Handler.
func (h *heldRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.arrived[r.URL.Path]++
	h.mu.Unlock()

	<-h.release
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "sig")
}

func (h *heldRequests) count(path string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.arrived[path]
}

// upload sends a request whose body never ends, a byte each tenth of a second, and returns the status of its answer; 0 if there is none.
func upload(node loader.Settings, path string) int {
	conn, err := net.Dial("tcp", node.Node.Listen)
	if err != nil {
		return 0
	}
	defer conn.Close()

	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Id: up\r\nContent-Length: 1000\r\n\r\n", path)

	go func() {
		for {
			if _, err := conn.Write([]byte("b")); err != nil {
				return
			}

			time.Sleep(100 * time.Millisecond)
		}
	}()

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()

	return response.StatusCode
}

// Guards against a planned stop that ends with requests that it has taken and never answers: those that run, that wait for a slot, and that
// are still read.
func TestPlannedStopAnswersAllThatItHasTaken(t *testing.T) {
	held := &heldRequests{release: make(chan struct{}), arrived: make(map[string]int)}
	upstream := httptest.NewServer(held)

	t.Cleanup(upstream.Close)
	t.Cleanup(func() { close(held.release) })

	s := &stopStore{store{revision: 1, address: upstream.Listener.Addr().String()}}
	node, stop, ended := startWithEntries(t, s, 1)

	waitUntil(t, func() bool {
		status, _, _ := get(node.Gateway.ReadyListen, "/ready")

		return status == http.StatusOK
	})

	var callers sync.WaitGroup

	// answered counts the answers by path and status; 0 stands for none.
	var mu sync.Mutex

	answered := make(map[string]map[int]int)
	call := func(path string, send func(node loader.Settings, path string) int) {
		callers.Go(func() {
			status := send(node, path)

			mu.Lock()
			defer mu.Unlock()

			if answered[path] == nil {
				answered[path] = make(map[int]int)
			}

			answered[path][status]++
		})
	}

	// Nodes send a service more requests than it has slots, but not nearly all of these.
	for range 20 * busyRequests {
		call("/busy/", func(node loader.Settings, path string) int {
			status, _, _ := get(node.Node.Listen, path)

			return status
		})
	}

	for range 3 {
		call("/idle/", upload)
	}

	waitUntil(t, func() bool { return held.count("/busy/") >= busyRequests })
	time.Sleep(200 * time.Millisecond)
	stop()
	callers.Wait()
	assert.NilError(t, <-ended)

	sent := held.count("/busy/")
	assert.Assert(t, sent < 10*busyRequests, "%d requests were sent", sent)
	assert.DeepEqual(t, answered, map[string]map[int]int{
		"/busy/": {http.StatusBadGateway: sent, http.StatusServiceUnavailable: 20*busyRequests - sent},
		"/idle/": {http.StatusServiceUnavailable: 3},
	})
	assert.Equal(t, held.count("/idle/"), 0)
}
