package dialer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

const (
	// headBound is the most that may be read of a head and all that comes before it, readAhead what else a connection's buffer may hold.
	headBound = 64 << 10
	readAhead = 4 << 10
	// endlessCap ends what would be read without end.
	endlessCap = 8 << 20
)

// endlessConn is a connection to a server that answers each request with begin and then repeats rest without end.
type endlessConn struct {
	begin, rest string
	// read is the number of bytes that were read.
	read   int
	closed bool
}

// Read implements net.Conn.
func (c *endlessConn) Read(p []byte) (int, error) {
	if c.read >= endlessCap {
		return 0, io.EOF
	}

	n := 0

	for n < len(p) {
		if at := c.read + n; at < len(c.begin) {
			n += copy(p[n:], c.begin[at:])
		} else {
			n += copy(p[n:], c.rest[(at-len(c.begin))%len(c.rest):])
		}
	}

	c.read += n

	return n, nil
}

// Write implements net.Conn.
func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *endlessConn) Close() error {
	c.closed = true

	return nil
}

// LocalAddr implements net.Conn.
func (c *endlessConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *endlessConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn.
func (c *endlessConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *endlessConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// exchangeWith sends one request over the connection and reads the body of the response, if there is one.
func exchangeWith(c net.Conn) error {
	d := dialer.New(4)
	d.DialContext = func(context.Context, string, string) (net.Conn, error) { return c, nil }

	request := &dialer.Request{Method: "GET", Host: "shop.example", URI: "/", IDHeader: "X-Id", ID: "r1"}

	response, err := d.Exchange(context.Background(), dialer.Upstream{ID: "u", Address: "address"}, request)
	if err != nil {
		return err
	}
	defer response.Close()

	_, err = io.Copy(io.Discard, response.Body)

	return err
}

// Guards against a server that takes a node's memory by a head, or by answers before the answer, that never end.
func TestEndlessHeadEndsAtItsBound(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"

	cases := map[string]struct{ begin, rest string }{
		"status line":             {"HTTP/1.1 200 ", "O"},
		"bytes without a line":    {"", "x"},
		"header line":             {ok + "X-A: ", "a"},
		"name of a header":        {ok, "a"},
		"continued header line":   {ok + "X-A: a\r\n", " a\r\n"},
		"header lines":            {ok, "X-A: a\r\n"},
		"interim answers":         {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"header of interim ones":  {"HTTP/1.1 100 Continue\r\nX-A: ", "a"},
		"after an earlier answer": {"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nhi" + ok + "X-A: ", "a"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := &endlessConn{begin: c.begin, rest: c.rest}

			err := exchangeWith(conn)
			assert.Assert(t, errors.Is(err, dialer.ErrConnectionLost), "%v", err)
			assert.Assert(t, conn.closed)
			// An earlier answer has a head of its own.
			assert.Assert(t, conn.read <= len(c.begin)+headBound+readAhead, "%d bytes were read", conn.read)
		})
	}
}

// Guards against a server that takes a node's memory by what stands between the parts of a body.
func TestEndlessFramingOfABodyEndsAtItsBound(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"

	cases := map[string]struct{ begin, rest string }{
		"size of a chunk":      {chunked, "0"},
		"extension of a chunk": {chunked + "1;", "a"},
		"extensions of chunks": {chunked, "1;" + strings.Repeat("a", 1000) + "\r\na\r\n"},
		"trailer line":         {chunked + "0\r\nX-A: ", "a"},
		"trailer lines":        {chunked + "0\r\n", "X-A: a\r\n"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := &endlessConn{begin: c.begin, rest: c.rest}

			assert.Assert(t, exchangeWith(conn) != nil)
			assert.Assert(t, conn.closed)
			assert.Assert(t, conn.read <= len(c.begin)+headBound+readAhead, "%d bytes were read", conn.read)
		})
	}
}
