package distributor

import (
	"context"
	"slices"
	"strings"
	"time"
)

// announceLoop tells random peers of each new revision, in several rounds.
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
			d.announceTo(ctx, v.Name, current)
		}

		if round++; round < len(rounds) {
			timer.Reset(time.Until(begun.Add(rounds[round])))
		}
	}
}

// audience returns the peers to tell in a round: random ones, which is fast, and in the last
// round the next ones by name. By random choice alone about one node in 8,000 is told by
// nobody and waits for a heartbeat; by name each node is told by the three before it.
func (d *Distributor) audience(round int) []Member {
	if round < len(rounds)-1 {
		return d.somePeers(fanout)
	}

	var before, after []Member

	for _, v := range d.options.Members.Live() {
		switch {
		case v.Name < d.options.Self.Name:
			before = append(before, v)
		case v.Name > d.options.Self.Name:
			after = append(after, v)
		}
	}

	byName := func(a, b Member) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(before, byName)
	slices.SortFunc(after, byName)

	ring := slices.Concat(after, before)

	return ring[:min(fanout, len(ring))]
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
