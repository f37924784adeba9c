package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/pkg/classifier"
)

// quarantineAt quarantines the request from a given time on and records the outcomes that it receives.
type quarantineAt struct {
	from  time.Time
	ended []string
}

// Check implements dispatcher.Quarantine.
func (q *quarantineAt) Check(dispatcher.Request) (quarantiner.Verdict, bool) {
	return quarantiner.Verdict{Remaining: time.Hour}, !time.Now().Before(q.from)
}

// Ended implements dispatcher.Quarantine.
func (q *quarantineAt) Ended(_ dispatcher.Request, _ dispatcher.Attempt, outcome dispatcher.Outcome) {
	q.ended = append(q.ended, outcome.Result.String())
}

// Guards against sending a request that crashes upstreams, sending it again, or hedging it.
func TestRequestInQuarantineIsNotSent(t *testing.T) {
	slow, fast := script{first: 500 * ms, gap: ms}, script{first: 20 * ms, gap: ms}
	broken := script{first: 20 * ms, result: failed}

	tests := map[string]struct {
		upstreams []script
		// after is when the request is quarantined.
		after time.Duration
		code  classifier.Code
		ran   classifier.Ran
		sent  int
		ended []string
	}{
		"at arrival":          {upstreams: []script{fast}, code: classifier.RequestQuarantined, ran: classifier.RanNo},
		"after an attempt":    {upstreams: []script{broken, fast}, after: 10 * ms, code: classifier.UpstreamFailed, ran: classifier.RanUnknown, sent: 1, ended: []string{"failed"}},
		"before a second one": {upstreams: []script{slow, fast}, after: 10 * ms, sent: 1, ended: []string{"done"}},
		"later":               {upstreams: []script{slow, fast}, after: time.Hour, sent: 2, ended: []string{"done"}},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := &quarantineAt{from: time.Now().Add(tt.after)}
				w := &fixture{upstreams: tt.upstreams, spare: true, quarantine: q}
				failure := w.run(t.Context(), true, 0)

				w.check(t)
				assert.Equal(t, len(w.sent), tt.sent)
				assert.DeepEqual(t, q.ended, tt.ended)

				if tt.code == classifier.OK {
					assert.Assert(t, failure == nil)

					return
				}

				assert.Equal(t, failure.Code, tt.code)
				assert.Equal(t, failure.Ran, tt.ran)
				assert.Equal(t, failure.RetryAfter, time.Hour)
			})
		})
	}
}
