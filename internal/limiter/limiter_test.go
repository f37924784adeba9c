package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/pkg/classifier"
)

// newSingleNode returns the limiter of the only node, whose base share is the whole
// limit.
func newSingleNode(source Source) *Limiter {
	l := New(Options{BaseShare: 1}, source, "a", 1)
	l.SetNodes(start, []string{"a"}, 1)

	return l
}

func TestCodesAndRetryAfter(t *testing.T) {
	tests := map[string]struct {
		limits Amounts
		code   classifier.Code
	}{
		"rate":        {Amounts{Requests: 2}, classifier.RateLimited},
		"concurrency": {Amounts{Concurrency: 2}, classifier.ConcurrencyLimited},
		"tokens":      {Amounts{Tokens: 10}, classifier.TokensLimited},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newSingleNode(fixedLimits(tt.limits))

			admit := func(now time.Time) (Refusal, bool) {
				return l.Admit(now, testKey.Service, testKey.Organisation, "chat")
			}

			for range 2 {
				_, ok := admit(start)
				assert.Assert(t, ok)
			}

			if tt.limits.Tokens > 0 {
				l.Done(start, testKey.Service, testKey.Organisation, "chat", 60)
			}

			refusal, ok := admit(start)
			assert.Assert(t, !ok)
			assert.Equal(t, refusal.Code, tt.code)
			assert.Equal(t, l.RefusalCounts()[tt.code.String()], int64(1))

			l.Done(start, testKey.Service, testKey.Organisation, "chat", 0)

			_, ok = admit(start.Add(refusal.RetryAfter))
			assert.Assert(t, ok, "a caller that obeys Retry-After is admitted")
		})
	}
}

// Guards against refused callers returning all at once, so that nearly all are refused
// again. Of an organisation with 2 requests a second, 40 callers arrive at once. All
// were given the same Retry-After.
func TestRetryAfterSpreadsRefusedCallers(t *testing.T) {
	l := newSingleNode(fixedLimits(Amounts{Requests: 2}))
	waiting := make(map[int]time.Time)

	for i := range 40 {
		waiting[i] = start
	}

	refusals := 0

	for now := start; len(waiting) > 0 && now.Before(start.Add(time.Minute)); now = now.Add(tick) {
		for i := range 40 {
			at, ok := waiting[i]
			if !ok || at.After(now) {
				continue
			}

			refusal, admitted := l.Admit(now, testKey.Service, testKey.Organisation, "chat")
			if admitted {
				delete(waiting, i)

				continue
			}

			refusals++
			waiting[i] = now.Add(refusal.RetryAfter)
		}
	}

	t.Logf("%d refusals of 40 callers", refusals)
	assert.Equal(t, len(waiting), 0)
	assert.Assert(t, refusals <= 60, "%d refusals", refusals)
}

func TestMemoryIsBounded(t *testing.T) {
	l := newSingleNode(fixedLimits(Amounts{Requests: 2, Tokens: 10}))

	l.Admit(start, testKey.Service, testKey.Organisation, "chat")
	l.Done(start, testKey.Service, testKey.Organisation, "chat", 1000)

	l.DueReports(start.Add(time.Minute))
	assert.Equal(t, len(l.states), 1, "a limit with a negative token balance is not evicted")

	l.DueReports(start.Add(3 * time.Minute))
	assert.Equal(t, len(l.states), 0)
}

func TestSetNodesWithoutChange(t *testing.T) {
	l := New(Options{}, fixedLimits(Amounts{Requests: 2}), "a", 1)

	for i := range 10 {
		l.SetNodes(start.Add(time.Duration(i)*time.Second), []string{"a", "b"}, 2)
	}

	assert.Equal(t, len(l.view.past), 0)
}

func BenchmarkAdmit(b *testing.B) {
	l := newSingleNode(fixedLimits(Amounts{Requests: 1e9, Concurrency: 1e9, Tokens: 1e9}))
	now := start
	b.ReportAllocs()

	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Admit(now, testKey.Service, testKey.Organisation, "chat")
		l.Done(now, testKey.Service, testKey.Organisation, "chat", 10)
	}
}
