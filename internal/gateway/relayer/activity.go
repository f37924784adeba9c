package relayer

import (
	"sync"
	"time"
)

const (
	// overtakeThreshold is the number of later requests with a response after which an earlier one counts as lost.
	overtakeThreshold = 3
	// maxRecentResponses limits the remembered responses of an upstream.
	maxRecentResponses = 16
	// activityRetention is how long an upstream without activity is remembered.
	activityRetention = time.Minute
)

// activityTracker records when upstreams last sent data. It is safe for concurrent use.
//
// A request that waits long at a busy upstream must not be retried elsewhere: the second
// upstream would repeat all of its work, and under overload that multiplies the
// load. A request without a response is therefore considered lost only if its upstream
// sends nothing at all, or if several requests that were sent later got a response before it.
type activityTracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamActivity
	sweptAt   time.Time
}

type upstreamActivity struct {
	// lastSeen is when the upstream last sent anything.
	lastSeen time.Time
	// silentSince is since when it has sent nothing to any of the attempts that were given up for its silence and overlapped; zero if
	// there are none. The last one of these was given up at silentUntil.
	silentSince, silentUntil time.Time
	// responses holds the requests that most recently got a response.
	responses []respondedRequest
}

type respondedRequest struct {
	sent     time.Time
	priority int
}

func newActivityTracker() *activityTracker {
	return &activityTracker{upstreams: make(map[string]*upstreamActivity)}
}

// recordActivity records that the upstream sent data.
func (t *activityTracker) recordActivity(upstream string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	known := t.entry(upstream, now)
	known.lastSeen, known.silentSince = now, time.Time{}
}

// recordResponse records the first event of a request's response, with the time at which the request was sent.
func (t *activityTracker) recordResponse(upstream string, sent, now time.Time, priority int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	known := t.entry(upstream, now)
	known.lastSeen, known.silentSince = now, time.Time{}
	known.responses = append(known.responses, respondedRequest{sent: sent, priority: priority})

	if len(known.responses) > maxRecentResponses {
		known.responses = known.responses[1:]
	}
}

// recordSilence records that an attempt is given up now that has heard nothing since the given time. It returns since when the upstream
// has been silent, by all such attempts. Time in which none of them waited for it proves nothing.
func (t *activityTracker) recordSilence(upstream string, since, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	known := t.entry(upstream, now)
	if known.silentSince.IsZero() || since.After(known.silentUntil) {
		known.silentSince = since
	}

	if known.lastSeen.After(known.silentSince) {
		known.silentSince = known.lastSeen
	}

	known.silentUntil = now

	return known.silentSince
}

// isSilent reports whether an upstream has sent nothing since the given time.
func (t *activityTracker) isSilent(upstream string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	known, ok := t.upstreams[upstream]

	return ok && !known.lastSeen.After(since)
}

// forget discards the recorded activity of an upstream.
func (t *activityTracker) forget(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.upstreams, upstream)
}

func (t *activityTracker) entry(upstream string, now time.Time) *upstreamActivity {
	if now.Sub(t.sweptAt) > activityRetention {
		t.sweptAt = now

		for id, known := range t.upstreams {
			if now.Sub(known.lastSeen) > activityRetention {
				delete(t.upstreams, id)
			}
		}
	}

	known, ok := t.upstreams[upstream]
	if !ok {
		known = &upstreamActivity{}
		t.upstreams[upstream] = known
	}

	return known
}

// isLost reports whether a request that was sent at the given time and has got no response since counts as lost.
func (t *activityTracker) isLost(upstream string, sent, now time.Time, priority int, timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	known, ok := t.upstreams[upstream]
	if !ok || now.Sub(known.lastSeen) >= timeout {
		return true
	}

	overtaken := 0

	for _, other := range known.responses {
		if other.priority >= priority && other.sent.After(sent) {
			overtaken++
		}
	}

	return overtaken >= overtakeThreshold
}
