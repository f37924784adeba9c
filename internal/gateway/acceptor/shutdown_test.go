package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/headreader"
)

// Guards against a planned stop that resets connections as idle while a whole request lies unread in their socket.
func TestShutdownReadsWhatCallersHaveSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeouts := acceptor.Timeouts{Header: headerTimeout, Idle: time.Hour}
		a := acceptor.New(10, func() acceptor.Timeouts { return timeouts }, headreader.NewMemory(1<<20))
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		listener, ended := make(stoppableListener), make(chan struct{})

		go func() {
			defer close(ended)

			_ = a.Serve(server, listener)
		}()

		silent, silentEnd := net.Pipe()
		sending, sendingEnd := net.Pipe()
		partial, partialEnd := net.Pipe()

		for _, c := range []net.Conn{silentEnd, &unreadConn{Conn: sendingEnd}, partialEnd} {
			listener <- c
		}

		for _, c := range []net.Conn{silent, sending, partial} {
			assert.Check(t, get(t, c, "/"))
		}

		answered := make(chan error, 2)
		go func() { answered <- exchange(sending, 0, "GET / HTTP/1.1\r\nHost: a\r\nX-Held: 1\r\n\r\n") }()
		go func() { answered <- exchange(partial, time.Second, "GET / HTTP/1.1\r\n", "Host: a\r\n\r\n") }()

		time.Sleep(1500 * time.Millisecond)
		a.Shutdown(server)
		assert.Check(t, isClosed(t, silent))
		assert.Check(t, is.Equal(a.Busy(), 2))
		assert.Check(t, <-answered)
		assert.Check(t, <-answered)

		synctest.Wait()
		assert.Check(t, isClosed(t, sending))
		assert.Check(t, isClosed(t, partial))
		assert.Check(t, is.Equal(a.Busy(), 0))
		<-ended

		a.Close()
		assert.Check(t, server.Close())
	})
}

// stoppableListener is a listener of in-memory connections that can be closed.
type stoppableListener chan net.Conn

func (s stoppableListener) Accept() (net.Conn, error) { return pipeListener(s).Accept() }
func (s stoppableListener) Addr() net.Addr            { return &net.TCPAddr{} }

func (s stoppableListener) Close() error {
	close(s)

	return nil
}

// starvedListener is the listener of a process that accepts nothing before it is about to stop.
type starvedListener struct {
	*net.TCPListener
	stopping chan struct{}
	stop     func()
}

func (s *starvedListener) Accept() (net.Conn, error) {
	<-s.stopping

	return s.TCPListener.Accept()
}

func (s *starvedListener) SetDeadline(at time.Time) error {
	defer s.stop()

	return s.TCPListener.SetDeadline(at)
}

func (s *starvedListener) Close() error {
	defer s.stop()

	return s.TCPListener.Close()
}

// Guards against a planned stop that resets connections which wait to be accepted, with the requests that their callers have sent.
func TestShutdownAcceptsWhatWaits(t *testing.T) {
	socket, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)

	stopping := make(chan struct{})
	listener := &starvedListener{TCPListener: socket, stopping: stopping, stop: sync.OnceFunc(func() { close(stopping) })}
	timeouts := acceptor.Timeouts{Header: headerTimeout, Idle: time.Hour}
	a := acceptor.New(10, func() acceptor.Timeouts { return timeouts }, headreader.NewMemory(1<<20))
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	ended := make(chan error, 1)

	caller, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)

	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)

	go func() { ended <- a.Serve(server, listener) }()

	for !a.IsServing() {
		runtime.Gosched()
	}

	a.Shutdown(server)
	assert.Check(t, exchange(caller, 0))
	assert.Check(t, is.ErrorIs(<-ended, http.ErrServerClosed))

	a.Close()
	assert.Check(t, server.Close())
}
