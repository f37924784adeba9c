package prober_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prober"
)

// Guards against a list of the live nodes that is copied for each of the dozens of questions that a node asks in a second,
// which cost a large fleet more than all else that a node does.
func TestUnchangedRosterCostsNothing(t *testing.T) {
	for _, count := range []int{100, 1_000, 2_000} {
		options := prober.DefaultOptions()
		options.Self = prober.VM{Name: "self", PeerAddress: "10.1.0.1:1"}
		options.Incarnation = 1
		p := prober.New(options)
		now := time.Now()

		var listed []prober.VM
		for i := range count {
			listed = append(listed, prober.VM{Name: fmt.Sprint("n", i), PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)})
		}

		p.SetListedNodes(now, listed)

		packet := func(i int, digest prober.Digest, sequence uint64) prober.Packet {
			return prober.Packet{Kind: prober.KindDigest, From: listed[i].Name, Incarnation: 1, Sequence: sequence, Digest: digest, VM: &listed[i]}
		}

		for i := range count {
			p.Receive(now, packet(i, prober.Digest{}, 1))
		}

		roster := p.Roster(now)
		assert.Equal(t, len(roster.Members), count+1)
		assert.Equal(t, testing.AllocsPerRun(100, func() { p.Roster(now) }), 0.0)

		p.Receive(now, packet(7, prober.Digest{Revision: 3}, 2))
		assert.Equal(t, p.Roster(now), roster)

		p.Receive(now, packet(7, prober.Digest{Leaving: true}, 3))

		changed := p.Roster(now)
		assert.Assert(t, changed.Version != roster.Version)

		leaving := 0

		for _, member := range changed.Members {
			if member.Leaving {
				leaving++
			}
		}

		assert.Equal(t, leaving, 1)
	}
}

// Guards against listed nodes that count as possibly live though all nodes know that they are dead.
func TestRosterCountsListedDeadNodes(t *testing.T) {
	options := prober.DefaultOptions()
	options.Self = prober.VM{Name: "self", PeerAddress: "10.1.0.1:1"}
	options.Incarnation = 1
	p := prober.New(options)
	now := time.Now()

	var listed []prober.VM
	for i := range 5 {
		listed = append(listed, prober.VM{Name: fmt.Sprint("n", i), PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}

	receive := func(sequence uint64, updates ...prober.Update) {
		p.Receive(now, prober.Packet{Kind: prober.KindDigest, From: "n0", Incarnation: 1, Sequence: sequence, VM: &listed[0], Updates: updates})
	}

	p.SetListedNodes(now, listed)
	assert.Equal(t, p.Roster(now).Dead, 0)

	receive(1, prober.Update{Node: "n1", State: prober.Dead, Incarnation: 3}, prober.Update{Node: "n2", State: prober.Dead})
	assert.Equal(t, p.Roster(now).Dead, 2)

	receive(2, prober.Update{Node: "n1", State: prober.Live, Incarnation: 4})
	assert.Equal(t, p.Roster(now).Dead, 1)

	p.SetListedNodes(now, listed[:2])
	assert.Equal(t, p.Roster(now).Dead, 0)
}

// Guards against a node that learns of a death from others, and not that it was planned.
func TestPlannedStopsAreKnownFromOthers(t *testing.T) {
	options := prober.DefaultOptions()
	options.Self = prober.VM{Name: "self", PeerAddress: "10.1.0.1:1"}
	options.Incarnation = 1
	p := prober.New(options)
	now := time.Now()
	listed := []prober.VM{{Name: "n0", PeerAddress: "10.0.0.1:1"}, {Name: "n1", PeerAddress: "10.0.0.2:1"}}

	receive := func(sequence uint64, update prober.Update) prober.Member {
		p.Receive(now, prober.Packet{Kind: prober.KindDigest, From: "n0", Incarnation: 1, Sequence: sequence, VM: &listed[0], Updates: []prober.Update{update}})

		member, ok := p.Member("n1")
		assert.Assert(t, ok)

		return member
	}

	p.SetListedNodes(now, listed)
	assert.Assert(t, receive(1, prober.Update{Node: "n1", State: prober.Dead, Incarnation: 3, Leaving: true}).Leaving)
	assert.Assert(t, !receive(2, prober.Update{Node: "n1", State: prober.Live, Incarnation: 4}).Leaving)
	assert.Assert(t, !receive(3, prober.Update{Node: "n1", State: prober.Dead, Incarnation: 4}).Leaving)
}
