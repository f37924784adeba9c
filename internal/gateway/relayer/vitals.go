package relayer

import (
	"sync"
	"time"
)

const (
	// overtakers is the number of later requests that must be answered first before an earlier one counts as lost.
	overtakers = 3
	// recentAnswers bounds the answers that are remembered of one upstream.
	recentAnswers = 16
	// vitalsKept is how long an upstream without any sign of life is remembered.
	vitalsKept = time.Minute
)

// vitals remembers the signs of life of upstreams. It is safe for concurrent use.
//
// A request that waits long at a busy upstream must not be taken away from it: the second
// upstream would do all of its work anew, and under overload that multiplies the
// load. So a silent request is given up on only when its whole upstream is silent,
// or when several requests that were sent later were answered before it.
type vitals struct {
	mu        sync.Mutex
	upstreams map[string]*vital
	sweptAt   time.Time
}

type vital struct {
	// seen is when the upstream last sent anything.
	seen time.Time
	// answered holds the sending times of the requests that it answered last.
	answered []answeredRequest
}

type answeredRequest struct {
	sent     time.Time
	priority int
}

func newVitals() *vitals {
	return &vitals{upstreams: make(map[string]*vital)}
}

// seen records a sign of life.
func (v *vitals) seen(upstream string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.of(upstream, now).seen = now
}

// answered records the first event or the answer of a request.
func (v *vitals) answered(upstream string, sent, now time.Time, priority int) {
	v.mu.Lock()
	defer v.mu.Unlock()

	known := v.of(upstream, now)
	known.seen = now
	known.answered = append(known.answered, answeredRequest{sent: sent, priority: priority})

	if len(known.answered) > recentAnswers {
		known.answered = known.answered[1:]
	}
}

// forget drops the signs of life of an upstream.
func (v *vitals) forget(upstream string) {
	v.mu.Lock()
	defer v.mu.Unlock()

	delete(v.upstreams, upstream)
}

func (v *vitals) of(upstream string, now time.Time) *vital {
	if now.Sub(v.sweptAt) > vitalsKept {
		v.sweptAt = now

		for id, known := range v.upstreams {
			if now.Sub(known.seen) > vitalsKept {
				delete(v.upstreams, id)
			}
		}
	}

	known, ok := v.upstreams[upstream]
	if !ok {
		known = &vital{}
		v.upstreams[upstream] = known
	}

	return known
}

// lost says whether a request that was sent at the given time and waits since then counts as lost.
func (v *vitals) lost(upstream string, sent, now time.Time, priority int, timeout time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	known, ok := v.upstreams[upstream]
	if !ok || now.Sub(known.seen) >= timeout {
		return true
	}

	overtaken := 0

	for _, other := range known.answered {
		if other.priority >= priority && other.sent.After(sent) {
			overtaken++
		}
	}

	return overtaken >= overtakers
}
