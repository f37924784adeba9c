package heartbeater_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/prober"
)

// waitTimeout bounds the waits; it is not an assertion on speed.
const waitTimeout = 30 * time.Second

type node struct {
	name        string
	prober      *prober.Prober
	heartbeater *heartbeater.Heartbeater
}

// startNodes runs nodes on the loopback interface; each is given the list of all.
func startNodes(t *testing.T, count int) []node {
	t.Helper()

	codec, err := prober.NewCodec("credential")
	assert.NilError(t, err)

	nodes := make([]node, count)
	list := make([]prober.VM, count)

	for i := range nodes {
		name := fmt.Sprintf("entry-%d", i)
		p := prober.New(prober.Options{Self: prober.VM{Name: name}, Incarnation: 1, Seed: uint64(i)})
		h, err := heartbeater.Listen(t.Context(), heartbeater.Options{
			Name: name, Listen: "127.0.0.1:0", Codec: codec, Prober: p, Logger: zerolog.Nop(),
		})
		assert.NilError(t, err)

		nodes[i] = node{name: name, prober: p, heartbeater: h}
		list[i] = prober.VM{Name: name, PeerAddress: h.Address(), FailureDomain: "brest"}
	}

	ctx, cancel := context.WithCancel(context.Background())

	var running sync.WaitGroup

	for _, n := range nodes {
		n.prober.SetListedNodes(time.Now(), list)
		running.Go(func() { assert.Check(t, n.heartbeater.Run(ctx)) })
	}

	t.Cleanup(func() {
		cancel()
		running.Wait()
	})

	return nodes
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}

		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

func TestHeartbeater_NodesDiscoverEachOtherAndLeave(t *testing.T) {
	nodes := startNodes(t, 3)

	waitFor(t, "all live", func() bool {
		for _, n := range nodes {
			if len(n.prober.Live(time.Now())) != len(nodes) {
				return false
			}
		}

		return true
	})

	nodes[0].heartbeater.Leave()

	waitFor(t, "leaving known", func() bool {
		for _, n := range nodes[1:] {
			if m, _ := n.prober.Member("entry-0"); !m.Leaving {
				return false
			}
		}

		return true
	})

	c := nodes[0].heartbeater.Counters()
	assert.Assert(t, c.Sent > 0 && c.Received > 0 && c.SentBytes > c.Sent)
	assert.Equal(t, c.SendFailed, int64(0))
}

// Guards against a node that stops replying to probes, or accepts news from an unauthenticated sender, because
// network input is trusted or unbounded: someone sends datagrams that are empty, malformed, too large, or encoded with
// another credential.
func TestHeartbeater_DropsBadDatagrams(t *testing.T) {
	nodes := startNodes(t, 2)
	conn, err := new(net.Dialer).DialContext(t.Context(), "udp", nodes[0].heartbeater.Address())
	assert.NilError(t, err)

	defer conn.Close()

	foreignCodec, err := prober.NewCodec("another credential")
	assert.NilError(t, err)

	forged, err := foreignCodec.Encode("entry-0", prober.Packet{Kind: prober.KindProbe, From: "entry-1", Incarnation: 1, Sequence: 1})
	assert.NilError(t, err)

	for _, datagram := range [][]byte{{}, {1, 2, 3}, make([]byte, prober.MaxDatagram+100), forged} {
		_, err := conn.Write(datagram)
		assert.NilError(t, err)
	}

	waitFor(t, "bad datagrams counted", func() bool {
		c := nodes[0].heartbeater.Counters()

		return c.TooLarge == 1 && c.NotAuthentic == 1 && c.Malformed == 2
	})
	waitFor(t, "still live", func() bool { return len(nodes[1].prober.Live(time.Now())) == 2 })
}
