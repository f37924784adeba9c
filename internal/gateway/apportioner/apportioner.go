// Package apportioner computes a node's share of a limit that applies to all nodes together. The
// shares in use never add up to more than the whole limit.
//
// The nodes are those listed in the platform's store, and each has an equal share. A node uses its
// share only while its copy of the list is recent enough, and only after it has been listed for so
// long that every other node using a share counts it. Only the first node that a deployment ever
// has need not wait.
//
// This needs no messages between nodes: a node that uses its share has a list younger than
// MaxListAge. Any node that started using its share earlier had been listed for longer than that,
// so it is on the list.
package apportioner

import (
	"slices"
	"sync"
	"time"
)

// firstNodeGrace is how long the first node of a deployment may use its share before it is listed.
const firstNodeGrace = 5 * time.Second

// Options configures an Apportioner. All fields are required.
type Options struct {
	// Self is this node's name.
	Self string
	// MaxListAge is the greatest age of the node list at which this node still uses its share.
	MaxListAge time.Duration
	// Retention is how long usage by a node that is gone still counts against the limit.
	Retention time.Duration
	// Now returns a monotonic time that also advances while the system is suspended.
	Now func() time.Duration
}

// Freshness is that of a list of nodes.
type Freshness interface {
	// Age returns the time since the list was last confirmed as the newest, or false if it never was.
	Age() (time.Duration, bool)
}

// Apportioner computes this node's share from the list of nodes. It is safe for concurrent use.
type Apportioner struct {
	options Options

	mu sync.Mutex
	// freshness is that of the last list; nil before the first.
	freshness Freshness
	// firstNode is set on the only node that starts in a deployment where no node was ever listed;
	// it was set at firstNodeAt.
	firstNode   bool
	firstNodeAt time.Duration
	// listed is set while this node is on the list; it was added at listedAt.
	listed   bool
	listedAt time.Duration
	// nodeCount is the number of nodes that share the limit. It drops to lowerCount, the largest number of nodes listed
	// since lowerSince, once usage by the nodes that left no longer counts. 0 in lowerCount means that no drop is pending.
	nodeCount, lowerCount int
	lowerSince            time.Duration
}

// New returns an apportioner without a list of nodes.
func New(options Options) *Apportioner {
	return &Apportioner{options: options}
}

// SetFirstNode marks this node as the first one that its deployment ever had. It may use its share at once, since there is no
// earlier usage and all other nodes wait.
func (a *Apportioner) SetFirstNode() {
	now := a.options.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	a.firstNode, a.firstNodeAt = true, now
}

// Update sets the names of the listed nodes, with the freshness of that list. A newer list has one of its own.
func (a *Apportioner) Update(names []string, freshness Freshness) {
	now := a.options.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	a.freshness = freshness

	listed := slices.Contains(names, a.options.Self)
	if listed && !a.listed {
		a.listedAt = now
	}

	if !listed && a.listed {
		a.firstNode = false
	}

	a.listed = listed

	a.applyLowerCountLocked(now)

	switch {
	case len(names) >= a.nodeCount:
		a.nodeCount, a.lowerCount = len(names), 0
	case a.lowerCount == 0:
		a.lowerCount, a.lowerSince = len(names), now
	default:
		a.lowerCount = max(a.lowerCount, len(names))
	}
}

// applyLowerCountLocked lowers nodeCount once usage by the nodes that left no longer counts. The caller holds a.mu.
func (a *Apportioner) applyLowerCountLocked(now time.Duration) {
	if a.lowerCount > 0 && now-a.lowerSince > a.settlingTime() {
		a.nodeCount, a.lowerCount = a.lowerCount, 0
	}
}

// settlingTime is the time after a change of the list until no node uses an older list and no earlier usage counts.
func (a *Apportioner) settlingTime() time.Duration {
	return a.options.MaxListAge + a.options.Retention
}

// Share returns this node's share of the limit, from 0 to 1.
func (a *Apportioner) Share() float64 {
	now := a.options.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	a.applyLowerCountLocked(now)

	if !a.isListFreshLocked() || !a.mayUseShareLocked(now) {
		return 0
	}

	return 1 / float64(max(a.nodeCount, 1))
}

// isListFreshLocked reports whether the list is recent enough to use a share. The caller holds a.mu.
func (a *Apportioner) isListFreshLocked() bool {
	if a.freshness == nil {
		return false
	}

	age, known := a.freshness.Age()

	return known && age <= a.options.MaxListAge
}

// mayUseShareLocked reports whether all other nodes that use a share count this node. The caller holds a.mu.
func (a *Apportioner) mayUseShareLocked(now time.Duration) bool {
	if a.firstNode {
		return a.listed || now-a.firstNodeAt <= firstNodeGrace
	}

	return a.listed && now-a.listedAt > a.settlingTime()
}
