package forwarder_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/standin/cutter"
)

// exchange sends a call and returns the body of the response.
func exchange(t *testing.T, client *forwarder.Client, call forwarder.Call) (string, error) {
	t.Helper()

	response, err := client.Do(t.Context(), call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)

	return string(body), err
}

// Guards against responses that were cut off and pass for whole, and against requests that are sent again by themselves because of it.
func TestResponsesThatAreCutOffAreNotWhole(t *testing.T) {
	const body = "the answer"

	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	for _, useNewConnection := range []bool{false, true} {
		whole := 0

		for cut := range cutter.Cuts(cutter.Responses("HTTP/1.1 200 OK\r\nX-A: a\r\n", body)) {
			server.Answer(cut)

			client := forwarder.NewClient(forwarder.Options{})
			received, err := exchange(t, client, forwarder.Call{
				Method: http.MethodPost, URL: "http://" + server.Address(), Body: []byte("request"), UseNewConnection: useNewConnection,
				Header: http.Header{forwarder.HeaderIdempotencyKey: {"k"}},
			})

			client.CloseIdleConnections()
			assert.Equal(t, len(server.TakeRequests()), 1, "%v", cut)

			if err == nil {
				whole++

				assert.Assert(t, cut.LooksWhole(), "%v", cut)
				assert.Assert(t, received == body || cut.EndsWithConnection && strings.HasPrefix(body, received), "%v: %q", cut, received)
			}

			assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
		}

		assert.Assert(t, whole >= 6, "only %d responses were whole", whole)
	}
}

// Guards against a response with neither a length nor chunks passing for whole since its connection was reset while the request was being
// written.
func TestResetWhileTheRequestIsWrittenIsNoEnd(t *testing.T) {
	const begin, tries = "ans", 200

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	defer listener.Close()

	reset := make(chan struct{})

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			_, _ = io.ReadFull(conn, make([]byte, 1))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+begin)
			<-reset

			_, _ = conn.(*net.TCPConn).SetLinger(0), conn.Close()
		}
	}()

	client := forwarder.NewClient(forwarder.Options{})
	body := bytes.Repeat([]byte("x"), 16<<20)
	whole := 0

	for range tries {
		response, err := client.Do(t.Context(), forwarder.Call{Method: http.MethodPost, URL: "http://" + listener.Addr().String(), Body: body})
		assert.NilError(t, err)

		_, err = io.ReadFull(response.Body, make([]byte, len(begin)))
		assert.NilError(t, err)

		reset <- struct{}{}

		if _, err := io.ReadAll(response.Body); err == nil {
			whole++
		}

		assert.NilError(t, response.Body.Close())
	}

	assert.Equal(t, whole, 0, "of %d responses that were reset", tries)
}
