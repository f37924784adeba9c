package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// preempting grants slots that are preempted after a second.
type preempting struct{ results []Result }

func (p *preempting) Acquire(context.Context, SlotRequest) (Slot, error) {
	preempted := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(preempted) })

	return Slot{Upstream: configurer.Upstream{Name: "u"}, Preempted: preempted}, nil
}

func (p *preempting) Release(Slot, SlotRequest, Outcome) {}

func (p *preempting) Progress() int { return 0 }

func (p *preempting) Send(ctx context.Context, _ Attempt) Outcome {
	select {
	case <-ctx.Done():
		return Outcome{Result: ResultCallerGone}
	case <-time.After(3 * time.Second):
		return Outcome{Result: ResultDone}
	}
}

func (p *preempting) Decide(_ Request, _ Attempt, outcome Outcome, _ int) RetryDecision {
	p.results = append(p.results, outcome.Result)

	return RetryDecision{Retry: outcome.Result == ResultPreempted && len(p.results) < 2}
}

func (p *preempting) AttemptEnded(Request, Attempt, Outcome, RetryDecision) {}

// Guards against cancelling an attempt that cannot be sent again. If its slot is preempted for a higher tier while the
// service works on it, the caller gets no answer, and nobody can tell whether the booking was made.
func TestNotRepeatableIsNotCancelled(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		results    []Result
	}{
		"repeatable":     {true, []Result{ResultPreempted, ResultPreempted}},
		"not repeatable": {false, []Result{ResultDone}},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &preempting{}
				failure := New(p, p, p).Run(t.Context(), Request{Repeatable: tt.repeatable}, p)

				assert.Assert(t, failure == nil)
				assert.DeepEqual(t, p.results, tt.results)
			})
		})
	}
}

func TestCallerGoneBeforeAnyAttemptIsNotRun(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()

	failure := acquireError(gone, gone.Err(), History{})
	assert.Equal(t, failure.Code, classifier.CallerGone)
	assert.Equal(t, failure.Ran, classifier.RanNo)

	failed := History{}.WithAttempt(Outcome{Result: ResultFailed})
	assert.Equal(t, acquireError(gone, gone.Err(), failed).Ran, classifier.RanUnknown)
}
