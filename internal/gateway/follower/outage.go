package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// outageThreshold is the time without an answer of the store after which entries may have expired there.
	outageThreshold = 2500 * time.Millisecond
	// maxWitnesses is the number of peers that are asked whether there was an outage. Some may stand still.
	maxWitnesses = 4
)

// contact records when the store is known to have answered any node. Times are by the catalog's clock, and negative before the first
// answer.
type contact struct {
	// freshAt is the latest such time, since the first of an unbroken series without a gap of more than outageThreshold, and before the
	// latest one ahead of that gap.
	freshAt, since, before time.Duration
	// ranFor is for how long the process ran in that gap.
	ranFor time.Duration
	// pausedAt is the total time that the process had stood still when it heard of freshAt.
	pausedAt time.Duration
	// failedReads counts this node's reads since freshAt that the store failed while the process ran, failedInGap those in the gap.
	failedReads, failedInGap int
}

// confirm records that the store answered at the given time. The process had stood still for the given total time.
func (c *contact) confirm(at, paused time.Duration) {
	if at <= c.freshAt {
		return
	}

	if c.freshAt < 0 || at-c.freshAt > outageThreshold {
		c.since, c.before = at, c.freshAt
		c.ranFor, c.failedInGap = c.unanswered(at, paused), c.failedReads
	}

	c.freshAt, c.pausedAt, c.failedReads = at, paused, 0
}

// unanswered returns for how long the process ran since the store is known to have answered.
func (c *contact) unanswered(now, paused time.Duration) time.Duration {
	return now - c.freshAt - (paused - c.pausedAt)
}

// outage is a time in which the store may have answered no node.
type outage struct {
	// after and end are by the catalog's clock.
	after, end time.Duration
	// isSeen says that this node saw the store fail while it ran itself.
	isSeen bool
}

// paused returns the total time that the process stood still.
func (f *Follower) paused() time.Duration {
	if f.options.Paused == nil {
		return 0
	}

	return f.options.Paused()
}

// outageBefore returns the outage of the store after which upstreams that a read lacks may have lost their entries, and not because they
// left; false if there was none. The age is that of the configuration when the read started at startedAt.
//
// The age alone doesn't tell: a node that stood still, or that was cut off, has an old configuration as well. If it retained
// upstreams for that, they would get requests after they left, from all nodes. Peers that were in touch with the store know.
func (f *Follower) outageBefore(ctx context.Context, registry *cataloguer.Registry, startedAt, age time.Duration) (outage, bool) {
	suspected, ok := f.suspectOutage(startedAt, age)
	if !ok || !f.options.Catalog.Lacks(registry) {
		return outage{}, false
	}

	asked, answered, inTouch := f.askWitnesses(ctx, suspected.after)
	confirmed := !inTouch && (answered > 0 || suspected.isSeen)

	f.options.Logger.Info().Dur("unanswered_ms", suspected.end-suspected.after).Int("asked", asked).Int("answered", answered).
		Bool("peers_in_touch", inTouch).Bool("outage", confirmed).Msg("store_outage_checked")

	return suspected, confirmed
}

// suspectOutage returns the outage that a read ends which started at startedAt, or that ended shortly before this node's first read since.
func (f *Follower) suspectOutage(startedAt, age time.Duration) (outage, bool) {
	paused := f.paused()

	f.mu.Lock()
	defer f.mu.Unlock()

	c := &f.contact

	if age > outageThreshold {
		isSeen := c.failedReads > 0 || c.unanswered(startedAt, paused) > outageThreshold

		return outage{after: startedAt - age, end: startedAt, isSeen: isSeen}, true
	}

	isFirstRead := c.before >= 0 && f.lastGoodReadAt < c.since && startedAt-c.since < cataloguer.OutageGracePeriod

	return outage{after: c.before, end: c.since, isSeen: c.failedInGap > 0 || c.ranFor > outageThreshold}, isFirstRead
}

// askWitnesses asks peers whether the store answered all the while since the given time. It takes over what they know of upstreams that left,
// and returns the numbers of peers that were asked and that answered before one said so, and whether one did.
func (f *Follower) askWitnesses(ctx context.Context, since time.Duration) (asked, answered int, inTouch bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	peers := f.witnesses()
	answers := make(chan *pullResponse, len(peers))

	for _, peer := range peers {
		go func() {
			var response pullResponse

			if err := f.options.Peers.Call(ctx, peer, MethodPull, pullParams{IsWitness: true}, &response); err != nil {
				f.options.Logger.Debug().Err(err).Str("peer", peer).Msg("witness_failed")
				answers <- nil

				return
			}

			answers <- &response
		}()
	}

	for range peers {
		response := <-answers
		if response == nil {
			continue
		}

		answered++

		f.options.Catalog.AddDepartures(response.Departures)

		if response.wasInTouch(since, f.options.Catalog.Now()) {
			return len(peers), answered, true
		}
	}

	return len(peers), answered, false
}

// witnesses returns the peers to ask: the first in the order, which know most of the store. A node that has just stood still may take
// all others to be dead, so that it asks any that are listed.
func (f *Follower) witnesses() []string {
	isSelf := func(name string) bool { return name == f.options.Self.Name }

	first := slices.DeleteFunc(slices.Clone(f.tree().order), isSelf)
	if len(first) >= maxWitnesses {
		return first[:maxWitnesses]
	}

	nodes := f.options.Catalog.State().Registry.Nodes.List()
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })

	for _, node := range nodes {
		if len(first) < maxWitnesses && !isSelf(node.Name) && !slices.Contains(first, node.Name) {
			first = append(first, node.Name)
		}
	}

	return first
}

// testify sets what a peer asks a witness for.
func (f *Follower) testify(response *pullResponse) {
	response.Departures = f.options.Catalog.Departures()

	now := f.options.Catalog.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.contact.since >= 0 && now-f.contact.freshAt <= outageThreshold {
		response.InTouchMS = (now - f.contact.since).Milliseconds()
	}
}

// wasInTouch reports whether the peer, whose answer was received at receivedAt, knows that the store answered all the while since the
// given time.
func (a *pullResponse) wasInTouch(since, receivedAt time.Duration) bool {
	inTouchSince := receivedAt - milliseconds(a.InTouchMS)

	return a.InTouchMS > 0 && inTouchSince-since <= outageThreshold
}
