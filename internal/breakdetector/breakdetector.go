// Package breakdetector tells connections that broke from those that the other end closed. A response with neither a length nor chunks
// ends with its connection, and is whole only if that was closed.
package breakdetector

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Detector reads and writes one connection. The system reports a break once: if a write gets that error, a read beside it sees the end of
// the stream. The zero value is ready for use. It is safe for concurrent use.
//
// Lock order: writing is held during a write, which Read ends before it waits for it.
type Detector struct {
	writing sync.Mutex
	// err is the error of a write that shows a break; nil if there was none.
	err error
}

// Write writes to the connection.
func (d *Detector) Write(c net.Conn, p []byte) (int, error) {
	d.writing.Lock()
	defer d.writing.Unlock()

	n, err := c.Write(p)
	if isBreak(err) {
		d.err = err
	}

	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other end closed it, and ends a write in progress then.
func (d *Detector) Read(c net.Conn, p []byte) (int, error) {
	n, err := c.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}

	_ = c.SetWriteDeadline(time.Unix(1, 0))

	d.writing.Lock()
	defer d.writing.Unlock()

	if d.err != nil {
		return n, d.err
	}

	return n, err
}

// isBreak reports whether the error of a write shows that the connection broke before the other end closed it. After that end's close,
// the error is EPIPE.
func isBreak(err error) bool {
	return err != nil && !errors.IsAny(err, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed)
}
