package balancer_test

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// unevenSpeeds returns the speeds of the engines of a load.
func unevenSpeeds(count int) []float64 {
	var speeds []float64
	for i := range count {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}

	return speeds
}

// Guards against decisions that change while the setting is off: the golden file holds what the code before it decided.
func TestDecisionsWithoutPaceAreAsBefore(t *testing.T) {
	l := newPaceLoad(1, balancer.Options{}, paceClasses(12, 52, 57), unevenSpeeds(18), true)
	l.closed = 5000
	l.play(5000)

	log := strings.Join(l.decisions, "\n")
	golden.Assert(t, fmt.Sprintf("decisions %d, refused %v, sha256 %x\n", len(l.decisions), l.refused, sha256.Sum256([]byte(log))), "decisions_without_pace.golden")
}

// playUneven plays the load of the tests on 18 engines and returns it with the counts of all seeds.
func playUneven(seeds uint64, options balancer.Options, reports bool) *paceLoad {
	all := newPaceLoad(0, options, paceClasses(12, 52, 57), nil, false)

	for seed := range seeds {
		l := newPaceLoad(seed, options, paceClasses(12, 52, 57), unevenSpeeds(18), true)
		l.settled, l.closed, l.reports = 2000, 10_000, reports
		l.play(14_000)

		for class := range l.classes {
			all.sent[class] += l.sent[class]
			all.stalled[class] += l.stalled[class]
			all.inTime[class] += l.inTime[class]
			all.refused[class] += l.refused[class]
		}
	}

	return all
}

// Guards against long prompts beside chats, whose events then stall for longer than their gap limit: engines of uneven speed
// get bursts of long prompts and have slow phases. Prompts must not be late or refused in turn.
func TestPromptsKeepAwayFromStreams(t *testing.T) {
	before := playUneven(4, balancer.Options{}, false)
	after := playUneven(4, balancer.Options{ServerPace: true}, false)

	reported := playUneven(4, balancer.Options{ServerPace: true}, true)

	t.Logf("before: sent %v, stalled %v, refused %v, in time %v", before.sent, before.stalled, before.refused, before.inTime)
	t.Logf("after: sent %v, stalled %v, refused %v, in time %v", after.sent, after.stalled, after.refused, after.inTime)
	t.Logf("with reports: sent %v, stalled %v, refused %v, in time %v", reported.sent, reported.stalled, reported.refused, reported.inTime)
	assert.Assert(t, 3*after.stalled[0] <= 2*before.stalled[0], "chats with too long a gap")
	assert.Assert(t, 3*reported.stalled[0] <= before.stalled[0], "chats with too long a gap while the engines report how long work takes")

	for class := range after.classes {
		assert.Assert(t, after.inTime[class] >= before.inTime[class], "requests of class %d in time", class)
	}
}

// BenchmarkPacedDecision measures a holder's cost of one request at servers that serve streams of several gap limits.
func BenchmarkPacedDecision(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprint("90-servers-paced-", paced), func(b *testing.B) {
			p := balancer.NewPool(balancer.Options{ServerPace: paced})
			p.SetUpstreams(start, engineList(90, 48), balancer.Engine{CacheTokens: 300_000, EventTokens: 9})

			requests := []balancer.Request{chat(""), notes("", "s"), notes("", "s")}
			requests[2].Priority, requests[2].GapLimit = advicePriority, 250*time.Millisecond

			var running []string

			for i := 0; b.Loop(); i++ {
				now := at(time.Duration(i) * 2 * time.Millisecond)
				request := requests[i%len(requests)]
				request.ID = fmt.Sprint("r", i)
				request.PromptParts = []balancer.PromptPart{{ID: fmt.Sprint("s", i%300), Tokens: 600}}

				if _, decision := p.Acquire(now, "node", request); decision != balancer.Granted {
					b.Fatal("the request was not granted")
				}

				if running = append(running, request.ID); len(running) > 30 {
					p.RecordFirstEvent(now, running[len(running)-30], nil)
				}

				if len(running) < 700 {
					continue
				}

				p.RecordGaps(running[0], balancer.EventGaps{Events: 10, MeanMS: 40, LongestMS: 90})
				p.RecordEnd(now, running[0], balancer.Served)
				running = running[1:]
			}
		})
	}
}

// plainLoad sends a call every 6 ms for 30 s to three servers with six slots, of which one after the other is slow for 600 ms.
// It returns the calls of each server, and how many of all took longer than 60 ms.
func plainLoad(p *balancer.Pool) (chosen map[string]int, long int) {
	type call struct {
		id     string
		server int
		end    time.Duration
	}

	chosen = map[string]int{}

	var (
		running []call
		free    [3][6]time.Duration
	)

	for i := range 5000 {
		elapsed := time.Duration(i) * 6 * time.Millisecond
		work := func(server int) float64 {
			if elapsed%(4*time.Second) >= time.Duration(server+1)*time.Second-600*time.Millisecond && elapsed%(4*time.Second) < time.Duration(server+1)*time.Second {
				return 250
			}

			return 100
		}

		running = slices.DeleteFunc(running, func(c call) bool {
			if c.end > elapsed {
				return false
			}

			p.RecordLoad(at(c.end), c.id, balancer.Load{Running: 1, Slots: 6, WorkTime: work(c.server)})
			p.RecordEnd(at(c.end), c.id, balancer.Served)

			return true
		})

		id := fmt.Sprint("r", i)

		choice, decision := p.Acquire(at(elapsed), "node", balancer.Request{ID: id, Target: 150 * time.Millisecond, TimeLimit: 1500 * time.Millisecond})
		if decision != balancer.Granted {
			long++

			continue
		}

		server := int(choice.Upstream[0] - 'a')
		slot := &free[server][0]

		for j := range free[server] {
			if free[server][j] < *slot {
				slot = &free[server][j]
			}
		}

		*slot = max(*slot, elapsed) + time.Duration(work(server)*0.3*float64(time.Millisecond))
		running = append(running, call{id: id, server: server, end: *slot})
		chosen[choice.Upstream]++

		if *slot-elapsed > 60*time.Millisecond {
			long++
		}
	}

	return chosen, long
}

// Guards against calls of a plain service that go to a server which reports that it is slow at the moment, and against a server
// that is avoided for longer than its slow phase.
func TestPlainCallsAvoidServersThatAreSlowAtTheMoment(t *testing.T) {
	long := map[bool]int{}

	for _, paced := range []bool{false, true} {
		p := balancer.NewPool(balancer.Options{ServerPace: paced})
		p.SetUpstreams(start, engineList(3, 6), balancer.Engine{})

		var chosen map[string]int

		chosen, long[paced] = plainLoad(p)
		t.Logf("paced %v: chosen %v, long %d", paced, chosen, long[paced])

		for _, server := range []string{"a", "b", "c"} {
			assert.Assert(t, !paced || chosen[server] > 500, "server %s got %d calls", server, chosen[server])
		}
	}

	assert.Assert(t, 2*long[true] < long[false])
}

// Guards against a pool that has no upstream for anyone after a change of its holder: the pace of a server must stay a number
// when a stream ends whose first event came before the pool was told of it.
func TestPaceAfterAStreamThatAnotherHolderBegan(t *testing.T) {
	p := balancer.NewPool(balancer.Options{ServerPace: true})
	p.SetUpstreams(start, engineList(1, 16), balancer.Engine{CacheTokens: 100_000, EventTokens: 5})

	chat := balancer.Request{ID: "early", PromptTokens: 700, OutputTokens: 100, Target: time.Second, GapLimit: 200 * time.Millisecond, TimeLimit: 10 * time.Second}
	p.AddAnswering(start, "a", chat)

	for i := range 3 {
		id := fmt.Sprint("r", i)
		next := chat
		next.ID = id

		_, decision := p.Acquire(at(time.Second), "node", next)
		assert.Equal(t, decision, balancer.Granted)
		p.RecordFirstEvent(at(time.Second+50*time.Millisecond), id, nil)
	}

	p.RecordGaps("early", balancer.EventGaps{Events: 20, MeanMS: 30, LongestMS: 60})
	p.RecordEnd(at(2*time.Second), "early", balancer.Served)

	next := chat
	next.ID = "next"
	_, decision := p.Acquire(at(2*time.Second), "node", next)
	assert.Equal(t, decision, balancer.Granted)
}
