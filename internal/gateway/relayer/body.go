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

// defaultMaxBodyBytes is the maximum body size if the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// errBodyMemoryFull is returned when a body doesn't fit into the memory for request bodies.
var errBodyMemoryFull = errors.New("memory limit for request bodies reached")

// memoryReservation is the share of one body in the memory for all bodies that the node holds. If the body's length is known, memory
// is reserved before the body is read: counted afterwards, many slow bodies at once would exceed the limit.
type memoryReservation struct {
	used     *atomic.Int64
	limit    int64
	reserved int64
}

// newMemoryReservation returns an empty reservation in the memory for bodies.
func (r *Relayer) newMemoryReservation() memoryReservation {
	return memoryReservation{used: &r.bodyBytes, limit: r.options.MaxBodyMemory}
}

func (m *memoryReservation) reserve(bytes int64) bool {
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)

		return false
	}

	m.reserved += bytes

	return true
}

// growTo extends the reservation to the given number of bytes. It returns false, and changes nothing, if there is no memory left.
func (m *memoryReservation) growTo(bytes int64) bool {
	return bytes <= m.reserved || m.reserve(bytes-m.reserved)
}

func (m *memoryReservation) release() {
	m.releaseSome(m.reserved)
}

// releaseSome releases up to the given number of reserved bytes.
func (m *memoryReservation) releaseSome(bytes int64) {
	bytes = min(bytes, m.reserved)
	m.used.Add(-bytes)
	m.reserved -= bytes
}

// reservingReader reserves memory for the bytes it reads.
type reservingReader struct {
	io.Reader
	memory *memoryReservation
}

// Read implements io.Reader.
func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.memory.reserve(int64(n)) {
		return 0, errBodyMemoryFull
	}

	return n, err
}

// readBody reads the complete body, which a retry needs. Reading stops at the request's deadline: the caller would get
// no response in time, and bodies that never end would fill the memory.
func (r *Relayer) readBody(w http.ResponseWriter, accepted *request, limits cataloguer.Limits, incoming *http.Request) *classifier.Error {
	if incoming.ContentLength == 0 {
		return nil
	}

	maxBytes := limits.BodyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}

	if incoming.ContentLength > maxBytes {
		return classifier.New(classifier.BodyTooLarge, "the body has %d bytes; %d are taken", incoming.ContentLength, maxBytes)
	}

	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(accepted.deadline)

	endWait := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
	if !r.stop.beginWait(accepted.handled, accepted.attemptTimeout(), endWait) {
		return nodeLeaving()
	}

	body, err := readUpTo(incoming, maxBytes, accepted.bodyMemory)
	inTime := r.stop.finishWait(accepted.handled)

	switch {
	case !inTime:
		return nodeLeaving()
	case errors.Is(err, errBodyMemoryFull):
		return classifier.Wrap(err, classifier.NodeFull, "no room for the body").After(jitteredRetryAfter())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(err, classifier.SlowSender, "the body did not arrive in the request's time")
	case err != nil:
		return classifier.Wrap(err, classifier.SlowSender, "the body did not arrive")
	case int64(len(body)) > maxBytes:
		return classifier.New(classifier.BodyTooLarge, "the body is longer than %d bytes", maxBytes)
	}

	// The server continues to read in order to detect that the caller disconnects; an expired read deadline would look
	// like a disconnect.
	_ = controller.SetReadDeadline(time.Time{})
	accepted.body = body

	return nil
}

// readUpTo reads a body of known length, or at most maxBytes+1 bytes of a body of unknown length.
func readUpTo(incoming *http.Request, maxBytes int64, memory *memoryReservation) ([]byte, error) {
	if incoming.ContentLength < 0 {
		return io.ReadAll(reservingReader{Reader: io.LimitReader(incoming.Body, maxBytes+1), memory: memory})
	}

	if !memory.reserve(incoming.ContentLength) {
		return nil, errBodyMemoryFull
	}

	body := make([]byte, incoming.ContentLength)
	_, err := io.ReadFull(incoming.Body, body)

	return body, err
}

// headerBytes returns the approximate size of the request's header on the wire.
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
