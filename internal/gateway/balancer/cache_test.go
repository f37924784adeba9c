package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// trackedPool returns a pool whose engines report their caches, and what they reported at the start: engine b has cached the
// session s.
func trackedPool(t *testing.T, count int) *balancer.Pool {
	t.Helper()

	p := balancer.NewPool(balancer.Options{CacheTracking: true})
	p.SetUpstreams(start, engineList(count, 48), balancer.Engine{CacheTokens: 300_000, EventTokens: 3, ReportsCache: true})
	assert.Assert(t, p.ReplaceCache(start, balancer.CacheList{Upstream: "b", Epoch: "e", Next: 10, Parts: []balancer.PromptPart{{ID: "s", Tokens: 6300}}}))
	assert.Assert(t, p.ReplaceCache(start, balancer.CacheList{Upstream: "a", Epoch: "e", Next: 10}))

	return p
}

// cachedAt returns how many tokens of a request of the session a choice counts as cached at the engine, all others excluded.
func cachedAt(t *testing.T, p *balancer.Pool, now time.Time, engine, session string) int64 {
	t.Helper()

	work := notes(fmt.Sprint("probe", now.Sub(start), engine, session), session)

	for _, other := range p.Report(now) {
		if other.ID != engine {
			work.Excluded = append(work.Excluded, other.ID)
		}
	}

	before := p.CacheCounters().AssumedTokens
	assert.Equal(t, granted(t, p, now, work), engine)
	p.RecordEnd(now, work.ID, balancer.Rejected)

	return p.CacheCounters().AssumedTokens - before
}

func added(number int64, id string, tokens int) balancer.CacheEvent {
	return balancer.CacheEvent{Number: number, Part: balancer.PromptPart{ID: id, Tokens: tokens}}
}

func removed(number int64, id string) balancer.CacheEvent {
	return balancer.CacheEvent{Number: number, Removed: true, Part: balancer.PromptPart{ID: id, Tokens: 6300}}
}

// A new holder has sent nothing yet. Without reports it sends the first request of each session to any engine, which reads the
// session again.
func TestNewHolderSendsASessionWhereItIsCached(t *testing.T) {
	p := trackedPool(t, 3)
	assert.Equal(t, granted(t, p, at(10*time.Millisecond), notes("n", "s")), "b")
}

// Each case is one failure in the reports. It guards against a cache that is believed to hold what the engine evicted, or the
// reverse, until the next list.
func TestEventsInAnyOrderLeaveTheEnginesLastWord(t *testing.T) {
	cases := map[string]struct {
		batches [][]balancer.CacheEvent
		session string
		cached  int64
	}{
		"nothing new":                      {session: "s", cached: 6300},
		"evicted":                          {batches: [][]balancer.CacheEvent{{removed(10, "s")}}, session: "s"},
		"added":                            {batches: [][]balancer.CacheEvent{{added(10, "t", 6300)}}, session: "t", cached: 6300},
		"duplicate":                        {batches: [][]balancer.CacheEvent{{added(10, "t", 6300), added(10, "t", 6300)}, {added(10, "t", 6300)}}, session: "t", cached: 6300},
		"eviction before the late adding":  {batches: [][]balancer.CacheEvent{{removed(11, "t")}, {added(10, "t", 6300)}}, session: "t"},
		"adding before the late eviction":  {batches: [][]balancer.CacheEvent{{added(12, "t", 6300)}, {removed(11, "t")}}, session: "t", cached: 6300},
		"eviction older than the list":     {batches: [][]balancer.CacheEvent{{removed(9, "s")}}, session: "s", cached: 6300},
		"fewer tokens kept than requested": {batches: [][]balancer.CacheEvent{{added(10, "t", 4000)}}, session: "t", cached: 4000},
		"more tokens than the memory":      {batches: [][]balancer.CacheEvent{{added(10, "t", 300_001)}}, session: "t"},
		"negative tokens":                  {batches: [][]balancer.CacheEvent{{added(10, "t", -1)}}, session: "t"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := trackedPool(t, 2)

			for _, batch := range c.batches {
				assert.Assert(t, p.ApplyCacheEvents(at(time.Second), balancer.CacheEvents{Upstream: "b", Epoch: "e", Events: batch}))
			}

			assert.Equal(t, cachedAt(t, p, at(time.Second), "b", c.session), c.cached)
		})
	}
}

// A part counts only if all parts before it are cached: an engine can't use it otherwise.
func TestPartAfterAnEvictedOneIsNotCached(t *testing.T) {
	p := trackedPool(t, 2)
	now := at(time.Second)
	assert.Assert(t, p.ApplyCacheEvents(now, balancer.CacheEvents{
		Upstream: "b", Epoch: "e", Events: []balancer.CacheEvent{added(10, fmt.Sprint("probe", now.Sub(start), "bt"), 2700)},
	}))
	assert.Equal(t, cachedAt(t, p, now, "b", "t"), int64(0))
}

// Events are a second old when they arrive. What was sent meanwhile counts as cached, but only as long as an event may still
// come: an engine that refused the request or was restarted has cached nothing.
func TestSentPartCountsUntilItsEventIsOverdue(t *testing.T) {
	p := trackedPool(t, 2)
	work := notes("n", "new")
	work.Excluded = []string{"b"}
	granted(t, p, at(0), work)
	p.RecordFirstEvent(at(100*time.Millisecond), "n", nil)

	for step := range 30 {
		p.ExpireCaches(at(time.Duration(step) * 100 * time.Millisecond))
		p.ApplyCacheEvents(at(time.Duration(step)*100*time.Millisecond), balancer.CacheEvents{Upstream: "a", Epoch: "e"})
	}

	// The request still runs.
	assert.Equal(t, cachedAt(t, p, at(2900*time.Millisecond), "a", "new"), int64(6300))

	p.RecordEnd(at(3*time.Second), "n", balancer.Served)

	for step := 30; step < 60; step++ {
		p.ExpireCaches(at(time.Duration(step) * 100 * time.Millisecond))
		p.ApplyCacheEvents(at(time.Duration(step)*100*time.Millisecond), balancer.CacheEvents{Upstream: "a", Epoch: "e"})
	}

	assert.Equal(t, cachedAt(t, p, at(6*time.Second), "a", "new"), int64(0))
}

// A silent engine's last report must not be used for long. The estimate goes on from it, and a list is needed before events
// are taken again.
func TestReportExpiresAndTheEstimateApplies(t *testing.T) {
	p := trackedPool(t, 2)
	p.ExpireCaches(at(3900 * time.Millisecond))
	assert.Equal(t, p.CacheCounters().Expired, int64(0))
	p.ExpireCaches(at(4100 * time.Millisecond))
	assert.Equal(t, p.CacheCounters().Expired, int64(2))
	assert.Assert(t, !p.ApplyCacheEvents(at(4200*time.Millisecond), balancer.CacheEvents{Upstream: "b", Epoch: "e", Events: []balancer.CacheEvent{removed(10, "s")}}))

	// Nothing is assumed by reports any more, and the estimate has what was reported.
	before := p.CacheCounters()
	assert.Equal(t, granted(t, p, at(4300*time.Millisecond), notes("n", "s")), "b")
	assert.Equal(t, p.CacheCounters(), before)
}

// A restarted engine has an empty cache, and reports about its former one may still arrive.
func TestNothingIsKnownOfTheCacheOfANewLifetime(t *testing.T) {
	p := trackedPool(t, 2)
	assert.Assert(t, !p.ApplyCacheEvents(at(time.Second), balancer.CacheEvents{Upstream: "b", Epoch: "f"}))
	assert.Assert(t, !p.ReplaceCache(at(time.Second), balancer.CacheList{Upstream: "b", Born: 7, Epoch: "e"}), "of another start")
	assert.Assert(t, p.ReplaceCache(at(time.Second), balancer.CacheList{Upstream: "b", Epoch: "f", Next: 1}))
	assert.Equal(t, cachedAt(t, p, at(time.Second), "b", "s"), int64(0))

	p = trackedPool(t, 2)
	upstreams := engineList(2, 48)
	upstreams[1].Born = 7
	p.SetUpstreams(at(time.Second), upstreams, balancer.Engine{CacheTokens: 300_000, EventTokens: 3, ReportsCache: true})
	assert.Assert(t, !p.ApplyCacheEvents(at(time.Second), balancer.CacheEvents{Upstream: "b", Epoch: "e"}))
	assert.Assert(t, !p.ApplyCacheEvents(at(time.Second), balancer.CacheEvents{Upstream: "b", Born: 7, Epoch: "e"}))
}

// Lists that can't be true change nothing, and removals that never arrive must not add up to more than the engine's memory.
func TestMoreThanTheMemoryIsNotBelieved(t *testing.T) {
	p := trackedPool(t, 2)
	assert.Assert(t, !p.ReplaceCache(at(0), balancer.CacheList{Upstream: "b", Epoch: "e", Parts: []balancer.PromptPart{{ID: "x", Tokens: 200_000}, {ID: "y", Tokens: 200_000}}}))
	assert.Equal(t, cachedAt(t, p, at(0), "b", "s"), int64(6300))

	for i := range 60 {
		p.ApplyCacheEvents(at(3*time.Second), balancer.CacheEvents{Upstream: "b", Epoch: "e", Events: []balancer.CacheEvent{added(int64(10+i), fmt.Sprint("t", i), 6300)}})
		p.ExpireCaches(at(3 * time.Second))
	}

	assert.Equal(t, cachedAt(t, p, at(3*time.Second), "b", "s"), int64(0))
	assert.Equal(t, cachedAt(t, p, at(3*time.Second), "b", "t59"), int64(6300))
}

// Guards against requests that go on going to an engine which claims to have cached every session and has none: what it really
// takes must be learned within seconds.
func TestUntrueClaimsCostNothingOnceTheEngineIsKnown(t *testing.T) {
	late, lastLate := playUntrueClaims(t)
	assert.Assert(t, late <= 40 && lastLate <= 3*time.Second, "%d of 800 are late, the last after %s", late, lastLate)
}

// Guards against untrue claims that delay requests at all.
func TestUntrueClaimsDelayNoRequest(t *testing.T) {
	late, lastLate := playUntrueClaims(t)
	assert.Equal(t, late, 0, "the last is late after %s", lastLate)
}

// playUntrueClaims sends 800 requests of 40 sessions to four engines. One claims to have cached all sessions and has none, and
// can read a quarter of the prompts. It returns how many requests are late or refused, and when the last of them was sent.
func playUntrueClaims(t *testing.T) (late int, lastLate time.Duration) {
	t.Helper()

	p := trackedPool(t, 4)
	list := balancer.CacheList{Upstream: "b", Epoch: "e", Next: 10}

	for i := range 40 {
		list.Parts = append(list.Parts, balancer.PromptPart{ID: fmt.Sprint("s", i), Tokens: 6300})
	}

	assert.Assert(t, p.ReplaceCache(start, list))

	type answer struct {
		id string
		at time.Time
	}

	freeAt := map[string]time.Time{}
	cached := map[string]bool{}
	arrived := map[string]time.Time{}

	var (
		answers    []answer
		atClaiming int
	)

	session := func(i int) string { return fmt.Sprint("s", i%40) }
	send := func(now time.Time, id, engine string) {
		var i int

		_, err := fmt.Sscanf(id, "n%d", &i)
		assert.NilError(t, err)

		took := 100 * time.Millisecond
		if engine != "b" && cached[engine+session(i)] {
			took = 30 * time.Millisecond
		}

		cached[engine+session(i)] = true

		if freeAt[engine].Before(now) {
			freeAt[engine] = now
		}

		freeAt[engine] = freeAt[engine].Add(took)
		answers = append(answers, answer{id: id, at: freeAt[engine]})
		slices.SortFunc(answers, func(a, b answer) int { return a.at.Compare(b.at) })

		if engine == "b" {
			atClaiming++
		}

		if freeAt[engine].Sub(arrived[id]) > notes(id, "").Target {
			late++
			lastLate = now.Sub(start)
		}
	}

	for i := range 800 {
		now := at(time.Duration(i) * 25 * time.Millisecond)

		for len(answers) > 0 && !answers[0].at.After(now) {
			p.RecordFirstEvent(answers[0].at, answers[0].id, nil)
			p.RecordEnd(answers[0].at, answers[0].id, balancer.Served)
			answers = answers[1:]
		}

		work := notes(fmt.Sprint("n", i), session(i))
		arrived[work.ID] = now

		choice, decision := p.Acquire(now, "node", work)
		switch decision {
		case balancer.Granted:
			send(now, work.ID, choice.Upstream)
		case balancer.Refused:
			late++
			lastLate = now.Sub(start)
		case balancer.Queued:
		}

		for _, g := range p.GrantQueued(now) {
			if g.Refused {
				late++
				lastLate = now.Sub(start)
			} else {
				send(now, g.ID, g.Choice.Upstream)
			}
		}

		p.ApplyCacheEvents(now, balancer.CacheEvents{Upstream: "b", Epoch: "e"})
		p.ExpireCaches(now)
	}

	t.Logf("%d of 800 late, the last after %s; %d at the engine with the untrue claims", late, lastLate, atClaiming)

	return late, lastLate
}
