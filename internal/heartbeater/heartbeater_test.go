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

// patience bounds the waits; it is no assertion on speed.
const patience = 30 * time.Second

type node struct {
	name   string
	prober *prober.Prober
	beats  *heartbeater.Heartbeater
}

// start runs nodes on loopback that know each other by a list.
func start(t *testing.T, count int) []node {
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

		nodes[i] = node{name: name, prober: p, beats: h}
		list[i] = prober.VM{Name: name, PeerAddress: h.Address(), FailureDomain: "brest"}
	}

	ctx, cancel := context.WithCancel(context.Background())

	var running sync.WaitGroup

	for _, n := range nodes {
		n.prober.SetListedNodes(time.Now(), list)
		running.Go(func() { assert.Check(t, n.beats.Run(ctx)) })
	}

	t.Cleanup(func() {
		cancel()
		running.Wait()
	})

	return nodes
}

func wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}

		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}

func TestHeartbeater_NodesFindEachOtherAndLeave(t *testing.T) {
	nodes := start(t, 3)

	wait(t, "all live", func() bool {
		for _, n := range nodes {
			if len(n.prober.Live(time.Now())) != len(nodes) {
				return false
			}
		}

		return true
	})

	nodes[0].beats.Leave()

	wait(t, "leaving known", func() bool {
		for _, n := range nodes[1:] {
			if m, _ := n.prober.Member("entry-0"); !m.Leaving {
				return false
			}
		}

		return true
	})

	c := nodes[0].beats.Counters()
	assert.Assert(t, c.Sent > 0 && c.Received > 0 && c.SentBytes > c.Sent)
	assert.Equal(t, c.SendFailed, int64(0))
}

// Symptom: a node stops answering probes, or takes in news from a stranger.
// Sequence: someone sends datagrams that are empty, too large, without the credential or without a packet.
// Cause: input from the network trusted or not bounded.
func TestHeartbeater_DropsBadDatagrams(t *testing.T) {
	nodes := start(t, 2)
	conn, err := new(net.Dialer).DialContext(t.Context(), "udp", nodes[0].beats.Address())
	assert.NilError(t, err)

	defer conn.Close()

	stranger, err := prober.NewCodec("another credential")
	assert.NilError(t, err)

	forged, err := stranger.Encode("entry-0", prober.Packet{Kind: prober.KindProbe, From: "entry-1", Incarnation: 1, Sequence: 1})
	assert.NilError(t, err)

	for _, datagram := range [][]byte{{}, {1, 2, 3}, make([]byte, prober.MaxDatagram+100), forged} {
		_, err := conn.Write(datagram)
		assert.NilError(t, err)
	}

	wait(t, "bad datagrams counted", func() bool {
		c := nodes[0].beats.Counters()

		return c.TooLarge == 1 && c.NotAuthentic == 1 && c.Malformed == 2
	})
	wait(t, "still live", func() bool { return len(nodes[1].prober.Live(time.Now())) == 2 })
}
