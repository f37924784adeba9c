package claimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	firstBackOff = 200 * time.Millisecond
	maxBackOff   = 10 * time.Second
	// writesAtOnce is how many writes an idle shard may send without waiting between them.
	writesAtOnce = 4
	maxRivals    = 12
	// defaultRetryAfter is when to come back after a refusal for which no better time is known.
	defaultRetryAfter = time.Second
)

// shard writes one shard's journal: one write is on its way, the rest gather.
// Lock order: shard.mu, then Claimer.mu.
type shard struct {
	claimer *Claimer
	number  int
	backOff *backoff.ExponentialBackOff

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
	// rivals is a measure of how often that happens, 0 to maxRivals.
	rivals int
	// turn is the earliest time of the next write.
	turn time.Time
	used time.Time
}

func newShard(c *Claimer, number int) *shard {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackOff
	b.Multiplier = 2
	b.MaxInterval = maxBackOff

	return &shard{claimer: c, number: number, backOff: b, journal: newJournal(number)}
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
	if e := s.journal.keys[o.key]; e != nil && e.result != nil {
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
	}

	s.stop()
}

// waitTurn waits for the next write's time while operations gather. It returns false when the claimer ends.
func (s *shard) waitTurn() bool {
	s.mu.Lock()
	wait := time.Until(s.turn)
	s.mu.Unlock()

	ctx := s.claimer.ctx
	if wait <= 0 {
		return ctx.Err() == nil
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// take returns the waiting operations, or nil after it marked the shard as idle.
func (s *shard) take() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()

	batch := s.queue

	s.queue = nil
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

// write sends a draft. Whatever comes back, the journal is up to date after it or unchanged.
func (s *shard) write(batch []*operation, d draft) {
	stats := &s.claimer.stats

	ctx, cancel := s.claimer.callContext()
	defer cancel()

	s.setTurn(d.moment)
	stats.writes.Add(1)
	stats.bytesSent.Add(int64(len(d.value)))

	result, err := s.claimer.store.Txn(ctx, d.txn)
	if err != nil {
		unknown := !errors.Is(err, storer.ErrNotApplied)
		s.written(batch, unknown)
		s.failed(batch, err, unknown)

		return
	}

	if result.Succeeded {
		stats.records.Add(int64(lineCount(d.lines)))
		stats.bytesKept.Add(int64(len(d.lines)))

		err = s.change(func(j *journal) error { return d.adopt(j, result.Revision) })
	} else {
		stats.lost.Add(1)

		err = s.change(func(j *journal) error { return j.update(found(result), time.Now()) })
	}

	s.written(batch, err != nil)

	if err != nil {
		s.failed(batch, err, true)

		return
	}

	s.backAway(!result.Succeeded)
	s.succeeded()
	s.settle(batch)
}

// setTurn makes room after a write. A shard that was idle may write writesAtOnce
// times before it waits, so that a claim seldom waits for an earlier one's end.
func (s *shard) setTurn(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	interval := s.claimer.options.WriteInterval
	if s.rivals > 0 {
		mean := time.Duration(1+s.rivals) * interval
		s.turn = now.Add(mean/2 + rand.N(mean))

		return
	}

	earliest := now.Add(-(writesAtOnce - 1) * interval)
	if s.turn.Before(earliest) {
		s.turn = earliest
	}

	s.turn = s.turn.Add(interval)
}

// backAway spreads nodes that write the same shard. The first loss only shows a
// head that moved since it was read, so the next try follows at once; more mean that
// others write at this very time. Without it nine nodes that write for themselves
// would send thousands of writes a second, most of them lost.
func (s *shard) backAway(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !lost {
		if s.losses == 0 {
			s.rivals = max(s.rivals-1, 0)
		}

		s.losses = 0

		return
	}

	s.losses++
	s.rivals = min(s.rivals+2, maxRivals)

	s.turn = time.Now()
	if s.losses > 1 {
		s.turn = s.turn.Add(rand.N(s.claimer.options.WriteInterval))
	}
}

// written notes what a batch's write left behind: nothing, or an effect that may yet come.
func (s *shard) written(batch []*operation, unknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, o := range batch {
		o.attempted = o.attempted || unknown && o.writing
		o.writing = false
	}

	if unknown {
		s.claimer.stats.unknown.Add(1)
	}
}

// failed refuses the batch's claims and queues the rest again. Claims whose write
// may have taken effect stay: the next write, or their deadline, decides them.
func (s *shard) failed(batch []*operation, err error, unknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	s.failures++
	s.claimer.stats.failed.Add(1)

	if !unknown || s.failures > 1 {
		s.down = now.Add(s.backOff.NextBackOff())
		s.turn = s.down
	}

	var rest []*operation

	for _, o := range batch {
		switch {
		case o.finished || o.kind == kindTick:
		case now.Sub(o.started) > s.claimer.options.Window:
			s.finish(o, answer{failure: classifier.Wrap(err, classifier.ClaimUnavailable, "the window has passed")})
		case o.kind == kindClaim && !unknown:
			s.refuse(o, err)
		default:
			rest = append(rest, o)
		}
	}

	s.queue = append(rest, s.queue...)
}

func (s *shard) succeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.failures = 0
	s.down = time.Time{}
	s.backOff.Reset()
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
