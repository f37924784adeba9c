package gauger

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const anyPort = "127.0.0.1:0"

// standIn serves a handler and counts its calls by path, and all bytes of its connections.
type standIn struct {
	address string
	bytes   atomic.Int64

	mu     sync.Mutex
	byPath map[string]int64
}

// newStandIn serves until ctx ends.
func newStandIn(ctx context.Context, handler http.Handler) (*standIn, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in")
	}

	s := &standIn{address: listener.Addr().String(), byPath: make(map[string]int64)}
	server := &http.Server{
		Handler:           s.counted(handler),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}

	context.AfterFunc(ctx, func() { _ = server.Close() })

	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &s.bytes}) }()

	return s, nil
}

func (s *standIn) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.byPath[r.URL.Path]++
		s.mu.Unlock()

		handler.ServeHTTP(w, r)
	})
}

// calls returns the number of calls so far by path.
func (s *standIn) calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return maps.Clone(s.byPath)
}

// countingListener counts the bytes of the connections that it takes.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))

	return n, err
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))

	return n, err
}
