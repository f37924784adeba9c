package process_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// proxy passes TCP connections on and can lose track of them, as something
// between two ends does: what is open goes silent for good, new connections work.
type proxy struct {
	listener net.Listener
	// datagrams listens on the same port, for probes.
	datagrams *net.UDPConn
	target    string

	mu sync.Mutex
	// refuses says which senders' datagrams are lost; nil means none.
	refuses func(sender string) bool
	// open are all connections since the start.
	open []*link
	// lost is what new connections lose as well.
	lost direction
}

// direction says which bytes of a connection get lost.
type direction struct {
	toTarget, fromTarget bool
}

// link is one connection through a proxy.
type link struct {
	caller, target net.Conn
	// loseToTarget and loseFromTarget drop what comes, the end of the connection too.
	loseToTarget, loseFromTarget atomic.Bool
}

// newProxy listens before a target until the test ends.
func newProxy(tb testing.TB, target string) *proxy {
	tb.Helper()

	address := freeAddress(tb)
	listener, err := net.Listen("tcp", address)
	assert.NilError(tb, err)

	at, err := net.ResolveUDPAddr("udp", address)
	assert.NilError(tb, err)

	datagrams, err := net.ListenUDP("udp", at)
	assert.NilError(tb, err)

	p := &proxy{listener: listener, datagrams: datagrams, target: target}

	go p.accept()
	go p.relay()
	tb.Cleanup(p.close)

	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}

		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()

			continue
		}

		l := &link{caller: caller, target: target}

		p.mu.Lock()
		l.lose(p.lost)
		p.open = append(p.open, l)
		p.mu.Unlock()

		go pass(target, caller, &l.loseToTarget)
		go pass(caller, target, &l.loseFromTarget)
	}
}

func (l *link) lose(d direction) {
	l.loseToTarget.Store(d.toTarget)
	l.loseFromTarget.Store(d.fromTarget)
}

// pass copies one direction; once it is lost, the receiver hears nothing, not even of the end.
func pass(to, from net.Conn, lost *atomic.Bool) {
	buffer := make([]byte, 32<<10)

	for {
		count, err := from.Read(buffer)
		if lost.Load() {
			if err != nil {
				return
			}

			continue
		}

		if _, failed := to.Write(buffer[:count]); failed != nil || err != nil {
			_ = to.Close()
			_ = from.Close()

			return
		}
	}
}

// relay passes datagrams on, each caller's from a socket of its own, so that answers find their way.
func (p *proxy) relay() {
	sockets := map[netip.AddrPort]net.Conn{}
	buffer := make([]byte, 64<<10)

	for {
		count, from, err := p.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			break
		}

		if sockets[from] == nil {
			socket, err := net.Dial("udp", p.target)
			if err != nil {
				continue
			}

			sockets[from] = socket

			go p.relayBack(socket, from)
		}

		if !p.dropsFrom(from) {
			_, _ = sockets[from].Write(buffer[:count])
		}
	}

	for _, socket := range sockets {
		_ = socket.Close()
	}
}

func (p *proxy) relayBack(socket net.Conn, to netip.AddrPort) {
	buffer := make([]byte, 64<<10)

	for {
		count, err := socket.Read(buffer)

		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err == nil && !p.losing().fromTarget:
			_, _ = p.datagrams.WriteToUDPAddrPort(buffer[:count], to)
		}
	}
}

// refuseFrom loses the datagrams of the senders that the function names, beside what is lost anyway.
func (p *proxy) refuseFrom(refuses func(sender string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.refuses = refuses
}

func (p *proxy) dropsFrom(sender netip.AddrPort) bool {
	p.mu.Lock()
	lost, refuses := p.lost.toTarget, p.refuses
	p.mu.Unlock()

	return lost || refuses != nil && refuses(sender.String())
}

func (p *proxy) losing() direction {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.lost
}

// forget makes all open connections lose what goes in the direction; new ones work.
func (p *proxy) forget(d direction) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, l := range p.open {
		l.lose(d)
	}
}

// cut makes open and new connections lose what goes in the direction, until mend.
func (p *proxy) cut(d direction) {
	p.forget(d)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.lost = d
}

// mend lets new connections work; those that lost bytes stay silent.
func (p *proxy) mend() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.lost = direction{}
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	_ = p.listener.Close()
	_ = p.datagrams.Close()

	for _, l := range p.open {
		for _, conn := range []io.Closer{l.caller, l.target} {
			_ = conn.Close()
		}
	}
}

var bothWays = direction{toTarget: true, fromTarget: true}
