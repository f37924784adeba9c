package acceptor_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/headreader"
)

// Guards against a response that was aborted and that a caller takes for whole: in HTTP 1.0 it has no chunks, so that its end is that of the
// connection.
func TestAbortedResponseIsNotWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	taken := make(chan struct{})
	a := acceptor.New(8, func() acceptor.Timeouts { return acceptor.Timeouts{Header: headerTimeout, Idle: idleTimeout} }, headreader.NewMemory(1<<20))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "ans")
		assert.Check(t, http.NewResponseController(w).Flush())
		<-taken

		if r.URL.Path == "/aborted" {
			panic(http.ErrAbortHandler)
		}

		_, _ = io.WriteString(w, "wer")
	})}

	go func() { _ = a.Serve(server, listener) }()

	t.Cleanup(func() { _ = server.Close() })

	for _, path := range []string{"/aborted", "/whole"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)

		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: a\r\n\r\n", path)
		assert.NilError(t, err)

		var received []byte

		for buffer := make([]byte, 512); len(received) < 3 || string(received[len(received)-3:]) != "ans"; {
			n, err := conn.Read(buffer)
			assert.NilError(t, err)

			received = append(received, buffer[:n]...)
		}

		taken <- struct{}{}

		rest, err := io.ReadAll(conn)
		assert.NilError(t, conn.Close())

		if path == "/whole" {
			assert.NilError(t, err)
			assert.Equal(t, string(rest), "wer")
		} else {
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "the response seems to end after %q", rest)
		}
	}
}
