package claimer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// writesAtOnce is how many writes an idle shard may send without waiting between them.
	writesAtOnce = 4
	// maxContention bounds shard.contention, and with it the mean time between two writes.
	// 1.5 times that must stay below Options.ClaimTimeout, or a claim that lost once is refused.
	maxContention = 9
)

// write sends a draft with so many records.
func (s *shard) write(batch []*operation, d draft, count int) {
	s.send(batch, d.moment, d.txn, func(j *journal, revision int64) error {
		s.claimer.stats.records.Add(int64(count))
		s.claimer.stats.bytesKept.Add(int64(len(d.records)))

		return d.adopt(j, revision)
	})
}

// send sends a transaction that moves the head; adopt makes the journal what it
// writes. Whatever comes back, the journal is up to date after it or unchanged.
func (s *shard) send(batch []*operation, moment time.Time, txn storer.Txn, adopt func(*journal, int64) error) {
	stats := &s.claimer.stats

	ctx, cancel := s.claimer.callContext()
	defer cancel()

	s.setTurn(moment)
	stats.writes.Add(1)
	stats.bytesSent.Add(int64(valueBytes(txn)))

	result, err := s.claimer.store.Txn(ctx, txn)
	if err != nil {
		unknown := !errors.Is(err, storer.ErrNotApplied)
		s.written(batch, unknown)
		s.failed(batch, err, unknown)

		return
	}

	if result.Succeeded {
		err = s.change(func(j *journal) error { return adopt(j, result.Revision) })
	} else {
		stats.lost.Add(1)

		err = s.takeIn(result)
	}

	s.written(batch, err != nil)

	if err != nil {
		s.failed(batch, err, true)

		return
	}

	if result.Succeeded || slices.ContainsFunc(batch, func(o *operation) bool { return o.kind != kindTick }) {
		s.backAway(!result.Succeeded)
	}

	s.succeeded()
	s.settle(batch)
	s.watchSize()
}

// takeIn brings the journal to what the store holds after a transaction was not applied.
func (s *shard) takeIn(result storer.TxnResult) error {
	err := s.change(func(j *journal) error { return j.refused(found(result), time.Now()) })
	if errors.Is(err, errCompacted) {
		return s.load()
	}

	s.claimer.disagree(err)

	return err
}

func valueBytes(txn storer.Txn) int {
	total := 0
	for _, o := range txn.Success[1:] {
		total += len(o.Value)
	}

	return total
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
