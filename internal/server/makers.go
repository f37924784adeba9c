package server

import (
	"sync"
	"time"
)

const (
	// hearingTime is how long a node may take to hear the incarnation of another that lives.
	hearingTime = 5 * time.Second
	// maxNewcomers bounds the incarnations that a node keeps in mind.
	maxNewcomers = 1024
)

// Alive implements claimer.Makers: it says whether the run of a node that made a claim goes on.
//
// A run of which this node has not heard may have begun a moment ago, here or
// there. Taken for gone, it would make this node tell callers that the outcome
// of a booking is unknown while the booking runs, and the callers would not ask
// again. So such a run counts as alive for as long as hearing of it takes, and
// so does that of a node that joined and is no member here yet.
func (m *members) Alive(node, incarnation string) bool {
	view := m.view.Load()
	run := view.runs[node]

	switch {
	case run == incarnation && run != "":
		return true
	case view.ended[node] == incarnation:
		return false
	case run != "":
		return m.newcomers.mayCome(time.Now(), node, incarnation)
	}

	if since, unheard := view.unheard[node]; unheard {
		return time.Since(since) < hearingTime
	}

	return !view.isMember(node) && m.newcomers.mayCome(time.Now(), node, incarnation)
}

// newcomers are incarnations that were asked for before the node heard of them,
// with the time of the first question. It is safe for concurrent use.
type newcomers struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// mayCome says whether the node may still come to hear of an incarnation.
func (n *newcomers) mayCome(now time.Time, node, incarnation string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	name := node + "." + incarnation

	since, known := n.since[name]
	if !known {
		n.makeRoom(now)
		n.since[name] = now
		since = now
	}

	return now.Sub(since) < hearingTime
}

// makeRoom forgets those that will not come; asked for again they only wait anew.
func (n *newcomers) makeRoom(now time.Time) {
	if len(n.since) < maxNewcomers {
		return
	}

	for name, since := range n.since {
		if now.Sub(since) >= hearingTime {
			delete(n.since, name)
		}
	}
}
