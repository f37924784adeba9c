package acceptor_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"quincepath.example/quincepath/internal/gateway/acceptor"
)

// Guards against a connection that is closed by the idle timeout that was in force when it became idle, under a caller that goes by the longer
// one of the newest configuration.
func TestLongerIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		c := listener.open()
		assert.Check(t, get(t, c, "/"))

		time.Sleep(idleTimeout - time.Second)
		synctest.Wait()

		times.Idle = 4 * idleTimeout
		a.Refresh()

		time.Sleep(2*idleTimeout + time.Second)
		assert.Check(t, get(t, c, "/"))

		time.Sleep(4*idleTimeout - time.Second)
		assert.Check(t, !isClosed(t, c))
		time.Sleep(2 * time.Second)
		assert.Check(t, isClosed(t, c))
	})
}

// Guards against connections that stay open for the idle timeout of an earlier configuration, and against a shorter one that closes them
// under callers that haven't heard of it.
func TestShorterIdleTimeoutClosesIdleConnectionsAfterAGrace(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		times.Idle = time.Hour

		unused, used := listener.open(), listener.open()
		assert.Check(t, get(t, unused, "/"))
		assert.Check(t, get(t, used, "/"))

		time.Sleep(time.Minute)

		later := listener.open()
		assert.Check(t, get(t, later, "/"))

		synctest.Wait()

		times.Idle = idleTimeout
		a.Refresh()

		time.Sleep(time.Second)
		assert.Check(t, get(t, used, "/"))
		time.Sleep(2 * time.Second)
		assert.Check(t, isClosed(t, unused))
		assert.Check(t, !isClosed(t, later))

		// Both are idle within the shorter timeout, and are closed by it.
		time.Sleep(idleTimeout)
		assert.Check(t, isClosed(t, later))
		assert.Check(t, isClosed(t, used))
		assert.Check(t, is.Equal(a.Counters().ClosedIdle, int64(3)))
	})
}

// Guards against a connection that an earlier, shorter timeout closes before its caller has gone by it: a timeout that falls in several steps.
func TestTimeoutThatFallsTwiceHasTheGraceOfTheLongest(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		times.Idle = time.Hour

		c := listener.open()
		assert.Check(t, get(t, c, "/"))
		time.Sleep(time.Minute)

		for _, timeout := range []time.Duration{2 * idleTimeout, idleTimeout} {
			synctest.Wait()

			times.Idle = timeout
			a.Refresh()
			time.Sleep(time.Second)
		}

		assert.Check(t, get(t, c, "/"))
	})
}

// Guards against a header that is cut by the header timeout that was in force when it began.
func TestLongerHeaderTimeoutHoldsForHeadersOnTheirWay(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		c := listener.open()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		assert.Check(t, err)

		synctest.Wait()

		times.Header = 2 * headerTimeout
		a.Refresh()

		assert.Check(t, exchange(c, headerTimeout+time.Second, "Host: a\r\n\r\n"))
	})
}
