package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// fakeEngine returns the report of a batching engine whose tokens slow down as it fills.
func fakeEngine(running int, factor float64) Report {
	gap := time.Duration(factor * float64(20*time.Millisecond) * (1 + 0.04*float64(running-1)))

	return Report{Result: dispatcher.ResultDone, FirstToken: 2 * gap, TokenGap: gap, Tokens: 50, Duration: 50 * gap}
}

// saturate keeps the pool full of the class for a number of answers, with a slowdown factor per
// server.
func saturate(p *Pool, class string, answers int, factors map[string]float64) time.Time {
	now := epoch

	for i := range answers {
		for len(p.tiers[p.byClass[class].settings.Tier].byOrganisation) == 0 || p.byClass[class].total < 4 {
			p.Submit(now, ask(fmt.Sprintf("s%d-%d", i, p.sequence), class))
		}

		oldest := oldestGrant(p)
		now = now.Add(10 * time.Millisecond)
		factor := max(factors[oldest.server.upstream.Name], 1)
		p.Finish(now, oldest.id, fakeEngine(oldest.server.inFlight, factor))
	}

	return now
}

func oldestGrant(p *Pool) *grant {
	var oldest *grant

	for _, g := range p.grants {
		if oldest == nil || g.sequence < oldest.sequence {
			oldest = g
		}
	}

	return oldest
}

func TestLimitSettlesWhereTheTokenGapMeetsItsTarget(t *testing.T) {
	service := withClass(testService(1, 4), "chat", func(c *configurer.Class) { c.MaxWait = time.Hour })
	service = withClass(service, "chat", func(c *configurer.Class) { c.TokenGap = 40 * time.Millisecond })
	p := New(service, Options{Headroom: -1, NoPredictiveRefusals: true})
	saturate(p, "chat", 3000, nil)

	// 0.97 of 40 ms is reached at 20 ms x (1 + 0.04 x 23.5): 24 running.
	limit := p.Stats().Limit["e01"]
	assert.Assert(t, limit >= 20 && limit <= 25, "limit %d", limit)
}

func TestStragglerShrinksAndLosesTierOne(t *testing.T) {
	service := withClass(testService(3, 4), "chat", func(c *configurer.Class) { c.MaxWait = time.Hour })
	p := New(service, Options{Headroom: -1, NoPredictiveRefusals: true})
	now := saturate(p, "chat", 2000, map[string]float64{"e02": 5})

	limits := p.Stats().Limit
	assert.Assert(t, limits["e02"] <= 2 && limits["e01"] > 8, "%v", limits)
	assert.Assert(t, p.server("e02").slowness(now) > stragglerRatio, "%v %v", p.server("e02").slowness(now), p.gaps)

	for _, g := range p.grantsOf("n1") {
		p.Cancel(now, g.request.ID)
	}

	for id := range p.waiting {
		p.Cancel(now, id)
	}

	for i := range 6 {
		decisions := p.Submit(now, ask(fmt.Sprintf("c%d", i), "counter"))
		assert.Assert(t, decisions[0].Upstream != "e02")
	}

	assert.Assert(t, p.server("e02").slowness(now.Add(5*time.Minute)) < stragglerRatio, "a straggler is used again later")
}

// Guards against closing a server for half a minute after one crash. Twelve answers run, the engine
// crashes, and twelve failures arrive within a millisecond; each one counted as a separate failure and
// doubled the time.
func TestCrashThatBreaksManyAnswersCountsOnce(t *testing.T) {
	p := New(testService(2, 12), Options{Headroom: -1})
	held := fill(p, epoch, "chat", 24)
	crashed := epoch.Add(time.Second)

	for _, id := range held {
		if g := p.grants[id]; g.server.upstream.Name == "e01" {
			p.Finish(crashed, id, Report{Result: dispatcher.ResultFailed})
		}
	}

	s := p.server("e01")
	assert.Equal(t, s.closedUntil, crashed.Add(minCloseTime))
	assert.Equal(t, s.slots(), 6)
	assert.Equal(t, len(p.Submit(crashed, ask("r", "chat"))), 0)
	assert.DeepEqual(t, describe(p.Tick(s.closedUntil)), []string{"grant r"})
}

func TestOneSilentResultDoesNotCloseServer(t *testing.T) {
	p := New(testService(1, 4), Options{Headroom: -1})
	held := fill(p, epoch, "chat", 1)
	p.Finish(epoch.Add(time.Second), held[0], Report{Result: dispatcher.ResultSilent})
	assert.Assert(t, p.server("e01").isOpen(epoch.Add(time.Second)))
}

func TestClosedServersAreUsedWhenAllAreClosed(t *testing.T) {
	p := New(testService(1, 4), Options{Headroom: -1})
	held := fill(p, epoch, "chat", 1)
	now := epoch.Add(time.Second)
	p.Finish(now, held[0], Report{Result: dispatcher.ResultNotSent})
	assert.DeepEqual(t, describe(p.Submit(now, ask("r", "counter"))), []string{"grant r"})
}

func TestPreemptionTakesTheLowestTierWithTheLeastProgress(t *testing.T) {
	p := New(testService(1, 3), Options{Headroom: -1, FixedSlots: true})
	p.Submit(epoch, ask("old", "notes"))
	p.Submit(epoch.Add(time.Second), ask("young", "notes"))
	p.Submit(epoch.Add(2*time.Second), ask("chat", "chat"))

	now := epoch.Add(3 * time.Second)
	assert.Equal(t, len(p.Submit(now, ask("c", "counter"))), 0)

	// The target is 300 ms, of which 150 ms are for the unknown first token and 50 ms for the cancel.
	due := now.Add(100 * time.Millisecond)
	assert.Equal(t, p.NextTick(), due)
	assert.DeepEqual(t, describe(p.Tick(due)), []string{"preempt young"})
	assert.Equal(t, len(p.Tick(due.Add(100*time.Millisecond))), 0, "one preemption per waiting request")

	report := Report{Result: dispatcher.ResultPreempted, Tokens: 40}
	assert.DeepEqual(t, describe(p.Finish(due.Add(50*time.Millisecond), p.grantByRequest["young"].id, report)), []string{"grant c"})
	assert.Equal(t, p.Stats().TokensLost, 40)
}

// Guards against counter lookups that wait for a second on a node that preempts instead of using
// engine priority. Two concurrent holders fill a server; the remaining one adopts all attempts, so the
// server is far above its limit when a lookup arrives. Only servers within their limits were
// preempted, and nobody could use a slot that was released above the limit.
func TestTierOneUsesVacatedSlotAboveLimit(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1, FixedSlots: true})

	var flights []InFlight
	for _, id := range []string{"g1", "g2", "g3"} {
		flights = append(flights, InFlight{GrantID: id, RequestID: id, Upstream: "e01", Class: "chat", StartedAt: epoch})
	}

	p.Reconcile(epoch, "n1", flights)
	assert.Equal(t, len(p.Submit(epoch, ask("c", "counter"))), 0)

	now := epoch.Add(100 * time.Millisecond)
	preempted := p.Tick(now)
	assert.DeepEqual(t, describe(preempted), []string{"preempt g3"})

	report := Report{Result: dispatcher.ResultPreempted}
	assert.DeepEqual(t, describe(p.Finish(now, preempted[0].GrantID, report)), []string{"grant c"})

	// Requests that end without preemption first bring the server down to its limit.
	p.Submit(now, ask("d", "counter"))
	assert.Equal(t, len(p.Finish(now, "g1", done(time.Second))), 0)
}

func TestPreemptionSparesTierOneUnrepeatableAndPlain(t *testing.T) {
	unrepeatable := withClass(testService(1, 1), "notes", func(c *configurer.Class) { c.Repeatable = false })
	plain := testService(1, 1)
	plain.Kind = configurer.KindPlain

	for name, test := range map[string]struct {
		service configurer.Service
		class   string
	}{
		"tier 1":       {testService(1, 1), "counter"},
		"unrepeatable": {unrepeatable, "notes"},
		"plain":        {plain, "notes"},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(test.service, Options{Headroom: -1})
			fill(p, epoch, test.class, 1)
			p.Submit(epoch, ask("c", "counter"))
			assert.Equal(t, len(p.Tick(epoch.Add(time.Second))), 0)
		})
	}
}

func TestEnginePriorityOversubscribesByOne(t *testing.T) {
	p := New(testService(2, 1), Options{Headroom: -1, EnginePriority: true})
	fill(p, epoch, "chat", 2)

	for i := range 2 {
		assert.Equal(t, p.Submit(epoch, ask(fmt.Sprintf("c%d", i), "counter"))[0].Priority, 1)
	}

	assert.Equal(t, len(p.Submit(epoch, ask("c2", "counter"))), 0)
	assert.Equal(t, p.Stats().Oversubscribed, 2)
}

func TestRebuildIsBoundedAndAdoptsOnce(t *testing.T) {
	p := New(testService(1, 4), Options{Headroom: -1, NoPreemption: true, RebuildShare: 0.5})
	p.Rebuild(epoch, []string{"n1", "n2"})
	assert.Equal(t, len(fill(p, epoch, "chat", 4)), 2, "lower tiers use RebuildShare")
	assert.Equal(t, len(fill(p, epoch, "counter", 6)), 6, "tier 1 does not wait for the rebuild")

	flight := InFlight{GrantID: "g1", RequestID: "x", Upstream: "e01", Class: "chat", Organisation: "a", StartedAt: epoch}
	p.Reconcile(epoch, "n2", []InFlight{flight})
	p.Reconcile(epoch, "n2", []InFlight{flight})
	assert.Equal(t, p.Stats().InFlight["e01"], 9)

	p.Tick(epoch.Add(time.Second))
	assert.Assert(t, !p.rebuild.active)
	assert.Equal(t, len(p.Submit(epoch.Add(time.Second), ask("c", "counter"))), 0)
}

// Guards against losing capacity until the node restarts: a grant is sent, the message is lost or the
// entry ends, and nobody releases the slot.
func TestGrantUnknownToItsEntryIsReclaimedAfterTwoReports(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1})
	fill(p, epoch, "chat", 1)
	p.Submit(epoch, ask("next", "chat"))
	assert.Equal(t, len(p.Reconcile(epoch.Add(time.Second), "n1", nil)), 0)
	assert.DeepEqual(t, describe(p.Reconcile(epoch.Add(2*time.Second), "n1", nil)), []string{"grant next"})
}

// Guards against a slot that stays taken after its answer ended: the release arrives before an older
// report of the entry, which restored the grant.
func TestLateReportDoesNotRestoreEndedGrant(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1})
	held := fill(p, epoch, "chat", 1)[0]
	p.Finish(epoch.Add(time.Second), held, done(time.Second))
	p.Reconcile(epoch.Add(time.Second), "n1", []InFlight{{GrantID: held, RequestID: "r", Upstream: "e01", Class: "chat", StartedAt: epoch}})
	assert.Equal(t, p.Stats().InFlight["e01"], 0)
}

func TestRemoveEntryFreesItsGrantsAndRequests(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1})
	fill(p, epoch, "chat", 2)

	other := ask("other", "chat")
	other.Entry = "n2"
	p.Submit(epoch, other)
	assert.DeepEqual(t, describe(p.RemoveEntry(epoch, "n1")), []string{"grant other"})
	assert.Equal(t, p.Stats().Queued["chat"], 0)
}

func TestRetryAfterJitterIsDeterministic(t *testing.T) {
	waits := map[time.Duration]bool{}

	for i := range 8 {
		var last time.Duration

		for range 2 {
			p := New(testService(1, 1), Options{MaxQueue: 1, NoPreemption: true})
			fill(p, epoch, "notes", 2)
			decision := p.Submit(epoch, ask(fmt.Sprintf("r%d", i), "notes"))[0]
			assert.Equal(t, decision.Code, classifier.QueueFull)
			assert.Assert(t, last == 0 || last == decision.RetryAfter)
			last = decision.RetryAfter
		}

		waits[last] = true
	}

	assert.Assert(t, len(waits) > 4)
}

// Guards against running twice the slots of a server after a holder's pause. A request is withdrawn at
// this holder and granted by another one; this holder adopts the grant, and the late cancel of the
// request freed it.
func TestCancelKeepsGrantOfAnotherHolder(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1})
	flight := InFlight{GrantID: "other/1", RequestID: "r", Upstream: "e01", Class: "chat", Organisation: "a", StartedAt: epoch}
	p.Reconcile(epoch, "n1", []InFlight{flight})
	p.Submit(epoch, ask("r", "chat"))
	p.Cancel(epoch, "r")
	assert.Equal(t, p.Stats().InFlight["e01"], 1)
	assert.Equal(t, p.Stats().Queued["chat"], 0)
}

// Guards against counter lookups that waited 5 s and were refused while slots were free. Some servers
// run answers with slow tokens and count as stragglers, the others are full of tier 1, and tier 1
// never used a straggler while another server was open.
func TestLateTierOneUsesStraggler(t *testing.T) {
	p := New(testService(2, 1), Options{Headroom: -1, FixedSlots: true})
	p.servers[0].relativeTime, p.servers[0].relativeTimeAt = 5, epoch
	fill(p, epoch, "counter", 1)
	assert.Equal(t, p.Stats().InFlight["e02"], 1)
	assert.Equal(t, len(p.Submit(epoch, ask("late", "counter"))), 0)

	decisions := p.Tick(epoch.Add(150 * time.Millisecond))
	assert.DeepEqual(t, describe(decisions), []string{"grant late"})
	assert.Equal(t, decisions[0].Upstream, "e01")
}

// Guards against refusing counter lookups at once while all slots run notes of twenty seconds and some
// lookups arrive together. The estimate waited for the notes to end although they are preempted.
func TestLongLowerTierAnswersDoNotRefuseTierOne(t *testing.T) {
	p := New(testService(1, 4), Options{Headroom: -1, FixedSlots: true})
	now := epoch

	for i := range 2 * minEstimateSamples {
		for class, length := range map[string]time.Duration{"counter": 500 * time.Millisecond, "notes": 20 * time.Second} {
			decision := p.Submit(now, ask(fmt.Sprintf("%s%d", class, i), class))[0]
			p.Finish(now.Add(length), decision.GrantID, done(length))
		}

		now = now.Add(time.Minute)
	}

	fill(p, now, "notes", 4)

	for i := range 4 {
		assert.DeepEqual(t, describe(p.Submit(now, ask(fmt.Sprintf("c%d", i), "counter"))), []string{})
	}
}
