package acceptor_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/headreader"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// pipeListener is a listener of in-memory connections, which work with the virtual time of synctest.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) open() net.Conn {
	near, far := net.Pipe()
	p <- far

	return near
}

// runServer runs a server that answers each request after the duration in its path.
func runServer(t *testing.T, maxConnections int, run func(*testing.T, pipeListener, *acceptor.Acceptor, *acceptor.Timeouts)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		timeouts := &acceptor.Timeouts{Header: headerTimeout, Idle: idleTimeout}
		a := acceptor.New(maxConnections, func() acceptor.Timeouts { return *timeouts }, headreader.NewMemory(1<<20))
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if wait, err := time.ParseDuration(r.URL.Path[1:]); err == nil {
				time.Sleep(wait)
			}
		})}

		listener := make(pipeListener)
		go func() { _ = a.Serve(server, listener) }()

		run(t, listener, a, timeouts)

		close(listener)
		assert.NilError(t, server.Close())
		synctest.Wait()
	})
}

func get(t *testing.T, c net.Conn, path string) error {
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

// isClosed reports whether the server has closed the connection.
func isClosed(t *testing.T, c net.Conn) bool {
	t.Helper()

	// SetReadDeadline fails on a pipe whose other end is closed.
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))

	return errors.Is(err, io.EOF)
}

// Guards against connections that are closed within the configured idle timeout, because the server uses a timeout of its own.
func TestRestingConnectionsStayForTheOperatorsTime(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		times.Idle = 2 * time.Minute

		c := listener.open()
		assert.NilError(t, get(t, c, "/"))
		time.Sleep(119 * time.Second)
		assert.NilError(t, get(t, c, "/"))
		time.Sleep(121 * time.Second)
		assert.Assert(t, isClosed(t, c))
		assert.Equal(t, a.Counters(), acceptor.Counters{ClosedIdle: 1})
	})
}

// Guards against callers that hold a connection indefinitely by sending the first bytes of a header but not the rest.
func TestSlowHeaderIsCut(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		c := listener.open()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		assert.NilError(t, err)
		time.Sleep(headerTimeout + time.Second)
		assert.Assert(t, isClosed(t, c))
		assert.Equal(t, a.Counters(), acceptor.Counters{ClosedHeader: 1})
	})
}

// A request may last longer than both timeouts, since it has a limit of its own.
func TestRunningRequestIsNotCut(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, _ *acceptor.Acceptor, _ *acceptor.Timeouts) {
		assert.NilError(t, get(t, listener.open(), "/1m"))
	})
}

// Guards against a node that reaches neither upstreams nor peers, because callers' connections use all file descriptors of the
// process and nothing limits them.
func TestConnectionThatRestsLongestMakesRoom(t *testing.T) {
	runServer(t, 2, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		first, second := listener.open(), listener.open()
		assert.NilError(t, get(t, first, "/"))
		time.Sleep(time.Second)
		assert.NilError(t, get(t, second, "/"))

		third := listener.open()
		assert.NilError(t, get(t, third, "/"))
		assert.Assert(t, isClosed(t, first))
		assert.Assert(t, !isClosed(t, second))
		assert.Equal(t, a.Counters(), acceptor.Counters{Open: 2, Evicted: 1})
	})
}

// A connection with a request in progress is never closed for a new one.
func TestNewConnectionIsRejectedWhileAllAreActive(t *testing.T) {
	runServer(t, 1, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		answered := make(chan error, 1)
		busy := listener.open()
		go func() { answered <- get(t, busy, "/10s") }()
		time.Sleep(time.Second)

		assert.Assert(t, get(t, listener.open(), "/") != nil)
		assert.NilError(t, <-answered)
		assert.Equal(t, a.Counters().Rejected, int64(1))
	})
}

// heldConn delays the return of a Read that has got bytes, as a slow machine does.
type heldConn struct {
	net.Conn
	hold func(read []byte)
}

func (h heldConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.hold(p[:n])
	}

	return n, err
}

// runHeld runs a server of at most one connection, which keeps the bytes of a request's end for a time that exceeds both
// timeouts. It returns how many requests reached the handler and how many of them the caller got an answer to, and the counters.
func runHeld(t *testing.T, send func(t *testing.T, listener pipeListener, caller net.Conn) error) (handled, answered int, counters acceptor.Counters) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		a := acceptor.New(1, func() acceptor.Timeouts { return acceptor.Timeouts{Header: headerTimeout, Idle: idleTimeout} }, headreader.NewMemory(1<<20))
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			handled++
			// Passing the request on ends with the caller's connection.
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(time.Second):
			}
		})}

		listener := make(pipeListener)
		go func() { _ = a.Serve(server, listener) }()

		near, far := net.Pipe()
		listener <- heldConn{Conn: far, hold: func(read []byte) {
			if bytes.Contains(read, []byte("X-Held")) {
				time.Sleep(2 * idleTimeout)
			}
		}}

		assert.NilError(t, get(t, near, "/"))

		answered = 1
		if send(t, listener, near) == nil {
			answered++
		}

		time.Sleep(time.Minute)

		counters = a.Counters()

		close(listener)
		assert.NilError(t, server.Close())
		synctest.Wait()
	})

	return handled, answered, counters
}

// exchange sends a request in parts, with an interval between them, and reads the answer.
func exchange(c net.Conn, interval time.Duration, parts ...string) error {
	for _, part := range parts {
		time.Sleep(interval)

		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
	}

	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}

	return response.Body.Close()
}

// Guards against a request that is handled, and passed on, though the idle timeout has closed its connection meanwhile.
func TestRequestThatCrossesTheIdleTimeoutIsNotHandled(t *testing.T) {
	handled, answered, counters := runHeld(t, func(_ *testing.T, _ pipeListener, caller net.Conn) error {
		return exchange(caller, 0, "GET / HTTP/1.1\r\nHost: a\r\nX-Held: 1\r\n\r\n")
	})
	assert.Equal(t, handled, answered)
	assert.Equal(t, counters, acceptor.Counters{ClosedIdle: 1, Crossed: 1})
}

// Guards against a request that is handled, and passed on, though the header timeout has closed its connection meanwhile.
func TestRequestThatCrossesTheHeaderTimeoutIsNotHandled(t *testing.T) {
	handled, answered, counters := runHeld(t, func(_ *testing.T, _ pipeListener, caller net.Conn) error {
		return exchange(caller, time.Second, "GET / HTTP/1.1\r\nHost: a\r\n", "X-Held: 1\r\n\r\n")
	})
	assert.Equal(t, handled, answered)
	assert.Equal(t, counters, acceptor.Counters{ClosedHeader: 1, Crossed: 1})
}

// Guards against a request that is handled, and passed on, though its connection was closed meanwhile to make room.
func TestRequestThatCrossesAnEvictionIsNotHandled(t *testing.T) {
	handled, answered, counters := runHeld(t, func(t *testing.T, listener pipeListener, caller net.Conn) error {
		t.Helper()

		go func() {
			time.Sleep(time.Second)
			listener.open()
		}()

		return exchange(caller, 0, "GET / HTTP/1.1\r\nHost: a\r\nX-Held: 1\r\n\r\n")
	})
	assert.Equal(t, handled, answered)
	assert.Equal(t, counters.Evicted, int64(1))
	assert.Equal(t, counters.Crossed, int64(1))
}

// Guards against a stop that cuts off an answer which the handler has returned but the caller has not read yet.
func TestConnectionIsBusyUntilItsAnswerIsWritten(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		c := listener.open()
		synctest.Wait()
		assert.Equal(t, a.Busy(), 0)

		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, a.Busy(), 1)

		// The handler returns at once. A pipe holds no bytes, so the answer waits for its reader.
		_, err = io.WriteString(c, "Host: a\r\n\r\n")
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, a.Busy(), 1)

		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		synctest.Wait()
		assert.Equal(t, a.Busy(), 0)
	})
}

// Guards against callers that take a node's memory by headers that are within their bound and don't end: a caller beyond it waits until others
// have sent theirs, or were cut.
func TestLongHeadersShareTheirMemory(t *testing.T) {
	const (
		// long is the length of a header that is not complete; four of them fit into the memory.
		long  = 60 << 10
		count = 4
	)

	begin := "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", long)

	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		var first net.Conn

		for range count {
			first = listener.open()
			_, err := io.WriteString(first, begin)
			assert.NilError(t, err)
		}

		served := make(chan error, 1)
		waiting := listener.open()

		go func() {
			_, err := io.WriteString(waiting, begin+"\r\n\r\n")
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(waiting), nil)
			}

			served <- err
		}()

		time.Sleep(headerTimeout / 2)
		assert.Equal(t, a.Counters().WaitedForMemory, int64(1))

		// A short header needs none of that memory.
		assert.NilError(t, get(t, listener.open(), "/"))

		_, err := io.WriteString(first, "\r\n\r\n")
		assert.NilError(t, err)
		assert.NilError(t, <-served)

		time.Sleep(headerTimeout)
		assert.Equal(t, a.Counters().ClosedHeader, int64(count-1))
	})
}
