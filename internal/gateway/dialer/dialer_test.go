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

// fakeUpstream is a server that reads requests and responds with raw bytes.
type fakeUpstream struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
	// bodyGate, unless nil, delays reading the rest of a request body until the channel is closed.
	bodyGate atomic.Pointer[chan struct{}]
}

// startUpstream starts an upstream. respond is called with each request and its number on the connection; it returns
// the bytes to send and whether to close the connection afterwards.
func startUpstream(t *testing.T, respond func(request *http.Request, number int) (string, bool)) *fakeUpstream {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	s := &fakeUpstream{address: listener.Addr().String()}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			s.connections.Add(1)
			go s.handle(conn, respond)
		}
	}()

	return s
}

func (s *fakeUpstream) handle(conn net.Conn, respond func(*http.Request, int) (string, bool)) {
	defer conn.Close()

	reader := bufio.NewReader(conn)

	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		s.requests.Add(1)
		response, closeConn := respond(request, number)

		if _, err := io.WriteString(conn, response); err != nil || closeConn {
			return
		}

		if hold := s.bodyGate.Load(); hold != nil {
			<-*hold
		}

		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func getRequest(id string) *dialer.Request {
	return &dialer.Request{
		Method: http.MethodGet, Host: "desk.example", URI: "/price/7?x=%2F",
		Header: http.Header{idHeader: {id}, "User-Agent": {""}}, IDHeader: idHeader, ID: id,
	}
}

// exchange sends a request and returns the response body.
func exchange(d *dialer.Dialer, s *fakeUpstream, request *dialer.Request) (string, error) {
	response, err := d.Exchange(context.Background(), dialer.Upstream{ID: "u", Address: s.address}, request)
	if err != nil {
		return "", err
	}
	defer response.Close()

	body, err := io.ReadAll(response.Body)

	return string(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	s := startUpstream(t, func(r *http.Request, _ int) (string, bool) {
		return okResponse(r.Header.Get(idHeader), r.RequestURI), false
	})
	d := dialer.New(1000)

	for i := range 5 {
		body, err := exchange(d, s, getRequest(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, body, "/price/7?x=%2F")
	}

	assert.Equal(t, s.connections.Load(), int64(1))
	assert.DeepEqual(t, d.Counters(), dialer.Counters{Opened: 1, Reused: 4, Idle: 1, Open: 1})
	d.CloseStale(func(string) bool { return false })
	assert.Equal(t, d.Counters().Idle, int64(0))
}

// Guards against returning another caller's response: the upstream sends a duplicate response to request 1 after
// request 2 was sent, and responses are matched to requests only by their order.
func TestLateSecondAnswerIsSkipped(t *testing.T) {
	s := startUpstream(t, func(r *http.Request, number int) (string, bool) {
		text := okResponse(r.Header.Get(idHeader), "answer "+r.Header.Get(idHeader))
		if number == 2 {
			text = okResponse("one", "answer one") + text
		}

		return text, false
	})
	d := dialer.New(1000)

	_, err := exchange(d, s, getRequest("one"))
	assert.NilError(t, err)
	body, err := exchange(d, s, getRequest("two"))
	assert.NilError(t, err)
	assert.Equal(t, body, "answer two")
}

// Guards against reusing an idle connection that has unread bytes: a duplicate response that arrives before the next
// request is sent would be returned for that request.
func TestConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
	s := startUpstream(t, func(r *http.Request, _ int) (string, bool) {
		text := okResponse(r.Header.Get(idHeader), "x")

		return text + text, false
	})
	d := dialer.New(1000)

	for i := range 3 {
		body, err := exchange(d, s, getRequest(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
	}

	assert.Equal(t, s.connections.Load(), int64(3))
}

// Guards against running a request twice unnoticed: a GET is sent on a reused connection, and the upstream runs it and
// closes the connection without a response. The net/http client resends such a request by itself.
func TestRequestIsNeverSentAgainByItself(t *testing.T) {
	s := startUpstream(t, func(r *http.Request, number int) (string, bool) {
		if number == 2 {
			return "", true
		}

		return okResponse(r.Header.Get(idHeader), "x"), false
	})
	d := dialer.New(1000)

	_, err := exchange(d, s, getRequest("one"))
	assert.NilError(t, err)
	_, err = exchange(d, s, getRequest("two"))
	assert.Assert(t, errors.Is(err, dialer.ErrConnectionLost))
	assert.Equal(t, s.requests.Load(), int64(2))
}

// Guards against an upstream that reads the rest of one body as another request: it responds to a long request before
// it has read the whole body, and the connection is reused once the response is complete.
func TestConnectionOfAnEarlyAnswerIsNotUsedAgain(t *testing.T) {
	s := startUpstream(t, func(r *http.Request, _ int) (string, bool) { return okResponse(r.Header.Get(idHeader), "early"), false })
	d := dialer.New(1000)

	hold := make(chan struct{})
	s.bodyGate.Store(&hold)
	t.Cleanup(func() { close(hold) })

	long := getRequest("one")
	long.Method, long.Body = http.MethodPost, make([]byte, 8<<20)
	_, _ = exchange(d, s, long)

	body, err := exchange(d, s, getRequest("two"))
	assert.NilError(t, err)
	assert.Equal(t, body, "early")
	assert.Equal(t, s.connections.Load(), int64(2))
}

// Guards against accepting a truncated response as complete when the upstream closes the connection in the middle of
// a body.
func TestTruncatedBodyIsAnError(t *testing.T) {
	s := startUpstream(t, func(r *http.Request, _ int) (string, bool) {
		return okResponse(r.Header.Get(idHeader), "whole answer")[:65], true
	})

	_, err := exchange(dialer.New(1000), s, getRequest("one"))
	assert.Assert(t, err != nil)
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())

	_, err = exchange(dialer.New(1000), &fakeUpstream{address: listener.Addr().String()}, getRequest("one"))
	assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
}

// Guards against an upstream that keeps working for a caller that is gone: the caller's context is cancelled before
// the upstream responds, and the connection must be closed.
func TestExchangeEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})

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
		// The read returns when the other side closes the connection.
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}()

	_, err = dialer.New(1000).Exchange(ctx, dialer.Upstream{ID: "u", Address: listener.Addr().String()}, getRequest("one"))
	assert.Assert(t, errors.Is(err, dialer.ErrConnectionLost))
	<-closed
}

// Guards against a node under load that reaches neither its peers nor the store: without a limit it opens a connection
// for each request at slow upstreams until it runs out of file descriptors. At the limit, an idle connection is evicted;
// if there is none, the request fails as not sent.
func TestConnectionsAreBounded(t *testing.T) {
	respond := func(request *http.Request, _ int) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, request.Header.Get(idHeader)), false
	}
	first, second := startUpstream(t, respond), startUpstream(t, respond)
	d := dialer.New(1)

	response, err := d.Exchange(context.Background(), dialer.Upstream{ID: "first", Address: first.address}, getRequest("one"))
	assert.NilError(t, err)

	_, err = d.Exchange(context.Background(), dialer.Upstream{ID: "second", Address: second.address}, getRequest("two"))
	assert.Assert(t, errors.Is(err, dialer.ErrTooManyConnections))
	assert.Assert(t, errors.Is(err, dialer.ErrNotSent))

	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	response.Close()
	assert.Equal(t, d.Counters().Idle, int64(1))

	response, err = d.Exchange(context.Background(), dialer.Upstream{ID: "second", Address: second.address}, getRequest("three"))
	assert.NilError(t, err)
	assert.Equal(t, d.Counters().Open, int64(1))
	assert.Equal(t, d.Counters().Idle, int64(0))
	response.Close()
	assert.Equal(t, d.Counters().Open, int64(0))
}
