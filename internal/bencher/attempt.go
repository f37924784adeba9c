package bencher

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// firstLimitFactor times the shorter of the class's target and gap limit is how
// long a server may take to the first token, as at the real edge.
const firstLimitFactor = 4

// attempt is one try of a request at one server.
type attempt struct {
	runner  *runner
	request *Request
	slot    dispatcher.Slot
	sent    time.Duration
	job     *job
	// first is the time from sending to the first token at the entry node; zero if none came.
	first time.Duration
	over  bool
}

// reach is called when the request arrives at the server.
func (a *attempt) reach() {
	if a.over {
		return
	}

	e := a.engine()
	if e.down {
		a.back(func() { a.finish(dispatcher.ResultNotSent) })

		return
	}

	q := a.request
	model := a.runner.shop.Models[q.Service.Name]
	length := q.Event.AnswerTokens - q.Progress
	a.job = &job{
		priority: a.slot.Priority,
		prefill:  model.PrefillTokens * float64(q.Event.PromptTokens+q.Progress),
		length:   float64(length),
		first:    func() { a.back(a.firstToken) },
		end:      func() { a.back(func() { a.finish(dispatcher.ResultDone) }) },
		broken:   func() { a.back(func() { a.finish(dispatcher.ResultFailed) }) },
	}

	if q.Service.Kind == configurer.KindPlain {
		// The first byte of a plain answer is its end.
		a.job.prefill, a.job.length = float64(length-1), 1
	}

	a.runner.prefixes.attach(a)
	e.submit(a.job)
	a.watchFirst()
}

func (a *attempt) engine() *engine {
	return a.runner.engines[a.slot.Upstream.Name]
}

// back runs f after the way from the server to the entry node, unless the attempt is over by then.
func (a *attempt) back(f func()) {
	a.runner.clock.after(a.runner.hop(a.request.Node, a.slot.Upstream), func() {
		if !a.over {
			f()
		}
	})
}

func (a *attempt) firstToken() {
	a.first = a.runner.clock.now - a.sent
	a.runner.tally.firstToken(a.request, a.runner.clock.now)
	a.request.caller.heard()
	a.watchGap(a.runner.clock.now)
}

// watchFirst ends the attempt when no first token comes within the limit.
func (a *attempt) watchFirst() {
	class := &a.request.Class
	limit := max(class.GapLimit, firstLimitFactor*min(class.GapLimit, class.Target))
	a.runner.clock.after(a.sent+limit-a.runner.clock.now, func() {
		if a.first == 0 {
			a.stop(dispatcher.ResultSilent)
		}
	})
}

// watchGap ends the attempt when no token comes for the class's gap limit after last.
func (a *attempt) watchGap(last time.Duration) {
	limit := a.request.Class.GapLimit
	a.runner.clock.after(last+limit-a.runner.clock.now, func() {
		if !a.over {
			a.checkGap(limit)
		}
	})
}

func (a *attempt) checkGap(limit time.Duration) {
	now := a.runner.clock.now

	if a.job.stalled < 0 {
		a.watchGap(now)

		return
	}

	if now-a.job.stalled < limit {
		a.watchGap(a.job.stalled)

		return
	}

	a.stop(dispatcher.ResultSilent)
}

// stop cancels the attempt from the side of the entry node.
func (a *attempt) stop(result dispatcher.Result) {
	if a.over {
		return
	}

	if a.job != nil {
		a.engine().cancel(a.job)
	}

	a.finish(result)
}

// finish reports the end of the attempt.
func (a *attempt) finish(result dispatcher.Result) {
	a.over = true
	q := a.request
	tokens := 0

	if a.job != nil && q.Service.Kind == configurer.KindEngine && a.first > 0 {
		tokens = min(a.job.tokens(), q.Event.AnswerTokens-q.Progress)
	}

	if result == dispatcher.ResultDone {
		tokens = q.Event.AnswerTokens - q.Progress
	}

	q.Progress += tokens
	a.runner.ended(q, a, dispatcher.Outcome{
		Result:     result,
		FirstToken: a.first,
		Duration:   a.runner.clock.now - a.sent,
		Tokens:     tokens,
	})
}
