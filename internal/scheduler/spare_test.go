package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// Guards against second copies of slow requests that take slots from waiting requests or preempt
// running ones. Copies are submitted while the pool is full, while a request is waiting, and while a
// slot is free; they must not be queued like first attempts.
func TestSpareGetsOnlyUnclaimedSlot(t *testing.T) {
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
	assert.Equal(t, refused.Kind, Refuse, "the pool is full and the copy must not preempt the notes")
	assert.Equal(t, refused.Code, classifier.NoUpstream)
	assert.Equal(t, len(p.waiting), 0)

	p.Finish(start, running.GrantID, Report{Result: dispatcher.ResultDone})

	granted := submit("second copy", "counter", true)
	assert.Equal(t, granted.Kind, Grant)
	assert.Equal(t, submit("waits", "chat", false).Kind, DecisionKind(0))

	p.Finish(start, granted.GrantID, Report{Result: dispatcher.ResultSuperseded})
	assert.Equal(t, submit("third copy", "chat", true).Kind, Refuse, "the waiting request gets the slot")
}

// Guards against a copy that fills a server beyond its limit after a holder crashed, or overtakes a
// waiting request. Copies are submitted while capacity is unknown, and while a request is waiting that
// excludes the only free server; the free slot must not be treated as unclaimed.
func TestSpareNeitherWaitsNorOvertakes(t *testing.T) {
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

// Guards against closing a healthy upstream whose attempts are repeatedly cancelled because others
// delivered first: a superseded attempt is no failure.
func TestSupersededIsNoFailure(t *testing.T) {
	start := time.Date(2026, time.April, 2, 8, 0, 0, 0, time.UTC)
	p := New(testService(1, 2), Options{})

	for range 10 {
		decisions := p.Submit(start, Request{ID: "r", Entry: "n", Class: "counter", Organisation: "o"})
		p.Finish(start, decisions[0].GrantID, Report{Result: dispatcher.ResultSuperseded, Duration: time.Second})
	}

	assert.Assert(t, p.servers[0].isOpen(start))
	assert.Equal(t, p.servers[0].failures, 0)
	assert.Equal(t, p.servers[0].slots(), 2)
}

// Guards against lookups that repeatedly miss their target on one server once the hedging budget is
// spent on it. Copies elsewhere overtake the attempts on the straggler, which are cancelled before
// their first token. A cancelled attempt reported no time, so the straggler still looked fast.
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

	p.view.refresh(now)
	assert.Assert(t, !p.view.isAvoided(p.server("e01")), "one slow attempt in three does not mark a straggler")

	early := overtaken
	early.Duration = 30 * time.Millisecond

	for range 10 {
		end("e02", early)
	}

	p.view.refresh(now)
	assert.Assert(t, !p.view.isAvoided(p.server("e02")), "an attempt superseded early says nothing about its server")

	for range 4 {
		end("e01", overtaken)
	}

	p.view.refresh(now)
	assert.Assert(t, p.view.isAvoided(p.server("e01")))
	assert.Assert(t, p.server("e01").isOpen(now), "a superseded attempt is not a failure")
}
