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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testService has the classes counter (tier 1), chat (2), notes (4) and the given number of servers.
func testService(servers, slots int) configurer.Service {
	service := configurer.Service{
		Name: "assistente",
		Kind: configurer.KindEngine,
		Classes: map[string]configurer.Class{
			"counter": {Name: "counter", Tier: 1, Target: 300 * time.Millisecond, TokenGap: 40 * time.Millisecond, MaxWait: 2 * time.Second},
			"chat":    {Name: "chat", Tier: 2, Target: 2 * time.Second, TokenGap: 80 * time.Millisecond, MaxWait: time.Minute, Repeatable: true},
			"notes":   {Name: "notes", Tier: 4, Target: time.Minute, MaxWait: time.Hour, Repeatable: true},
		},
		Organisations: map[string]configurer.Organisation{"a": {Weight: 1}, "b": {Weight: 3}},
		Upstreams:     make(map[string]configurer.Upstream),
	}

	for i := range servers {
		name := fmt.Sprintf("e%02d", i+1)
		service.Upstreams[name] = configurer.Upstream{Name: name, Slots: slots}
	}

	return service
}

func withClass(service configurer.Service, name string, change func(*configurer.Class)) configurer.Service {
	class := service.Classes[name]
	change(&class)
	service.Classes[name] = class

	return service
}

func ask(id, class string) Request {
	return Request{ID: id, Entry: "n1", Class: class, Organisation: "a"}
}

func done(duration time.Duration) Report {
	return Report{Result: dispatcher.ResultDone, FirstToken: 50 * time.Millisecond, TokenGap: 20 * time.Millisecond, Tokens: 10, Duration: duration}
}

// describe formats decisions as "grant ID", "refuse ID" and "preempt ID".
func describe(decisions []Decision) []string {
	names := map[DecisionKind]string{Grant: "grant", Refuse: "refuse", Preempt: "preempt"}
	found := []string{}

	for _, d := range decisions {
		found = append(found, names[d.Kind]+" "+d.RequestID)
	}

	return found
}

// fill takes all slots with requests of the class and returns the grant IDs.
func fill(p *Pool, now time.Time, class string, count int) []string {
	var ids []string

	for i := range count {
		for _, d := range p.Submit(now, ask(fmt.Sprintf("%s-fill-%d", class, i), class)) {
			if d.Kind == Grant {
				ids = append(ids, d.GrantID)
			}
		}
	}

	return ids
}

func TestTiersAreStrict(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1, NoPreemption: true, FixedSlots: true})
	held := fill(p, epoch, "chat", 1)

	for _, class := range []string{"notes", "chat", "counter"} {
		assert.Equal(t, len(p.Submit(epoch, ask(class, class))), 0)
	}

	for _, want := range []string{"counter", "chat", "notes"} {
		decisions := p.Finish(epoch, held[0], done(time.Second))
		assert.DeepEqual(t, describe(decisions), []string{"grant " + want})
		held[0] = decisions[0].GrantID
	}
}

func TestOrganisationsShareByWeight(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1, NoPredictiveRefusals: true, FixedSlots: true})
	held := fill(p, epoch, "chat", 1)[0]

	for i := range 400 {
		for _, organisation := range []string{"a", "b"} {
			r := ask(fmt.Sprintf("%s%d", organisation, i), "chat")
			r.Organisation = organisation
			p.Submit(epoch, r)
		}
	}

	got := map[byte]int{}

	for range 200 {
		decisions := p.Finish(epoch, held, done(time.Second))
		held = decisions[0].GrantID
		got[decisions[0].RequestID[0]]++
	}

	assert.Assert(t, got['b'] >= 146 && got['b'] <= 154, "b has weight 3 of 4 and got %d of 200", got['b'])
}

func TestGuaranteedShareIsServedUnderOverload(t *testing.T) {
	service := withClass(testService(1, 1), "notes", func(c *configurer.Class) { c.GuaranteedShare = 0.2 })
	service = withClass(service, "chat", func(c *configurer.Class) { c.MaxWait = time.Hour })
	p := New(service, Options{Headroom: -1, NoPredictiveRefusals: true, FixedSlots: true})
	held := fill(p, epoch, "chat", 1)[0]
	granted := map[string]int{}

	for i := range 1000 {
		p.Submit(epoch, ask(fmt.Sprintf("chat-%d", i), "chat"))
		p.Submit(epoch, ask(fmt.Sprintf("notes-%d", i), "notes"))
	}

	for second := range 500 {
		decisions := p.Finish(epoch.Add(time.Duration(second+1)*time.Second), held, done(time.Second))
		held = decisions[0].GrantID
		granted[p.grants[held].class.settings.Name]++
	}

	assert.Assert(t, granted["notes"] >= 90 && granted["notes"] <= 110, "notes got %d of 500", granted["notes"])
}

func TestAgeMovesUpButNeverIntoTierOne(t *testing.T) {
	service := withClass(testService(1, 1), "notes", func(c *configurer.Class) { c.MoveUpAfter = time.Second })
	p := New(service, Options{Headroom: -1})
	fill(p, epoch, "counter", 1)
	p.Submit(epoch, ask("old", "notes"))

	for after, want := range map[time.Duration]int{900 * time.Millisecond: 4, time.Second: 3, 2 * time.Second: 2, time.Minute: 2} {
		fresh := New(service, Options{Headroom: -1})
		fill(fresh, epoch, "counter", 1)
		fresh.Submit(epoch, ask("old", "notes"))
		fresh.Tick(epoch.Add(after))
		assert.Equal(t, fresh.waiting["old"].tier, want, "after %s", after)
	}

	assert.Equal(t, p.NextTick(), epoch.Add(reviewInterval))
}

func TestHeadroomIsLeftToTierOne(t *testing.T) {
	p := New(testService(2, 2), Options{Headroom: 1, HeadroomIdleTimeout: 10 * time.Second})
	assert.Equal(t, len(fill(p, epoch, "chat", 4)), 3)
	assert.DeepEqual(t, describe(p.Submit(epoch, ask("now", "counter"))), []string{"grant now"})

	later := epoch.Add(10 * time.Second)
	p.Finish(later, p.grantByRequest["now"].id, done(time.Second))
	assert.DeepEqual(t, describe(p.Tick(later.Add(time.Second))), []string{})
	assert.Equal(t, p.Stats().InFlight["e01"]+p.Stats().InFlight["e02"], 4, "the absence of tier 1 frees its headroom")
}

func TestWaitBeyondMaxWaitIsRefused(t *testing.T) {
	p := New(testService(1, 1), Options{NoPreemption: true, NoPredictiveRefusals: true})
	fill(p, epoch, "counter", 1)
	p.Submit(epoch, ask("late", "counter"))

	decisions := p.Tick(epoch.Add(2 * time.Second))
	assert.DeepEqual(t, describe(decisions), []string{"refuse late"})
	assert.Equal(t, decisions[0].Code, classifier.TargetUnreachable)
	assert.Assert(t, decisions[0].RetryAfter >= minRetryAfter && decisions[0].RetryAfter <= maxRetryAfter)
}

func TestLowerTiersLoseBeforeTierOneIsRefused(t *testing.T) {
	p := New(testService(1, 1), Options{NoPreemption: true, NoPredictiveRefusals: true})
	fill(p, epoch, "counter", 1)
	p.Submit(epoch, ask("n", "notes"))
	p.Submit(epoch, ask("c", "chat"))
	p.Submit(epoch, ask("late", "counter"))

	got := describe(p.Tick(epoch.Add(2 * time.Second)))
	assert.DeepEqual(t, got, []string{"refuse n", "refuse c", "refuse late"})
}

func TestFullQueueRefusesNewestOfLowestTier(t *testing.T) {
	p := New(testService(1, 1), Options{MaxQueue: 2, NoPreemption: true})
	fill(p, epoch, "counter", 1)
	p.Submit(epoch, ask("n1", "notes"))
	p.Submit(epoch, ask("n2", "notes"))

	decisions := p.Submit(epoch, ask("c", "chat"))
	assert.DeepEqual(t, describe(decisions), []string{"refuse n2"})
	assert.Equal(t, decisions[0].Code, classifier.QueueFull)
	assert.DeepEqual(t, describe(p.Submit(epoch, ask("n3", "notes"))), []string{"refuse n3"})
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	service := withClass(testService(1, 1), "chat", func(c *configurer.Class) { c.MaxWait = 5 * time.Second })
	p := New(service, Options{Headroom: -1, FixedSlots: true})
	now := epoch

	for i := range minEstimateSamples {
		decisions := p.Submit(now, ask(fmt.Sprintf("warm%d", i), "chat"))
		now = now.Add(2 * time.Second)
		p.Finish(now, decisions[0].GrantID, done(2*time.Second))
	}

	fill(p, now, "chat", 1)
	p.Submit(now, ask("q1", "chat"))

	decisions := p.Submit(now, ask("q2", "chat"))
	if len(decisions) == 0 {
		decisions = p.Submit(now, ask("q3", "chat"))
	}

	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Code, classifier.TargetUnreachable)
	assert.Assert(t, decisions[0].RetryAfter >= 2*time.Second && decisions[0].RetryAfter <= 10*time.Second, "%s", decisions[0].RetryAfter)
}

func TestExcludedAndLeavingServersGetNothing(t *testing.T) {
	service := testService(3, 1)
	leaving := service.Upstreams["e01"]
	leaving.Leaving = true
	service.Upstreams["e01"] = leaving
	p := New(service, Options{Headroom: -1})

	request := ask("r", "chat")
	request.Exclude = []string{"e02"}
	assert.Equal(t, p.Submit(epoch, request)[0].Upstream, "e03")

	request = ask("s", "chat")
	request.Exclude = []string{"e02", "e03"}
	decisions := p.Submit(epoch, request)
	assert.Equal(t, decisions[0].Code, classifier.NoUpstream)
}

func TestSubmitIsIdempotent(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1})
	first := p.Submit(epoch, ask("r", "chat"))[0]
	assert.DeepEqual(t, p.Submit(epoch, ask("r", "chat")), []Decision{first})
	p.Submit(epoch, ask("w", "chat"))
	assert.Equal(t, len(p.Submit(epoch, ask("w", "chat"))), 0)
	assert.Equal(t, p.Stats().Queued["chat"], 1)
}

func TestSettingsChangeKeepsRunningGrants(t *testing.T) {
	p := New(testService(2, 1), Options{Headroom: -1})
	held := fill(p, epoch, "chat", 2)
	p.Update(testService(1, 1))
	p.Submit(epoch, ask("w", "chat"))
	assert.Equal(t, len(p.servers), 2)

	for _, id := range held {
		p.Finish(epoch, id, done(time.Second))
	}

	assert.Equal(t, len(p.servers), 1)
	assert.Equal(t, p.grantByRequest["w"].server.upstream.Name, "e01")
}

// Guards against refused requests that retry together. Of 988 callers refused in a burst that retried
// when told to, 384 were served within six attempts. Retry-After covered only the current queue, which
// is short because the refused callers are not in it; it did not count the others that were told to
// retry.
func TestRetryAfterSpreadsRefusedRequests(t *testing.T) {
	service := withClass(testService(1, 1), "chat", func(c *configurer.Class) { c.MaxWait = 4 * time.Second })
	p := New(service, Options{Headroom: -1, FixedSlots: true})
	now := epoch

	for i := range minEstimateSamples {
		decisions := p.Submit(now, ask(fmt.Sprintf("warm%d", i), "chat"))
		now = now.Add(time.Second)
		p.Finish(now, decisions[0].GrantID, done(time.Second))
	}

	fill(p, now, "chat", 1)

	var latest time.Duration

	refused := 0
	for i := range 12 {
		for _, d := range p.Submit(now, ask(fmt.Sprintf("q%d", i), "chat")) {
			refused++
			latest = max(latest, d.RetryAfter)
		}
	}

	assert.Assert(t, refused >= 8)
	assert.Assert(t, latest >= time.Duration(refused)*time.Second, "%d refused, the last for %s", refused, latest)
}

// Guards against refusing nearly all requests of a class: 3,438 of 3,394 callers' requests at 1.2
// times the capacity, within 0.7 s, while notes of tier 4 all met their targets. One first token in
// twenty is later than the target. The estimate used the 95th percentile of the start instead of the
// mean, so any wait at all seemed to miss the target.
func TestRareLateStartsDoNotRefuseWaitingRequests(t *testing.T) {
	p := New(testService(1, 1), Options{Headroom: -1, FixedSlots: true})
	now := epoch

	for i := range 2 * minEstimateSamples {
		report := Report{Result: dispatcher.ResultDone, FirstToken: 100 * time.Millisecond, Tokens: 10, Duration: 200 * time.Millisecond}
		if i%8 == 0 {
			report.FirstToken = 3 * time.Second
		}

		decisions := p.Submit(now, ask(fmt.Sprintf("warm%d", i), "chat"))
		now = now.Add(200 * time.Millisecond)
		p.Finish(now, decisions[0].GrantID, report)
	}

	fill(p, now, "chat", 1)
	assert.Equal(t, len(p.Submit(now, ask("q1", "chat"))), 0)
}

// Guards against site clearances that waited up to 0.6 s at 0.6 times the capacity. One server ran a
// few long answers and counted as a straggler; tier 1 avoided it and waited, as all requests of a
// plain service are tier 1. The time of a plain answer depends more on its work than on its server.
func TestFewLongPlainAnswersDoNotMarkStraggler(t *testing.T) {
	service := testService(2, 2)
	service.Kind = configurer.KindPlain
	p := New(service, Options{Headroom: -1, FixedSlots: true})
	now := epoch

	for i := range 40 {
		took := 50 * time.Millisecond
		if i >= 37 {
			took = 200 * time.Millisecond
		}

		request := ask(fmt.Sprintf("w%d", i), "counter")
		request.Exclude = []string{"e02"}
		d := p.Submit(now, request)[0]
		now = now.Add(took)
		p.Finish(now, d.GrantID, done(took))
	}

	slow := p.servers[0].slowness(now)
	assert.Assert(t, slow <= stragglerRatio, "slow %.2f", slow)
}

func TestPlainTierOneUsesStragglerBeforeWaiting(t *testing.T) {
	service := testService(2, 1)
	service.Kind = configurer.KindPlain
	p := New(service, Options{Headroom: -1, FixedSlots: true})
	first := p.Submit(epoch, ask("c1", "counter"))[0]
	p.Finish(epoch, first.GrantID, Report{Result: dispatcher.ResultNotSent})

	later := epoch.Add(time.Minute)
	assert.Assert(t, p.Submit(later, ask("c2", "counter"))[0].Upstream != first.Upstream)
	assert.Equal(t, p.Submit(later, ask("c3", "counter"))[0].Upstream, first.Upstream)
}
