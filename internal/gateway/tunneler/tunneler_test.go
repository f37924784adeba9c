package tunneler_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/tunneler"
	"quincepath.example/quincepath/internal/messenger"
)

// upstreamID is the ID of the only listed upstream.
const upstreamID = "u"

// carrier is a node that carries tunnels.
type carrier struct {
	*tunneler.Tunneler
	address string
	// messages accepts the connections that aren't for tunnels.
	messages net.Listener
	stop     context.CancelFunc
}

// listen returns a listener on loopback that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	return listener
}

// startUpstream starts an upstream that calls handle for each connection.
func startUpstream(t *testing.T, handle func(conn *net.TCPConn)) dialer.Upstream {
	t.Helper()

	listener := listen(t)

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go handle(conn.(*net.TCPConn))
		}
	}()

	return dialer.Upstream{ID: upstreamID, Address: listener.Addr().String()}
}

// options returns the options of a node that may reach the upstream.
func options(upstream dialer.Upstream) tunneler.Options {
	return tunneler.Options{
		Self:       "n1",
		Credential: "secret",
		MaxTunnels: 8,
		Dial: func(ctx context.Context, upstream dialer.Upstream) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", upstream.Address)
		},
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		},
		Accepted:  func(net.Conn) {},
		IsListed:  func(u dialer.Upstream) bool { return u == upstream },
		IsLeaving: func() bool { return false },
		Logger:    zerolog.Nop(),
	}
}

func startCarrier(t *testing.T, o tunneler.Options) *carrier {
	t.Helper()

	ctx, stop := context.WithCancel(context.Background())
	listener := listen(t)
	c := &carrier{Tunneler: tunneler.New(o), address: listener.Addr().String(), stop: stop}

	var tunnels net.Listener

	c.messages, tunnels = tunneler.Split(listener)
	ended := make(chan error, 1)

	go func() { ended <- c.Run(ctx, tunnels) }()

	t.Cleanup(func() {
		stop()
		assert.Check(t, <-ended)
	})

	return c
}

// connect opens a tunnel with the options of the node that asks for it.
func connect(o tunneler.Options, c *carrier, upstream dialer.Upstream) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	return tunneler.New(o).Connect(ctx, c.address, upstream)
}

func echo(conn *net.TCPConn) {
	defer conn.Close()

	_, _ = io.Copy(conn, conn)
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	upstream := startUpstream(t, echo)
	c := startCarrier(t, options(upstream))
	tunnel, err := connect(options(upstream), c, upstream)
	assert.NilError(t, err)

	defer tunnel.Close()

	sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)

	go func() { _, _ = tunnel.Write(sent) }()

	received := make([]byte, len(sent))
	_, err = io.ReadFull(tunnel, received)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(sent, received))
	assert.Equal(t, c.Counters().Accepted, int64(1))
	assert.Equal(t, c.Open(), int64(1))
}

// Guards against a response without a length that looks complete although its upstream or the peer broke off.
func TestOnlyTheUpstreamsCloseEndsATunnelCleanly(t *testing.T) {
	finish := make(chan struct{})
	respond := func(end func(conn *net.TCPConn)) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "answer")
			<-finish
			end(conn)
		}
	}

	cases := []struct {
		name  string
		end   func(conn *net.TCPConn)
		stop  bool
		clean bool
	}{
		{name: "closed", end: func(conn *net.TCPConn) { _ = conn.Close() }, clean: true},
		{name: "reset", end: func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() }},
		{name: "peer stopped", end: func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }, stop: true},
	}

	type waiting struct {
		tunnel net.Conn
		c      *carrier
	}

	opened := make([]waiting, len(cases))

	for i, test := range cases {
		upstream := startUpstream(t, respond(test.end))
		c := startCarrier(t, options(upstream))
		tunnel, err := connect(options(upstream), c, upstream)
		assert.NilError(t, err)
		_, err = io.ReadFull(tunnel, make([]byte, len("answer")))
		assert.NilError(t, err)

		opened[i] = waiting{tunnel: tunnel, c: c}
	}

	close(finish)

	for i, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if test.stop {
				opened[i].c.stop()
			}

			_, err := io.ReadAll(opened[i].tunnel)
			assert.Equal(t, err == nil, test.clean, "%v", err)
			assert.NilError(t, opened[i].tunnel.Close())
		})
	}
}

// Guards against a peer that takes a reset of the upstream for its close, as the error went to the write of the request: a response without
// a length would look complete to the node. A close while the request is written stays one.
func TestResetWhileTheRequestIsCarriedIsNoClose(t *testing.T) {
	const begin, tries = "ans", 100

	for _, test := range []struct {
		name  string
		end   func(conn *net.TCPConn)
		clean int
	}{
		{name: "reset", end: func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() }},
		{name: "closed", end: func(conn *net.TCPConn) { _ = conn.CloseWrite() }, clean: tries},
	} {
		t.Run(test.name, func(t *testing.T) {
			end := make(chan struct{})
			upstream := startUpstream(t, func(conn *net.TCPConn) {
				defer conn.Close()

				_, _ = io.WriteString(conn, begin)
				<-end
				test.end(conn)
				<-t.Context().Done()
			})

			o := options(upstream)
			o.MaxTunnels = tries
			o.Dial = dialer.New(2 * tries).OpenForPeer
			c := startCarrier(t, o)
			request := bytes.Repeat([]byte("x"), 16<<20)
			clean := 0

			for range tries {
				tunnel, err := connect(o, c, upstream)
				assert.NilError(t, err)

				go func() { _, _ = tunnel.Write(request) }()

				_, err = io.ReadFull(tunnel, make([]byte, len(begin)))
				assert.NilError(t, err)

				end <- struct{}{}

				if _, err := io.ReadAll(tunnel); err == nil {
					clean++
				}

				assert.NilError(t, tunnel.Close())
			}

			assert.Equal(t, clean, test.clean, "of %d tunnels", tries)
		})
	}
}

// Guards against an upstream that works on for a caller that is gone: the node closes its end of the tunnel.
func TestUpstreamConnectionClosesWithTheTunnel(t *testing.T) {
	closed := make(chan struct{})
	upstream := startUpstream(t, func(conn *net.TCPConn) {
		defer conn.Close()

		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	c := startCarrier(t, options(upstream))
	tunnel, err := connect(options(upstream), c, upstream)
	assert.NilError(t, err)

	_, err = io.WriteString(tunnel, "request")
	assert.NilError(t, err)
	assert.NilError(t, tunnel.Close())
	<-closed
}

// Guards against a lost response of an upstream that answers and closes before it has read a long request.
func TestEarlyResponseIsCarried(t *testing.T) {
	upstream := startUpstream(t, func(conn *net.TCPConn) {
		defer conn.Close()

		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, "early")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	c := startCarrier(t, options(upstream))
	tunnel, err := connect(options(upstream), c, upstream)
	assert.NilError(t, err)

	defer tunnel.Close()

	go func() { _, _ = tunnel.Write(make([]byte, 16<<20)) }()

	response, err := io.ReadAll(tunnel)
	assert.NilError(t, err)
	assert.Equal(t, string(response), "early")
}

// Guards against an open relay: tunnels are only for nodes that know the credential, and only to listed upstreams.
func TestRefusedTunnels(t *testing.T) {
	upstream := startUpstream(t, echo)
	other := startUpstream(t, echo)
	closedListener := listen(t)
	assert.NilError(t, closedListener.Close())
	gone := dialer.Upstream{ID: upstreamID, Address: closedListener.Addr().String()}

	cases := []struct {
		name string
		// change changes the options of the peer, asking those of the node that asks.
		change, asking func(o *tunneler.Options)
		target         dialer.Upstream
		reason         string
		// blamesUpstream is true if the error says something about the upstream.
		blamesUpstream bool
	}{
		{name: "node without the credential", target: upstream, asking: func(o *tunneler.Options) { o.Credential = "guess" }, reason: "credential"},
		{name: "peer without the credential", target: upstream, change: func(o *tunneler.Options) { o.Credential = "guess" }, reason: "credential"},
		{name: "other address", target: dialer.Upstream{ID: upstreamID, Address: other.Address}, reason: "403"},
		{name: "other ID", target: dialer.Upstream{ID: "other", Address: upstream.Address}, reason: "403"},
		{name: "leaving", target: upstream, change: func(o *tunneler.Options) { o.IsLeaving = func() bool { return true } }, reason: "503"},
		{name: "too many", target: upstream, change: func(o *tunneler.Options) { o.MaxTunnels = 0 }, reason: "503"},
		{
			name: "peer cut off too", target: upstream, reason: "503",
			change: func(o *tunneler.Options) {
				o.Dial = func(context.Context, dialer.Upstream) (net.Conn, error) { return nil, dialer.ErrPathLost }
			},
		},
		{
			name: "upstream down", target: gone, reason: "502", blamesUpstream: true,
			change: func(o *tunneler.Options) { o.IsListed = func(dialer.Upstream) bool { return true } },
		},
	}

	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			peer, node := options(upstream), options(upstream)
			if test.change != nil {
				test.change(&peer)
			}

			if test.asking != nil {
				test.asking(&node)
			}

			c := startCarrier(t, peer)
			_, err := connect(node, c, test.target)
			assert.ErrorContains(t, err, test.reason)
			assert.Equal(t, errors.Is(err, dialer.ErrPeerUnavailable), !test.blamesUpstream)
			assert.Equal(t, c.Counters().Accepted, int64(0))
		})
	}
}

// Guards against a proof that is used again: each connection has a challenge of its own.
func TestProofOfAnotherConnectionIsRefused(t *testing.T) {
	upstream := startUpstream(t, echo)
	c := startCarrier(t, options(upstream))

	recorded := new(bytes.Buffer)
	recording := options(upstream)
	recording.DialPeer = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)

		return &recordingConn{Conn: conn, sent: recorded}, err
	}

	tunnel, err := connect(recording, c, upstream)
	assert.NilError(t, err)
	assert.NilError(t, tunnel.Close())

	replay, err := net.Dial("tcp", c.address)
	assert.NilError(t, err)

	defer replay.Close()

	_, err = replay.Write(recorded.Bytes())
	assert.NilError(t, err)

	answers, err := io.ReadAll(replay)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(answers), " 407 "), 2)
	assert.Equal(t, c.Counters().Accepted, int64(1))
	assert.Equal(t, c.Counters().Unproven, int64(1))
}

// recordingConn records what is sent.
type recordingConn struct {
	net.Conn
	sent *bytes.Buffer
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.sent.Write(p)

	return c.Conn.Write(p)
}

// Guards against messages of peers that are lost or held up by tunnels and silent connections at the same port.
func TestMessagesAndTunnelsShareAListener(t *testing.T) {
	upstream := startUpstream(t, echo)
	c := startCarrier(t, options(upstream))

	silent, err := net.Dial("tcp", c.address)
	assert.NilError(t, err)

	defer silent.Close()

	for _, message := range []string{"C{not a tunnel", "\x80\x01{"} {
		peer, err := net.Dial("tcp", c.address)
		assert.NilError(t, err)
		_, err = io.WriteString(peer, message)
		assert.NilError(t, err)

		accepted, err := c.messages.Accept()
		assert.NilError(t, err)
		assert.NilError(t, peer.Close())

		received, err := io.ReadAll(accepted)
		assert.NilError(t, err)
		assert.Equal(t, string(received), message)
		assert.NilError(t, accepted.Close())
	}

	tunnel, err := connect(options(upstream), c, upstream)
	assert.NilError(t, err)
	assert.NilError(t, tunnel.Close())

	assert.NilError(t, c.messages.Close())
	_, err = c.messages.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}

// Guards against requests that wait for a peer that runs a program without tunnels, as in a rolling upgrade.
func TestPeerWithoutTunnelsIsNoHelp(t *testing.T) {
	upstream := startUpstream(t, echo)
	listener := listen(t)
	peer := messenger.New(messenger.Options{Self: "old", Credential: "secret", Logger: zerolog.Nop()})

	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- peer.Run(ctx, listener) }()

	_, err := connect(options(upstream), &carrier{address: listener.Addr().String()}, upstream)
	assert.Assert(t, errors.Is(err, dialer.ErrPeerUnavailable))
	assert.ErrorContains(t, err, "ask peer for a tunnel")
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded))
	stop()
	assert.NilError(t, <-ended)
}

// Guards against a peer whose answer to a request for a tunnel takes a node's memory, as its head never ends.
func TestEndlessAnswerOfAPeerEndsAtItsBound(t *testing.T) {
	const (
		// headBound is the most that may be read of a head, endlessBytes ends what the peer sends.
		headBound    = 16<<10 + 4<<10
		endlessBytes = 8 << 20
	)

	for name, begin := range map[string]string{"status line": "HTTP/1.1 407 ", "header line": "HTTP/1.1 407 Denied\r\nX-A: ", "no line": ""} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()

			sent := make(chan int, 1)

			go func() {
				_, _ = bufio.NewReader(far).ReadString('\n')

				// The rest of the request must not block the node.
				go func() { _, _ = io.Copy(io.Discard, far) }()

				count, err := io.WriteString(far, begin)
				for n := 0; err == nil && count < endlessBytes; count += n {
					n, err = io.WriteString(far, "xxxxxxxxxxxxxxxx")
				}

				sent <- count
				_ = far.Close()
			}()

			o := options(dialer.Upstream{ID: upstreamID, Address: "10.0.0.1:80"})
			o.DialPeer = func(context.Context, string) (net.Conn, error) { return near, nil }

			_, err := tunneler.New(o).Connect(context.Background(), "peer", dialer.Upstream{ID: upstreamID, Address: "10.0.0.1:80"})
			assert.Assert(t, errors.Is(err, dialer.ErrPeerUnavailable), "%v", err)

			count := <-sent
			assert.Assert(t, count <= headBound, "%d bytes were read", count)
		})
	}
}
