package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// model drives a pool with random events and checks its invariants after each.
type model struct {
	t    *rapid.T
	pool *Pool
	now  time.Time
	next int
	// open holds the waiting requests, granted the grant IDs, both by request ID.
	open    map[string]Request
	granted map[string]string
	// since is when each request was submitted.
	since  map[string]time.Time
	strict bool
}

func newModel(t *rapid.T) *model {
	service := testService(rapid.IntRange(1, 4).Draw(t, "servers"), rapid.IntRange(1, 3).Draw(t, "slots"))
	m := &model{t: t, now: epoch, open: map[string]Request{}, granted: map[string]string{}, since: map[string]time.Time{}, strict: rapid.Bool().Draw(t, "strict")}

	if rapid.Bool().Draw(t, "plain") {
		service.Kind = configurer.KindPlain
	}

	service = withClass(service, "notes", func(c *configurer.Class) { c.MoveUpAfter = 3 * time.Second })

	if !m.strict {
		service = withClass(service, "notes", func(c *configurer.Class) { c.GuaranteedShare = 0.2 })
		service = withClass(service, "chat", func(c *configurer.Class) { c.GuaranteedShare = 0.1 })
	}

	m.pool = New(service, Options{
		EnginePriority: rapid.Bool().Draw(t, "engine_priority"),
		Oversubscribe:  rapid.IntRange(1, 2).Draw(t, "oversubscribe"),
		MaxQueue:       rapid.IntRange(1, 20).Draw(t, "max_queue"),
		Headroom:       rapid.IntRange(-1, 2).Draw(t, "headroom"),
	})

	return m
}

func (m *model) submit() {
	m.next++
	request := Request{
		ID:           fmt.Sprintf("r%d", m.next),
		Entry:        rapid.SampledFrom([]string{"n1", "n2"}).Draw(m.t, "entry"),
		Class:        rapid.SampledFrom([]string{"counter", "chat", "notes"}).Draw(m.t, "class"),
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "organisation"),
	}

	if rapid.IntRange(0, 4).Draw(m.t, "retry") == 0 {
		request.Exclude = []string{"e01"}
	}

	m.open[request.ID] = request
	m.since[request.ID] = m.now
	m.take(m.pool.Submit(m.now, request))
}

// take checks each decision against the state at its time, as far as the pool still has it.
func (m *model) take(decisions []Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case Grant:
			m.takeGrant(d)
		case Refuse:
			_, waits := m.open[d.RequestID]
			assert.Assert(m.t, waits, "%s was refused but does not wait", d.RequestID)
			assert.Assert(m.t, d.RetryAfter >= minRetryAfter && d.RetryAfter <= maxRetryAfter)
			m.checkRefusal(d)
			delete(m.open, d.RequestID)
		case Preempt:
			m.checkPreempt(d)
		}
	}

	m.check()
}

func (m *model) takeGrant(d Decision) {
	request, waits := m.open[d.RequestID]
	assert.Assert(m.t, waits, "%s was granted but does not wait", d.RequestID)
	delete(m.open, d.RequestID)
	m.granted[d.RequestID] = d.GrantID

	for _, excluded := range request.Exclude {
		assert.Assert(m.t, d.Upstream != excluded)
	}

	tier := m.pool.byClass[request.Class].settings.Tier
	s := m.pool.server(d.Upstream)

	if !m.pool.options.EnginePriority {
		assert.Assert(m.t, s.inFlight <= s.slots(), "%s has %d of %d", d.Upstream, s.inFlight, s.slots())
	}

	assert.Assert(m.t, s.inFlight <= s.slots()+m.pool.options.Oversubscribe)

	if tier == highestTier {
		return
	}

	if request.Class == "notes" {
		tier = max(tier-int(m.now.Sub(m.since[request.ID])/(3*time.Second)), highestTier+1)
	}

	for _, w := range m.pool.waiting {
		higher := w.tier == highestTier || (m.strict && w.tier < tier)
		blocked := s.excluded(&w.request) || (w.tier == highestTier && m.pool.view.isAvoided(s))
		assert.Assert(m.t, !higher || blocked,
			"%s of tier %d was granted %s while %s of tier %d waits", d.RequestID, tier, d.Upstream, w.request.ID, w.tier)
	}
}

// checkRefusal checks that a tier 1 request without exclusions is refused only when no request of a
// lower tier is waiting.
func (m *model) checkRefusal(d Decision) {
	request := m.open[d.RequestID]
	if request.Class != "counter" || len(request.Exclude) > 0 {
		return
	}

	for _, w := range m.pool.waiting {
		assert.Assert(m.t, w.tier == highestTier, "counter %s was refused while %s waits", d.RequestID, w.request.ID)
	}
}

func (m *model) checkPreempt(d Decision) {
	g := m.pool.grants[d.GrantID]
	assert.Assert(m.t, g != nil && g.class.settings.Tier > highestTier && g.class.settings.Repeatable)
	assert.Assert(m.t, m.pool.service.Kind == configurer.KindEngine && !m.pool.options.EnginePriority)
	assert.Assert(m.t, m.pool.tiers[highestTier].waiting > 0)

	justified := false

	for _, w := range m.pool.waiting {
		if w.tier == highestTier && m.pool.preemptible(g, w) && !m.lowerRuns(g, w) {
			justified = true
		}
	}

	assert.Assert(m.t, justified, "%s was preempted although no tier 1 request had it as its lowest candidate", d.RequestID)
}

// lowerRuns reports whether a grant of a lower tier than g could have been preempted for w.
func (m *model) lowerRuns(g *grant, w *waiter) bool {
	for _, other := range m.pool.grants {
		lower := !other.preempted && other.class.settings.Tier > g.class.settings.Tier
		if lower && m.pool.preemptible(other, w) {
			return true
		}
	}

	return false
}

// check verifies that the pool and the model agree, and that no usable slot stays free.
func (m *model) check() {
	assert.Equal(m.t, len(m.open), len(m.pool.waiting))
	assert.Equal(m.t, len(m.granted), len(m.pool.grants))

	inFlight, waiting := 0, 0
	for _, s := range m.pool.servers {
		inFlight += s.inFlight
	}

	for tier := highestTier; tier <= lowestTier; tier++ {
		waiting += m.pool.tiers[tier].waiting
	}

	assert.Equal(m.t, inFlight, len(m.granted))
	assert.Equal(m.t, waiting, len(m.open))
	assert.Assert(m.t, len(m.open) <= m.pool.options.MaxQueue)
	m.pool.view.refresh(m.now)

	for _, w := range m.pool.waiting {
		assert.Assert(m.t, m.pool.view.bestServer(w, false) == nil, "%s is waiting while a slot is free", w.request.ID)
		assert.Assert(m.t, w.class.settings.Tier == highestTier || w.tier > highestTier)
		assert.Assert(m.t, m.now.Sub(w.queuedAt) < w.class.settings.MaxWait, "%s is waiting beyond its MaxWait", w.request.ID)
	}
}

func (m *model) finish() {
	if len(m.granted) == 0 {
		return
	}

	request := rapid.SampledFrom(slices.Sorted(maps.Keys(m.granted))).Draw(m.t, "request")
	g := m.pool.grants[m.granted[request]]
	result := rapid.SampledFrom([]dispatcher.Result{
		dispatcher.ResultDone, dispatcher.ResultDone, dispatcher.ResultDone, dispatcher.ResultFailed, dispatcher.ResultPreempted,
	}).Draw(m.t, "result")
	gap := time.Duration(rapid.IntRange(5, 200).Draw(m.t, "gap")) * time.Millisecond
	delete(m.granted, request)
	m.take(m.pool.Finish(m.now, g.id, Report{Result: result, FirstToken: gap, TokenGap: gap, Tokens: 20, Duration: 20 * gap}))
}

func (m *model) cancel() {
	ids := append(slices.Sorted(maps.Keys(m.open)), slices.Sorted(maps.Keys(m.granted))...)
	if len(ids) == 0 {
		return
	}

	id := rapid.SampledFrom(ids).Draw(m.t, "cancel")
	delete(m.open, id)
	delete(m.granted, id)
	m.take(m.pool.Cancel(m.now, id))
}

// wait advances the time tick by tick, as the holder does.
func (m *model) wait() {
	until := m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "ms")) * time.Millisecond)

	for {
		due := m.pool.NextTick()
		if due.IsZero() || due.After(until) {
			break
		}

		if due.After(m.now) {
			m.now = due
		}

		m.take(m.pool.Tick(m.now))
	}

	m.now = until
}

func TestPoolKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)

		for range rapid.IntRange(1, 80).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				m.submit()
			case 5, 6, 7:
				m.finish()
			case 8:
				m.cancel()
			default:
				m.wait()
			}
		}
	})
}

// TestRoundRobinIsProportional checks that organisations which always have waiting requests get slots
// in proportion to their weights, to within one round.
func TestRoundRobinIsProportional(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 8).Draw(t, "weights")
		service := testService(1, 1)
		sum := 0

		for i, weight := range weights {
			service.Organisations[fmt.Sprintf("o%d", i)] = configurer.Organisation{Weight: weight}
			sum += weight
		}

		p := New(service, Options{Headroom: -1, NoPredictiveRefusals: true, FixedSlots: true})
		const rounds = 12

		for i := range weights {
			for j := range rounds*sum + 1 {
				r := ask(fmt.Sprintf("%d-%d", i, j), "chat")
				r.Organisation = fmt.Sprintf("o%d", i)
				p.Submit(epoch, r)
			}
		}

		got := make(map[string]int)

		for range rounds * sum {
			for _, g := range p.grantsOf("n1") {
				got[g.request.Organisation]++
				p.Finish(epoch, g.id, Report{Result: dispatcher.ResultDone, Tokens: 1, Duration: time.Second})
			}
		}

		for i, weight := range weights {
			difference := got[fmt.Sprintf("o%d", i)] - rounds*weight
			assert.Assert(t, difference >= -weight && difference <= weight, "weights %v got %v", weights, got)
		}
	})
}
