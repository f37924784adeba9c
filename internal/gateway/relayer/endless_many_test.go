package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessServer answers each request with begin and then with rest without end.
func endlessServer(t *testing.T, begin, rest string, pause time.Duration) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer conn.Close()

				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}

				_, _ = io.Copy(io.Discard, request.Body)
				_, err = io.WriteString(conn, begin)

				for err == nil {
					time.Sleep(pause)

					_, err = io.WriteString(conn, rest)
				}
			}()
		}
	}()

	return listener.Addr().String()
}

// Guards against servers that send without end, all at once, and take the node's memory together, each within its own bound.
func TestManyEndlessResponsesShareTheirMemory(t *testing.T) {
	const (
		requests = 150
		// bodyMemory is that of the smallest VM, which has 112 MB, and bound half of that VM's memory.
		bodyMemory = 16 << 20
		bound      = 56 << 20
	)

	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: sig\r\n", names.RequestID, names.Signature)
	stream := head + "Content-Type: " + eventStream + "\r\n"
	text := strings.Repeat("x", 4<<10)

	for name, test := range map[string]struct {
		path, begin, rest string
		pause             time.Duration
	}{
		"status line":       {path: "/book/1", begin: "HTTP/1.1 200 ", rest: text},
		"header line":       {path: "/book/1", begin: head + "X-A: ", rest: text},
		"header lines":      {path: "/book/1", begin: head, rest: "X-A: " + text + "\r\n"},
		"slow header line":  {path: "/book/1", begin: head + "X-A: ", rest: "x", pause: time.Millisecond},
		"interim responses": {path: "/book/1", rest: "HTTP/1.1 103 Early\r\n\r\n"},
		"other responses":   {path: "/book/1", rest: "HTTP/1.1 200 OK\r\n" + names.RequestID + ": other\r\nContent-Length: 4096\r\n\r\n" + text},
		"body":              {path: "/book/1", begin: head + "\r\n", rest: text},
		"chunk":             {path: "/book/1", begin: head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", rest: text},
		"length of a chunk": {path: "/book/1", begin: head + "Transfer-Encoding: chunked\r\n\r\n1;", rest: text},
		"trailer":           {path: "/book/1", begin: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", rest: "X-A: " + text + "\r\n"},
		"event":             {path: "/advice/1", begin: stream + "\r\ndata: ", rest: text},
		"slow event":        {path: "/advice/1", begin: stream + "\r\ndata: ", rest: text[:64], pause: time.Millisecond},
		"events":            {path: "/advice/1", begin: stream + "\r\n", rest: "id: 1\ndata: " + text + "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			defer debug.SetGCPercent(debug.SetGCPercent(20))

			w := newFixtureWithBodyMemory(t, 0, bodyMemory)
			w.upstreams = append(w.upstreams, &fakeUpstream{name: "endless", version: "v1", address: endlessServer(t, test.begin, test.rest, test.pause)})

			var callers sync.WaitGroup

			for range requests {
				callers.Go(func() {
					_, _ = w.discard(test.path)
				})
			}

			ended := make(chan struct{})

			go func() {
				defer close(ended)

				callers.Wait()
			}()

			most := uint64(0)

			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(20 * time.Millisecond):
				}

				var stats runtime.MemStats

				runtime.ReadMemStats(&stats)
				most = max(most, stats.HeapAlloc)
			}

			t.Logf("at most %.1f MB", float64(most)/(1<<20))
			assert.Assert(t, most < bound, "%d bytes", most)

			// Waits for the handlers, which end after their responses.
			w.server.Close()
			assert.Equal(t, w.relayer.BodyMemory(), int64(0))
		})
	}
}

// discard sends a request whose time is short, and returns the number of bytes of the answer's body.
func (w *fixture) discard(path string) (int64, error) {
	request, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0, err
	}

	request.Host = "shop.example"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set(names.Deadline, "1000")
	request.Header.Set("Authorization", "Token k1")

	response, err := w.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()

	return io.Copy(io.Discard, response.Body)
}
