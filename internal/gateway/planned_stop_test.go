package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway"
)

// pipeListener is a listener of connections that hold no bytes: an answer isn't written until its caller reads it.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (p pipeListener) Close() error {
	close(p)

	return nil
}

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a planned stop that cuts off an answer whose handler has returned, while the caller is slow to read.
func TestPlannedStopWaitsUntilAnswersAreWritten(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	listener, handled, ended := make(pipeListener), make(chan struct{}), make(chan error, 1)
	t.Cleanup(stop)
	// The server buffers a short answer until the handler has returned.
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(handled)

		_, _ = io.WriteString(w, "answer")
	})

	go func() {
		ended <- gateway.ServeAndDrain(ctx, nodeSettings(1), &store{}, gateway.Protocol{}, handler, listener)
	}()

	caller, conn := net.Pipe()
	listener <- conn

	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	assert.NilError(t, err)

	<-handled
	stop()

	// The drain timeout is 10 s, and the node accepts requests for some 3 s of it.
	time.Sleep(4 * time.Second)

	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)

	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(body), "answer")

	assert.NilError(t, <-ended)
}

// stalledConn is a connection of a process without processor time: what its caller sends lies unread until release is closed.
type stalledConn struct {
	net.Conn
	release <-chan struct{}
	unread  atomic.Int64
}

func (s *stalledConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.unread.Store(int64(n))
		<-s.release
		s.unread.Store(0)
	}

	return n, err
}

// Unread returns the number of bytes that lie unread.
func (s *stalledConn) Unread() int { return int(s.unread.Load()) }

// closingListener is a pipeListener that tells when it is closed.
type closingListener struct {
	pipeListener
	closed chan struct{}
}

func (c closingListener) Close() error {
	defer close(c.closed)

	return c.pipeListener.Close()
}

// Guards against a planned stop that resets a connection as idle while a whole request lies unread in its socket.
func TestPlannedStopReadsWhatCallersHaveSent(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	listener, ended := closingListener{make(pipeListener), make(chan struct{})}, make(chan error, 1)
	t.Cleanup(stop)

	go func() {
		ended <- gateway.ServeAndDrain(ctx, nodeSettings(1), &store{}, gateway.Protocol{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), listener)
	}()

	release := make(chan struct{})
	caller, conn := net.Pipe()
	listener.pipeListener <- &stalledConn{Conn: conn, release: release}

	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	assert.NilError(t, err)
	stop()
	<-listener.closed

	// The node looks at its connections every 50 ms.
	time.Sleep(300 * time.Millisecond)
	close(release)

	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, <-ended)
}
