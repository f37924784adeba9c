package relayer_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
)

// laterVerdict is a quarantine whose verdict changes while requests run.
type laterVerdict struct {
	noQuarantine

	// from is the number of checks that let requests run before.
	from int
	// refuses is set if requests are refused then, trial if they run as a trial, suspects if they are only suspected.
	refuses, suspects bool
	trial             quarantiner.Key

	mu                       sync.Mutex
	checks, trials, returned int
}

// Check implements relayer.Quarantine.
func (q *laterVerdict) Check(quarantiner.Traits, quarantiner.Key) (quarantiner.Verdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.checks++
	if q.checks <= q.from {
		return quarantiner.Verdict{}, true
	}

	if q.trial != (quarantiner.Key{}) {
		q.trials++
	}

	return quarantiner.Verdict{Remaining: time.Minute, Trial: q.trial}, !q.refuses
}

// ReturnTrial implements relayer.Quarantine.
func (q *laterVerdict) ReturnTrial(quarantiner.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.returned++
}

// IsSuspected implements relayer.Quarantine.
func (q *laterVerdict) IsSuspected([]quarantiner.Part, []time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.checks++

	return q.suspects && q.checks > q.from
}

// Guards against a request that crashes another upstream, as it was quarantined while its attempt was silent, and against one that
// is given up for an attempt that may not be sent.
func TestQuarantinedRequestReplacesNoSilentAttempt(t *testing.T) {
	for name, q := range map[string]*laterVerdict{
		// Two checks before the first attempt is sent, and a question whether it is suspected.
		"refused":   {from: 3, refuses: true},
		"trial":     {from: 3, trial: quarantiner.Key{1}},
		"suspected": {from: 3, suspects: true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
				w.quarantine = q
				w.restart()
				w.add(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(shortSilence)
					respondWith(http.StatusOK, "late")(rw, r)
				})
				second := w.add(respondWith(http.StatusOK, "elsewhere"))

				_, body, err := w.send("/quote/1", nil)
				assert.NilError(t, err)
				assert.Equal(t, body, "late")
				assert.Equal(t, second.count(), 0)
				assert.Equal(t, q.returned, q.trials)
			})
		})
	}
}
