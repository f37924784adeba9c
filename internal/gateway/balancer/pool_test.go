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

// engines returns a pool of engines named a, b, c.
func engines(count, slots int) *balancer.Pool {
	return newPool(count, slots, balancer.Engine{CacheTokens: 300_000, EventTokens: 3})
}

func newPool(count, slots int, engine balancer.Engine) *balancer.Pool {
	p := balancer.NewPool()

	var upstreams []balancer.Upstream
	for i := range count {
		upstreams = append(upstreams, balancer.Upstream{ID: string(rune('a' + i)), Slots: slots})
	}

	p.SetUpstreams(start, upstreams, engine)

	return p
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

// serveAll asks for all of the work at once and returns where each request went. Engines have read the prompts that
// they got 90 ms later; those that wait get room then.
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
		assert.Assert(t, len(grants) > 0, "nothing gets room")

		for _, g := range grants {
			assert.Assert(t, !g.Refused)
			placed[g.ID] = g.Choice.Upstream
		}
	}

	return placed
}

// Symptom: an idle engine is left alone for 12 s while others have queues.
// Sequence: one request is lost at it (its connection went silent); the others are answered.
// Cause: the age of the oldest unanswered request was held against the whole engine.
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

// Symptom: a server that crashed without a word gets request after request.
// Sequence: it takes connections and answers nothing.
// Cause: load counted what was sent, not that no answer came.
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

	// It gets a trial request later on, else nobody would learn that it is back.
	tried := false
	for i := range 30 {
		id := fmt.Sprint("t", i)
		tried = tried || granted(t, p, at(2*time.Second), chat(id)) == silent
	}

	assert.Assert(t, tried)
}

// Symptom: an engine is thought to be thirty times as slow as it is.
// Sequence: one request was stuck for a second where 30 ms were expected.
// Cause: speeds were averaged as they are, so one outlier outweighed a hundred others.
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

// Load: a burst of long prompts beside short chats, as at the close of a shop's day.
// Grounds: a prompt of 9,000 tokens takes 82 ms to read; five of them stall a chat over its limit of 120 ms.
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
	assert.Assert(t, beside <= 1, "%d of 6 long prompts beside chats", beside)
}

// Load: requests of one session come one after the other.
// Grounds: 6,300 of 9,000 tokens are shared; read again they cost 57 ms of an engine.
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

// Symptom: engines set urgent running requests back while less urgent ones run on.
// Sequence: more requests are sent than the batch holds; a waiting urgent one takes a place.
// Cause: requests waited at full engines. They wait in the pool's queue now, the urgent ones first.
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

	// Its owner may ask again, when the grant was lost on the way.
	choice, decision := p.Acquire(at(20*time.Millisecond), "node", chat("high"))
	assert.Equal(t, decision, balancer.Granted)
	assert.Equal(t, choice.Upstream, "a")
}

// Symptom: long reviews wait forever while chats come.
// Sequence: the engine is always full and a chat always waits.
// Cause: rank alone decided; waiting counts now.
func TestOldRequestsMoveUp(t *testing.T) {
	p := engines(1, 1)
	granted(t, p, at(0), chat("r"))
	_, _ = p.Acquire(at(0), "node", notes("old", "s"))
	_, _ = p.Acquire(at(3100*time.Millisecond), "node", chat("new"))

	p.RecordEnd(at(3200*time.Millisecond), "r", balancer.Served)
	grants := p.GrantQueued(at(3200 * time.Millisecond))
	assert.Equal(t, grants[0].ID, "old")
}

// Symptom: slots of an engine stay taken for good.
// Sequence: a node is killed with requests in flight and tells no end.
// Cause: only a told end freed a slot.
func TestRequestsOfALostNodeExpire(t *testing.T) {
	p := engines(1, 1)
	granted(t, p, at(0), notes("lost", "s"))
	_, decision := p.Acquire(at(6*time.Second), "node", notes("next", "s"))
	assert.Equal(t, decision, balancer.Queued)

	assert.Equal(t, len(p.GrantQueued(at(8*time.Second))), 1)
}

// Symptom: engines are overrun while some nodes are cut off from the holder.
// Sequence: those nodes send by themselves; the engine tells 2 running where the holder knows of 1.
// Cause: only own requests counted.
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

// Symptom: under overload thousands of requests fail at servers that crashed.
// Sequence: a server takes no connections; its slots are empty; all others are full.
// Cause: being unreachable only added to the loss, and empty slots drew all that waited.
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

// Symptom: after a crash of a quarter of the engines each request is refused up to four times by
// engines that had started again, and the retry budget is spent.
// Sequence: an engine starts again with another id; the old id is listed for seconds more; all others are full.
// Cause: its refusals only added to the loss, and its empty slots drew all that waited.
func TestReplacedServerGetsNothingUntilItMayBeListedNoMore(t *testing.T) {
	p := newPool(2, 2, balancer.Engine{})
	replaced := granted(t, p, at(0), balancer.Request{ID: "first", TimeLimit: 5 * time.Second})
	p.RecordEnd(at(time.Millisecond), "first", balancer.Replaced)

	for i := range 10 {
		choice, _ := p.Acquire(at(1500*time.Millisecond), "node", balancer.Request{ID: fmt.Sprint("r", i), TimeLimit: 5 * time.Second})
		assert.Assert(t, choice.Upstream != replaced)
	}
}

// Symptom: a server that started again gets the requests of sessions that it has to read anew, and is avoided as full.
// Sequence: a server runs two requests, starts again under its id, and its entry tells the new start; then the
// answers of its first life come late.
// Cause: what was known of the id was kept: its cache, its running requests, its failures.
func TestServerThatStartedAgainIsUnknown(t *testing.T) {
	engine := balancer.Engine{CacheTokens: 300_000, EventTokens: 3}
	first := balancer.Upstream{ID: "a", Slots: 2, Born: 1000}
	p := balancer.NewPool()
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
	// All of the prompt must be read: 9,000 tokens and more.
	assert.Assert(t, choice.ExpectedWaitMS > 80, "%.0f ms", choice.ExpectedWaitMS)
}
