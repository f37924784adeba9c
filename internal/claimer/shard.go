package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	firstBackOff = 200 * time.Millisecond
	maxBackOff   = 10 * time.Second
	// defaultRetryAfter is when to come back after a refusal for which no better time is known.
	defaultRetryAfter = time.Second
)

// shard writes one shard's journal: one write is on its way, the rest gather.
// Lock order: shard.mu, then Claimer.mu.
type shard struct {
	claimer *Claimer
	number  int
	backOff *backoff.ExponentialBackOff

	// wake has a signal when a claim was queued.
	wake chan struct{}

	mu    sync.Mutex
	queue []*operation
	// running says that a goroutine works on the queue; only that one changes the journal.
	running bool
	journal *journal
	// loaded says that the journal was read; it may be behind the store, and the head's compare shows that.
	loaded bool
	// down is the time until which claims are refused at once, after the store failed.
	down time.Time
	// failures counts failed calls since the last good one.
	failures int
	// losses counts writes in a row that other writers were before.
	losses int
	// contention rises with such losses and falls with writes that had none, 0 to maxContention.
	contention int
	// turn is the earliest time of the next write.
	turn time.Time
	used time.Time
	// reported says that the operators were told that the journal fills.
	reported bool
	// placed says that the shard holds one of the claimer's places for large journals of other nodes.
	placed bool
}

func newShard(c *Claimer, number int) *shard {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackOff
	b.Multiplier = 2
	b.MaxInterval = maxBackOff

	return &shard{claimer: c, number: number, backOff: b, journal: newJournal(number), wake: make(chan struct{}, 1)}
}

// submit queues an operation, or answers it at once when the answer is certain.
func (s *shard) submit(o *operation) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.used = time.Now()
	if o.kind == kindClaim && s.answerAtOnce(o) {
		return
	}

	s.enqueue(o)
}

// answerAtOnce replays a recorded result, which never changes, or refuses while the store is down.
func (s *shard) answerAtOnce(o *operation) bool {
	if e := s.journal.find(o.key); e != nil && e.result != nil {
		s.finish(o, s.claimer.answerFor(e, o))

		return true
	}

	now := time.Now()

	if s.down.IsZero() {
		return false
	}

	if now.Before(s.down) {
		s.refuse(o, nil)

		return true
	}
	// One claim tries the store; those that come meanwhile are refused.
	s.down = now.Add(s.claimer.options.CallTimeout)

	return false
}

func (s *shard) enqueue(o *operation) {
	s.queue = append(s.queue, o)
	if o.kind == kindClaim {
		// The channel holds one signal, and one is enough to look at the queue again.
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}

	if s.running {
		return
	}

	s.running = true
	s.claimer.workers.Go(s.run)
}

// finish makes an answer final. An abandoned claim keeps the answer that its caller got.
func (s *shard) finish(o *operation, a answer) {
	if o.finished {
		return
	}

	o.finished = true
	o.answer = a
	close(o.settled)

	if o.kind != kindClaim && !o.foreign {
		s.claimer.setOpen(o.id, false)
	}
}

// refuse answers a claim with "not run". Its caller is told so and will not send,
// so a claim that may yet take effect is voided.
func (s *shard) refuse(o *operation, cause error) {
	if o.finished {
		return
	}

	wait := max(time.Until(s.down), defaultRetryAfter)
	failure := classifier.Wrap(cause, classifier.ClaimUnavailable, "the claim can't be recorded now")
	s.finish(o, answer{failure: failure.After(wait)})
	s.claimer.stats.refused.Add(1)

	if !o.foreign && (o.attempted || o.writing) {
		s.void(o)
	}
}

// void queues the end of a claim that nobody will run.
func (s *shard) void(o *operation) {
	if o.voiding {
		return
	}

	o.voiding = true
	s.enqueue(newOperation(kindVoid, o.id))
}

// abandon gives up a claim whose caller or deadline doesn't wait any longer.
func (s *shard) abandon(o *operation, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.refuse(o, cause)
}

// unsettled says whether a write with the operation may still take effect.
func (s *shard) unsettled(o *operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return o.attempted || o.writing
}

// run works until the queue is empty or the claimer ends.
func (s *shard) run() {
	for s.waitTurn() {
		batch := s.take()
		if batch == nil {
			return
		}

		s.commit(batch)
		s.compact()
	}

	s.stop()
}

// waitTurn waits for the next write's time while operations gather. It returns false when the claimer ends.
func (s *shard) waitTurn() bool {
	s.mu.Lock()
	wait := time.Until(s.turn)
	s.mu.Unlock()

	ctx := s.claimer.ctx
	if wait > 0 && !sleeper.Sleep(ctx, wait) {
		return false
	}

	return s.gather()
}

// gather lets ends wait for a claim that can take them along: only claims have
// callers who wait, and a write of its own for each end would double the writes.
// It returns false when the claimer ends.
func (s *shard) gather() bool {
	for {
		wait := s.patience()
		if wait <= 0 {
			return s.claimer.ctx.Err() == nil
		}

		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.claimer.ctx.Done():
		}

		timer.Stop()
	}
}

// patience returns how long the queue may wait for a claim; 0 when it holds one.
func (s *shard) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.claimer.ctx.Err() != nil {
		return 0
	}

	wait := s.claimer.options.EndDelay
	for _, o := range s.queue {
		if o.kind == kindClaim && !o.finished || o.kind == kindTick {
			return 0
		}

		wait = min(wait, s.claimer.options.EndDelay-time.Since(o.started))
	}

	if len(s.queue) == 0 {
		return 0
	}

	return wait
}

// take returns the waiting operations, or nil after it marked the shard as idle.
func (s *shard) take() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()

	batch := s.queue

	s.queue = nil
	s.leavePlace(len(batch) == 0)

	if len(batch) == 0 {
		s.running = false
	}

	return batch
}

func (s *shard) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, o := range s.queue {
		s.finish(o, answer{failure: classifier.New(classifier.ClaimUnavailable, "the node is stopping")})
	}

	s.queue = nil
	s.running = false
}

// wait returns the operation's answer. A claim that isn't answered when ctx ends is given up.
func (s *shard) wait(ctx context.Context, o *operation) answer {
	select {
	case <-o.settled:
	case <-ctx.Done():
		if o.kind != kindClaim {
			return answer{failure: classifier.Wrap(ctx.Err(), classifier.ClaimUnavailable, "the record is still being written")}
		}

		s.abandon(o, ctx.Err())
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return o.answer
}

// giveUp voids a claim whose caller will not send.
func (s *shard) giveUp(o *operation) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.void(o)
}

func (s *shard) isVoiding(o *operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return o.voiding
}
