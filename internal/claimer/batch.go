package claimer

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// writeBytes bounds what one write adds, and with it a segment's value.
const writeBytes = 256 << 10

// commit brings a batch one step on: it reads the journal, or writes once, or checks that nothing is to be written.
func (s *shard) commit(batch []*operation) {
	if !s.loaded {
		if !s.takePlace() {
			return
		}

		if err := s.load(); err != nil {
			s.failed(batch, err, false)

			return
		}
	}

	records, count, forced := s.records(batch)
	if len(records) == 0 && !forced {
		s.commitNothing(batch)

		return
	}

	d, err := newDraft(s.journal, records, time.Now(), s.claimer.options)
	if err != nil {
		s.failed(batch, err, false)

		return
	}

	s.write(batch, d, count)
}

// records collects what the batch adds to the journal, at most writeBytes of it.
func (s *shard) records(batch []*operation) (records []byte, count int, forced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	options := s.claimer.options
	size := s.journal.size
	slots := map[string]bool{}

	for _, o := range batch {
		if o.kind == kindTick {
			forced = true

			continue
		}

		if o.finished || slots[o.kind.slot(o)] {
			continue
		}

		added := o.record(s.journal)
		if added == nil || len(records)+len(added) > writeBytes {
			continue
		}

		if o.kind == kindClaim && size+len(records)+len(added) > options.ShardBytes {
			s.refuseFull(o)

			continue
		}

		slots[o.kind.slot(o)] = true
		o.writing = true

		records = append(records, added...)
	}

	return records, len(slots), forced
}

// slot names what only one operation of a write may touch: a key's claim, or a claim's end.
func (k kind) slot(o *operation) string {
	if k == kindClaim {
		return "key " + o.key
	}

	return string(k) + " " + o.id
}

func (s *shard) refuseFull(o *operation) {
	wait := s.claimer.options.SegmentAge
	failure := classifier.New(classifier.ClaimsFull, "the shard's journal is full")
	s.finish(o, answer{failure: failure.After(wait)})
	s.claimer.stats.full.Add(1)
}

// commitNothing answers a batch that adds nothing, once the journal is known to be up to date.
func (s *shard) commitNothing(batch []*operation) {
	s.setTurn(time.Now())

	err := s.refresh()
	if err != nil {
		s.failed(batch, err, false)

		return
	}

	s.succeeded()
	s.settle(batch)
}

// settle answers what the journal, which is up to date, decides, and queues the rest again.
func (s *shard) settle(batch []*operation) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var rest []*operation

	for _, o := range batch {
		if o.finished {
			continue
		}

		if a, ok := s.decided(o); ok {
			s.finish(o, a)

			continue
		}

		rest = append(rest, o)
	}

	s.queue = append(rest, s.queue...)
}

func (s *shard) decided(o *operation) (answer, bool) {
	switch {
	case o.kind == kindTick:
		return answer{}, true
	case o.kind == kindDone && s.journal.byID[o.id] == nil:
		return answer{failure: classifier.New(classifier.UnknownRequest, "the claim is forgotten")}, true
	case o.kind != kindClaim:
		return answer{}, o.record(s.journal) == nil
	}

	if _, void := s.journal.voided[o.id]; void {
		return answer{failure: classifier.New(classifier.ClaimUnavailable, "the claim was voided").After(defaultRetryAfter)}, true
	}

	e := s.journal.find(o.key)
	if e == nil {
		return answer{}, false
	}

	return s.claimer.answerFor(e, o), true
}
