package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

const idHeader = "X-Request-Id"

// script is an upstream that reads requests and answers with raw bytes.
type script struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
	// hold keeps the upstream from reading the rest of a body until it is closed; nil doesn't.
	hold atomic.Pointer[chan struct{}]
}

// serve starts an upstream. Answer gets each request with its number on the connection and
// returns the bytes to send, and whether to close the connection then.
func serve(t *testing.T, answer func(request *http.Request, number int) (string, bool)) *script {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	s := &script{address: listener.Addr().String()}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			s.connections.Add(1)
			go s.handle(conn, answer)
		}
	}()

	return s
}

func (s *script) handle(conn net.Conn, answer func(*http.Request, int) (string, bool)) {
	defer conn.Close()

	reader := bufio.NewReader(conn)

	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		s.requests.Add(1)
		text, end := answer(request, number)

		if _, err := io.WriteString(conn, text); err != nil || end {
			return
		}

		if hold := s.hold.Load(); hold != nil {
			<-*hold
		}

		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func get(id string) *dialer.Request {
	return &dialer.Request{
		Method: http.MethodGet, Host: "desk.example", URI: "/price/7?x=%2F",
		Header: http.Header{idHeader: {id}, "User-Agent": {""}}, IDHeader: idHeader, ID: id,
	}
}

// exchange sends a request and returns the body.
func exchange(d *dialer.Dialer, s *script, request *dialer.Request) (string, error) {
	response, err := d.Exchange(context.Background(), dialer.Upstream{ID: "u", Address: s.address}, request)
	if err != nil {
		return "", err
	}
	defer response.Close()

	body, err := io.ReadAll(response.Body)

	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	s := serve(t, func(r *http.Request, _ int) (string, bool) { return reply(r.Header.Get(idHeader), r.RequestURI), false })
	d := dialer.New(1000)

	for i := range 5 {
		body, err := exchange(d, s, get(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, body, "/price/7?x=%2F")
	}

	assert.Equal(t, s.connections.Load(), int64(1))
	assert.DeepEqual(t, d.Counters(), dialer.Counters{Opened: 1, Reused: 4, Idle: 1, Open: 1})
	d.CloseStale(func(string) bool { return false })
	assert.Equal(t, d.Counters().Idle, int64(0))
}

// Symptom: a caller gets the answer to somebody else's request.
// Sequence: the upstream sends a second answer to request 1 when request 2 has just been sent.
// Cause: answers were matched to requests by their order alone.
func TestLateSecondAnswerIsSkipped(t *testing.T) {
	s := serve(t, func(r *http.Request, number int) (string, bool) {
		text := reply(r.Header.Get(idHeader), "answer "+r.Header.Get(idHeader))
		if number == 2 {
			text = reply("one", "answer one") + text
		}

		return text, false
	})
	d := dialer.New(1000)

	_, err := exchange(d, s, get("one"))
	assert.NilError(t, err)
	body, err := exchange(d, s, get("two"))
	assert.NilError(t, err)
	assert.Equal(t, body, "answer two")
}

// Symptom: the same, where the second answer comes before the next request is sent.
// Cause: a kept connection was used again although bytes waited on it.
func TestConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
	s := serve(t, func(r *http.Request, _ int) (string, bool) {
		text := reply(r.Header.Get(idHeader), "x")

		return text + text, false
	})
	d := dialer.New(1000)

	for i := range 3 {
		body, err := exchange(d, s, get(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
	}

	assert.Equal(t, s.connections.Load(), int64(3))
}

// Symptom: a call that must run once runs twice, and nothing shows it.
// Sequence: a GET goes out on a kept connection; the upstream runs it and closes without an answer.
// Cause: net/http's client sends such a request again by itself.
func TestRequestIsNeverSentAgainByItself(t *testing.T) {
	s := serve(t, func(r *http.Request, number int) (string, bool) {
		if number == 2 {
			return "", true
		}

		return reply(r.Header.Get(idHeader), "x"), false
	})
	d := dialer.New(1000)

	_, err := exchange(d, s, get("one"))
	assert.NilError(t, err)
	_, err = exchange(d, s, get("two"))
	assert.Assert(t, errors.Is(err, dialer.ErrConnectionLost))
	assert.Equal(t, s.requests.Load(), int64(2))
}

// Symptom: an upstream reads the rest of one body as another request.
// Sequence: it answers a long request before it has read all; the connection is used again.
// Cause: the answer's end was taken for the end of the exchange.
func TestConnectionOfAnEarlyAnswerIsNotUsedAgain(t *testing.T) {
	s := serve(t, func(r *http.Request, _ int) (string, bool) { return reply(r.Header.Get(idHeader), "early"), false })
	d := dialer.New(1000)

	hold := make(chan struct{})
	s.hold.Store(&hold)
	t.Cleanup(func() { close(hold) })

	long := get("one")
	long.Method, long.Body = http.MethodPost, make([]byte, 8<<20)
	_, _ = exchange(d, s, long)

	body, err := exchange(d, s, get("two"))
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
	assert.Equal(t, s.connections.Load(), int64(2))
}

// Symptom: half an answer looks like a whole one.
// Sequence: the upstream ends the connection in the middle of a body.
func TestBrokenBodyIsAnError(t *testing.T) {
	s := serve(t, func(r *http.Request, _ int) (string, bool) {
		return reply(r.Header.Get(idHeader), "whole answer")[:65], true
	})

	_, err := exchange(dialer.New(1000), s, get("one"))
	assert.Assert(t, err != nil)
}

func TestRefusedConnectionWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())

	_, err = exchange(dialer.New(1000), &script{address: listener.Addr().String()}, get("one"))
	assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
}

// Symptom: an upstream works on for a caller who left.
// Sequence: the caller's context ends while the upstream is silent.
func TestExchangeEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan struct{})

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		_, _ = http.ReadRequest(bufio.NewReader(conn))
		cancel()
		// The read ends when the other side closes.
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
	}()

	_, err = dialer.New(1000).Exchange(ctx, dialer.Upstream{ID: "u", Address: listener.Addr().String()}, get("one"))
	assert.Assert(t, errors.Is(err, dialer.ErrConnectionLost))
	<-gone
}

// Symptom: a node under load reaches neither its peers nor the store.
// Sequence: it opens a connection for each request that waits at slow upstreams, until it has no descriptor left.
// Cause: nothing bounded its connections. An idle one makes room; else the request is told that it was not sent.
func TestConnectionsAreBounded(t *testing.T) {
	answer := func(request *http.Request, _ int) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, request.Header.Get(idHeader)), false
	}
	first, second := serve(t, answer), serve(t, answer)
	d := dialer.New(1)

	response, err := d.Exchange(context.Background(), dialer.Upstream{ID: "first", Address: first.address}, get("one"))
	assert.NilError(t, err)

	_, err = d.Exchange(context.Background(), dialer.Upstream{ID: "second", Address: second.address}, get("two"))
	assert.Assert(t, errors.Is(err, dialer.ErrTooManyConnections))
	assert.Assert(t, errors.Is(err, dialer.ErrNotSent))

	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	response.Close()
	assert.Equal(t, d.Counters().Idle, int64(1))

	response, err = d.Exchange(context.Background(), dialer.Upstream{ID: "second", Address: second.address}, get("three"))
	assert.NilError(t, err)
	assert.Equal(t, d.Counters().Open, int64(1))
	assert.Equal(t, d.Counters().Idle, int64(0))
	response.Close()
	assert.Equal(t, d.Counters().Open, int64(0))
}
