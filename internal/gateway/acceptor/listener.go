package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quincepath.example/quincepath/internal/headreader"
)

const (
	// maxDrainTime bounds the time in which a listener that stops accepts the connections that wait.
	maxDrainTime = time.Second
	// drainAcceptTimeout is the time limit for accepting one of them.
	drainAcceptTimeout = 100 * time.Millisecond
)

// socketListener is a listener whose waiting connections can be accepted before it is closed.
type socketListener interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// trackingListener wraps the connections of a listener so that the acceptor can track them.
type trackingListener struct {
	net.Listener
	acceptor *Acceptor
	// close closes the listener once.
	close func() error

	isDraining atomic.Bool
	// endDrain closes drained, once no connection waits any more.
	endDrain func()
	drained  chan struct{}
}

func newTrackingListener(listener net.Listener, a *Acceptor) *trackingListener {
	w := &trackingListener{Listener: listener, acceptor: a, close: sync.OnceValue(listener.Close), drained: make(chan struct{})}
	w.endDrain = sync.OnceFunc(func() { close(w.drained) })

	return w
}

// Accept implements net.Listener.
func (w *trackingListener) Accept() (net.Conn, error) {
	for {
		if socket, ok := w.Listener.(socketListener); ok && w.isDraining.Load() {
			if !hasWaiting(socket) {
				w.endDrain()

				return nil, net.ErrClosed
			}

			_ = socket.SetDeadline(time.Now().Add(drainAcceptTimeout))
		}

		c, err := w.Listener.Accept()

		switch {
		case err == nil:
			return &connection{Conn: c, acceptor: w.acceptor, phase: active, headMemory: headreader.NewReservation(w.acceptor.headMemory)}, nil
		case !w.isDraining.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}

// Close implements net.Listener. Both Shutdown and the server call it.
func (w *trackingListener) Close() error {
	return w.close()
}

// drain closes the listener once the connections that wait have been accepted: the system resets those that still wait then, with the
// requests that their callers have sent.
func (w *trackingListener) drain() {
	if socket, ok := w.Listener.(socketListener); ok {
		w.isDraining.Store(true)
		// Wakes Accept.
		_ = socket.SetDeadline(time.Now())

		select {
		case <-w.drained:
		case <-time.After(maxDrainTime):
		}
	}

	_ = w.Close()
}

// hasWaiting reports whether a connection waits to be accepted.
func hasWaiting(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}

	waiting := 0

	err = raw.Control(func(descriptor uintptr) {
		waiting, _ = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
	})

	return err == nil && waiting > 0
}
