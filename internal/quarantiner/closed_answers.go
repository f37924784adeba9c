package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// An answer with neither a length nor chunks ends with its connection, also if the upstream crashed between two events. So it only
// counts as answered once the upstream has sent something else, and as broken off if the upstream is found to be gone.

const (
	// aliveDelay is how long after the end of such an answer its upstream must send something. What it sent before it crashed may
	// be read shortly after.
	aliveDelay = 150 * time.Millisecond
	// maxClosedAnswers bounds the answers of which this node doesn't know yet whether their upstreams live.
	maxClosedAnswers = 2048
)

// closedAnswer is an answer that ended with its connection.
type closedAnswer struct {
	Run

	at time.Time
}

// closedAnswers holds such answers by upstream. It is safe for concurrent use. Each event of a stream asks it, so it must not visit
// the answers of other upstreams then.
type closedAnswers struct {
	// count is the number of answers; it is read without the lock.
	count atomic.Int64

	mu sync.Mutex
	// byUpstream holds the answers of each upstream that has some, oldest first.
	byUpstream map[string][]closedAnswer
}

func newClosedAnswers() *closedAnswers {
	return &closedAnswers{byUpstream: make(map[string][]closedAnswer)}
}

func (c *closedAnswers) add(now time.Time, run Run) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for upstream := range c.byUpstream {
		c.remove(upstream, func(a *closedAnswer) bool { return now.Sub(a.at) > confirmWindow })
	}

	if c.count.Load() >= maxClosedAnswers {
		c.dropOldest()
	}

	c.byUpstream[run.Upstream] = append(c.byUpstream[run.Upstream], closedAnswer{Run: run, at: now})
	c.count.Add(1)
}

// dropOldest drops the oldest answer; c.mu is held.
func (c *closedAnswers) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(c.byUpstream)), func(a, b []closedAnswer) int { return a[0].at.Compare(b[0].at) })[0]
	c.remove(oldest.Upstream, func(a *closedAnswer) bool { return a.at.Equal(oldest.at) })
}

// take removes and returns the answers of an upstream that ended at the given time or before.
func (c *closedAnswers) take(upstream string, until time.Time) []Run {
	if c.count.Load() == 0 {
		return nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.remove(upstream, func(a *closedAnswer) bool { return !a.at.After(until) })
}

// takeUnlisted removes and returns the answers of upstreams that aren't listed.
func (c *closedAnswers) takeUnlisted(listed Upstreams) []Run {
	c.mu.Lock()
	defer c.mu.Unlock()

	var taken []Run

	for upstream := range c.byUpstream {
		if _, ok := listed.Upstream(upstream); !ok {
			taken = append(taken, c.remove(upstream, func(*closedAnswer) bool { return true })...)
		}
	}

	return taken
}

// remove removes and returns the answers of an upstream that match; c.mu is held.
func (c *closedAnswers) remove(upstream string, matches func(*closedAnswer) bool) []Run {
	var removed []Run

	kept := slices.DeleteFunc(c.byUpstream[upstream], func(a closedAnswer) bool {
		isMatch := matches(&a)
		if isMatch {
			removed = append(removed, a.Run)
		}

		return isMatch
	})

	if len(kept) == 0 {
		delete(c.byUpstream, upstream)
	} else {
		c.byUpstream[upstream] = kept
	}

	c.count.Add(-int64(len(removed)))

	return removed
}

// AnsweredUntilClose records that an upstream answered a request successfully, and that nothing but the end of the connection told
// that the answer was complete.
func (q *Quarantiner) AnsweredUntilClose(run Run) {
	q.closedAnswers.add(time.Now(), run)
}

// Alive records that an upstream sent something.
func (q *Quarantiner) Alive(upstream string) {
	for _, run := range q.closedAnswers.take(upstream, time.Now().Add(-aliveDelay)) {
		q.Answered(run.Traits, run.Service)
	}
}

// Unreachable records that an upstream took no connection: the answers that ended since it last sent something were broken off if
// it crashed.
func (q *Quarantiner) Unreachable(upstream string) {
	for _, run := range q.closedAnswers.take(upstream, time.Now()) {
		q.Broke(run)
	}
}

// breakUnlisted records answers as broken off whose upstreams left the list. One that was draining left by plan.
func (q *Quarantiner) breakUnlisted(former, listed Upstreams) {
	for _, run := range q.closedAnswers.takeUnlisted(listed) {
		if before, ok := former.Upstream(run.Upstream); ok && before.Draining {
			q.Answered(run.Traits, run.Service)
		} else {
			q.Broke(run)
		}
	}
}
