package dialer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

// Guards against a response with neither a length nor chunks passing for whole since its connection was reset while the request was being
// written: the kernel tells of a reset once, and the write may take it. One that was closed stays whole.
func TestResetWhileTheRequestIsWrittenIsNoEnd(t *testing.T) {
	const begin, tries = "ans", 100

	for _, test := range []struct {
		name  string
		end   func(conn *net.TCPConn)
		whole int
	}{
		{name: "reset", end: func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() }},
		{name: "closed", end: func(conn *net.TCPConn) { _ = conn.CloseWrite() }, whole: tries},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)

			defer listener.Close()

			end := make(chan struct{})

			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}

					defer conn.Close()

					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+begin)
					<-end
					test.end(conn.(*net.TCPConn))
				}
			}()

			d := dialer.New(tries)
			body := bytes.Repeat([]byte("x"), 16<<20)
			whole := 0

			for range tries {
				response, err := d.Exchange(context.Background(), dialer.Upstream{ID: "u", Address: listener.Addr().String()},
					&dialer.Request{Method: http.MethodPost, Host: "h", URI: "/", Body: body})
				assert.NilError(t, err)

				_, err = io.ReadFull(response.Body, make([]byte, len(begin)))
				assert.NilError(t, err)

				end <- struct{}{}

				if _, err := io.ReadAll(response.Body); err == nil {
					whole++
				}

				response.Close()
			}

			assert.Equal(t, whole, test.whole, "of %d responses", tries)
		})
	}
}
