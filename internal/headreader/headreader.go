// Package headreader bounds the heads of HTTP messages, which net/http's functions for single messages read without a bound, and the
// memory that the heads on all connections of a node take together.
//
// A head is all that stands before a body: interim answers, the start line, and header lines.
package headreader

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBytes is the longest head on a connection, up to a read buffer that belongs to the body.
	MaxBytes = 64 << 10
	// FreeBytes are those of each head that take no shared memory: they fit into the read buffer of the connection.
	FreeBytes = 4 << 10
	// memoryPerByte is the memory that one more byte of a head may take until the collector has run: the text that is
	// assembled in a growing buffer, and its parts.
	memoryPerByte = 4
)

var (
	// ErrTooLong means that a head is longer than its bound.
	ErrTooLong = errors.New("the head of the message is too long")
	// ErrNoMemory means that the heads of other messages take all memory that there is for them.
	ErrNoMemory = errors.New("long heads take all memory that is reserved for them")
)

// Memory is the memory that long heads on several connections share. It is safe for concurrent use.
type Memory struct {
	// limit is in bytes.
	limit int64
	used  atomic.Int64
	// tooLong counts heads that exceeded their bound, refused those that got no memory.
	tooLong, refused atomic.Int64
}

// Counters are statistics of long heads. UsedBytes is the current number, the others count since the start.
type Counters struct {
	UsedBytes  int64 `json:"used_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	TooLong    int64 `json:"too_long"`
	NoMemory   int64 `json:"no_memory"`
}

// NewMemory returns a memory of the given number of bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// Counters returns the statistics.
func (m *Memory) Counters() Counters {
	return Counters{UsedBytes: m.used.Load(), LimitBytes: m.limit, TooLong: m.tooLong.Load(), NoMemory: m.refused.Load()}
}

func (m *Memory) reserve(bytes int64) bool {
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)

		return false
	}

	return true
}

// Reservation is the share of one head in a memory. The zero Reservation has no memory and must not be used. It isn't safe for concurrent use.
type Reservation struct {
	memory   *Memory
	reserved int64
}

// NewReservation returns an empty reservation in the memory.
func NewReservation(memory *Memory) Reservation {
	return Reservation{memory: memory}
}

// Grow extends the reservation to a head of the given length. It returns false, and changes nothing, if there is no memory left.
func (r *Reservation) Grow(headBytes int) bool {
	needed := memoryPerByte*int64(headBytes-FreeBytes) - r.reserved
	if needed <= 0 {
		return true
	}

	if !r.memory.reserve(needed) {
		return false
	}

	r.reserved += needed

	return true
}

// Release returns the memory.
func (r *Reservation) Release() {
	r.memory.used.Add(-r.reserved)
	r.reserved = 0
}

// Reader reads a connection. Between Begin and End it returns at most the bytes of one head. It isn't safe for concurrent use.
type Reader struct {
	source      io.Reader
	maxBytes    int
	inHead      bool
	read        int
	reservation Reservation
	// failure ends the current head; nil while it may go on. It is kept, since a reader that got a part of a line reads on after an error.
	failure error
}

// New returns a reader of heads of at most maxBytes, which share the memory with others.
func New(source io.Reader, maxBytes int, memory *Memory) *Reader {
	return &Reader{source: source, maxBytes: maxBytes, reservation: NewReservation(memory)}
}

// Begin says that a head follows, and releases the memory of the one before.
func (r *Reader) Begin() {
	r.reservation.Release()
	r.inHead, r.read, r.failure = true, 0, nil
}

// End says that the head has been read. Its memory stays reserved.
func (r *Reader) End() {
	r.inHead = false
}

// Release says that the last head is no longer used.
func (r *Reader) Release() {
	r.inHead = false
	r.reservation.Release()
}

// Read implements io.Reader. It fails with ErrTooLong or ErrNoMemory while a head is read.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.source.Read(p)
	}

	if r.failure != nil {
		return 0, r.failure
	}

	p = p[:min(len(p), r.maxBytes-r.read)]
	memory := r.reservation.memory

	if free := FreeBytes - r.read; free > 0 {
		p = p[:min(len(p), free)]
	}

	if len(p) == 0 {
		memory.tooLong.Add(1)
		r.failure = ErrTooLong

		return 0, r.failure
	}

	if !r.reservation.Grow(r.read + len(p)) {
		memory.refused.Add(1)
		r.failure = ErrNoMemory

		return 0, r.failure
	}

	n, err := r.source.Read(p)
	r.read += n
	r.failure = err

	return n, err
}
