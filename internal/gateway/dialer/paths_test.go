package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

// way is how a node, or a peer, reaches an upstream.
type way int

const (
	wayOpen way = iota
	wayRefused
	wayHanging
	// waySlow works after slowConnectTime.
	waySlow
	// wayRefusedLate is that of a peer that reaches others when a connect to the upstream hangs.
	wayRefusedLate
	// wayUnavailable is that of a peer that can't help.
	wayUnavailable
)

// connectTime is how long a connect takes where it works, slowConnectTime where it is slow, peerDialTime how long a peer waits
// for an upstream.
const (
	connectTime     = time.Millisecond
	slowConnectTime = 390 * time.Millisecond
	peerDialTime    = 200 * time.Millisecond
)

// network is a network of one node, its peers and upstreams without sockets. It implements dialer.Detour.
type network struct {
	near, far []string

	mu sync.Mutex
	// direct holds how the node reaches the upstreams that it doesn't reach well, by ID; all is for those that direct lacks.
	direct map[string]way
	all    way
	// peers holds the same for peers, by peer.
	peers map[string]way
	// dials counts the direct connects by upstream, connects those through peers.
	dials    map[string]int
	connects map[string]int
	// open is the number of connections that the node hasn't closed.
	open int
}

func newNetwork(near, far []string) (*network, *dialer.Dialer) {
	n := &network{
		near: near, far: far,
		direct: make(map[string]way), peers: make(map[string]way), dials: make(map[string]int), connects: make(map[string]int),
	}

	d := dialer.New(1000)
	d.Detour = n
	d.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		n.dials[address]++
		how, ok := n.direct[address]

		if !ok {
			how = n.all
		}
		n.mu.Unlock()

		return n.connect(ctx, how)
	}

	return n, d
}

// Peers implements dialer.Detour.
func (n *network) Peers() (near, far []string) { return n.near, n.far }

// Connect implements dialer.Detour.
func (n *network) Connect(ctx context.Context, peer string, _ dialer.Upstream) (net.Conn, error) {
	n.mu.Lock()
	n.connects[peer]++
	how := n.peers[peer]
	n.mu.Unlock()

	conn, err := n.connect(ctx, how)
	if err != nil && how == wayHanging {
		err = errors.Mark(err, dialer.ErrPeerUnavailable)
	}

	return conn, err
}

func (n *network) connect(ctx context.Context, how way) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()

	if how == wayHanging {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	delay := connectTime

	switch how {
	case waySlow:
		delay = slowConnectTime
	case wayRefusedLate:
		delay = peerDialTime
	default:
	}

	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}

	switch how {
	case wayRefused, wayRefusedLate:
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	case wayUnavailable:
		return nil, errors.Mark(errors.New("unavailable"), dialer.ErrPeerUnavailable)
	default:
	}

	node, upstream := net.Pipe()

	n.mu.Lock()
	defer n.mu.Unlock()

	n.open++

	go n.respond(upstream)

	return node, nil
}

// respond answers requests on a connection until the node closes it.
func (n *network) respond(conn net.Conn) {
	defer func() {
		_ = conn.Close()

		n.mu.Lock()
		defer n.mu.Unlock()

		n.open--
	}()

	reader := bufio.NewReader(conn)

	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		if _, err := io.WriteString(conn, okResponse(request.Header.Get(idHeader), "x")); err != nil {
			return
		}
	}
}

// cut sets how the node reaches the upstreams, or all of them if none is given.
func (n *network) cut(how way, upstreams ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if len(upstreams) == 0 {
		n.all = how
	}

	for _, upstream := range upstreams {
		n.direct[upstream] = how
	}
}

func (n *network) setPeers(how way, peers ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, peer := range peers {
		n.peers[peer] = how
	}
}

// counts returns the connects to an upstream, those through all peers, and the open connections.
func (n *network) counts(upstream string) (dials, connects, open int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, count := range n.connects {
		connects += count
	}

	return n.dials[upstream], connects, n.open
}

// upstreamOf returns an upstream whose address is its ID.
func upstreamOf(id string) dialer.Upstream {
	return dialer.Upstream{ID: id, Address: id}
}

// ask sends a request and returns how long it took.
func ask(d *dialer.Dialer, upstream string) (time.Duration, error) {
	start := time.Now()

	response, err := d.Exchange(context.Background(), upstreamOf(upstream), getRequest("one"))
	if err != nil {
		return time.Since(start), err
	}
	defer response.Close()

	_, err = io.ReadAll(response.Body)

	return time.Since(start), err
}

// closeAll closes the idle connections, so that nothing of a test is left.
func closeAll(d *dialer.Dialer) {
	d.CloseStale(func(string) bool { return false })
	synctest.Wait()
}

// Guards against a node that serves nothing because it can't reach an upstream that its peers reach.
func TestUpstreamIsReachedThroughAPeer(t *testing.T) {
	for name, how := range map[string]way{"refused": wayRefused, "hanging": wayHanging} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, d := newNetwork([]string{"near"}, []string{"far"})
				defer closeAll(d)

				n.cut(how, "a")

				_, err := ask(d, "a")
				assert.NilError(t, err)

				counters := d.PathCounters()
				assert.Equal(t, counters.Lost, 1)
				assert.Assert(t, !counters.AllLost)

				// The next connection takes no time to try the lost path.
				response, err := d.Exchange(context.Background(), upstreamOf("a"), getRequest("held"))
				assert.NilError(t, err)

				defer response.Close()

				took, err := ask(d, "a")
				assert.NilError(t, err)
				assert.Equal(t, took, connectTime)

				dials, _, _ := n.counts("a")
				assert.Equal(t, dials, 1)

				// Other upstreams are reached directly.
				_, before, _ := n.counts("b")
				_, err = ask(d, "b")
				assert.NilError(t, err)

				dials, connects, _ := n.counts("b")
				assert.Equal(t, dials, 1)
				assert.Equal(t, connects, before)
			})
		})
	}
}

// Guards against a delay for each upstream of a node that is cut off from all of them, and against requests on idle
// connections that lead nowhere.
func TestNodeCutOffFromAllUpstreamsTriesNoneOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, []string{"far"})
		defer closeAll(d)

		_, err := ask(d, "idle")
		assert.NilError(t, err)
		assert.Equal(t, d.Counters().Idle, int64(1))

		n.cut(wayHanging)

		for _, id := range []string{"a", "b", "c"} {
			_, err := ask(d, id)
			assert.NilError(t, err)
		}

		assert.Assert(t, d.PathCounters().AllLost)

		for _, id := range []string{"d", "idle"} {
			before, _, _ := n.counts(id)
			took, err := ask(d, id)
			assert.NilError(t, err)
			assert.Equal(t, took, connectTime)

			after, _, _ := n.counts(id)
			assert.Equal(t, after, before)
		}
	})
}

// Guards against a node that asks only peers that are cut off like itself: those of its failure domain.
func TestPeersThatAreCutOffTooAreTriedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near := []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
		n, d := newNetwork(near, []string{"f1", "f2"})
		defer closeAll(d)

		n.cut(wayRefused)
		n.setPeers(wayUnavailable, near...)
		n.setPeers(wayUnavailable, "f1")

		for i := range 20 {
			_, err := ask(d, fmt.Sprint("u", i))
			assert.NilError(t, err)
		}

		// A peer that could not help is not asked again within a second.
		n.mu.Lock()
		defer n.mu.Unlock()

		for peer, count := range n.connects {
			assert.Assert(t, count <= 1 || peer == "f2", "%s was asked %d times", peer, count)
		}
	})
}

// Guards against a dead upstream that costs connects at all peers and isn't reported in time.
func TestDownUpstreamIsNotReachedInBoundedTime(t *testing.T) {
	const limit = 400 * time.Millisecond

	cases := map[string]struct{ node, peers way }{
		"refused": {node: wayRefused, peers: wayRefused},
		"hanging": {node: wayHanging, peers: wayRefusedLate},
		"frozen":  {node: wayHanging, peers: wayHanging},
	}

	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := []string{"n1", "n2", "n3"}, []string{"f1", "f2", "f3"}
				n, d := newNetwork(near, far)
				defer closeAll(d)

				n.cut(test.node, "a")
				n.setPeers(test.peers, slices.Concat(near, far)...)

				took, err := ask(d, "a")
				assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
				assert.Assert(t, !errors.Is(err, dialer.ErrPathLost))
				assert.Assert(t, took < limit, "took %v", took)

				_, connects, _ := n.counts("a")
				assert.Assert(t, connects <= 3, "%d connects at peers", connects)

				// Peers that said so are not asked again at once.
				down, silent, err := d.IsDown(context.Background(), upstreamOf("a"))
				assert.NilError(t, err)
				assert.Assert(t, down)
				assert.Equal(t, silent, test.node == wayHanging)

				_, again, _ := n.counts("a")
				assert.Assert(t, again == connects || test.peers == wayHanging, "%d connects at peers", again)
				assert.Assert(t, !d.IsPathLost(context.Background(), upstreamOf("a")))

				synctest.Wait()
				assert.Equal(t, d.Counters().Open, int64(0))
				assert.Equal(t, d.PathCounters().Lost, 0)
			})
		})
	}
}

// Guards against requests that wait for a frozen peer although others say that the upstream is down.
func TestFrozenPeerDoesNotDelayTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"n1"}, []string{"f1", "f2"})
		defer closeAll(d)

		n.cut(wayRefused, "a")
		n.setPeers(wayHanging, "n1")
		n.setPeers(wayRefused, "f1", "f2")

		took, err := ask(d, "a")
		assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
		assert.Assert(t, took < 150*time.Millisecond, "took %v", took)
	})
}

// Guards against requests that fail because the only peer that helps is slow, and for a time after that.
func TestSlowPeersAreWaitedForWhereThePathIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, nil)
		defer closeAll(d)

		n.cut(wayRefused, "a")

		held, err := d.Exchange(context.Background(), upstreamOf("a"), getRequest("held"))
		assert.NilError(t, err)

		defer held.Close()

		n.setPeers(wayHanging, "near")

		_, err = ask(d, "a")
		assert.Assert(t, errors.Is(err, dialer.ErrNotSent))

		n.setPeers(waySlow, "near")

		_, err = ask(d, "a")
		assert.NilError(t, err)
	})
}

// Guards against upstreams that are taken from all nodes because one node reaches neither them nor peers that could.
func TestNodeWithoutHelpBlamesNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, []string{"far"})
		defer closeAll(d)

		n.cut(wayRefused)
		n.setPeers(wayUnavailable, "near", "far")

		for i := range 5 {
			_, err := ask(d, fmt.Sprint("u", i))
			assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
			assert.Equal(t, errors.Is(err, dialer.ErrPathLost), i >= 2)
		}

		down, _, err := d.IsDown(context.Background(), upstreamOf("u5"))
		assert.Assert(t, !down && errors.Is(err, dialer.ErrPathLost))
	})
}

// Guards against upstreams that crash in series and aren't found to be down: nodes that answers reach take them for a cut of their own
// paths, since they open no new connection to an upstream that lives.
func TestUpstreamsThatCrashInSeriesAreNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, []string{"far"})
		defer closeAll(d)

		// The peers say of themselves that they are cut off, as they saw the same crashes.
		n.setPeers(wayUnavailable, "near", "far")

		_, err := ask(d, "sound")
		assert.NilError(t, err)

		for i := range 6 {
			crashed := fmt.Sprint("u", i)
			n.cut(wayRefused, crashed)

			down, silent, err := d.IsDown(context.Background(), upstreamOf(crashed))
			assert.NilError(t, err)
			assert.Check(t, down && !silent, crashed)

			_, err = ask(d, "sound")
			assert.NilError(t, err)
		}

		dials, _, _ := n.counts("sound")
		assert.Equal(t, dials, 1)
		assert.Assert(t, !d.PathCounters().AllLost)
	})
}

// Guards against a node that burdens its peers after its paths work again.
func TestHealedPathsAreUsedAgain(t *testing.T) {
	for name, how := range map[string]way{"refused": wayRefused, "hanging": wayHanging} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const recovery = 2 * time.Second

				n, d := newNetwork([]string{"near"}, []string{"far"})

				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()

				go d.Run(ctx)

				n.cut(how)

				for i := range 200 {
					_, err := ask(d, fmt.Sprint("u", i))
					assert.NilError(t, err)
				}

				time.Sleep(5 * time.Second)
				assert.Equal(t, d.PathCounters().Lost, 200)

				n.cut(wayOpen)
				time.Sleep(recovery)

				counters := d.PathCounters()
				assert.Equal(t, counters.Lost, 0)
				assert.Equal(t, counters.Restorations, int64(200))

				_, before, _ := n.counts("u0")
				_, err := ask(d, "u0")
				assert.NilError(t, err)

				_, after, _ := n.counts("u0")
				assert.Equal(t, after, before)
				closeAll(d)

				_, _, open := n.counts("u0")
				assert.Equal(t, open, 0)
			})
		})
	}
}

// Guards against an upstream that is blamed for an exchange that broke on a path that is lost, and against a check for each
// of many exchanges that broke together.
func TestBrokenExchangeIsTheFaultOfALostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, []string{"far"})
		defer closeAll(d)

		assert.Assert(t, !d.IsPathLost(context.Background(), upstreamOf("a")))
		time.Sleep(time.Second)
		n.cut(wayHanging, "a")

		var checks sync.WaitGroup

		for range 50 {
			checks.Go(func() { assert.Check(t, d.IsPathLost(context.Background(), upstreamOf("a"))) })
		}

		checks.Wait()

		// One dial was before the cut, and a lost path is confirmed by another one.
		dials, connects, _ := n.counts("a")
		assert.Equal(t, dials, 3)
		assert.Equal(t, connects, 1)
		down, _, err := d.IsDown(context.Background(), upstreamOf("a"))
		assert.NilError(t, err)
		assert.Assert(t, !down)
	})
}

// Guards against a crash that isn't counted because the upstream started again between the direct connect and the peer's.
func TestUpstreamThatStartsAgainIsNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, nil)
		defer closeAll(d)

		n.cut(wayRefused, "a")
		time.AfterFunc(connectTime+connectTime/2, func() { n.cut(wayOpen, "a") })
		assert.Assert(t, !d.IsPathLost(context.Background(), upstreamOf("a")))
		assert.Equal(t, d.PathCounters().Lost, 0)
	})
}

// Guards against a peer that turns nodes away because its tunnels are held by idle connections.
func TestIdleTunnelsAreClosedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxIdleTime = 2 * time.Second

		n, d := newNetwork([]string{"near"}, nil)
		defer closeAll(d)

		n.cut(wayRefused, "a")

		for _, id := range []string{"a", "b"} {
			_, err := ask(d, id)
			assert.NilError(t, err)
		}

		assert.Equal(t, d.Counters().Idle, int64(2))
		time.Sleep(maxIdleTime)
		d.CloseStale(func(string) bool { return true })

		// The direct connection stays.
		assert.Equal(t, d.Counters().Idle, int64(1))
	})
}

// Guards against requests on tunnels of a peer that stops.
func TestTunnelsOfALeavingPeerAreNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, nil)
		defer closeAll(d)

		n.cut(wayRefused, "a")

		_, err := ask(d, "a")
		assert.NilError(t, err)
		assert.Equal(t, d.Counters().Idle, int64(1))

		listed := func(string) bool { return true }

		d.CloseStale(listed)
		assert.Equal(t, d.Counters().Idle, int64(1))

		n.near = []string{"other"}
		d.CloseStale(listed)
		assert.Equal(t, d.Counters().Idle, int64(0))

		_, err = ask(d, "a")
		assert.NilError(t, err)
		assert.Equal(t, n.connects["other"], 1)
	})
}

// Guards against connections that stay open after their caller left while they were being opened.
func TestOpeningEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, []string{"far"})
		n.cut(wayHanging, "a")
		n.setPeers(wayHanging, "near", "far")

		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer cancel()

		_, err := d.Exchange(ctx, upstreamOf("a"), getRequest("one"))
		assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
		synctest.Wait()
		assert.Equal(t, d.Counters().Open, int64(0))
	})
}

// Guards against a nil connection for a request whose time ends before any way to an upstream has failed.
func TestOpeningThatEndsBeforeAnyWayFailsIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, []string{"far"})
		defer closeAll(d)

		n.cut(wayRefused, "a")

		// A connection in use keeps the next request from reusing it, and the path is known as lost.
		held, err := d.Exchange(context.Background(), upstreamOf("a"), getRequest("held"))
		assert.NilError(t, err)

		defer held.Close()

		n.setPeers(wayHanging, "near", "far")

		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()

		_, err = d.Exchange(ctx, upstreamOf("a"), getRequest("one"))
		assert.Assert(t, errors.Is(err, dialer.ErrNotSent))
	})
}

// Guards against a node that runs out of descriptors with tunnels for others, and against tunnels that end at a node that is
// cut off itself.
func TestConnectionsForPeersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := newNetwork([]string{"near"}, nil)
		defer closeAll(d)

		conn, err := d.OpenForPeer(context.Background(), upstreamOf("a"))
		assert.NilError(t, err)
		assert.Equal(t, d.Counters().Open, int64(2))
		assert.NilError(t, conn.Close())
		assert.NilError(t, errors.Wrap(ignoreClosed(conn.Close()), "second close"))
		assert.Equal(t, d.Counters().Open, int64(0))

		n.cut(wayRefused, "a")

		_, err = d.OpenForPeer(context.Background(), upstreamOf("a"))
		assert.Assert(t, err != nil)
		assert.Assert(t, !errors.Is(err, dialer.ErrPathLost))
		assert.Equal(t, d.Counters().Open, int64(0))

		_, err = ask(d, "a")
		assert.NilError(t, err)
		_, err = d.OpenForPeer(context.Background(), upstreamOf("a"))
		assert.Assert(t, errors.Is(err, dialer.ErrPathLost))
	})
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe) {
		return nil
	}

	return err
}
