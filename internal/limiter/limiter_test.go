package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/pkg/classifier"
)

// newAlone returns a limiter of the only node, whose base share is the whole limit.
func newAlone(source Source) *Limiter {
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
			l := newAlone(fixedLimits(tt.limits))

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
			assert.Assert(t, ok, "a caller who obeys Retry-After gets in")
		})
	}
}

// Symptom: refused callers come back in one crowd, and nearly all are refused again.
// Sequence: 40 callers of an organisation with 2 requests a second come at once.
// Cause: all are told the same time.
func TestCrowdGetsInByRetryAfter(t *testing.T) {
	l := newAlone(fixedLimits(Amounts{Requests: 2}))
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
	l := newAlone(fixedLimits(Amounts{Requests: 2, Tokens: 10}))

	l.Admit(start, testKey.Service, testKey.Organisation, "chat")
	l.Done(start, testKey.Service, testKey.Organisation, "chat", 1000)

	l.DueReports(start.Add(time.Minute))
	assert.Equal(t, len(l.entries), 1, "a debt is not forgotten")

	l.DueReports(start.Add(3 * time.Minute))
	assert.Equal(t, len(l.entries), 0)
}

func TestSameNodesAgainChangeNothing(t *testing.T) {
	l := New(Options{}, fixedLimits(Amounts{Requests: 2}), "a", 1)

	for i := range 10 {
		l.SetNodes(start.Add(time.Duration(i)*time.Second), []string{"a", "b"}, 2)
	}

	assert.Equal(t, len(l.view.former), 0)
}

func BenchmarkAdmit(b *testing.B) {
	l := newAlone(fixedLimits(Amounts{Requests: 1e9, Concurrency: 1e9, Tokens: 1e9}))
	now := start
	b.ReportAllocs()

	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Admit(now, testKey.Service, testKey.Organisation, "chat")
		l.Done(now, testKey.Service, testKey.Organisation, "chat", 10)
	}
}
