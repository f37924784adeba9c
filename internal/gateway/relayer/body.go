package relayer

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/pkg/classifier"
)

// defaultBody bounds a body while the configuration names no bound.
const defaultBody = 4 << 20

// errNoMemory says that the node holds as many bytes of bodies as it may.
var errNoMemory = errors.New("the node holds as many bytes as it may")

// reservation is the memory that one body takes of what all bodies may take together. It is taken before
// the bytes are read: counted afterwards, many slow bodies at once would pass the bound.
type reservation struct {
	total *atomic.Int64
	most  int64
	bytes int64
}

func (v *reservation) take(bytes int64) bool {
	if v.total.Add(bytes) > v.most {
		v.total.Add(-bytes)

		return false
	}

	v.bytes += bytes

	return true
}

func (v *reservation) release() {
	v.total.Add(-v.bytes)
	v.bytes = 0
}

// reservingReader reserves memory for the bytes that it reads.
type reservingReader struct {
	io.Reader
	held *reservation
}

// Read implements io.Reader.
func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.held.take(int64(n)) {
		return 0, errNoMemory
	}

	return n, err
}

// readBody reads the whole body, which is needed to send it again. A body that comes too slowly is cut off when the
// request's time is over: its caller would get no answer in time, and bodies that never end would fill the memory.
func (r *Relayer) readBody(w http.ResponseWriter, accepted *request, limits cataloguer.Limits, incoming *http.Request) *classifier.Error {
	if incoming.ContentLength == 0 {
		return nil
	}

	bound := limits.BodyBytes
	if bound == 0 {
		bound = defaultBody
	}

	if incoming.ContentLength > bound {
		return classifier.New(classifier.BodyTooLarge, "the body has %d bytes; %d are taken", incoming.ContentLength, bound)
	}

	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(accepted.limit)

	body, err := readBytes(incoming, bound, accepted.held)

	switch {
	case errors.Is(err, errNoMemory):
		return classifier.Wrap(err, classifier.NodeFull, "no room for the body").After(later())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(err, classifier.SlowSender, "the body did not arrive in the request's time")
	case err != nil:
		return classifier.Wrap(err, classifier.SlowSender, "the body did not arrive")
	case int64(len(body)) > bound:
		return classifier.New(classifier.BodyTooLarge, "the body is longer than %d bytes", bound)
	}

	// The server goes on reading to notice that the caller leaves; the deadline would look like that.
	_ = controller.SetReadDeadline(time.Time{})
	accepted.body = body

	return nil
}

// readBytes reads a body of known length, or else one byte more than the bound at most.
func readBytes(incoming *http.Request, bound int64, held *reservation) ([]byte, error) {
	if incoming.ContentLength < 0 {
		return io.ReadAll(reservingReader{Reader: io.LimitReader(incoming.Body, bound+1), held: held})
	}

	if !held.take(incoming.ContentLength) {
		return nil, errNoMemory
	}

	body := make([]byte, incoming.ContentLength)
	_, err := io.ReadFull(incoming.Body, body)

	return body, err
}

// headerBytes is about the size of the request's header as it came.
func headerBytes(incoming *http.Request) int {
	const separators = len(": \r\n")

	size := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Proto) + separators
	for name, values := range incoming.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}

	return size
}
