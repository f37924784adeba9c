package acceptor_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"quincepath.example/quincepath/internal/gateway/acceptor"
)

// Guards against callers that hold a connection indefinitely, because they don't read the server's refusal of a malformed header: the
// server, which writes it, reads nothing.
func TestCallerThatTakesNoRefusalIsCut(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		// A pipe is like a socket whose send buffer is full.
		near := listener.open()
		_, err := io.WriteString(near, "malformed\r\n\r\n")
		assert.NilError(t, err)

		time.Sleep(10 * headerTimeout)
		assert.Check(t, is.Equal(a.Counters().Open, 0))
		assert.Check(t, near.Close())
	})
}

// takenConn is a connection of a process that pauses right after a read has taken bytes that contain X-Held from the socket.
type takenConn struct {
	net.Conn
	taken atomic.Bool
}

func (c *takenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.taken.Swap(true) {
		time.Sleep(pauseTime)
	}

	return n, err
}

// Guards against a whole request that gets neither an answer nor a refusal, as the process paused between the read that took it and the moment
// in which the connection counts as read.
func TestRequestThatAReadHasTakenIsAnswered(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, _ *acceptor.Acceptor, _ *acceptor.Timeouts) {
		near, far := net.Pipe()
		listener <- &takenConn{Conn: far}

		assert.Check(t, exchange(near, 0, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	})
}
