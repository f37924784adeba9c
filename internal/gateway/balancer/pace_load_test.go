package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const (
	paceSlots       = 16
	paceEventTokens = 9
	paceChunk       = 1024.0
	// paceStepMS, paceSlotMS and paceRate are the time of a step, what each stream adds to it, and the prompt tokens per millisecond.
	paceStepMS = 3.03
	paceSlotMS = 0.06
	paceRate   = 92.1
	// paceSlow is how much longer work takes in a slow phase of paceSlowMS.
	paceSlow        = 2.5
	paceSlowMS      = 600.0
	paceBetweenMS   = 3400.0
	paceCachedParts = 40
)

// paceRun is a request at a paceEngine. Times are in milliseconds since the start.
type paceRun struct {
	request         balancer.Request
	left            float64
	tokens, events  int
	asked, sent     float64
	first, last     float64
	longest         float64
	expected, order int
}

// paceEngine reads prompts in chunks beside the streams that it generates, at its own speed and slower at times.
type paceEngine struct {
	id            string
	speed         float64
	phases        []float64
	reading, runs []*paceRun
	// stepping is set during a step, which ends at stepEnd and reads chunkOf's tokens.
	stepping bool
	stepEnd  float64
	chunk    float64
	cached   []string
}

// slowness returns how much longer work takes at the time; phases alternate, the first one isn't slow.
func (e *paceEngine) slowness(now float64) float64 {
	i, _ := slices.BinarySearch(e.phases, now)
	if i%2 == 1 {
		return paceSlow
	}

	return 1
}

// uncached returns the tokens to read and caches the parts.
func (e *paceEngine) uncached(request *balancer.Request) float64 {
	left, prefix := request.PromptTokens, true

	for _, part := range request.PromptParts {
		i := slices.Index(e.cached, part.ID)
		if prefix = prefix && i >= 0; prefix {
			left -= part.Tokens
		}

		if i >= 0 {
			e.cached = slices.Delete(e.cached, i, i+1)
		}

		e.cached = append(e.cached, part.ID)
	}

	e.cached = e.cached[max(len(e.cached)-paceCachedParts, 0):]

	return float64(max(left, 1))
}

// begin begins the next step, if there is work.
func (e *paceEngine) begin(now float64) {
	if e.stepping || len(e.reading)+len(e.runs) == 0 {
		return
	}

	e.chunk = 0
	for _, r := range e.reading {
		e.chunk = min(e.chunk+r.left, paceChunk)
	}

	e.stepping = true
	e.stepEnd = now + e.speed*e.slowness(now)*(paceStepMS+paceSlotMS*float64(len(e.runs))+e.chunk/paceRate)
}

// paceClass is a class of the load.
type paceClass struct {
	name      string
	perSecond float64
	events    int
	request   balancer.Request
	sharedBy  int
	shared    int
	burst     float64
}

func paceClasses(chats, mediums, longs float64) []paceClass {
	return []paceClass{
		{name: "chat", perSecond: chats, events: 31, burst: 1, request: balancer.Request{
			Priority: 0, PromptTokens: 715, OutputTokens: 300, Target: 250 * time.Millisecond, GapLimit: 150 * time.Millisecond, TimeLimit: 10 * time.Second,
		}},
		{name: "medium", perSecond: mediums, events: 3, burst: 1, request: balancer.Request{
			Priority: 1, PromptTokens: 2368, OutputTokens: 40, Target: 400 * time.Millisecond, GapLimit: 250 * time.Millisecond, TimeLimit: 6 * time.Second,
		}},
		{name: "long", perSecond: longs, events: 6, burst: 2.5, sharedBy: 400, shared: 6300, request: balancer.Request{
			Priority: 2, PromptTokens: 9190, OutputTokens: 60, Target: time.Second, GapLimit: 600 * time.Millisecond, TimeLimit: 4 * time.Second,
		}},
	}
}

// paceLoad plays a load on a pool of engines of uneven speed. Bursts of long prompts last from 3 to 7 s.
type paceLoad struct {
	pool    *balancer.Pool
	random  *rand.Rand
	engines []*paceEngine
	classes []paceClass
	// reports is set if the engines report how long work takes.
	reports bool
	due     []float64
	pending map[string]*paceRun
	// sent, late, refused and inTime count the requests of each class; stalled those with a gap over their limit.
	sent, stalled, refused, inTime map[int]int
	decisions                      []string
	// Requests that are asked from settled until closed count.
	settled, closed float64
}

func newPaceLoad(seed uint64, options balancer.Options, classes []paceClass, speeds []float64, slow bool) *paceLoad {
	l := &paceLoad{
		pool: balancer.NewPool(options), random: rand.New(rand.NewPCG(seed, 1)), classes: classes, due: make([]float64, len(classes)),
		pending: map[string]*paceRun{}, sent: map[int]int{}, stalled: map[int]int{}, refused: map[int]int{}, inTime: map[int]int{},
	}

	var upstreams []balancer.Upstream

	for i, speed := range speeds {
		e := &paceEngine{id: fmt.Sprintf("e%02d", i), speed: speed}

		for t := 0.0; slow && t < 60_000; {
			t += l.random.ExpFloat64() * paceBetweenMS
			e.phases = append(e.phases, t, t+paceSlowMS)
			t += paceSlowMS
		}

		l.engines = append(l.engines, e)
		upstreams = append(upstreams, balancer.Upstream{ID: e.id, Slots: paceSlots})
	}

	l.pool.SetUpstreams(start, upstreams, balancer.Engine{CacheTokens: 322_545, EventTokens: paceEventTokens})

	return l
}

func paceAt(ms float64) time.Time { return at(time.Duration(ms * float64(time.Millisecond))) }

// play plays the load until the time in milliseconds.
func (l *paceLoad) play(until float64) {
	for grantAt := 0.0; ; {
		next, class := grantAt, -1

		for i, due := range l.due {
			if due < next {
				next, class = due, i
			}
		}

		var engine *paceEngine

		for _, e := range l.engines {
			if e.stepping && e.stepEnd < next {
				next, engine = e.stepEnd, e
			}
		}

		switch {
		case next >= until:
			return
		case engine != nil:
			l.endStep(engine, next)
		case class >= 0:
			l.ask(class, next)
		default:
			grantAt += 10
		}

		l.grant(next)
	}
}

func (l *paceLoad) ask(class int, now float64) {
	c := &l.classes[class]
	rate := c.perSecond

	if now > 3000 && now < 7000 {
		rate *= c.burst
	}

	l.due[class] = now + l.random.ExpFloat64()/rate*1000
	request := c.request
	request.ID = fmt.Sprint(c.name, len(l.pending))

	if c.sharedBy > 0 {
		request.PromptParts = []balancer.PromptPart{{ID: fmt.Sprint("s", l.random.IntN(c.sharedBy)), Tokens: c.shared}}
	}

	l.pending[request.ID] = &paceRun{request: request, asked: now, order: class, expected: c.events}

	if l.counts(now) {
		l.sent[class]++
	}

	choice, decision := l.pool.Acquire(paceAt(now), "node", request)

	switch decision {
	case balancer.Granted:
		l.start(request.ID, choice.Upstream, now)
	case balancer.Refused:
		l.refuse(request.ID)
	case balancer.Queued:
	}
}

func (l *paceLoad) counts(asked float64) bool { return asked >= l.settled && asked < l.closed }

func (l *paceLoad) refuse(id string) {
	if r := l.pending[id]; l.counts(r.asked) {
		l.refused[r.order]++
	}
}

func (l *paceLoad) grant(now float64) {
	for _, g := range l.pool.GrantQueued(paceAt(now)) {
		if g.Refused {
			l.refuse(g.ID)
		} else {
			l.start(g.ID, g.Choice.Upstream, now)
		}
	}
}

func (l *paceLoad) start(id, upstream string, now float64) {
	l.decisions = append(l.decisions, id+" "+upstream)
	r := l.pending[id]
	e := l.engines[slices.IndexFunc(l.engines, func(e *paceEngine) bool { return e.id == upstream })]
	r.sent, r.left = now, e.uncached(&r.request)
	e.reading = append(e.reading, r)
	slices.SortStableFunc(e.reading, func(a, b *paceRun) int { return a.request.Priority - b.request.Priority })
	e.begin(now)
}

// endStep ends a step: streams get a token, prompts are read.
func (l *paceLoad) endStep(e *paceEngine, now float64) {
	e.stepping = false

	for _, r := range e.runs {
		r.tokens++

		if r.tokens%paceEventTokens == 0 {
			l.event(e, r, now)
		}
	}

	e.runs = slices.DeleteFunc(e.runs, func(r *paceRun) bool { return r.events == r.expected })

	for e.chunk > 0 && len(e.reading) > 0 {
		r := e.reading[0]
		read := min(r.left, e.chunk)
		r.left -= read
		e.chunk -= read

		if r.left > 0 {
			break
		}

		e.reading = e.reading[1:]
		e.runs = append(e.runs, r)
	}

	e.begin(now)
}

func (l *paceLoad) event(e *paceEngine, r *paceRun, now float64) {
	r.events++

	if r.events == 1 {
		r.first = now

		var load *balancer.Load
		if l.reports {
			load = l.load(e, now)
		}

		l.pool.RecordFirstEvent(paceAt(now), r.request.ID, load)
	} else {
		r.longest = max(r.longest, now-r.last)
	}

	r.last = now

	if r.events < r.expected {
		return
	}

	l.pool.RecordGaps(r.request.ID, balancer.EventGaps{Events: r.events, MeanMS: (now - r.first) / float64(r.events-1), LongestMS: r.longest})
	l.pool.RecordEnd(paceAt(now), r.request.ID, balancer.Served)

	if !l.counts(r.asked) {
		return
	}

	stalled := r.longest > float64(r.request.GapLimit.Milliseconds())
	if stalled {
		l.stalled[r.order]++
	}

	if !stalled && r.first-r.asked <= float64(r.request.Target.Milliseconds()) {
		l.inTime[r.order]++
	}
}

// load returns what the engine reports.
func (l *paceLoad) load(e *paceEngine, now float64) *balancer.Load {
	return &balancer.Load{Running: len(e.runs) + len(e.reading), Slots: paceSlots, WorkTime: 100 * e.slowness(now)}
}
