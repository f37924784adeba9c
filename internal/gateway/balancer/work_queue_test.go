package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// workPool returns a pool with work admission and engines named a, b, c and so on.
func workPool(count, slots int, engine balancer.Engine) *balancer.Pool {
	p := balancer.NewPool(workAdmission)
	p.SetUpstreams(start, engineList(count, slots), engine)

	return p
}

// warm is a time at which a pool that was asked at the start has no slow start any more.
const warm = 6 * time.Second

// A short prompt of a less urgent class must not take the memory for which a longer, more urgent one waits. Otherwise the longer
// one waits as long as short ones keep coming.
func TestLessUrgentRequestsLeaveTheRoomForWhichOthersWait(t *testing.T) {
	p := workPool(1, 64, balancer.Engine{CacheTokens: 100_000, EventTokens: 3})
	request := func(id string, priority, tokens int) balancer.Request {
		return balancer.Request{ID: id, Priority: priority, PromptTokens: tokens, Target: 5 * time.Second, TimeLimit: 30 * time.Second}
	}

	granted(t, p, at(0), request("running", 0, 80_000))
	p.RecordFirstEvent(at(800*time.Millisecond), "running", nil)

	_, decision := p.Acquire(at(warm), "node", request("urgent", 1, 10_000))
	assert.Equal(t, decision, balancer.Queued)
	_, decision = p.Acquire(at(warm), "node", request("short", 2, 2000))
	assert.Equal(t, decision, balancer.Queued)
	assert.Equal(t, len(p.GrantQueued(at(warm+10*time.Millisecond))), 0)

	p.RecordEnd(at(warm+20*time.Millisecond), "running", balancer.Served)

	grants := p.GrantQueued(at(warm + 20*time.Millisecond))
	assert.Equal(t, grants[0].ID, "urgent")
	assert.Equal(t, len(grants), 2)
}

// saturated returns a pool whose slots are all in use and that serves 16 requests in a second.
func saturated(t *testing.T) *balancer.Pool {
	t.Helper()

	p := workPool(2, 8, balancer.Engine{CacheTokens: 300_000, EventTokens: 3})

	granted(t, p, at(0), chat("first"))
	p.RecordFirstEvent(at(20*time.Millisecond), "first", nil)
	p.RecordEnd(at(100*time.Millisecond), "first", balancer.Served)

	for round := range 8 {
		now := at(warm + time.Duration(round)*time.Second)

		for i := range 16 {
			if round > 0 {
				p.RecordEnd(now, fmt.Sprint(round-1, ".", i), balancer.Served)
			}
		}

		for i := range 16 {
			work := notes(fmt.Sprint(round, ".", i), "s")
			work.PromptTokens, work.OutputTokens, work.PromptParts = 2000, 0, nil
			granted(t, p, now, work)
			p.RecordFirstEvent(now, work.ID, nil)
		}
	}

	return p
}

// Refused callers must come back at different times, when there is room for them, and then go ahead of new requests. If all came
// back together, most were refused again.
func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	p := saturated(t)
	now := at(warm + 7100*time.Millisecond)
	ask := func(now time.Time, id string, content uint64) (balancer.Choice, balancer.Decision) {
		return p.Acquire(now, "node", balancer.Request{
			ID: id, Content: content, Priority: notesPriority, PromptTokens: 2000, Organisation: "o", Target: 800 * time.Millisecond, TimeLimit: 6 * time.Second,
		})
	}

	var told []float64

	for i := range 40 {
		if choice, decision := ask(now, fmt.Sprint("n", i), uint64(i+1)); decision == balancer.Refused {
			told = append(told, choice.ReturnMS)
		}
	}

	assert.Assert(t, len(told) > 20, "%d refused", len(told))

	for i := range told[1:] {
		// 16 a second, of which a third is kept for returns: 190 ms between two of them.
		assert.Assert(t, told[i] > 1800 || told[i+1] > told[i]+100, "%v", told)
	}

	first := 40 - len(told)
	queued := p.QueueLength()

	// A caller that comes back early is a new one, also when it then comes back at the time.
	_, decision := ask(now.Add(50*time.Millisecond), "early", uint64(first+2))
	assert.Equal(t, decision, balancer.Refused)

	due := now.Add(time.Duration(told[0]) * time.Millisecond)
	_, decision = ask(due, "back", uint64(first+1))
	assert.Equal(t, decision, balancer.Queued)
	assert.Equal(t, p.QueueLength(), queued+1)

	// It has been used.
	_, decision = ask(due, "again", uint64(first+1))
	assert.Equal(t, decision, balancer.Refused)

	counters := p.AdmissionCounters()
	assert.Equal(t, counters.Returned, int64(1))
	assert.Equal(t, counters.Early, int64(1))

	p.RecordEnd(due, "7.0", balancer.Served)
	grants := p.GrantQueued(due.Add(5 * time.Millisecond))
	assert.Assert(t, len(grants) > 0)
	assert.Equal(t, grants[0].ID, "back")
}

// After a loss of all nodes, all callers come back at once and nothing is known of the engines. If less urgent requests filled
// them at once, the most urgent ones, which come with them, would wait.
func TestUrgentRequestsFindRoomInTheFirstSeconds(t *testing.T) {
	// 64 slots, of which the prompts have at most nine sixteenths at that time.
	const chats = 24

	for _, on := range []bool{false, true} {
		p := balancer.NewPool(balancer.Options{WorkAdmission: on})
		p.SetUpstreams(start, engineList(4, 16), balancer.Engine{CacheTokens: 300_000, EventTokens: 3})

		atOnce, placed := 0, 0

		for i := range 200 {
			work := notes(fmt.Sprint("n", i), "s")
			work.PromptTokens, work.PromptParts = 400, nil

			if _, decision := p.Acquire(at(time.Duration(i)*time.Millisecond/4), "node", work); decision == balancer.Granted {
				placed++
			}
		}

		for i := range chats {
			if _, decision := p.Acquire(at(60*time.Millisecond), "node", chat(fmt.Sprint("c", i))); decision == balancer.Granted {
				atOnce++
			}
		}

		assert.Equal(t, atOnce == chats, on, "%d chats got an engine at once, after %d prompts", atOnce, placed)

		if on {
			for _, g := range p.GrantQueued(at(600 * time.Millisecond)) {
				if !g.Refused {
					placed++
				}
			}

			assert.Assert(t, placed > 20 && placed <= 64-chats, "%d prompts got an engine", placed)
		}
	}
}

// Without any callers that come back, and with engines whose slots are scarce rather than their time to read, the longest tenth of
// the prompts must still be served half as often as the others. Before admissions were counted by size, it was 0.03 to 0.39.
func TestLargePromptsAreNotStarvedWithoutReturns(t *testing.T) {
	long, usual := servedByLength(workPool(4, 8, balancer.Engine{CacheTokens: 300_000, EventTokens: 3}))
	t.Logf("%.2f of the long prompts were served, %.2f of the usual ones", long, usual)
	assert.Assert(t, usual > 0.3)
	assert.Assert(t, long > 0.5*usual)
}
