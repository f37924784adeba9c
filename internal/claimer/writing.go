package claimer

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// writesAtOnce is how many writes an idle shard may send without waiting between them.
	writesAtOnce = 4
	// maxContention bounds shard.contention, and with it the mean time between two writes.
	maxContention = 12
)

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

	err = s.takeIn(d, result)
	s.written(batch, err != nil)

	if err != nil {
		s.failed(batch, err, true)

		return
	}

	s.backAway(!result.Succeeded)
	s.succeeded()
	s.settle(batch)
}

// takeIn brings the journal to what the store holds after a draft was applied or refused.
func (s *shard) takeIn(d draft, result storer.TxnResult) error {
	stats := &s.claimer.stats

	if !result.Succeeded {
		stats.lost.Add(1)

		return s.change(func(j *journal) error { return j.update(found(result), time.Now()) })
	}

	stats.records.Add(int64(lineCount(d.lines)))
	stats.bytesKept.Add(int64(len(d.lines)))

	return s.change(func(j *journal) error { return d.adopt(j, result.Revision) })
}

// setTurn makes room after a write. A shard that was idle may write writesAtOnce
// times before it waits, so that a claim seldom waits for an earlier one's end.
func (s *shard) setTurn(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	interval := s.claimer.options.WriteInterval
	if s.contention > 0 {
		mean := time.Duration(1+s.contention) * interval
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
			s.contention = max(s.contention-1, 0)
		}

		s.losses = 0

		return
	}

	s.losses++
	s.contention = min(s.contention+2, maxContention)

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
