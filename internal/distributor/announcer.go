package distributor

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announceLoop tells peers of each new revision, in several rounds.
func (d *Distributor) announceLoop(ctx context.Context) {
	var (
		round   int
		begun   time.Time
		timer   = time.NewTimer(0)
		current int64
	)

	defer timer.Stop()

	for {
		select {
		case <-d.announceWanted:
		case <-timer.C:
		case <-ctx.Done():
			return
		}

		if revision := d.Revision(); revision > current {
			current, round, begun = revision, 0, time.Now()
		}

		if current == 0 || round == len(rounds) || time.Since(begun) < rounds[round] {
			continue
		}

		for _, v := range d.audience(round) {
			d.announceTo(ctx, v, current)
		}

		if round++; round < len(rounds) {
			timer.Reset(time.Until(begun.Add(rounds[round])))
		}
	}
}

// audience returns the peers to tell in a round.
//
// They are always the same ones while the members stay: told at random, a node would soon
// hold a connection to every other one. Each of several rings has all nodes in an order of
// its own, and a node tells the next one of a ring, so that every node is told by as many
// others as it tells. Several rings together reach all nodes in few steps.
func (d *Distributor) audience(round int) []string {
	var peers []string

	members := d.options.Members.Live()

	for i := range fanout {
		next := nextOnRing((round*fanout+i)%rings, d.options.Self.Name, members)
		if next != "" && !slices.Contains(peers, next) {
			peers = append(peers, next)
		}
	}

	return peers
}

// nextOnRing returns the member that follows self, or "" when there is no other.
func nextOnRing(ring int, self string, members []Member) string {
	var (
		next    string
		nearest uint64
		hash    = xxhash.NewWithSeed(uint64(ring))
	)

	place := func(name string) uint64 {
		hash.ResetWithSeed(uint64(ring))
		// Writes to a hash never fail.
		_, _ = hash.WriteString(name)

		return hash.Sum64()
	}

	own := place(self)

	for _, v := range members {
		// The difference wraps around, as the ring does.
		if distance := place(v.Name) - own; v.Name != self && (next == "" || distance < nearest) {
			next, nearest = v.Name, distance
		}
	}

	return next
}

// announceTo sends without waiting: a peer that doesn't answer must not hold up the others.
func (d *Distributor) announceTo(ctx context.Context, peer string, revision int64) {
	d.counters.announcements.Add(1)
	d.sending.Add(1)

	err := d.sends.Go(func() {
		defer d.sending.Done()

		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
		defer cancel()
		// A lost announcement is made good by the next round and by heartbeats.
		_ = d.options.Caller.Notify(limited, peer, MethodAnnounce, announceParams{Revision: revision})
	})
	if err != nil {
		d.sending.Done()
	}
}
