package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const (
	tierEngines = 15
	tierSlots   = 16
	// tierLossTime is when half of the engines are lost, tierEndTime when the load ends.
	tierLossTime = 4 * time.Second
	tierEndTime  = 8 * time.Second
	tierTick     = time.Millisecond
	// maxUnservedFraction is the fraction of the requests of a class that may get nothing while less urgent ones that are
	// larger begin: the users' bound.
	maxUnservedFraction = 1.0 / 12
)

// tierClass is a class of requests at the engines of a pool.
type tierClass struct {
	// first is the time to the first event of a request, total the time that it runs.
	first, total time.Duration
	// perSecond is the number of requests a second.
	perSecond float64
	request   func(random *rand.Rand, id string) balancer.Request
}

// tierClasses returns an urgent class of short prompts, which needs a little more than half of the slots that are left, and a
// less urgent class of long prompts, which alone needs more than all.
func tierClasses() []tierClass {
	return []tierClass{
		{first: 60 * time.Millisecond, total: 250 * time.Millisecond, perSecond: 250, request: func(random *rand.Rand, id string) balancer.Request {
			return balancer.Request{
				ID: id, Priority: 1, PromptTokens: 1800, OutputTokens: 25, TimeLimit: 3 * time.Second,
				Target: 300 * time.Millisecond, GapLimit: 250 * time.Millisecond,
				PromptParts: []balancer.PromptPart{
					{ID: fmt.Sprint("advice", random.IntN(80)), Tokens: 341}, {ID: fmt.Sprint("pet", random.IntN(3000)), Tokens: 227}, {ID: id, Tokens: 1232},
				},
			}
		}},
		{first: 150 * time.Millisecond, total: 700 * time.Millisecond, perSecond: 250, request: func(random *rand.Rand, id string) balancer.Request {
			return balancer.Request{
				ID: id, Priority: 2, PromptTokens: 9190, OutputTokens: 50, TimeLimit: 5 * time.Second,
				Target: 800 * time.Millisecond, GapLimit: 600 * time.Millisecond,
				PromptParts: []balancer.PromptPart{
					{ID: fmt.Sprint("notes", random.IntN(4)), Tokens: 2520}, {ID: fmt.Sprint("coat", random.IntN(2800)), Tokens: 3780}, {ID: id, Tokens: 2890},
				},
			}
		}},
	}
}

// tierRun is a request at an engine.
type tierRun struct {
	id         string
	first, end time.Time
	answered   bool
}

// tierSimulation is a pool under the load of the classes.
type tierSimulation struct {
	pool    *balancer.Pool
	random  *rand.Rand
	classes []tierClass
	running []*tierRun
	// classOf and sentAt hold the class of each request and when it was sent.
	classOf map[string]int
	sentAt  map[string]time.Duration
	// due is when the next request of each class is sent, in seconds.
	due []float64
	// sent counts the requests of each class that were sent after the loss, begun those of them that began.
	sent, begun []int
}

func newTierSimulation(seed uint64) *tierSimulation {
	classes := tierClasses()

	return &tierSimulation{
		pool: engines(tierEngines, tierSlots), random: rand.New(rand.NewPCG(seed, 1)), classes: classes,
		classOf: make(map[string]int), sentAt: make(map[string]time.Duration),
		due: make([]float64, len(classes)), sent: make([]int, len(classes)), begun: make([]int, len(classes)),
	}
}

// run plays the load, and loses half of the engines midway.
func (s *tierSimulation) run() {
	for elapsed := time.Duration(0); elapsed < tierEndTime; elapsed += tierTick {
		if elapsed == tierLossTime {
			s.pool.SetUpstreams(at(elapsed), engineList(tierEngines/2, tierSlots), balancer.Engine{CacheTokens: 300_000, EventTokens: 3})
		}

		s.advance(at(elapsed))
		s.send(elapsed)

		for _, g := range s.pool.GrantQueued(at(elapsed)) {
			if !g.Refused {
				s.begin(at(elapsed), g.ID)
			}
		}
	}
}

// advance reports the first events and the ends that are due.
func (s *tierSimulation) advance(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(r *tierRun) bool {
		if !r.answered && !now.Before(r.first) {
			r.answered = true
			s.pool.RecordFirstEvent(now, r.id, nil)
		}

		if now.Before(r.end) {
			return false
		}

		s.pool.RecordEnd(now, r.id, balancer.Served)

		return true
	})
}

// send sends the requests that are due.
func (s *tierSimulation) send(elapsed time.Duration) {
	for class := range s.classes {
		for ; s.due[class] <= elapsed.Seconds(); s.due[class] += s.random.ExpFloat64() / s.classes[class].perSecond {
			id := fmt.Sprint(class, ".", s.due[class])
			s.classOf[id], s.sentAt[id] = class, elapsed

			if elapsed >= tierLossTime {
				s.sent[class]++
			}

			if _, decision := s.pool.Acquire(at(elapsed), "node", s.classes[class].request(s.random, id)); decision == balancer.Granted {
				s.begin(at(elapsed), id)
			}
		}
	}
}

func (s *tierSimulation) begin(now time.Time, id string) {
	class := s.classOf[id]
	s.running = append(s.running, &tierRun{id: id, first: now.Add(s.classes[class].first), end: now.Add(s.classes[class].total)})

	if s.sentAt[id] >= tierLossTime {
		s.begun[class]++
	}
}

// Guards against less urgent requests that fill the prompt backlog of engines beyond its limit while more urgent ones, which
// keep to the limit, wait for it to shrink and are refused.
func TestUrgentRequestsGoFirstAfterALossOfEngines(t *testing.T) {
	for seed := range uint64(5) {
		s := newTierSimulation(seed)
		s.run()

		sent, begun := s.sent, s.begun
		t.Logf("seed %d: urgent %d of %d begun, less urgent %d of %d", seed, begun[0], sent[0], begun[1], sent[1])
		assert.Check(t, float64(sent[0]-begun[0]) <= maxUnservedFraction*float64(sent[0]),
			"seed %d: %d of %d urgent requests got nothing, while %d less urgent ones began", seed, sent[0]-begun[0], sent[0], begun[1])
		// The engines are used.
		assert.Check(t, begun[1] > 0)
	}
}
