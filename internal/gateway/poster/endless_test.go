package poster_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/poster"
)

const (
	// endlessBytes ends what a server sends on a connection; kernelBytes is what may be on its way when the connection closes.
	endlessBytes = 64 << 20
	kernelBytes  = 16 << 20
)

// serveEndless answers each connection with begin and then with x until it closes. The channel gets how much it sent on each.
func serveEndless(t *testing.T, begin string) (address string, sent <-chan int) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	counts := make(chan int, 8)

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			count, rest := 0, []byte(strings.Repeat("x", 64<<10))
			_, err = io.WriteString(conn, begin)

			for err == nil && count < endlessBytes {
				_, err = conn.Write(rest)
				count += len(rest)
			}

			_ = conn.Close()
			counts <- count
		}
	}()

	return listener.Addr().String(), counts
}

// Guards against a platform whose answers take a node's memory, as their heads never end.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, begin := range map[string]string{"status line": "HTTP/1.1 200 ", "header line": "HTTP/1.1 200 OK\r\nX-A: ", "no line": ""} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, begin)

			_, err := poster.Send(context.Background(), &net.Dialer{}, poster.Call{Address: address, Path: "/usage", Authorise: func() error { return nil }})
			assert.Assert(t, err != nil)

			count := <-sent
			assert.Assert(t, count <= kernelBytes, "%d bytes were sent", count)

			response, err := poster.NewClient(address, time.Second, 1<<20).R().Get("/")
			assert.Assert(t, err != nil, response)

			count = <-sent
			assert.Assert(t, count <= kernelBytes, "%d bytes were sent", count)
		})
	}
}

// Guards against a store whose answers take a node's memory, as their bodies never end.
func TestEndlessBodyEndsTheCall(t *testing.T) {
	address, sent := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n")

	response, err := poster.NewClient(address, time.Second, 1<<20).R().Get("/")
	assert.Assert(t, err != nil, response)

	count := <-sent
	assert.Assert(t, count <= kernelBytes, "%d bytes were sent", count)

	// Of a call's answer only the status is read.
	status, err := poster.Send(context.Background(), &net.Dialer{}, poster.Call{Address: address, Path: "/usage", Authorise: func() error { return nil }})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)

	count = <-sent
	assert.Assert(t, count <= kernelBytes, "%d bytes were sent", count)
}
