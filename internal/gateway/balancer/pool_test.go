package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const (
	chatPriority = iota
	advicePriority
	notesPriority
)

var start = time.Date(2026, time.March, 12, 4, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// engines returns a pool of engines named a, b, c and so on.
func engines(count, slots int) *balancer.Pool {
	return newPool(count, slots, balancer.Engine{CacheTokens: 300_000, EventTokens: 3})
}

func newPool(count, slots int, engine balancer.Engine) *balancer.Pool {
	p := balancer.NewPool(balancer.Options{})
	p.SetUpstreams(start, engineList(count, slots), engine)

	return p
}

// engineList returns upstreams named a, b, c and so on.
func engineList(count, slots int) []balancer.Upstream {
	var upstreams []balancer.Upstream
	for i := range count {
		upstreams = append(upstreams, balancer.Upstream{ID: string(rune('a' + i)), Slots: slots})
	}

	return upstreams
}

func notes(id string, session string) balancer.Request {
	return balancer.Request{
		ID: id, Priority: notesPriority, PromptTokens: 9000, OutputTokens: 60, TimeLimit: 6 * time.Second,
		PromptParts: []balancer.PromptPart{{ID: session, Tokens: 6300}, {ID: id, Tokens: 2700}},
		Target:      800 * time.Millisecond, GapLimit: 500 * time.Millisecond,
	}
}

func chat(id string) balancer.Request {
	return balancer.Request{
		ID: id, Priority: chatPriority, PromptTokens: 700, OutputTokens: 300, TimeLimit: 15 * time.Second,
		Target: 150 * time.Millisecond, GapLimit: 120 * time.Millisecond,
	}
}

func granted(t *testing.T, p *balancer.Pool, now time.Time, work balancer.Request) string {
	t.Helper()

	choice, decision := p.Acquire(now, "node", work)
	assert.Equal(t, decision, balancer.Granted)

	return choice.Upstream
}

// serveAll asks for the whole burst at once and returns the upstream of each request. Engines send the first events
// 90 ms later, and queued requests get room then.
func serveAll(t *testing.T, p *balancer.Pool, now time.Time, burst []balancer.Request) map[string]string {
	t.Helper()

	placed := map[string]string{}

	for _, work := range burst {
		choice, decision := p.Acquire(now, "node", work)
		assert.Assert(t, decision != balancer.Refused)

		if decision == balancer.Granted {
			placed[work.ID] = choice.Upstream
		}
	}

	for len(placed) < len(burst) {
		now = now.Add(90 * time.Millisecond)

		for id := range placed {
			p.RecordFirstEvent(now, id, nil)
		}

		grants := p.GrantQueued(now)
		assert.Assert(t, len(grants) > 0, "no queued request was granted")

		for _, g := range grants {
			assert.Assert(t, !g.Refused)
			placed[g.ID] = g.Choice.Upstream
		}
	}

	return placed
}

// One request is lost at an engine because its connection went silent; the others are answered. If the age of the oldest
// unanswered request counted against the whole engine, it would stay idle for 12 s while others have queues.
func TestOneLostRequestDoesNotCondemnItsServer(t *testing.T) {
	p := engines(2, 48)
	lost := granted(t, p, at(0), notes("lost", "s0"))

	for i := range 40 {
		now := at(time.Duration(i+1) * 100 * time.Millisecond)
		id := fmt.Sprint("r", i)
		granted(t, p, now, notes(id, fmt.Sprint("s", i)))
		p.RecordFirstEvent(now.Add(90*time.Millisecond), id, nil)
		p.RecordEnd(now.Add(95*time.Millisecond), id, balancer.Served)
	}

	used := 0

	var burst []balancer.Request
	for i := range 10 {
		burst = append(burst, notes(fmt.Sprint("late", i), fmt.Sprint("l", i)))
	}

	for _, upstream := range serveAll(t, p, at(5*time.Second), burst) {
		if upstream == lost {
			used++
		}
	}

	assert.Assert(t, used >= 3, "%d of 10 requests went to the engine that lost one", used)
}

// A crashed server that accepts connections but answers nothing must get no further requests. Its load
// alone doesn't show that no answer came.
func TestSilentServerIsLeftOutBeforeAnyRequestFails(t *testing.T) {
	p := engines(2, 48)
	silent := granted(t, p, at(0), chat("first"))

	for i := range 5 {
		now := at(300*time.Millisecond + time.Duration(i)*10*time.Millisecond)
		id := fmt.Sprint("r", i)
		assert.Assert(t, granted(t, p, now, chat(id)) != silent)
		p.RecordFirstEvent(now.Add(5*time.Millisecond), id, nil)
		p.RecordEnd(now.Add(6*time.Millisecond), id, balancer.Served)
	}

	// It gets a trial request later; otherwise nothing would show that it works again.
	tried := false
	for i := range 30 {
		id := fmt.Sprint("t", i)
		tried = tried || granted(t, p, at(2*time.Second), chat(id)) == silent
	}

	assert.Assert(t, tried)
}

// One request is stuck for a second where 30 ms were expected. If the ratios were averaged without the logarithm, one
// outlier would outweigh a hundred others, and the engine would appear thirty times as slow as it is.
func TestOneStuckRequestHardlyChangesTheSpeed(t *testing.T) {
	p := engines(1, 48)

	for i := range 20 {
		now := at(time.Duration(i) * 200 * time.Millisecond)
		id := fmt.Sprint("r", i)
		choice, _ := p.Acquire(now, "node", notes(id, fmt.Sprint("s", i)))
		p.RecordFirstEvent(now.Add(time.Duration(choice.ExpectedWaitMS*float64(time.Millisecond))), id, nil)
		p.RecordEnd(now.Add(150*time.Millisecond), id, balancer.Served)
	}

	before, _ := p.Acquire(at(5*time.Second), "node", notes("before", "x"))
	p.RecordFirstEvent(at(8*time.Second), "before", nil)
	p.RecordEnd(at(8*time.Second), "before", balancer.Served)

	after, _ := p.Acquire(at(8*time.Second), "node", notes("after", "y"))
	assert.Assert(t, after.ExpectedWaitMS < 2*before.ExpectedWaitMS, "%.0f ms before, %.0f ms after", before.ExpectedWaitMS, after.ExpectedWaitMS)
}

// A burst of long prompts arrives while short chats run. A prompt of 9,000 tokens takes 82 ms to read; five
// of them stall a chat beyond its gap limit of 120 ms.
func TestLongPromptsKeepAwayFromChats(t *testing.T) {
	p := engines(4, 48)
	chats := map[string]int{}

	for i := range 8 {
		chats[granted(t, p, at(0), chat(fmt.Sprint("c", i)))]++
	}

	beside := 0

	var burst []balancer.Request
	for i := range 6 {
		burst = append(burst, notes(fmt.Sprint("n", i), fmt.Sprint("s", i)))
	}

	for _, upstream := range serveAll(t, p, at(50*time.Millisecond), burst) {
		if chats[upstream] > 0 {
			beside++
		}
	}

	assert.Assert(t, len(chats) <= 2, "chats spread over %d engines", len(chats))
	assert.Assert(t, beside <= 1, "%d of 6 long prompts on engines that run chats", beside)
}

// Requests of a session share 6,300 of 9,000 tokens. Reading these again costs 57 ms of an engine's time.
func TestRequestsOfASessionShareAnEngine(t *testing.T) {
	p := engines(6, 48)
	first := granted(t, p, at(0), notes("n0", "session"))
	p.RecordFirstEvent(at(100*time.Millisecond), "n0", nil)
	p.RecordEnd(at(time.Second), "n0", balancer.Served)

	for i := 1; i < 5; i++ {
		now := at(time.Duration(i) * time.Second)
		id := fmt.Sprint("n", i)
		assert.Equal(t, granted(t, p, now, notes(id, "session")), first)
		p.RecordFirstEvent(now.Add(50*time.Millisecond), id, nil)
		p.RecordEnd(now.Add(500*time.Millisecond), id, balancer.Served)
	}
}

// Requests must wait in the pool's queue, the urgent ones first, and not at full engines. If more requests were sent
// than the batch holds, engines would preempt urgent requests while less urgent ones run on.
func TestRequestsWaitInThePoolByRank(t *testing.T) {
	p := engines(1, 2)
	granted(t, p, at(0), notes("r0", "s"))
	granted(t, p, at(0), notes("r1", "s"))

	_, decision := p.Acquire(at(0), "node", notes("low", "s"))
	assert.Equal(t, decision, balancer.Queued)
	_, decision = p.Acquire(at(time.Millisecond), "node", chat("high"))
	assert.Equal(t, decision, balancer.Queued)
	assert.Equal(t, p.QueueLength(), 2)
	assert.Equal(t, len(p.GrantQueued(at(2*time.Millisecond))), 0)

	p.RecordEnd(at(10*time.Millisecond), "r0", balancer.Served)
	grants := p.GrantQueued(at(10 * time.Millisecond))
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].ID, "high")

	// The owner may ask again if the grant was lost.
	choice, decision := p.Acquire(at(20*time.Millisecond), "node", chat("high"))
	assert.Equal(t, decision, balancer.Granted)
	assert.Equal(t, choice.Upstream, "a")
}

// A less urgent request must not wait forever at a full engine while chats keep coming. Waiting improves its rank.
func TestOldRequestsMoveUp(t *testing.T) {
	p := engines(1, 1)
	granted(t, p, at(0), chat("r"))
	_, _ = p.Acquire(at(0), "node", notes("old", "s"))
	_, _ = p.Acquire(at(3100*time.Millisecond), "node", chat("new"))

	p.RecordEnd(at(3200*time.Millisecond), "r", balancer.Served)
	grants := p.GrantQueued(at(3200 * time.Millisecond))
	assert.Equal(t, grants[0].ID, "old")
}

// A node is killed with requests in flight and reports no end. If only a report freed a slot, these slots would
// stay occupied forever.
func TestRequestsOfALostNodeExpire(t *testing.T) {
	p := engines(1, 1)
	granted(t, p, at(0), notes("lost", "s"))
	_, decision := p.Acquire(at(6*time.Second), "node", notes("next", "s"))
	assert.Equal(t, decision, balancer.Queued)

	assert.Equal(t, len(p.GrantQueued(at(8*time.Second))), 1)
}

// Nodes that can't reach the holder choose by themselves, and the engine reports more requests than the
// holder knows of. If the holder counted only its own requests, it would overload the engine.
func TestForeignRequestsCount(t *testing.T) {
	p := engines(1, 3)
	granted(t, p, at(0), notes("r0", "s"))
	granted(t, p, at(0), notes("r1", "s"))
	p.RecordFirstEvent(at(50*time.Millisecond), "r0", &balancer.Load{Running: 5, Waiting: 1})

	_, decision := p.Acquire(at(60*time.Millisecond), "node", notes("r2", "s"))
	assert.Equal(t, decision, balancer.Queued)
	assert.Equal(t, len(p.GrantQueued(at(3*time.Second))), 1)
}

func TestNothingGoesToServersThatLeaveOrFailedTheRequest(t *testing.T) {
	p := newPool(3, 6, balancer.Engine{})
	p.SetUpstreams(start, []balancer.Upstream{{ID: "a", Slots: 6, Draining: true}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}}, balancer.Engine{})

	for i := range 5 {
		work := balancer.Request{ID: fmt.Sprint(i), Target: 100 * time.Millisecond, TimeLimit: time.Second, Excluded: []string{"b"}}
		assert.Equal(t, granted(t, p, at(0), work), "c")
	}

	_, decision := p.Acquire(at(0), "node", balancer.Request{ID: "x", TimeLimit: time.Second, Excluded: []string{"b", "c"}})
	assert.Equal(t, decision, balancer.Refused)
}

// A server accepts no connections while all others are full. If being unreachable only increased the loss, its empty
// slots would attract all queued requests, and thousands would fail under overload.
func TestUnreachableServerGetsNothingForAWhile(t *testing.T) {
	p := newPool(2, 6, balancer.Engine{})
	call := func(id string) balancer.Request {
		return balancer.Request{ID: id, Target: 2 * time.Second, TimeLimit: 5 * time.Second}
	}

	down := granted(t, p, at(0), call("first"))
	p.RecordEnd(at(time.Millisecond), "first", balancer.Unreachable)

	waiting := 0

	for i := range 30 {
		choice, decision := p.Acquire(at(10*time.Millisecond), "node", call(fmt.Sprint("r", i)))
		assert.Assert(t, choice.Upstream != down)

		if decision == balancer.Queued {
			waiting++
		}
	}

	assert.Equal(t, waiting, 30-6-8)
	assert.Equal(t, len(p.GrantQueued(at(200*time.Millisecond))), 0)
	assert.Assert(t, len(p.GrantQueued(at(400*time.Millisecond))) > 0)
}

// After a crash of a quarter of the engines, they restart with new IDs, and the old IDs stay listed for seconds. If
// rejections only increased the loss, the empty slots of the old IDs would attract all queued requests while the other
// engines are full: each request would be rejected up to four times, and the retry budget would be spent.
func TestReplacedServerGetsNothingUntilItMayBeListedNoMore(t *testing.T) {
	p := newPool(2, 2, balancer.Engine{})
	replaced := granted(t, p, at(0), balancer.Request{ID: "first", TimeLimit: 5 * time.Second})
	p.RecordEnd(at(time.Millisecond), "first", balancer.Replaced)

	for i := range 10 {
		choice, _ := p.Acquire(at(1500*time.Millisecond), "node", balancer.Request{ID: fmt.Sprint("r", i), TimeLimit: 5 * time.Second})
		assert.Assert(t, choice.Upstream != replaced)
	}
}

// A server restarts under its ID, its entry shows the new start, and then the responses of its earlier requests arrive late.
// If the pool kept its state (cache, running requests, failures), the server would get requests of sessions that it has to
// read again, and would be avoided as full.
func TestServerThatStartedAgainIsUnknown(t *testing.T) {
	engine := balancer.Engine{CacheTokens: 300_000, EventTokens: 3}
	first := balancer.Upstream{ID: "a", Slots: 2, Born: 1000}
	p := balancer.NewPool(balancer.Options{})
	p.SetUpstreams(start, []balancer.Upstream{first}, engine)

	granted(t, p, at(0), notes("r1", "s"))
	granted(t, p, at(0), chat("r2"))

	second := first
	second.Born = 2000
	p.SetUpstreams(at(time.Second), []balancer.Upstream{second}, engine)
	assert.Equal(t, p.Report(at(time.Second))[0].Running, 0)

	p.RecordFirstEvent(at(1100*time.Millisecond), "r1", nil)
	p.RecordEnd(at(1200*time.Millisecond), "r1", balancer.Failed)
	report := p.Report(at(1200 * time.Millisecond))[0]
	assert.Equal(t, report.Running, 0)
	assert.Equal(t, report.Failures, 0.0)
	assert.Equal(t, report.BacklogTokens, 0.0)

	choice, decision := p.Acquire(at(1300*time.Millisecond), "node", notes("r3", "s"))
	assert.Equal(t, decision, balancer.Granted)
	// The whole prompt must be read: at least 9,000 tokens.
	assert.Assert(t, choice.ExpectedWaitMS > 80, "%.0f ms", choice.ExpectedWaitMS)
}
