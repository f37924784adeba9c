package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// Symptom: second copies of slow requests take slots from requests that wait, or end running ones.
// Sequence: a copy is asked for while a pool is full, while a request waits, and while a slot is free.
// Cause: the copy is queued like a first attempt.
func TestSpareTakesOnlyWhatNobodyWaitsFor(t *testing.T) {
	start := time.Date(2026, time.April, 2, 8, 0, 0, 0, time.UTC)
	p := New(testService(1, 1), Options{FixedSlots: true, Headroom: -1})

	submit := func(id, class string, spare bool, exclude ...string) Decision {
		t.Helper()

		decisions := p.Submit(start, Request{ID: id, Entry: "n", Class: class, Organisation: "o", Spare: spare, Exclude: exclude})
		if len(decisions) == 0 {
			return Decision{}
		}

		assert.Equal(t, len(decisions), 1)

		return decisions[0]
	}

	running := submit("first", "notes", false)
	assert.Equal(t, running.Kind, Grant)

	refused := submit("copy", "counter", true)
	assert.Equal(t, refused.Kind, Refuse, "the pool is full; the notes must go on")
	assert.Equal(t, refused.Code, classifier.NoUpstream)
	assert.Equal(t, len(p.waiting), 0)

	p.Finish(start, running.GrantID, Report{Result: dispatcher.ResultDone})

	granted := submit("second copy", "counter", true)
	assert.Equal(t, granted.Kind, Grant)
	assert.Equal(t, submit("waits", "chat", false).Kind, DecisionKind(0))

	p.Finish(start, granted.GrantID, Report{Result: dispatcher.ResultSuperseded})
	assert.Equal(t, submit("third copy", "chat", true).Kind, Refuse, "the waiting request has the slot")
}

// Symptom: a server is filled beyond its limit after a holder crashed, or a copy goes before a request that waits.
// Sequence: a copy is asked for while capacity is unknown; or while a request waits that the only free server must not get.
// Cause: the free slot of the copy is taken for nobody's.
func TestSpareWaitsForNothingAndOvertakesNobody(t *testing.T) {
	start := time.Date(2026, time.April, 2, 8, 0, 0, 0, time.UTC)

	for _, class := range []string{"counter", "chat"} {
		p := New(testService(2, 1), Options{FixedSlots: true, Headroom: -1})
		p.Rebuild(start, []string{"n"})
		assert.Equal(t, p.Submit(start, Request{ID: "copy", Entry: "n", Class: class, Spare: true})[0].Kind, Refuse)

		p = New(testService(2, 1), Options{FixedSlots: true, Headroom: -1})
		assert.Equal(t, p.Submit(start, Request{ID: "runs", Entry: "n", Class: "counter", Exclude: []string{"e02"}})[0].Kind, Grant)
		assert.Equal(t, len(p.Submit(start, Request{ID: "waits", Entry: "n", Class: class, Exclude: []string{"e02"}})), 0)
		assert.Equal(t, p.Submit(start, Request{ID: "copy", Entry: "n", Class: class, Spare: true})[0].Kind, Refuse)
	}
}

// Symptom: an upstream gets no more work although nothing is wrong with it.
// Sequence: its attempts are cancelled again and again since others delivered first.
// Cause: the cancelled attempts count as failures.
func TestSupersededIsNoFailure(t *testing.T) {
	start := time.Date(2026, time.April, 2, 8, 0, 0, 0, time.UTC)
	p := New(testService(1, 2), Options{})

	for range 10 {
		decisions := p.Submit(start, Request{ID: "r", Entry: "n", Class: "counter", Organisation: "o"})
		p.Finish(start, decisions[0].GrantID, Report{Result: dispatcher.ResultSuperseded, Duration: time.Second})
	}

	assert.Assert(t, p.servers[0].open(start))
	assert.Equal(t, p.servers[0].failures, 0)
	assert.Equal(t, p.servers[0].slots(), 2)
}

// Symptom: lookups miss their target on one server again and again, each after the budget of copies was spent on it.
// Sequence: the server straggles; copies elsewhere overtake its attempts, which are cancelled before they have a token.
// Cause: a cancelled attempt tells no time, so that the straggler looks as good as it ever did.
func TestOvertakenAttemptsShowStraggler(t *testing.T) {
	p := New(testService(2, 1), Options{FixedSlots: true, Headroom: -1})
	now := epoch

	end := func(server string, report Report) {
		t.Helper()

		other := map[string]string{"e01": "e02", "e02": "e01"}[server]
		now = now.Add(100 * time.Millisecond)
		decisions := p.Submit(now, Request{ID: now.String(), Entry: "n", Class: "counter", Exclude: []string{other}})
		p.Finish(now, decisions[0].GrantID, report)
	}

	for range 64 {
		end("e01", fakeEngine(1, 1))
		end("e02", fakeEngine(1, 1))
	}

	overtaken := Report{Result: dispatcher.ResultSuperseded, Duration: 120 * time.Millisecond}

	for range 10 {
		end("e01", overtaken)
		end("e01", fakeEngine(1, 1))
		end("e01", fakeEngine(1, 1))
	}

	p.view.look(now)
	assert.Assert(t, !p.view.straggles(p.server("e01")), "one in three is a matter of luck")

	early := overtaken
	early.Duration = 30 * time.Millisecond

	for range 10 {
		end("e02", early)
	}

	p.view.look(now)
	assert.Assert(t, !p.view.straggles(p.server("e02")), "it may have been about to deliver")

	for range 4 {
		end("e01", overtaken)
	}

	p.view.look(now)
	assert.Assert(t, p.view.straggles(p.server("e01")))
	assert.Assert(t, p.server("e01").open(now), "it is no failure")
}
