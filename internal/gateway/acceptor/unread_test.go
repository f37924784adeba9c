package acceptor_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/headreader"
)

// pauseTime exceeds both timeouts.
const pauseTime = 2 * idleTimeout

// unreadConn is a connection of a process that pauses: bytes that contain X-Held came in time and lie unread for pauseTime.
type unreadConn struct {
	net.Conn
	unread atomic.Int64
}

func (u *unreadConn) Read(p []byte) (int, error) {
	n, err := u.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("X-Held")) {
		u.unread.Store(int64(n))
		time.Sleep(pauseTime)
		u.unread.Store(0)
	}

	return n, err
}

// Unread returns the number of bytes that lie unread.
func (u *unreadConn) Unread() int { return int(u.unread.Load()) }

// Guards against a whole request that gets neither an answer nor a refusal, as the process paused and closes the connection as idle before it
// has read what the caller sent in time.
func TestRequestThatLiesUnreadAtTheIdleTimeoutIsAnswered(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		near, far := net.Pipe()
		listener <- &unreadConn{Conn: far}

		assert.Check(t, get(t, near, "/"))
		assert.Check(t, exchange(near, 0, "GET / HTTP/1.1\r\nHost: a\r\nX-Held: 1\r\n\r\n"))

		time.Sleep(pauseTime)
		assert.Check(t, isClosed(t, near))
		assert.Check(t, is.Equal(a.Counters().ClosedIdle, int64(1)))
	})
}

// Guards against a whole request that gets neither an answer nor a refusal, as the process paused and closes the connection at the header timeout
// before it has read what the caller sent in time.
func TestHeaderWhoseEndLiesUnreadAtItsTimeoutIsAnswered(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		near, far := net.Pipe()
		listener <- &unreadConn{Conn: far}

		assert.Check(t, exchange(near, time.Second, "GET / HTTP/1.1\r\nHost: a\r\n", "X-Held: 1\r\n\r\n"))
		time.Sleep(pauseTime)
		assert.Check(t, is.Equal(a.Counters().ClosedHeader, int64(0)))
	})
}

// alwaysUnread claims that the caller's next byte always lies unread.
type alwaysUnread struct{ net.Conn }

func (alwaysUnread) Unread() int { return 1 }

// Guards against callers that hold a connection indefinitely, because a byte of their header lies unread whenever the timeout is checked.
func TestHeaderThatComesByteByByteIsCut(t *testing.T) {
	const interval = 100 * time.Millisecond

	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		near, far := net.Pipe()
		listener <- alwaysUnread{far}

		began := time.Now()
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nX-A: ")

		for err == nil {
			time.Sleep(interval)
			_, err = io.WriteString(near, "a")
		}

		assert.Check(t, time.Since(began) <= headerTimeout+3*interval, "%s", time.Since(began))
		assert.Check(t, is.Equal(a.Counters().ClosedHeader, int64(1)))
	})
}

// stalledSocket is a connection of a process without processor time: Read returns only after release is closed, and meanwhile the caller's bytes
// lie unread in the socket.
type stalledSocket struct {
	*net.TCPConn
	release <-chan struct{}
}

func (s stalledSocket) Read(p []byte) (int, error) {
	<-s.release

	return s.TCPConn.Read(p)
}

// stallingListener stalls the connections that it accepts until release is closed.
type stallingListener struct {
	net.Listener
	release <-chan struct{}
}

func (s stallingListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}

	socket, _ := c.(*net.TCPConn)

	return stalledSocket{socket, s.release}, nil
}

// listen returns a listener on the loopback interface.
func listen(t testing.TB) net.Listener {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	return listener
}

// dial returns a connection to the listener.
func dial(t testing.TB, listener net.Listener) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })

	return c
}

// serve runs a server of at most maxConnections connections that answers each request, until the test ends.
func serve(t testing.TB, maxConnections int, timeouts acceptor.Timeouts, listener net.Listener) *acceptor.Acceptor {
	t.Helper()

	return serveWithMemory(t, maxConnections, timeouts, listener, 1<<20)
}

// serveWithMemory is serve with so many bytes for long headers.
func serveWithMemory(t testing.TB, maxConnections int, timeouts acceptor.Timeouts, listener net.Listener, memory int64) *acceptor.Acceptor {
	t.Helper()

	a := acceptor.New(maxConnections, func() acceptor.Timeouts { return timeouts }, headreader.NewMemory(memory))
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		_ = a.Serve(server, listener)
	}()

	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		<-ended
	})

	return a
}

// awaitEnd returns once the server has closed the connection.
func awaitEnd(t *testing.T, c net.Conn) {
	t.Helper()

	// A server that fails the test may never close it.
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against a whole request that is reset in its socket to make room for a new connection.
func TestConnectionWithAnUnreadRequestMakesNoRoom(t *testing.T) {
	release := make(chan struct{})
	listener := listen(t)
	a := serve(t, 1, acceptor.Timeouts{Header: time.Hour, Idle: time.Hour}, stallingListener{listener, release})

	caller := dial(t, listener)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)

	awaitEnd(t, dial(t, listener))
	close(release)
	assert.NilError(t, exchange(caller, 0))

	counters := a.Counters()
	assert.Equal(t, counters.Evicted, int64(0))
	assert.Equal(t, counters.Rejected, int64(1))
}

// Guards against a whole request that is reset in its socket when a stalled process finds the idle timeout due.
func TestSocketWithAnUnreadRequestIsNotClosedAsIdle(t *testing.T) {
	release := make(chan struct{})
	listener := listen(t)
	serve(t, 10, acceptor.Timeouts{Header: time.Hour, Idle: time.Second}, stallingListener{listener, release})

	caller := dial(t, listener)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)

	// The other connection has been idle for less time.
	awaitEnd(t, dial(t, listener))
	close(release)
	assert.NilError(t, exchange(caller, 0))
}

// Guards against a burst of connections that are due at once after a pause, of which those with a request are closed with the others.
func TestOnlySilentCallersAreClosedAfterAPause(t *testing.T) {
	const count = 100

	runServer(t, 3*count, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		answered := make(chan error, count)

		for i := range 2 * count {
			near, far := net.Pipe()
			listener <- &unreadConn{Conn: far}

			if i%2 == 0 {
				go func() { answered <- exchange(near, 0, "GET / HTTP/1.1\r\nHost: a\r\nX-Held: 1\r\n\r\n") }()
			}
		}

		for range count {
			assert.Check(t, <-answered)
		}

		synctest.Wait()
		assert.Check(t, is.Equal(a.Counters().ClosedIdle, int64(count)))
		assert.Check(t, is.Equal(a.Counters().Open, count))
	})
}

func BenchmarkRequestOnKeptConnection(b *testing.B) {
	listener := listen(b)
	serve(b, 10, acceptor.Timeouts{Header: time.Minute, Idle: time.Minute}, listener)

	c := dial(b, listener)
	request, answer := []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), make([]byte, 4<<10)

	b.ReportAllocs()

	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		// The answer is one short packet.
		if _, err := c.Read(answer); err != nil {
			b.Fatal(err)
		}
	}
}
