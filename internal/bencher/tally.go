package bencher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// ClassResult is what became of one class in one run.
type ClassResult struct {
	Service string
	Class   string
	Tier    int
	// Requests counts the callers, Asks what they asked; a caller that comes back asks again.
	Requests int
	Asks     int
	// Attained counts callers with the first token within target of their first ask, on their side of the network.
	Attained int
	// Finished counts callers with their whole answer; Failed those told that it broke off.
	Finished int
	Failed   int
	// Broken counts asks that ended in a failure after they may have run.
	Broken int
	// Shed counts asks that were refused; GivenUp callers whose last answer was a refusal or who stopped asking.
	Shed    int
	GivenUp int
	// CameBack counts callers that failed or were refused and obeyed Retry-After; GotIn those of them that finished.
	CameBack int
	GotIn    int
	// Preempted counts the policy's orders to end an attempt; PreemptedOnce those against work that is not repeatable.
	Preempted     int
	PreemptedOnce int
	// Retried counts further attempts, preempted ones included.
	Retried int
	// Late counts asks that were granted but missed the target.
	Late int
	// LateFirst counts first asks that were granted but missed the target.
	LateFirst int
	// MaxWait is the longest time from arrival at the entry node to the first token or last answer.
	MaxWait time.Duration
	// MaxRefusal is the longest time to a refusal.
	MaxRefusal time.Duration
}

// AttainedShare is Attained as a part of Requests.
func (c ClassResult) AttainedShare() float64 { return share(c.Attained, c.Requests) }

// FinishedShare is Finished as a part of Requests.
func (c ClassResult) FinishedShare() float64 { return share(c.Finished, c.Requests) }

// Result is the outcome of one run.
type Result struct {
	Shop     string
	Scenario string
	Policy   string
	// Classes is sorted by service, tier and name.
	Classes []ClassResult
	// Goodput is the tokens a second of engine answers that were finished while the trace lasted.
	Goodput float64
	// Made and Useful count tokens of engine services: generated, and delivered in finished answers.
	Made   float64
	Useful float64
	// PrefillAgain counts prompt and answer tokens that were read again by a further attempt.
	PrefillAgain int
	// Fill is the running answers of engine servers as a part of their batch, mean and least, while the trace lasts.
	Fill      float64
	LeastFill float64
	// MostFill is that of the busiest engine.
	MostFill float64
	// PrefillAsked counts the tokens that engines had to read before first tokens, and
	// PrefillSaved those of them that were in their caches; zero where engines don't cache.
	PrefillAsked int
	PrefillSaved int
	// PutBack counts engine-side preemptions.
	PutBack int
	// Unanswered counts callers without a last answer at the end of the run.
	Unanswered int
	// Traffic is what nodes sent each other about slots while the trace lasted.
	Traffic Traffic
	// Ended is when the last caller had its answer.
	Ended time.Duration
	// Length is the time in which requests arrived.
	Length time.Duration

	// firstRefused holds the places in the trace of events whose first ask was refused.
	firstRefused map[classKey][]int
}

// WastedShare is the part of the generated tokens that no finished answer holds.
func (r Result) WastedShare() float64 {
	if r.Made == 0 {
		return 0
	}

	return max(0, (r.Made-r.Useful)/r.Made)
}

// Class returns the result of one class.
func (r Result) Class(name string) ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Class == name {
			return r.Classes[i]
		}
	}

	return ClassResult{}
}

// classKey names a class of a service.
type classKey struct {
	service, class string
}

// tally counts during a run.
type tally struct {
	// length is the time in which requests arrive.
	length time.Duration
	// firstRefused is handed on to the result.
	firstRefused map[classKey][]int
	classes      map[classKey]*ClassResult
	// useful counts the tokens of finished answers of engines.
	useful int
	// inTime is the part of useful that was finished while the trace lasted.
	inTime       int
	prefillAgain int
	unanswered   int
	// fill, leastFill and mostFill become those of the result at the end of the trace.
	fill      float64
	leastFill float64
	mostFill  float64
	traffic   Traffic
	// last is when the last caller so far had its answer.
	last time.Duration
	// plain says which services are plain.
	plain map[string]bool
}

func newTally(shop Shop, length time.Duration) *tally {
	t := &tally{length: length, firstRefused: make(map[classKey][]int), classes: make(map[classKey]*ClassResult), plain: make(map[string]bool)}

	for name := range shop.Settings.Services {
		service := shop.Settings.Services[name]
		t.plain[name] = service.Kind == configurer.KindPlain

		for class := range service.Classes {
			t.classes[classKey{name, class}] = &ClassResult{Service: name, Class: class, Tier: service.Classes[class].Tier}
		}
	}

	return t
}

func (t *tally) of(q *Request) *ClassResult {
	return t.classes[q.classKey()]
}

func (t *tally) asked(q *Request) {
	t.of(q).Asks++

	if q.caller.tries == 1 {
		t.of(q).Requests++
		t.unanswered++
	}
}

func (t *tally) firstToken(q *Request, now time.Duration) {
	if q.caller.firstAt > 0 {
		return
	}

	t.waited(q, now)

	if now-q.Arrived > q.Class.Target-2*clientHop {
		t.of(q).Late++

		if q.caller.tries == 1 {
			t.of(q).LateFirst++
		}
	}
}

func (t *tally) waited(q *Request, now time.Duration) {
	c := t.of(q)
	c.MaxWait = max(c.MaxWait, now-q.Arrived)
}

// answered counts the last answer of an ask.
func (t *tally) answered(q *Request, failure *classifier.Error, now time.Duration) {
	if q.caller.firstAt == 0 {
		t.waited(q, now)
	}

	if failure == nil {
		return
	}

	c := t.of(q)

	if failure.Ran != classifier.RanNo {
		c.Broken++

		return
	}

	c.Shed++

	if q.caller.tries == 1 {
		key := q.classKey()
		t.firstRefused[key] = append(t.firstRefused[key], q.caller.index)
	}

	c.MaxRefusal = max(c.MaxRefusal, now-q.Arrived)
}

func (t *tally) hungUp(q *Request, now time.Duration) {
	t.waited(q, now)
}

func (t *tally) preempted(q *Request) {
	t.of(q).Preempted++

	if q.Event.NotRepeatable {
		t.of(q).PreemptedOnce++
	}
}

func (t *tally) retried(q *Request, last dispatcher.Result) {
	t.of(q).Retried++

	if last != dispatcher.ResultNotSent && !t.plain[q.Service.Name] {
		t.prefillAgain += q.Event.PromptTokens + q.Progress
	}
}

// ended closes the account of a caller.
func (t *tally) ended(c *caller, failure *classifier.Error) {
	result := t.classes[classKey{c.event.Service, c.event.Class}]
	finished := failure == nil && c.current != nil
	t.unanswered--
	t.last = c.runner.clock.now

	if c.firstAt > 0 && c.firstAt-c.asked <= c.class.Target {
		result.Attained++
	}

	switch {
	case finished:
		result.Finished++
		t.finished(c)
	case failure != nil && failure.Ran != classifier.RanNo:
		result.Failed++
	default:
		result.GivenUp++
	}

	if c.refused > 0 && c.event.ComeBack {
		result.CameBack++

		if finished {
			result.GotIn++
		}
	}
}

func (t *tally) finished(c *caller) {
	if !t.plain[c.event.Service] {
		t.useful += c.event.AnswerTokens
		if c.runner.clock.now <= t.length {
			t.inTime += c.event.AnswerTokens
		}
	}
}

// endOfTrace notes what is measured only while requests arrive.
func (t *tally) endOfTrace(engines map[string]*engine, traffic Traffic) {
	t.traffic = traffic
	t.leastFill = 1
	count := 0

	for _, name := range sortedKeys(engines) {
		e := engines[name]
		if e.model.PrefillTokens == 0 || e.down {
			continue
		}

		e.advance()

		part := e.fill / float64(e.model.Batch) / t.length.Seconds()
		t.fill += part
		t.leastFill = min(t.leastFill, part)
		t.mostFill = max(t.mostFill, part)
		count++
	}

	t.fill /= float64(max(count, 1))
}

func (t *tally) result(shop Shop, scenario Scenario, policy string, engines map[string]*engine) Result {
	r := Result{
		Shop: shop.Name, Scenario: scenario.Name, Policy: policy,
		Useful: float64(t.useful), PrefillAgain: t.prefillAgain,
		Fill: t.fill, LeastFill: t.leastFill, MostFill: t.mostFill,
		Unanswered: t.unanswered, Traffic: t.traffic, Ended: t.last, Length: t.length, firstRefused: t.firstRefused,
	}

	for _, c := range t.classes {
		r.Classes = append(r.Classes, *c)
	}

	slices.SortFunc(r.Classes, func(a, b ClassResult) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})

	for _, name := range sortedKeys(engines) {
		e := engines[name]
		if e.model.PrefillTokens > 0 {
			r.Made += e.made
			r.PutBack += e.putBack
		}
	}

	r.Goodput = float64(t.inTime) / t.length.Seconds()

	return r
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}

	return float64(part) / float64(whole)
}
