package prober_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prober"
)

func codec(t *testing.T, credentials ...string) *prober.Codec {
	t.Helper()

	c, err := prober.NewCodec(credentials...)
	assert.NilError(t, err)

	return c
}

func TestCodec_Refuses(t *testing.T) {
	good, err := codec(t, "a").Encode("entry-001", prober.Packet{Kind: prober.KindProbe, From: "entry-002", Incarnation: 5, Sequence: 1})
	assert.NilError(t, err)

	changed := append([]byte(nil), good...)
	changed[len(changed)-3]++

	for _, tt := range []struct {
		name     string
		codec    *prober.Codec
		to       string
		datagram []byte
		want     error
	}{
		{name: "good", codec: codec(t, "a"), to: "entry-001", datagram: good},
		{name: "old credential during a change", codec: codec(t, "b", "a"), to: "entry-001", datagram: good},
		{name: "other credential", codec: codec(t, "b"), to: "entry-001", datagram: good, want: prober.ErrNotAuthentic},
		{name: "other receiver", codec: codec(t, "a"), to: "entry-003", datagram: good, want: prober.ErrNotAuthentic},
		{name: "changed", codec: codec(t, "a"), to: "entry-001", datagram: changed, want: prober.ErrNotAuthentic},
		{name: "cut short", codec: codec(t, "a"), to: "entry-001", datagram: good[:10], want: prober.ErrMalformed},
		{name: "empty", codec: codec(t, "a"), to: "entry-001", want: prober.ErrMalformed},
		{name: "too large", codec: codec(t, "a"), to: "entry-001", datagram: make([]byte, prober.MaxDatagram+1), want: prober.ErrTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.codec.Decode(tt.to, tt.datagram)
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

func TestCodec_DropsUpdatesThatDoNotFit(t *testing.T) {
	packet := prober.Packet{Kind: prober.KindSyncReply, From: "entry-002"}
	for range 100 {
		packet.Updates = append(packet.Updates, prober.Update{Node: "a-rather-long-name-of-a-node", State: prober.Live, Incarnation: processStart})
	}

	c := codec(t, "a")
	datagram, err := c.Encode("entry-001", packet)
	assert.NilError(t, err)
	assert.Assert(t, len(datagram) <= prober.MaxDatagram)

	got, err := c.Decode("entry-001", datagram)
	assert.NilError(t, err)
	assert.Assert(t, len(got.Updates) > 5 && len(got.Updates) < 100)
}

// A valid MAC shows who wrote a datagram, not that it is new. Without replay protection, a recorded
// datagram that is sent repeatedly would make a node that returned count as dead again.
func TestProber_ReplayIsDropped(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	p := prober.New(prober.Options{Self: prober.VM{Name: "a"}, Incarnation: 10})
	p.SetListedNodes(now, []prober.VM{{Name: "b", PeerAddress: "10.0.0.2:1"}, {Name: "c", PeerAddress: "10.0.0.3:1"}})
	p.Tick(now)

	probe := prober.Packet{Kind: prober.KindProbe, From: "b", Incarnation: 7, Sequence: 1, ProbeNumber: 3}
	assert.Equal(t, len(p.Receive(now, probe)), 1)
	assert.Equal(t, len(p.Receive(now, probe)), 0)

	// Reordered datagrams are accepted, each one once.
	for _, sequence := range []uint64{5, 3, 4, 2, 200, 150} {
		probe.Sequence = sequence
		assert.Equal(t, len(p.Receive(now, probe)), 1, "sequence %d", sequence)
		assert.Equal(t, len(p.Receive(now, probe)), 0, "sequence %d again", sequence)
	}

	probe.Sequence = 6
	assert.Equal(t, len(p.Receive(now, probe)), 0, "outside the replay window")
	assert.Equal(t, p.Counters().ReplaysDropped, int64(8))

	// A restarted sender counts from 1 again; datagrams from before its restart are then outdated.
	next := prober.Packet{Kind: prober.KindProbe, From: "b", Incarnation: 9, Sequence: 1, ProbeNumber: 3}
	assert.Equal(t, len(p.Receive(now, next)), 1)

	probe.Sequence = 500
	answers := p.Receive(now, probe)
	assert.Equal(t, p.Counters().OutdatedDropped, int64(1))
	assert.Equal(t, answers[0].Packet.RefuteIncarnation, int64(9))
}

func TestProber_DigestReachesOthers(t *testing.T) {
	w := newNetwork(t, 9, 3, 6)
	w.startAll()
	w.run(20 * time.Second)

	w.nodes[3].digest = prober.Digest{Revision: 41, Load: 70}
	w.send(w.nodes[3], w.nodes[3].prober.Announce(w.now, 4))
	w.run(10 * time.Millisecond)

	reached := 0

	for _, n := range w.nodes {
		if n.digests["entry-003"].Revision == 41 {
			reached++
		}
	}

	assert.Equal(t, reached, 4)
	w.run(10 * time.Second)

	for _, n := range w.nodes {
		if n == w.nodes[3] {
			continue
		}

		revision, ok := n.prober.PeerRevision("entry-003")
		assert.Assert(t, ok)
		assert.Equal(t, revision, int64(41))
		assert.Equal(t, n.digests["entry-003"].Load, 70)
	}
}
