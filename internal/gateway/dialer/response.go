package dialer

import (
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// Response is a response whose header has been read. The caller must call Close.
type Response struct {
	*http.Response
	conn         *conn
	dialer       *Dialer
	upstream     Upstream
	stopWatching func() bool
	bodyComplete bool
	// requestPending reports whether the request has not been written completely.
	requestPending func() bool
}

// Close ends the exchange. The connection is reused only if the response was read and the request written
// completely, neither end wants to close it, and no further bytes have arrived.
func (r *Response) Close() {
	stopped := r.stopWatching()
	r.conn.head.Release()

	if !stopped || !r.bodyComplete || r.Response.Close || r.requestPending() || r.conn.buffered() > 0 {
		_ = r.conn.Close()

		return
	}

	r.dialer.keepIdle(r.upstream.ID, r.conn, idleTimeout(r.Header.Get("Keep-Alive")))
}

// bodyReader records when a body has been read completely.
type bodyReader struct {
	response *Response
	body     io.ReadCloser
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)

	switch {
	case errors.Is(err, io.EOF):
		b.response.bodyComplete = true
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.Mark(err, ErrConnectionLost)
	}

	return n, err
}

// Close implements io.Closer. It does nothing, since Response.Close handles the connection.
func (b *bodyReader) Close() error { return nil }
