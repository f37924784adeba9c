package bencher

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/placer"
	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/retrier"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// World is what a policy gets at its start.
type World struct {
	Shop     Shop
	Seed     uint64
	Answerer Answerer

	// Hints are fed from the engines' cache events.
	Hints *prefixer.Table

	clock *timeline
}

// runner plays one scenario through one policy.
type runner struct {
	clock    *timeline
	shop     Shop
	scenario Scenario
	policy   Policy
	// judges holds the retry rule of each entry node.
	judges [nodes]dispatcher.RetryPolicy
	random *rand.Rand
	// engines holds the fake servers by upstream name; names lists them by service in order.
	engines map[string]*engine
	names   map[string][]string
	tally   *tally
	// prefixes holds the engines' prompt caches.
	prefixes *prefixes
	// open counts callers without their last answer.
	open int
	// asks counts the requests so far, for their ids.
	asks int
}

// Run plays the trace of a scenario through a policy and returns what became of it.
func Run(shop Shop, scenario Scenario, seed uint64, build func(World) Policy) Result {
	return Replay(shop, scenario, Generate(shop, scenario, seed), seed, build)
}

// Replay plays a trace, whose names must stand in the shop's settings, under the scenario's faults.
func Replay(shop Shop, scenario Scenario, events []tracer.Event, seed uint64, build func(World) Policy) Result {
	r := &runner{
		clock:    &timeline{},
		shop:     shop,
		scenario: scenario,
		random:   rand.New(rand.NewPCG(seed, seed)),
		engines:  make(map[string]*engine),
		names:    make(map[string][]string),
		tally:    newTally(shop, scenario.length()),
		open:     len(events),
	}
	for i := range r.judges {
		r.judges[i] = retrier.New(retrier.Options{Now: r.clock.date})
	}

	r.addServers()
	r.prefixes = newPrefixes(r)
	r.policy = build(World{Shop: shop, Seed: seed, Answerer: r, Hints: r.prefixes.table, clock: r.clock})
	r.planFaults()
	r.planReports()
	r.prefixes.plan()

	for i := range events {
		c := &caller{runner: r, event: events[i], index: i, class: shop.Settings.Services[events[i].Service].Classes[events[i].Class]}
		r.clock.after(time.Duration(events[i].AtMS)*time.Millisecond, c.ask)
	}

	r.clock.run(scenario.length(), func() bool { return false })
	r.tally.endOfTrace(r.engines, r.policy.Traffic())
	r.clock.run(scenario.length()+drainLength, func() bool { return r.open == 0 })

	result := r.tally.result(shop, scenario, r.policy.Name(), r.engines)
	result.PrefillSaved, result.PrefillAsked = r.prefixes.saved, r.prefixes.asked

	return result
}

func (r *runner) addServers() {
	for service := range r.shop.Settings.Services {
		for name := range r.shop.Settings.Services[service].Upstreams {
			r.engines[name] = newEngine(r.shop.Models[service], r.clock)
			r.names[service] = append(r.names[service], name)
		}

		slices.Sort(r.names[service])
	}
}

// planReports sends the load of each server to the policy, late.
func (r *runner) planReports() {
	lag := r.scenario.reportLag()

	for _, service := range sortedKeys(r.shop.Settings.Services) {
		for _, name := range r.names[service] {
			upstream := r.shop.Settings.Services[service].Upstreams[name]
			r.clock.every(reportPeriod, func() bool {
				r.report(upstream, lag)

				return r.open > 0
			})
		}
	}
}

func (r *runner) report(upstream configurer.Upstream, lag time.Duration) {
	e := r.engines[upstream.Name]
	if e.down {
		return
	}

	load := placer.Load{Running: len(e.running), Waiting: len(e.waiting)}
	r.clock.after(lag, func() { r.policy.Report(upstream, load) })
}

func (r *runner) planFaults() {
	for _, f := range r.scenario.Faults {
		r.clock.after(f.At, func() { r.strike(f) })
	}
}

// strike makes a fault happen.
func (r *runner) strike(f Fault) {
	for _, service := range sortedKeys(r.names) {
		names := r.names[service]
		count := int(f.Part*float64(len(names)) + 0.5)

		if f.Part == 0 {
			if r.shop.Settings.Services[service].Kind == configurer.KindPlain {
				continue
			}

			count = 1
		}

		for _, name := range names[min(f.First, len(names)-count):][:count] {
			r.engines[name].suffer(f.Kind)
			r.prefixes.suffer(name, f.Kind)
		}
	}
}

func (e *engine) suffer(kind FaultKind) {
	switch kind {
	case FaultStraggle:
		e.setFactor(straggleFactor)
	case FaultCrash:
		e.crash()
	case FaultSilent:
		e.goSilent()
	case FaultRecover:
		e.start()
	}
}

// hop is the one-way latency between an entry node and a server.
func (r *runner) hop(node int, upstream configurer.Upstream) time.Duration {
	return r.shop.hop(r.shop.Domains[node%len(r.shop.Domains)], upstream.FailureDomain)
}

func (s Shop) hop(from, to string) time.Duration {
	if from == to {
		return sameDomainHop
	}

	return s.Hop
}

// arrive is called when a request reaches its entry node.
func (r *runner) arrive(q *Request) {
	q.Arrived = r.clock.now

	if !q.over {
		r.acquire(q)
	}
}

func (r *runner) acquire(q *Request) {
	q.number++
	q.queued = true
	r.policy.Acquire(q)
}

// Grant implements Answerer.
func (r *runner) Grant(q *Request, slot dispatcher.Slot) {
	q.queued = false
	a := &attempt{runner: r, request: q, slot: slot, sent: r.clock.now}
	q.attempt = a
	r.clock.after(r.hop(q.Node, slot.Upstream), a.reach)
}

// Refuse implements Answerer.
func (r *runner) Refuse(q *Request, reason *classifier.Error) {
	q.queued = false

	final := *reason
	final.Ran = q.history.RanState()
	r.final(q, &final)
}

// Preempt implements Answerer.
func (r *runner) Preempt(q *Request) {
	if q.attempt == nil {
		return
	}

	r.tally.preempted(q)

	if q.Event.NotRepeatable {
		// The real dispatcher keeps such a slot as well.
		return
	}

	q.attempt.stop(dispatcher.ResultPreempted)
}

// ended judges an attempt.
func (r *runner) ended(q *Request, a *attempt, outcome dispatcher.Outcome) {
	q.attempt = nil
	r.policy.Release(q, a.slot, outcome)

	if q.over {
		return
	}

	tried := dispatcher.Attempt{Number: q.number, Slot: a.slot, History: q.history}
	next := r.judges[q.Node].Decide(q.dispatched(), tried, outcome, q.Progress)
	q.history = q.history.WithAttempt(outcome)

	if !next.Retry {
		r.final(q, next.Err)

		return
	}

	if next.Exclude {
		q.Exclude = append(slices.Clone(q.Exclude), a.slot.Upstream.Name)
	}

	r.tally.retried(q, outcome.Result)
	r.acquire(q)
}

// final gives the caller its last answer to this request; nil means success.
func (r *runner) final(q *Request, failure *classifier.Error) {
	if q.over {
		return
	}

	q.over = true
	r.tally.answered(q, failure, r.clock.now)
	r.clock.after(clientHop, func() { q.caller.answered(q, failure) })
}

// leave ends a request whose caller hung up.
func (r *runner) leave(q *Request) {
	if q.over {
		return
	}

	q.over = true

	if q.queued {
		q.queued = false
		r.policy.Abandon(q)
	}

	if q.attempt != nil {
		q.attempt.stop(dispatcher.ResultCallerGone)
	}
}

func (r *runner) nextID() string {
	r.asks++

	return "r" + strconv.Itoa(r.asks)
}
