package balancer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// draft returns a request with a long shared prompt part.
func draft(id, session string) balancer.Request {
	return balancer.Request{
		ID: id, Priority: notesPriority, PromptTokens: 16_000, OutputTokens: 120, TimeLimit: 8 * time.Second,
		PromptParts: []balancer.PromptPart{{ID: session, Tokens: 13_000}, {ID: id, Tokens: 3000}},
		Target:      1500 * time.Millisecond, GapLimit: 600 * time.Millisecond,
	}
}

// An engine stores a shared prompt part once. If it were counted for each request, six requests would fill an
// engine that has memory for six prompts, and the others of the session would go to engines that have to
// read 13,000 tokens again.
func TestSharedPartTakesUpMemoryOnce(t *testing.T) {
	p := newPool(1, 64, balancer.Engine{CacheTokens: 100_000, EventTokens: 5})
	now := at(0)

	for i := range 20 {
		id := fmt.Sprint("d", i)
		granted(t, p, now, draft(id, "s"))

		now = now.Add(300 * time.Millisecond)
		p.RecordFirstEvent(now, id, nil)
	}

	// Another session doesn't fit beside them.
	_, decision := p.Acquire(now, "node", draft("other", "o"))
	assert.Equal(t, decision, balancer.Queued)

	for i := range 20 {
		p.RecordEnd(now, fmt.Sprint("d", i), balancer.Served)
	}

	grants := p.GrantQueued(now)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].ID, "other")
}

// A request that has waited for half of its patience must not go to an engine whose backlog makes it miss its
// target. When it took any engine with a slot, engines had a backlog of 47,000 prompt tokens at the median and
// 200,000 in 1 of 10 cases. Under overload most responses were then late, and many were never read because
// their callers had left.
func TestLongWaitOpensNoEngineThatIsLateAnyway(t *testing.T) {
	p := newPool(2, 64, balancer.Engine{CacheTokens: 600_000, EventTokens: 5})
	engine := granted(t, p, at(0), draft("first", "s"))
	p.RecordFirstEvent(at(150*time.Millisecond), "first", nil)
	p.RecordEnd(at(time.Second), "first", balancer.Served)

	other := "b"
	if engine == "b" {
		other = "a"
	}

	// Nodes that can't reach this holder fill both engines.
	long, short := draft("long", "l"), draft("short", "k")
	long.PromptTokens, short.PromptTokens = 300_000, 20_000
	p.AddRunning(at(1000*time.Millisecond), engine, long)
	p.AddRunning(at(1000*time.Millisecond), other, short)

	_, decision := p.Acquire(at(1001*time.Millisecond), "node", draft("second", "s"))
	assert.Equal(t, decision, balancer.Queued)

	p.RecordFirstEvent(at(1650*time.Millisecond), "short", nil)

	grants := p.GrantQueued(at(1660 * time.Millisecond))
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Choice.Upstream, other)
}

// The expected time to the first event must adapt to engines that read prompts five times as slowly or four times as
// fast as the initial estimate. Otherwise it is wrong by the same factor.
func TestTimeToTheFirstEventIsLearned(t *testing.T) {
	for _, rate := range []float64{22, 60, 440} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			p := newPool(1, 64, balancer.Engine{CacheTokens: 2_000_000, EventTokens: 5})
			now := at(0)
			took := time.Duration(16_000 / rate * float64(time.Millisecond))

			for i := range 200 {
				id := fmt.Sprint("d", i)
				granted(t, p, now, draft(id, id))
				now = now.Add(took)
				p.RecordFirstEvent(now, id, nil)
				p.RecordEnd(now, id, balancer.Served)
			}

			choice, decision := p.Acquire(now, "node", draft("last", "last"))
			assert.Equal(t, decision, balancer.Granted)
			assert.Assert(t, math.Abs(choice.ExpectedWaitMS/(16_000/rate)-1) < 0.15, "expected %.0f ms, true %.0f", choice.ExpectedWaitMS, 16_000/rate)
		})
	}
}

// A new holder is told of requests whose responses have begun. If the time of the report counted as the time of the
// first event, all engines would appear several times as fast as they are.
func TestRequestsThatContinueSayNothingOfTheSpeed(t *testing.T) {
	p := newPool(1, 64, balancer.Engine{CacheTokens: 2_000_000, EventTokens: 5})
	before := p.Estimates()

	for i := range 20 {
		p.AddAnswering(at(0), "a", draft(fmt.Sprint("d", i), "s"))
	}

	assert.Equal(t, p.Estimates(), before)
	report := p.Report(at(0))[0]
	assert.Equal(t, report.Running, 20)
	assert.Equal(t, report.BacklogTokens, 0.0)
	assert.Equal(t, report.Slowdown, 1.0)
}
