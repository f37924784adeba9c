package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/refuser"
	"quincepath.example/quincepath/pkg/classifier"
)

// refusalLimit bounds the writing of a refusal to a caller that takes no bytes.
const refusalLimit = time.Second

// callerListener makes connections on which also those refusals have a numbered
// result that the HTTP library writes, or leaves out, before any handler runs.
//
// The library ends a connection whose headers are too large with a plain text,
// and one whose headers don't come in time without a word. A caller would see
// a broken connection and could not tell it from a node that died: it would
// try the same again on every node.
type callerListener struct {
	net.Listener

	node *Node
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &callerConn{Conn: conn, node: l.node}, nil
}

// callerConn is one caller's connection.
type callerConn struct {
	net.Conn

	node *Node
	// serving is set from the call of a handler until its answer was written.
	serving atomic.Bool
	// begun is set when bytes came since the last answer.
	begun atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if count > 0 {
		c.begun.Store(true)
	}

	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && c.begun.Load() && !c.serving.Load() {
		c.refuse(classifier.New(classifier.SlowSender, "the headers did not arrive in time"))
	}

	return count, err
}

// Write implements net.Conn. What is written while no handler runs is the library's own refusal.
func (c *callerConn) Write(data []byte) (int, error) {
	if c.serving.Load() {
		return c.Conn.Write(data)
	}

	if bytes.HasPrefix(data, []byte("HTTP/1.1 "+strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge))) {
		c.refuse(classifier.New(classifier.HeadersTooLarge, "the headers are larger than %d bytes", maxHeaderBytes))
	} else {
		c.refuse(classifier.New(classifier.InvalidRequest, "the request is not HTTP/1.1: %s", bytes.TrimSpace(lastLine(data))))
	}

	return len(data), nil
}

// CloseWrite lets the library close gracefully, so that a refusal is not lost when the caller still sends.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}

	return nil
}

func lastLine(data []byte) []byte {
	return data[bytes.LastIndexByte(data, '\n')+1:]
}

// refuse counts and logs the refusal and writes it as the connection's last answer.
func (c *callerConn) refuse(failure *classifier.Error) {
	c.node.noteRefusal("", failure)

	body, err := json.Marshal(refuser.New("", failure))
	if err != nil {
		return
	}

	status := classifier.Describe(failure.Code).Status

	var answer bytes.Buffer

	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), headerResult, failure.Code, headerRan, failure.Ran, len(body), body)

	// The connection ends in any case; a failed write means that the caller is gone already.
	_ = c.SetWriteDeadline(time.Now().Add(refusalLimit))
	_, _ = c.Conn.Write(answer.Bytes())
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// keepConn hands a connection to the handlers of its requests.
func keepConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markServing tells the connection that what is written from now on is a handler's answer.
func markServing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			conn.serving.Store(true)
		}

		next.ServeHTTP(w, r)
	})
}

// followState ends the mark when an answer was written whole.
func followState(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok && state == http.StateIdle {
		caller.begun.Store(false)
		caller.serving.Store(false)
	}
}
