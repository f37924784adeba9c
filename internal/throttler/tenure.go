package throttler

import (
	"slices"
	"time"
)

const (
	// warmUpTime is how long a node that has become one of the two deciders waits before it admits requests. Meanwhile it
	// hears what the others admit, and they learn that it is live.
	warmUpTime = 2500 * time.Millisecond
	// takeoverTime is how long the decider that follows one which is gone admits only a part of the limits. A cut may have left
	// the former one on the other side; until then the nodes have found out who is on which side.
	takeoverTime = 4 * time.Second
)

// Tenure tracks since when a node is one of the two that decide for all others: the holder and its standby. The zero value
// is that of a node which never was. It is not safe for concurrent use.
type Tenure struct {
	// known is set while the node is holder or standby, since knownSince.
	known      bool
	knownSince time.Time
	// held is set while the node is the holder, since heldSince, or since the zero time if it took over from a node that still
	// answers.
	held      bool
	heldSince time.Time
	// formerHolder is the last known holder.
	formerHolder string
}

// Update takes the holder and its standby. answers reports whether a node still responds, also while it is leaving.
func (t *Tenure) Update(now time.Time, self string, holders []string, answers func(node string) bool) {
	former := t.formerHolder
	if len(holders) > 0 {
		t.formerHolder = holders[0]
	}

	if !slices.Contains(holders, self) {
		t.known, t.held = false, false

		return
	}

	if !t.known {
		t.known, t.knownSince = true, now
	}

	switch {
	case holders[0] != self:
		t.held = false
	case !t.held:
		t.held, t.heldSince = true, now

		if former != "" && former != self && answers(former) {
			t.heldSince = time.Time{}
		}
	}
}

// Ready reports whether the node has been holder or standby for long enough to decide for others.
func (t *Tenure) Ready(now time.Time) bool {
	return t.known && now.Sub(t.knownSince) >= warmUpTime
}

// Terms returns which part of the limits the node may use, given the part that it may use together with the nodes that it
// reaches, and what a request costs in tokens.
//
// The holder may use all of that part, and both hear what the other admits, so that both count the same. The standby is
// asked where the holder doesn't answer, which may still decide for others; it admits only a part, and so does a new
// holder at first. All other nodes, and a node that has just become one of the two and does not know what was sent,
// may admit nothing.
func (t *Tenure) Terms(now time.Time, share float64) (part, cost float64) {
	switch {
	case !t.Ready(now):
		return 0, CostTakingOver
	case t.held && now.Sub(t.heldSince) >= takeoverTime:
		return share, CostDeciding
	default:
		return share, CostTakingOver
	}
}
