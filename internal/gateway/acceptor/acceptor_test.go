package acceptor_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/acceptor"
)

const (
	headerTime = 3 * time.Second
	idleTime   = 15 * time.Second
)

// pipes is a listener whose connections live in memory, so that they follow virtual time.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) open() net.Conn {
	near, far := net.Pipe()
	p <- far

	return near
}

// serve runs a server that answers each request after the time that its path asks for.
func serve(t *testing.T, most int, run func(*testing.T, pipes, *acceptor.Acceptor, *acceptor.Timeouts)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		times := &acceptor.Timeouts{Header: headerTime, Idle: idleTime}
		a := acceptor.New(most, func() acceptor.Timeouts { return *times })
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if wait, err := time.ParseDuration(r.URL.Path[1:]); err == nil {
				time.Sleep(wait)
			}
		})}

		listener := make(pipes)
		go func() { _ = a.Serve(server, listener) }()

		run(t, listener, a, times)

		close(listener)
		assert.NilError(t, server.Close())
		synctest.Wait()
	})
}

func ask(t *testing.T, c net.Conn, path string) error {
	t.Helper()

	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}

	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}

	return response.Body.Close()
}

// closed says whether the server has closed the connection.
func closed(t *testing.T, c net.Conn) bool {
	t.Helper()

	// A pipe whose other end is closed takes no deadline.
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))

	return errors.Is(err, io.EOF)
}

// Symptom: callers that use a connection again within the operators' idle time find it closed.
// Cause: the server closed after a time of its own.
func TestRestingConnectionsStayForTheOperatorsTime(t *testing.T) {
	serve(t, 10, func(t *testing.T, listener pipes, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		times.Idle = 2 * time.Minute

		c := listener.open()
		assert.NilError(t, ask(t, c, "/"))
		time.Sleep(119 * time.Second)
		assert.NilError(t, ask(t, c, "/"))
		time.Sleep(121 * time.Second)
		assert.Assert(t, closed(t, c))
		assert.Equal(t, a.Counters(), acceptor.Counters{ClosedIdle: 1})
	})
}

// Symptom: a caller that sends its header byte by byte holds a connection for as long as it likes.
// Sequence: the first byte comes, the rest doesn't.
func TestSlowHeaderIsCut(t *testing.T) {
	serve(t, 10, func(t *testing.T, listener pipes, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		c := listener.open()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		assert.NilError(t, err)
		time.Sleep(headerTime + time.Second)
		assert.Assert(t, closed(t, c))
		assert.Equal(t, a.Counters(), acceptor.Counters{ClosedHeader: 1})
	})
}

// A request may last longer than both times: its own limit holds for it.
func TestRunningRequestIsNotCut(t *testing.T) {
	serve(t, 10, func(t *testing.T, listener pipes, _ *acceptor.Acceptor, _ *acceptor.Timeouts) {
		assert.NilError(t, ask(t, listener.open(), "/1m"))
	})
}

// Symptom: with many callers a node reaches neither upstreams nor peers.
// Sequence: callers keep as many connections as the process has descriptors.
// Cause: nothing bounded them.
func TestConnectionThatRestsLongestMakesRoom(t *testing.T) {
	serve(t, 2, func(t *testing.T, listener pipes, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		first, second := listener.open(), listener.open()
		assert.NilError(t, ask(t, first, "/"))
		time.Sleep(time.Second)
		assert.NilError(t, ask(t, second, "/"))

		third := listener.open()
		assert.NilError(t, ask(t, third, "/"))
		assert.Assert(t, closed(t, first))
		assert.Assert(t, !closed(t, second))
		assert.Equal(t, a.Counters(), acceptor.Counters{Open: 2, Evicted: 1})
	})
}

// A connection with a request on it is never closed for another one.
func TestNewConnectionIsTurnedAwayWhileAllAreBusy(t *testing.T) {
	serve(t, 1, func(t *testing.T, listener pipes, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		answered := make(chan error, 1)
		busy := listener.open()
		go func() { answered <- ask(t, busy, "/10s") }()
		time.Sleep(time.Second)

		assert.Assert(t, ask(t, listener.open(), "/") != nil)
		assert.NilError(t, <-answered)
		assert.Equal(t, a.Counters().Rejected, int64(1))
	})
}
