package tunneler

import (
	"io"
	"net"
	"sync"
	"time"
)

// tunnelPrefix are the first bytes of a connection for a tunnel, those of the method CONNECT. A message of a peer starts
// with its length, which is followed by a brace.
const tunnelPrefix = "CO"

// Split returns a listener for the connections of the listener that carry messages, and one for those for tunnels. Closing
// one of them closes both.
func Split(listener net.Listener) (messages, tunnels net.Listener) {
	s := &splitter{listener: listener, closed: make(chan struct{})}
	s.messages = &branch{splitter: s, conns: make(chan net.Conn)}
	s.tunnels = &branch{splitter: s, conns: make(chan net.Conn)}

	go s.run()

	return s.messages, s.tunnels
}

// splitter accepts connections and passes each to the branch for its first bytes.
type splitter struct {
	listener          net.Listener
	messages, tunnels *branch
	closeOnce         sync.Once
	// closed is closed when no more connections are accepted; err says why.
	closed chan struct{}
	err    error
}

func (s *splitter) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.close(err)

			return
		}

		go s.pass(conn)
	}
}

// pass passes a connection to its branch.
func (s *splitter) pass(conn net.Conn) {
	first := make([]byte, len(tunnelPrefix))
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))

	if _, err := io.ReadFull(conn, first); err != nil {
		_ = conn.Close()

		return
	}

	_ = conn.SetReadDeadline(time.Time{})

	target := s.messages
	if string(first) == tunnelPrefix {
		target = s.tunnels
	}

	select {
	case target.conns <- &startedConn{Conn: conn, first: first}:
	case <-s.closed:
		_ = conn.Close()
	}
}

func (s *splitter) close(err error) {
	s.closeOnce.Do(func() {
		s.err = err
		_ = s.listener.Close()
		close(s.closed)
	})
}

// branch is the listener for one kind of connections.
type branch struct {
	splitter *splitter
	conns    chan net.Conn
}

// Accept implements net.Listener.
func (b *branch) Accept() (net.Conn, error) {
	select {
	case conn := <-b.conns:
		return conn, nil
	case <-b.splitter.closed:
		return nil, b.splitter.err
	}
}

// Close implements net.Listener.
func (b *branch) Close() error {
	b.splitter.close(net.ErrClosed)

	return nil
}

// Addr implements net.Listener.
func (b *branch) Addr() net.Addr {
	return b.splitter.listener.Addr()
}

// startedConn is a connection of which the first bytes have been read.
type startedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *startedConn) Read(p []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(p, c.first)
		c.first = c.first[n:]

		return n, nil
	}

	return c.Conn.Read(p)
}
