package follower

import (
	"context"
	"encoding/json"
	"time"
)

const (
	// handOverStep is the number of places from a node that the store refuses to the one that it asks to try.
	handOverStep = quickSubstitutes + 1
	// mostHandOvers is the number of places of the order in which nodes are asked to try. Each call of the store is paid for.
	mostHandOvers = 64
	// handOverAge is the age of the proof at which a node that was asked tries: the first nine have, if they were not served.
	handOverAge = substituteAge + quickSubstitutes*substituteAgeStep + readAgeSpread
	// handOverPause is the time between two such tries of one node while the store answers nobody.
	handOverPause = 10 * time.Second
)

// MethodReadStore tells a peer that the store refuses the caller, and asks it to try.
const MethodReadStore = "catalog.read"

// handOver asks the node a few places behind this one to read the store, which refuses this one: it may serve that one. A
// store that doesn't answer at all is away, and more calls would not help.
func (f *Follower) handOver(ctx context.Context, took, timeout time.Duration) {
	t := f.tree()
	next := t.rank + handOverStep

	if took >= timeout/2 || next >= min(len(t.order), mostHandOvers) {
		return
	}

	f.count(func(c *Counters) { c.Handovers++ })

	go func() {
		if err := f.options.Peers.Notify(ctx, t.order[next], MethodReadStore, struct{}{}); err != nil {
			f.options.Logger.Debug().Err(err).Str("peer", t.order[next]).Msg("hand_over_failed")
		}
	}()
}

// HandleReadStore answers MethodReadStore.
func (f *Follower) HandleReadStore(_ context.Context, _ string, _ json.RawMessage) (any, error) {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	f.askedToReadAt = now
	f.mu.Unlock()

	f.wakeUp()

	return struct{}{}, nil
}

// isHandedOverLocked says whether another node asked this one to read the store, nobody has been answered since, and those that
// try by themselves have tried; f.mu is held.
func (f *Follower) isHandedOverLocked(t *tree, now, age time.Duration) bool {
	proven := now - age
	if proven >= f.askedToReadAt || f.readAt >= f.askedToReadAt {
		return false
	}

	return age > handOverAge+lag(t) && (proven > f.readAt || now-f.readAt >= handOverPause)
}
