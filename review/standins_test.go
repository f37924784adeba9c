package review_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/platform/emulator"
)

// latestReads is the number of reads that tell which node reads the store.
const latestReads = 8

// host is the host of all routes.
const host = "shop.example"

// store is the platform's store, at an address of its own for each node.
type store struct {
	*emulator.Store

	mu sync.Mutex
	// readers are the nodes that read the store, the latest one at the end.
	readers []string
}

// newStore returns an empty store. Its answers name no era, as the users' pages know none.
func newStore() *store {
	s := &store{Store: emulator.New()}
	s.HideEra()

	return s
}

// addressFor starts the store's address for a node.
func (s *store) addressFor(ctx context.Context, node string) (string, error) {
	return listen(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			s.mu.Lock()
			s.readers = append(s.readers, node)
			s.mu.Unlock()
		}

		s.ServeHTTP(w, r)
	}))
}

// reader returns the node that reads the store for all: most of the latest reads are its own.
func (s *store) reader() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	counts := make(map[string]int)
	found := ""

	for _, node := range s.readers[max(len(s.readers)-latestReads, 0):] {
		counts[node]++

		if counts[node] > counts[found] {
			found = node
		}
	}

	return found
}

// listen serves a handler on a free port of 127.0.0.1 until ctx ends, and returns its address.
func listen(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}

	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })

	go func() { _ = server.Serve(listener) }()

	return listener.Addr().String(), nil
}

// server is a sound server of a service.
type server struct {
	id string
	// ran is called for each run.
	ran func(s *server, r *http.Request)
}

// startServer starts a server and lists it in the store.
func startServer(ctx context.Context, s *store, service string, number int, ran func(s *server, r *http.Request)) error {
	started := &server{id: fmt.Sprintf("i-%s-%d", service, number), ran: ran}

	address, err := listen(ctx, started)
	if err != nil {
		return err
	}

	s.Put("servers/"+started.id, map[string]any{
		"service": service, "address": address, "zone": "catania-sala", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 0,
	})

	return nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)

	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", "1,0,8")

	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)

		return
	}

	if expected := r.Header.Get(names.ExpectedServer); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	s.ran(s, r)
	w.Header().Set(names.Signature, s.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+s.id+" to "+id)
}

// route is a route of the configuration.
func route(name, prefix, service string, timeout int, more map[string]any) map[string]any {
	made := map[string]any{
		"name": name, "host": host, names.PathPrefix: prefix, "kind": "idempotent", "timeoutMs": timeout, "targetLatencyMs": 100, "priority": 2,
		"service": service, "attempts": 1, "anonymous": false, "sticky": false, "resumable": false,
	}

	for key, value := range more {
		made[key] = value
	}

	return made
}

// configuration returns a version of the configuration. tenants may be nil.
func configuration(version int, routes []map[string]any, services []string, tenants []map[string]any) map[string]any {
	var listed []map[string]any

	for _, service := range services {
		listed = append(listed, map[string]any{"name": service, "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false})
	}

	made := map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}

	if tenants != nil {
		made["tenants"] = tenants
	}

	return made
}

// requester sends requests on kept channels.
type requester struct {
	client *http.Client
	count  atomic.Int64
}

// answer is what a requester got.
type answer struct {
	id     string
	status int
	// server is the ID of the server that signed the answer; empty if none did.
	server string
	err    error
}

// get sends one GET request to a node. The key may be empty.
func (q *requester) get(ctx context.Context, n *node, path, key string) answer {
	a := answer{id: fmt.Sprintf("r%06d", q.count.Add(1))}

	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ip+":7301"+path, nil)
	if err != nil {
		a.err = err

		return a
	}

	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set(names.Deadline, "1500")

	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}

	response, err := q.client.Do(request)
	if err != nil {
		a.err = err

		return a
	}
	defer response.Body.Close()

	_, a.err = io.Copy(io.Discard, response.Body)
	a.status = response.StatusCode
	a.server, _, _ = strings.Cut(response.Header.Get(names.Signature), ".")

	return a
}
