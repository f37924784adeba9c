package bencher

import (
	"math"
	"slices"
	"time"
)

// roundingTokens is the part of a token by which work counts as whole: sums of
// floating-point numbers fall short of it by less.
const roundingTokens = 1e-6

// ServerModel is how fast the fake servers of a service work.
type ServerModel struct {
	// Batch is the number of answers that run at once; further ones wait in the server.
	Batch int
	// Step is the time of one token of a lone answer; for plain services one unit of work.
	Step time.Duration
	// Slowdown is the part of Step that each further running answer adds to every token.
	Slowdown float64
	// PrefillTokens is the work for each prompt token, in tokens.
	PrefillTokens float64
}

// engine is a fake server with continuous batching. All running answers get on
// at the same rate, which falls as the batch fills. A request of higher
// priority puts back the running one of lowest priority, which keeps its place
// and goes on later.
type engine struct {
	model ServerModel
	clock *timeline
	// factor multiplies the time of a token.
	factor float64
	// silent means that no output comes though connections are taken; down means that none are.
	silent bool
	down   bool
	// updated is the time up to which the work of running jobs is counted.
	updated time.Duration
	// plan numbers the planned milestone; an event with an older number is void.
	plan    uint64
	running []*job
	// waiting is sorted by priority, then by arrival.
	waiting []*job
	// fill is the integral of running answers over time, in answer-seconds.
	fill float64
	// made counts the tokens of all answers, delivered or not.
	made float64
	// putBack counts the answers that made room for a higher priority.
	putBack int
}

// job is one attempt inside a server.
type job struct {
	// priority is served lowest first.
	priority int
	// prefill is the work before the first token, in tokens.
	prefill float64
	// length is the number of tokens that the attempt is to make; at least 1.
	length float64
	// done is the work finished, prefill included.
	done float64
	// stalled is when the job stopped getting on; negative while it gets on.
	stalled time.Duration
	started bool
	// begin, when not nil, is called once as the job gets its first place in the batch.
	begin func()
	first func()
	end   func()
	// broken is called when the server dies.
	broken func()
}

func newEngine(model ServerModel, clock *timeline) *engine {
	return &engine{model: model, clock: clock, factor: 1}
}

// tokens is the number of whole tokens that the job has made.
func (j *job) tokens() int {
	return int(max(0, math.Floor(j.done-j.prefill+roundingTokens)))
}

// submit takes a job; the engine must be up.
func (e *engine) submit(j *job) {
	e.advance()

	j.stalled = e.clock.now
	at := len(e.waiting)

	for at > 0 && e.waiting[at-1].priority > j.priority {
		at--
	}

	e.waiting = slices.Insert(e.waiting, at, j)
	e.settle()
}

// cancel takes a job out, wherever it is.
func (e *engine) cancel(j *job) {
	e.advance()
	e.remove(j)
	e.settle()
}

// crash ends all jobs at once and refuses new ones until the engine is started again.
func (e *engine) crash() {
	e.advance()
	e.down = true
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.plan++

	for _, j := range lost {
		j.broken()
	}
}

func (e *engine) start() {
	e.advance()
	e.down = false
	e.silent = false
	e.settle()
}

// setFactor multiplies the time of all further tokens.
func (e *engine) setFactor(factor float64) {
	e.advance()
	e.factor = factor
	e.settle()
}

// goSilent stops all output while connections stay open and new ones are taken.
func (e *engine) goSilent() {
	e.advance()
	e.silent = true

	for _, j := range e.running {
		j.stalled = e.clock.now
	}

	e.settle()
}

// tokenTime is the present time of a token.
func (e *engine) tokenTime() float64 {
	beside := float64(max(len(e.running), 1) - 1)

	return e.model.Step.Seconds() * e.factor * (1 + e.model.Slowdown*beside)
}

// advance brings the work of all running jobs up to now.
func (e *engine) advance() {
	passed := (e.clock.now - e.updated).Seconds()
	e.updated = e.clock.now

	if passed <= 0 {
		return
	}

	if e.silent || len(e.running) == 0 {
		return
	}

	e.fill += passed * float64(len(e.running))
	work := passed / e.tokenTime()

	for _, j := range e.running {
		before := max(j.done, j.prefill)
		j.done += work
		e.made += max(0, j.done-before)
	}
}

// settle fills free places, puts back lower priorities for higher ones and plans the next milestone.
func (e *engine) settle() {
	for len(e.waiting) > 0 && !e.silent {
		if len(e.running) < e.model.Batch {
			e.admit()

			continue
		}

		lowest := e.lowest()
		if lowest.priority <= e.waiting[0].priority {
			break
		}

		e.running = remove(e.running, lowest)
		e.admit()
		e.putAside(lowest)
	}

	e.planNext()
}

// admit moves the first waiting job into the batch.
func (e *engine) admit() {
	next := e.waiting[0]
	e.waiting = slices.Delete(e.waiting, 0, 1)
	next.stalled = -1

	if next.begin != nil {
		next.begin()
		next.begin = nil
	}

	e.running = append(e.running, next)
}

// putAside queues a job that was running, before all others of its priority.
func (e *engine) putAside(j *job) {
	e.putBack++
	j.stalled = e.clock.now
	at := 0

	for at < len(e.waiting) && e.waiting[at].priority < j.priority {
		at++
	}

	e.waiting = slices.Insert(e.waiting, at, j)
}

// lowest returns the running job that gives way first: lowest priority, then latest.
func (e *engine) lowest() *job {
	lowest := e.running[0]

	for _, j := range e.running {
		if j.priority >= lowest.priority {
			lowest = j
		}
	}

	return lowest
}

func (e *engine) planNext() {
	e.plan++

	if e.silent || len(e.running) == 0 {
		return
	}

	least := math.Inf(1)
	for _, j := range e.running {
		least = min(least, j.next()-j.done)
	}

	plan := e.plan
	wait := time.Duration(math.Ceil(max(0, least) * e.tokenTime() * float64(time.Second)))

	e.clock.after(wait, func() {
		if plan == e.plan {
			e.milestone()
		}
	})
}

// next is the work at the job's next milestone: its first token or its end.
func (j *job) next() float64 {
	if !j.started {
		return j.prefill + 1
	}

	return j.prefill + j.length
}

// milestone tells jobs of their first tokens and ends.
func (e *engine) milestone() {
	e.advance()

	var told []func()

	for _, j := range slices.Clone(e.running) {
		if !j.started && j.done+roundingTokens >= j.prefill+1 {
			j.started = true
			told = append(told, j.first)
		}

		if j.done+roundingTokens >= j.prefill+j.length {
			e.remove(j)
			told = append(told, j.end)
		}
	}

	e.settle()

	for _, tell := range told {
		tell()
	}
}

func (e *engine) remove(j *job) {
	e.running = remove(e.running, j)
	e.waiting = remove(e.waiting, j)
}

func remove(jobs []*job, j *job) []*job {
	at := slices.Index(jobs, j)
	if at < 0 {
		return jobs
	}

	return slices.Delete(jobs, at, at+1)
}
