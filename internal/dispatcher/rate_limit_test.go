package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/pkg/classifier"
)

// admitsFrom admits requests to an upstream from a given time on. It counts the requests that it refused.
type admitsFrom struct {
	from    map[string]time.Time
	refused int
}

// Admit implements dispatcher.RateLimiter.
func (a *admitsFrom) Admit(_ context.Context, address string) (time.Duration, bool) {
	wait := time.Until(a.from[address])
	if wait > 0 {
		a.refused++
	}

	return max(wait, 0), wait <= 0
}

// Guards against requests that are sent against the rate limit of an upstream, wait beyond what their class allows, or are
// refused without the time at which the limits admit them.
func TestRequestsFollowRateLimits(t *testing.T) {
	fast := script{first: 20 * ms, gap: ms}
	answerTime := fast.first + wholeAnswer*fast.gap

	tests := map[string]struct {
		// waits is how long each upstream admits nothing.
		waits map[string]time.Duration
		code  classifier.Code
		after time.Duration
		took  time.Duration
		to    string
	}{
		"another upstream":     {waits: map[string]time.Duration{"0": time.Hour}, took: answerTime, to: "1"},
		"the first that may":   {waits: map[string]time.Duration{"0": 300 * ms, "1": 200 * ms}, took: 200*ms + answerTime, to: "1"},
		"longer than it waits": {waits: map[string]time.Duration{"0": 3 * time.Second, "1": 2 * time.Second}, code: classifier.UpstreamRateLimited, after: 2 * time.Second},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := &admitsFrom{from: make(map[string]time.Time)}
				for address, wait := range tt.waits {
					limiter.from[address] = time.Now().Add(wait)
				}

				begin := time.Now()
				w := &fixture{upstreams: []script{fast, fast}, limiter: limiter, maxWait: time.Second}
				failure := w.run(t.Context(), true, 0)

				assert.Equal(t, time.Since(begin), tt.took)
				assert.Equal(t, limiter.refused, len(tt.waits))
				assert.Equal(t, w.problem(), "")

				if tt.code != classifier.OK {
					assert.Equal(t, failure.Code, tt.code)
					assert.Equal(t, failure.RetryAfter, tt.after)
					assert.Equal(t, failure.Ran, classifier.RanNo)
					assert.Equal(t, len(w.sent), 0)

					return
				}

				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, w.sent[0].Slot.Upstream.Name, tt.to)
			})
		})
	}
}
