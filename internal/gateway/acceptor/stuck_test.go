package acceptor_test

import (
	"io"
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
