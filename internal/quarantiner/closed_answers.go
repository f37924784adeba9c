package quarantiner

import (
	"slices"
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

// AnsweredUntilClose records that an upstream answered a request successfully, and that nothing but the end of the connection told
// that the answer was complete.
func (q *Quarantiner) AnsweredUntilClose(run Run) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()
	q.closedAnswers = slices.DeleteFunc(q.closedAnswers, func(a closedAnswer) bool { return now.Sub(a.at) > confirmWindow })

	if len(q.closedAnswers) >= maxClosedAnswers {
		q.closedAnswers = slices.Delete(q.closedAnswers, 0, 1)
	}

	q.closedAnswers = append(q.closedAnswers, closedAnswer{Run: run, at: now})
	q.closedAnswerCount.Store(int64(len(q.closedAnswers)))
}

// Alive records that an upstream sent something.
func (q *Quarantiner) Alive(upstream string) {
	if q.closedAnswerCount.Load() == 0 {
		return
	}

	now := time.Now()

	for _, a := range q.takeClosedAnswers(func(a *closedAnswer) bool { return a.Upstream == upstream && now.Sub(a.at) >= aliveDelay }) {
		q.Answered(a.Traits, a.Service)
	}
}

// Unreachable records that an upstream took no connection: the answers that ended since it last sent something were broken off if
// it crashed.
func (q *Quarantiner) Unreachable(upstream string) {
	if q.closedAnswerCount.Load() == 0 {
		return
	}

	for _, a := range q.takeClosedAnswers(func(a *closedAnswer) bool { return a.Upstream == upstream }) {
		q.Broke(a.Run)
	}
}

// breakUnlisted records answers as broken off whose upstreams left the list. One that was draining left by plan.
func (q *Quarantiner) breakUnlisted(former, listed Upstreams) {
	if q.closedAnswerCount.Load() == 0 {
		return
	}

	unlisted := q.takeClosedAnswers(func(a *closedAnswer) bool { _, ok := listed.Upstream(a.Upstream); return !ok })
	for _, a := range unlisted {
		if before, ok := former.Upstream(a.Upstream); ok && before.Draining {
			q.Answered(a.Traits, a.Service)
		} else {
			q.Broke(a.Run)
		}
	}
}

// takeClosedAnswers removes and returns the answers that match.
func (q *Quarantiner) takeClosedAnswers(matches func(*closedAnswer) bool) []closedAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()

	var taken []closedAnswer

	q.closedAnswers = slices.DeleteFunc(q.closedAnswers, func(a closedAnswer) bool {
		isMatch := matches(&a)
		if isMatch {
			taken = append(taken, a)
		}

		return isMatch
	})
	q.closedAnswerCount.Store(int64(len(q.closedAnswers)))

	return taken
}
