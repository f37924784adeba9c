package bencher

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// caller is the source of one event of the trace. It asks, waits and perhaps asks again.
type caller struct {
	runner *runner
	event  tracer.Event
	// index is the event's place in the trace.
	index int
	class configurer.Class
	// asked is the time of the first ask; everything that the caller sees is measured from it.
	asked time.Duration
	tries int
	// refused counts the failures after which the caller came back.
	refused int
	// firstAt is when the first token reached the caller; zero if none did.
	firstAt time.Duration
	current *Request
	done    bool
}

// ask sends the request to an entry node.
func (c *caller) ask() {
	r := c.runner
	if c.tries == 0 {
		c.asked = r.clock.now
	}

	c.tries++
	q := &Request{
		ID:      r.nextID(),
		Event:   c.event,
		Node:    r.policy.Entry(c.event.Service, r.random.IntN(nodes)),
		Service: r.shop.Settings.Services[c.event.Service],
		Class:   c.class,
		Arrived: r.clock.now + clientHop,
		caller:  c,
	}
	q.Prefixes = prefixer.Sample(r.prefixes.blocks(q))
	c.current = q
	r.tally.asked(q)
	r.clock.after(clientHop, func() { r.arrive(q) })

	if c.impatient() {
		r.clock.after(patience*c.class.Target, func() { c.hangUp(q) })
	}
}

func (c *caller) impatient() bool {
	return slices.Contains(c.runner.scenario.Crowd.Classes, c.class.Name)
}

// heard is called when the entry node has the first token.
func (c *caller) heard() {
	if c.firstAt == 0 {
		c.firstAt = c.runner.clock.now + clientHop
	}
}

// hangUp leaves a request that has no token yet, and asks again.
func (c *caller) hangUp(q *Request) {
	if c.current != q || c.firstAt > 0 || c.done || q.over {
		return
	}

	c.runner.tally.hungUp(q, c.runner.clock.now)
	c.runner.clock.after(clientHop, func() { c.runner.leave(q) })
	c.again(eagerPause, nil)
}

// answered is called when the last answer to a request reaches the caller.
func (c *caller) answered(q *Request, failure *classifier.Error) {
	if c.current != q || c.done {
		return
	}

	if failure == nil {
		c.end(nil)

		return
	}

	if !c.mayAskAgain(failure) {
		c.end(failure)

		return
	}

	c.refused++
	c.again(c.pause(failure), failure)
}

// mayAskAgain says whether the caller comes back: always when the request was
// not run; else only with work that may run twice, if it was told when.
func (c *caller) mayAskAgain(failure *classifier.Error) bool {
	if failure.Ran == classifier.RanNo {
		return true
	}

	return c.event.ComeBack && !c.event.NotRepeatable && failure.RetryAfter > 0
}

// pause is how long the caller waits after a refusal.
func (c *caller) pause(failure *classifier.Error) time.Duration {
	if c.event.ComeBack && failure.RetryAfter > 0 {
		return failure.RetryAfter
	}

	return eagerPause
}

// again plans another try if any is left.
func (c *caller) again(pause time.Duration, failure *classifier.Error) {
	if c.tries >= mostTries {
		c.end(failure)

		return
	}

	c.current = nil
	c.runner.clock.after(pause, c.ask)
}

// end closes the caller's account.
func (c *caller) end(failure *classifier.Error) {
	c.done = true
	c.runner.open--
	c.runner.tally.ended(c, failure)
}
