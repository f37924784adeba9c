package claimer

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// inProgressRetryAfter is when to ask again for the result of a run that is alive.
const inProgressRetryAfter = time.Second

// lateParts is the part of the window, one in so many, after which a claim is too old to run.
const lateParts = 4

// Claimer records the claims of one node. It is safe for concurrent use.
type Claimer struct {
	ctx     context.Context
	store   Store
	options Options
	shards  [Shards]*shard
	workers sync.WaitGroup
	stats   counters
	last    atomic.Uint64
	// agreed says that the store's layout is the one known here.
	agreed atomic.Bool
	// places bounds the large journals in memory of shards that other nodes write.
	places chan struct{}

	mu sync.Mutex
	// open holds the ids of this node's claims that are not yet known to be ended in the store.
	open map[string]struct{}
}

// New returns a claimer that works until ctx ends. It reads nothing before the first claim.
func New(ctx context.Context, store Store, options Options) *Claimer {
	c := &Claimer{
		ctx: ctx, store: store, options: options.withDefaults(), open: map[string]struct{}{},
		places: make(chan struct{}, foreignLoads),
	}
	for i := range c.shards {
		c.shards[i] = newShard(c, i)
	}

	c.workers.Go(c.maintain)

	return c
}

// Wait returns when all work has ended; the context given to New must have ended.
func (c *Claimer) Wait() {
	c.workers.Wait()
}

// Begin asks for the right to run a request. The error is a *classifier.Error:
//   - ClaimUnavailable: the claim could not be recorded in time; not run, and it will not be;
//   - ClaimsFull: the shard's journal takes no more claims until older ones leave the window; not run;
//   - KeyConflict: the key was used for another body;
//   - KeyInProgress: the key's run is alive, or its result can't be read now; ask again after the time given;
//   - OutcomeUnknown: the key's run may have happened, and its result is not recorded.
//
// When ctx ends, the claim is given up as ClaimUnavailable and voided.
func (c *Claimer) Begin(ctx context.Context, claim Claim) (Decision, error) {
	started := time.Now()

	ctx, cancel := context.WithTimeout(ctx, c.options.ClaimTimeout)
	defer cancel()

	o := c.newClaim(claim)
	s := c.shards[shardOf(o.key)]
	c.setOpen(o.id, true)
	c.stats.claims.Add(1)

	a := c.settleClaim(ctx, s, o)
	if a.run && time.Since(started) > c.options.Window/lateParts {
		// The process was stopped in between: the key may be forgotten soon, and the request would then run beside another.
		s.giveUp(o)

		a = answer{failure: classifier.New(classifier.ClaimUnavailable, "the claim is too old").After(defaultRetryAfter)}
	}

	if a.run {
		return Decision{Handle: &Handle{claimer: c, shard: s, id: o.id, key: o.key}}, nil
	}

	if !s.isVoiding(o) {
		c.setOpen(o.id, false)
	}

	if a.failure != nil {
		return Decision{}, a.failure
	}

	result, err := s.fetch(ctx, a.replay)
	if err != nil {
		failure := classifier.Wrap(err, classifier.KeyInProgress, "the earlier result can't be read now")

		return Decision{}, failure.After(defaultRetryAfter)
	}

	c.stats.replays.Add(1)

	return Decision{Replay: result, RequestID: a.replay.requestID}, nil
}

func (c *Claimer) settleClaim(ctx context.Context, s *shard, o *operation) answer {
	a, forwarded := c.forwardClaim(ctx, s, o)
	if forwarded {
		return a
	}

	lost := s.unsettled(o)
	s.submit(o)

	a = s.wait(ctx, o)
	if lost && !a.run {
		// The holder may yet write the claim, which nobody would run or end.
		s.giveUp(o)
	}

	return a
}

func (c *Claimer) newClaim(claim Claim) *operation {
	maker := c.options.Node + "." + c.options.Incarnation + "."
	o := newOperation(kindClaim, maker+strconv.FormatUint(c.last.Add(1), 36))
	o.key = claim.identity()
	o.body = claim.body()
	o.request = shortRequest(claim.RequestID, maker)

	return o
}

// answerFor says what a claim that stands means to an operation that asks for its key.
func (c *Claimer) answerFor(e *entry, o *operation) answer {
	node, incarnation := e.maker()
	switch {
	case e.id == o.id:
		return answer{run: true}
	case !strings.HasPrefix(o.body, e.body):
		c.stats.conflicts.Add(1)

		return answer{failure: classifier.New(classifier.KeyConflict, "the idempotency key was used with another body")}
	case e.result != nil && e.result.Ran == classifier.RanUnknown:
		c.stats.unknownOutcomes.Add(1)

		return answer{failure: classifier.New(classifier.OutcomeUnknown, "the earlier run broke off")}
	case e.result != nil:
		requestID := fullRequest(e.request, node+"."+incarnation+".")

		return answer{replay: &replay{result: e.result, requestID: requestID, id: e.id, stored: e.stored}}
	case c.alive(e.id, node, incarnation):
		c.stats.inProgress.Add(1)

		failure := classifier.New(classifier.KeyInProgress, "the request with this idempotency key is running")

		return answer{failure: failure.After(inProgressRetryAfter)}
	default:
		c.stats.unknownOutcomes.Add(1)

		return answer{failure: classifier.New(classifier.OutcomeUnknown, "the node that ran the request is gone")}
	}
}

func (c *Claimer) alive(id, node, incarnation string) bool {
	if node == c.options.Node {
		return incarnation == c.options.Incarnation && c.isOpen(id)
	}

	return c.options.Makers != nil && c.options.Makers.Alive(node, incarnation)
}

func (c *Claimer) setOpen(id string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !open {
		delete(c.open, id)

		return
	}

	c.open[id] = struct{}{}
}

func (c *Claimer) isOpen(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	_, open := c.open[id]

	return open
}

// Open returns the number of this node's claims whose end is not yet recorded.
func (c *Claimer) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.open)
}

// Drain returns when the end of all claims of this node is recorded, or with
// ctx's error. Claims begun meanwhile are waited for too.
func (c *Claimer) Drain(ctx context.Context) error {
	ticker := time.NewTicker(c.options.WriteInterval)
	defer ticker.Stop()

	for c.Open() > 0 || c.queued() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d claims have no recorded end", c.Open())
		}
	}

	return nil
}

func (c *Claimer) queued() int {
	total := 0

	for _, s := range c.shards {
		s.mu.Lock()

		total += len(s.queue)
		if s.running {
			total++
		}
		s.mu.Unlock()
	}

	return total
}

func (c *Claimer) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, c.options.CallTimeout)
}

// maintain writes the time of idle shards, which lets old segments go, and
// forgets shards that other nodes write and this one hasn't used for long.
func (c *Claimer) maintain() {
	ticker := time.NewTicker(c.options.TickInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}

		for _, s := range c.shards {
			s.maintain(c.holder(s.number) != "")
		}
	}
}
