package breakdetector_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/breakdetector"
)

// scriptedConn is a connection at the end of its stream. A write lasts until its deadline is set, and ends with an error.
type scriptedConn struct {
	net.Conn
	deadline chan struct{}
	err      error
}

// Read implements net.Conn.
func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *scriptedConn) Write([]byte) (int, error) {
	<-c.deadline

	return 0, &net.OpError{Op: "write", Err: c.err}
}

// SetWriteDeadline implements net.Conn.
func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)

	return nil
}

// Guards against the end of a stream that hides a break which only the write beside it learns of, and against one that is taken for a break
// since the other end closed, or since the read ended the write.
func TestEndOfAStreamBesideAWrite(t *testing.T) {
	for _, test := range []struct {
		err   error
		isEnd bool
	}{
		{err: os.NewSyscallError("write", syscall.ECONNRESET)},
		{err: os.NewSyscallError("write", syscall.ETIMEDOUT)},
		{err: os.NewSyscallError("write", syscall.EPIPE), isEnd: true},
		{err: os.ErrDeadlineExceeded, isEnd: true},
		{err: net.ErrClosed, isEnd: true},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &scriptedConn{deadline: make(chan struct{}), err: test.err}

				var detector breakdetector.Detector

				go func() { _, _ = detector.Write(c, []byte("x")) }()

				synctest.Wait()

				_, err := detector.Read(c, make([]byte, 1))
				assert.Equal(t, errors.Is(err, io.EOF), test.isEnd, "%v", err)
			})
		})
	}
}
