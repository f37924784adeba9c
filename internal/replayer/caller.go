package replayer

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// maxComeBacks is how often a caller obeys Retry-After.
	maxComeBacks = 5
	// maxRounds is how often a caller tries all entries when connections fail.
	maxRounds = 6
	// roundPause is the wait before each further round; it lets a node start again.
	roundPause = 500 * time.Millisecond
)

// caller carries one event from its due time to its ending.
type caller struct {
	player  *Player
	index   int
	event   tracer.Event
	due     time.Time
	outcome Outcome
	// hops counts changes of the entry; comeBacks counts waits for Retry-After.
	hops, comeBacks int
}

func (c *caller) run(ctx context.Context) Outcome {
	c.outcome = Outcome{
		Index: c.index,
		Event: c.event,
		Late:  time.Since(c.due) > lateAfter,
	}

	ctx, cancel := context.WithTimeout(ctx, c.player.options.AnswerLimit)
	defer cancel()

	data, err := body(c.index, c.event)
	if err != nil {
		c.end(reply{ending: Missing, reason: err.Error()})

		return c.outcome
	}

	for {
		r := c.try(ctx, data)
		if !c.again(ctx, r) {
			c.end(r)

			return c.outcome
		}
	}
}

func (c *caller) try(ctx context.Context, data []byte) reply {
	directory := c.player.guide.of(c.index, c.event.Service)
	address := directory.pick(c.index, c.hops)
	a := attempt{
		client:   c.player.clientFor(c.event),
		scheme:   c.player.options.scheme(),
		address:  address,
		key:      c.player.options.Keys[c.event.Organisation],
		event:    c.event,
		body:     data,
		standIns: c.player.options.StandIns,
	}

	r := a.run(ctx)
	c.outcome.Tries++

	if r.requestID != "" {
		c.outcome.RequestIDs = append(c.outcome.RequestIDs, r.requestID)
		if r.ending == Refused {
			c.outcome.NotRunIDs = append(c.outcome.NotRunIDs, r.requestID)
		}
	}

	if r.lost {
		directory.avoid(address)
	}

	return r
}

// again says whether to call once more, after the wait that is due before it.
func (c *caller) again(ctx context.Context, r reply) bool {
	switch {
	case r.lost:
		return c.mayRepeat(r) && c.hop(ctx)
	case r.result == classifier.NodeLeaving.String():
		return c.hop(ctx)
	case c.event.ComeBack && safeToComeBack(r) && r.retryAfter > 0 && c.comeBacks < maxComeBacks:
		c.comeBacks++

		return sleeper.Sleep(ctx, r.retryAfter)
	default:
		return false
	}
}

// safeToComeBack says whether a result allows the same request again: it did not
// run, or its key belongs to a request that still runs and whose answer can be had.
func safeToComeBack(r reply) bool {
	return r.ending == Refused || r.result == classifier.KeyInProgress.String()
}

// mayRepeat says whether a call whose connection failed may be made again.
// Repeated although it may have run, a booking would be confirmed twice.
func (c *caller) mayRepeat(r reply) bool {
	if r.notSent || !c.event.NotRepeatable {
		return true
	}

	return c.player.options.AskAgain && c.event.IdempotencyKey != ""
}

// hop moves to the next entry, with a pause after each whole round.
func (c *caller) hop(ctx context.Context) bool {
	c.hops++

	entries := len(c.player.guide.of(c.index, c.event.Service).addresses())
	if c.hops >= entries*maxRounds {
		return false
	}

	if c.hops%entries != 0 {
		return ctx.Err() == nil
	}

	return sleeper.Sleep(ctx, roundPause)
}

func (c *caller) end(r reply) {
	if r.lost {
		r.ending = Missing
	}

	o := &c.outcome
	o.Ending, o.Result, o.Ran = r.ending, r.result, r.ran
	o.Duration = time.Since(c.due)
	o.Gaps, o.Tokens, o.Run, o.Reason = r.gaps, r.tokens, r.run, r.reason

	if !r.firstToken.IsZero() {
		o.FirstToken = r.firstToken.Sub(c.due)
	}
}
