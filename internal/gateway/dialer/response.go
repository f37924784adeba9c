package dialer

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Response is an answer whose header was read. Close must be called.
type Response struct {
	*http.Response
	conn     *conn
	dialer   *Dialer
	target   Upstream
	stop     func() bool
	complete bool
	// unwritten says that the answer came before the request was sent whole.
	unwritten func() bool
}

// Close ends the exchange. The connection is kept only when the answer was read whole, the
// request was sent whole, and neither end wants to close it.
func (r *Response) Close() {
	stopped := r.stop()

	if !stopped || !r.complete || r.Response.Close || r.unwritten() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()

		return
	}

	r.conn.until = time.Now().Add(keepTime(r.Header.Get("Keep-Alive")))
	r.dialer.keep(r.target.ID, r.conn)
}

// bodyReader notes the sound end of a body.
type bodyReader struct {
	response *Response
	body     io.ReadCloser
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)

	switch {
	case errors.Is(err, io.EOF):
		b.response.complete = true
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.Mark(err, ErrConnectionLost)
	}

	return n, err
}

// Close implements io.Closer; the connection is closed with the response.
func (b *bodyReader) Close() error { return nil }
