// Package apportioner tells a node its part of what all nodes may use together, so that no two nodes ever use the same part.
//
// The nodes are those that the platform's store lists. A node uses its part only while its list is fresh, and only after it
// has been listed for so long that all others that use theirs count it. Its part is then one of as many as there are nodes.
// Only the first node that a deployment ever has need not wait.
//
// This holds without a message: a node that uses its part at some moment has a list that is younger than MaxListAge. One that
// began to use its part before that had been listed for longer, so it is on that list.
package apportioner

import (
	"slices"
	"sync"
	"time"
)

// firstGrace is how long the first node of a deployment may use its part before it is listed.
const firstGrace = 5 * time.Second

// Options are the parts of an Apportioner; all are required.
type Options struct {
	// Self is this node's name.
	Self string
	// MaxListAge is the greatest age of a list by which a node uses its part.
	MaxListAge time.Duration
	// Retention is how long what a node has used keeps others from using it.
	Retention time.Duration
	// Now is a clock that counts suspensions.
	Now func() time.Duration
}

// Apportioner follows the list of nodes. It is safe for concurrent use.
type Apportioner struct {
	options Options

	mu sync.Mutex
	// first says that no node was ever listed before this one started, and that no other is told so; since firstAt.
	first   bool
	firstAt time.Duration
	// listed says that this node is on the list, since listedAt.
	listed   bool
	listedAt time.Duration
	// count is the number of nodes by which this one divides. It falls to next, the most nodes that were listed since
	// fewerAt, when what the others used doesn't count any more.
	count, next int
	fewerAt     time.Duration
}

// New returns an apportioner that knows no list.
func New(options Options) *Apportioner {
	return &Apportioner{options: options}
}

// SetFirstNode tells that this node is the first one of its deployment ever: nobody has used anything, and all others wait.
func (a *Apportioner) SetFirstNode() {
	now := a.options.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	a.first, a.firstAt = true, now
}

// Update takes in the names of the listed nodes.
func (a *Apportioner) Update(names []string) {
	now := a.options.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	listed := slices.Contains(names, a.options.Self)
	if listed && !a.listed {
		a.listedAt = now
	}

	if !listed && a.listed {
		a.first = false
	}

	a.listed = listed

	a.lowerLocked(now)

	switch {
	case len(names) >= a.count:
		a.count, a.next = len(names), 0
	case a.next == 0:
		a.next, a.fewerAt = len(names), now
	default:
		a.next = max(a.next, len(names))
	}
}

// lowerLocked counts fewer nodes once what those that are gone have used doesn't count any more; a.mu is held.
func (a *Apportioner) lowerLocked(now time.Duration) {
	if a.next > 0 && now-a.fewerAt > a.settling() {
		a.count, a.next = a.next, 0
	}
}

// settling is how long a change of the list takes to be known to all and to have no more effects.
func (a *Apportioner) settling() time.Duration {
	return a.options.MaxListAge + a.options.Retention
}

// Share returns this node's part, 0 to 1. The age is that of the list; known is false where it isn't known.
func (a *Apportioner) Share(age time.Duration, known bool) float64 {
	now := a.options.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	a.lowerLocked(now)

	if !known || age > a.options.MaxListAge || !a.mayUseLocked(now) {
		return 0
	}

	return 1 / float64(max(a.count, 1))
}

// mayUseLocked says whether all others that use their parts count this node; a.mu is held.
func (a *Apportioner) mayUseLocked(now time.Duration) bool {
	if a.first {
		return a.listed || now-a.firstAt <= firstGrace
	}

	return a.listed && now-a.listedAt > a.settling()
}
