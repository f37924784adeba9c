package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/dispatcher"
)

// fixedHints returns a fixed number of cached tokens for each upstream.
type fixedHints map[string]int

// CachedTokens implements CacheHints.
func (f fixedHints) CachedTokens(_, upstream string, _ []uint64) int { return f[upstream] }

// Guards against processing a prompt again although an equivalent server has it cached, because idle
// servers were chosen by name order.
func TestHintsChooseBetweenEqualServers(t *testing.T) {
	p := New(testService(4, 2), Options{CacheHints: fixedHints{"e02": 64, "e03": 256}})
	request := ask("r1", "counter")
	request.Prefixes = []uint64{1}
	assert.Equal(t, p.Submit(epoch, request)[0].Upstream, "e03")

	// e03 has fewer free slots now.
	request.ID = "r2"
	assert.Equal(t, p.Submit(epoch, request)[0].Upstream, "e02")

	request.ID, request.Prefixes = "r3", nil
	assert.Equal(t, p.Submit(epoch, request)[0].Upstream, "e01")
}

// Guards against sending a request to a leaving, straggling, excluded or fuller server because of its
// prompt cache. Cache events may be late, duplicated or lost, so any hint may be wrong; it may only
// choose between equivalent servers.
func TestWrongHintsNeverCostMoreThanAPrefill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "servers")
		service := testService(count, rapid.IntRange(1, 4).Draw(t, "slots"))
		hints := fixedHints{}

		for _, name := range slices.Sorted(maps.Keys(service.Upstreams)) {
			upstream := service.Upstreams[name]
			upstream.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			service.Upstreams[name] = upstream
			hints[name] = rapid.IntRange(-1, 1<<20).Draw(t, "hint")
		}

		hints["unknown"] = 1 << 30
		p := New(service, Options{CacheHints: hints})
		now := epoch

		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(100 * time.Millisecond)
			checkWithWrongHints(t, p, now)
		}
	})
}

// checkWithWrongHints checks the choice for one request, then grants or finishes something.
func checkWithWrongHints(t *rapid.T, p *Pool, now time.Time) {
	grants := p.grantsOf("n1")
	if len(grants) > 0 && rapid.Bool().Draw(t, "finish") {
		g := grants[rapid.IntRange(0, len(grants)-1).Draw(t, "grant")]
		gap := time.Duration(rapid.IntRange(5, 200).Draw(t, "gap")) * time.Millisecond
		result := rapid.SampledFrom([]dispatcher.Result{dispatcher.ResultDone, dispatcher.ResultFailed}).Draw(t, "result")
		p.Finish(now, g.id, Report{Result: result, FirstToken: gap, TokenGap: gap, Tokens: 20, Duration: 20 * gap})
	}

	request := ask(now.String(), rapid.SampledFrom([]string{"counter", "chat"}).Draw(t, "class"))
	request.Prefixes = []uint64{1, 2}

	if rapid.Bool().Draw(t, "exclude") {
		request.Exclude = []string{"e01"}
	}

	w := &waiter{request: request, class: p.byClass[request.Class], tier: p.byClass[request.Class].settings.Tier}
	p.view.refresh(now)
	best, chosen := p.view.bestServer(w, false), p.view.chooseServer(w, false)
	assert.Equal(t, best == nil, chosen == nil)

	if chosen != nil {
		assert.Assert(t, !chosen.upstream.Leaving && !chosen.excluded(&request))
		assert.Equal(t, p.view.freeSlotsFor(w, chosen, false), p.view.freeSlotsFor(w, best, false))
		assert.Assert(t, chosen.currentSlowness*(1-maxTieDifference) <= best.currentSlowness)
		assert.Assert(t, w.tier != highestTier || !p.view.isAvoided(chosen))
	}

	p.Submit(now, request)
}

// Guards against lower limits and goodput when prompts are cached. The fastest first tokens show what
// an engine does without concurrent requests, and must not come from cached prompts: an uncached
// prompt would then look slow.
func TestCachedPromptsDontSetTheFastestFirstToken(t *testing.T) {
	p := New(testService(1, 8), Options{CacheHints: fixedHints{"e01": 64}})
	finish := func(request Request, first time.Duration) {
		granted := p.Submit(epoch, request)[0].GrantID
		p.Finish(epoch, granted, Report{Result: dispatcher.ResultDone, FirstToken: first, TokenGap: time.Millisecond, Tokens: 20, Duration: time.Second})
	}

	cached := ask("r1", "chat")
	cached.Prefixes = []uint64{1}
	finish(cached, 10*time.Millisecond)
	finish(ask("r2", "chat"), 200*time.Millisecond)
	assert.Equal(t, p.byClass["chat"].unqueuedTime.value, 0.2)
}
