package acceptor_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"quincepath.example/quincepath/internal/gateway/acceptor"
)

const (
	// longHeaders is how many headers of longHeaderBytes fit into the memory that headers share.
	longHeaders     = 4
	longHeaderBytes = 60 << 10
)

// longHeader is a header that isn't complete.
func longHeader() string {
	return "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", longHeaderBytes)
}

// fillMemory opens connections whose headers take the shared memory until they are closed or their header ends.
func fillMemory(t *testing.T, listener pipeListener) []net.Conn {
	t.Helper()

	connections := make([]net.Conn, 0, longHeaders)

	for range longHeaders {
		c := listener.open()
		_, err := io.WriteString(c, longHeader())
		assert.Check(t, err)

		connections = append(connections, c)
	}

	synctest.Wait()

	return connections
}

// Guards against a request whose connection is closed without an answer at the header timeout, because the node had no memory to read its header.
func TestHeaderThatFindsNoMemoryIsRefused(t *testing.T) {
	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, times *acceptor.Timeouts) {
		times.Header = time.Hour
		holders := fillMemory(t, listener)

		c := listener.open()
		began := time.Now()

		go func() { _, _ = io.WriteString(c, longHeader()+"\r\n\r\n") }()

		reader := bufio.NewReader(c)

		response, err := http.ReadResponse(reader, nil)
		if !assert.Check(t, err) {
			return
		}

		assert.Check(t, is.Equal(response.StatusCode, http.StatusServiceUnavailable))
		assert.Check(t, is.Equal(response.Header.Get("Content-Type"), "application/json"))
		assert.Check(t, response.Close)
		assert.Check(t, time.Since(began) < 5*time.Second, "%s", time.Since(began))

		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.Check(t, err)
		assert.Check(t, wait > 0)

		body := map[string]any{}
		assert.Check(t, json.NewDecoder(response.Body).Decode(&body))
		delete(body, "message")
		assert.Check(t, is.DeepEqual(body, map[string]any{"code": "node_full", "result_code": 30.0, "ran": "not_run"}))

		// Nothing follows the refusal, and its memory is free again.
		rest, err := io.ReadAll(reader)
		assert.Check(t, err)
		assert.Check(t, is.Equal(string(rest), ""))
		synctest.Wait()
		assert.Check(t, is.Equal(a.Counters().Open, longHeaders))
		assert.Check(t, is.Equal(a.Counters().ClosedHeader, int64(0)))

		for _, holder := range holders {
			assert.Check(t, holder.Close())
		}

		assert.Check(t, exchange(listener.open(), 0, longHeader()+"\r\n\r\n"))
	})
}

// Guards against a header that is cut at its timeout though its caller was quick, because it waited for memory of the node.
func TestWaitForMemoryIsNotTheCallersTime(t *testing.T) {
	const (
		wait = headerTimeout / 2
		// ownTime is the time that the caller takes.
		ownTime = headerTimeout - wait/2
	)

	runServer(t, 10, func(t *testing.T, listener pipeListener, a *acceptor.Acceptor, _ *acceptor.Timeouts) {
		holders := fillMemory(t, listener)

		go func() {
			time.Sleep(wait)

			_ = holders[0].Close()
		}()

		c := listener.open()
		_, err := io.WriteString(c, longHeader())
		assert.Check(t, err)
		assert.Check(t, exchange(c, ownTime, "\r\n\r\n"))
		assert.Check(t, is.Equal(a.Counters().WaitedForMemory, int64(1)))
	})
}

// Guards against a refusal that doesn't reach its caller, while the rest of the header lies unread in the socket.
func TestRefusalReachesACallerThatHasSentMore(t *testing.T) {
	listener := listen(t)
	serveWithMemory(t, 10, acceptor.Timeouts{Header: time.Hour, Idle: time.Hour}, listener, 0)

	c := dial(t, listener)
	_, err := io.WriteString(c, longHeader()+"\r\n\r\n")
	assert.NilError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)

	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, int64(len(body)), response.ContentLength)
}
