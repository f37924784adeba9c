package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
