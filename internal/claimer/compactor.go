package claimer

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

const (
	// compactionsPerAnswerTime sets how long segments gather before they are compacted.
	compactionsPerAnswerTime = 10
	// compactedBytes is the size at which a compacted segment takes in no more.
	compactedBytes = 256 << 10
	// compactableBytes bounds what one compaction takes in, and with compactedBytes
	// the value that it writes, whatever became of the runs.
	compactableBytes = 512 << 10
)

// errCompacted means that another node compacted segments that this one holds.
var errCompacted = errors.New("the journal was compacted by another node")

// compaction is a write that puts one segment in the place of several, without
// the answers of their runs, that is not yet known to have taken effect.
type compaction struct {
	moment  time.Time
	head    head
	segment segment
	// packed are the claims that are only held by the segment's packed claims afterwards.
	packed []*entry
	// places are the first and the end of the journal's segments that it replaces.
	from, to int
	txn      storer.Txn
}

// compactable returns which segments to compact at a shard's time; none when from is to.
// Compacted segments stand before all others, and the newest is never compacted.
func (j *journal) compactable(now int64, options Options) (from, to int) {
	from = slices.IndexFunc(j.segments, func(s segment) bool { return s.through == 0 })
	if from < 0 {
		return 0, 0
	}

	size := 0
	limit := now - options.AnswerTime.Milliseconds()
	to = from

	for to+1 < len(j.segments) && j.segments[to+1].opened <= limit && size < compactableBytes {
		size += j.segments[to].size
		to++
	}

	span := j.segments[to].opened - j.segments[from].opened
	if to == from || size < compactableBytes && span < options.AnswerTime.Milliseconds()/compactionsPerAnswerTime {
		return from, from
	}

	if from > 0 && j.segments[from-1].size < compactedBytes &&
		j.segments[to].opened-j.segments[from-1].opened <= options.SegmentAge.Milliseconds() {
		from--
	}

	return from, to
}

// newCompaction builds the transaction that compacts the journal's segments from one place up to another.
func newCompaction(j *journal, from, to int, moment time.Time) (compaction, error) {
	first, last := j.segments[from], j.segments[to-1]
	c := compaction{moment: moment, head: j.head, from: from, to: to}
	c.head.At = j.now(moment)
	c.head.Compactions++
	c.segment = segment{number: first.number, opened: first.opened, through: last.last()}
	value := c.gather(j)

	encoded, err := encoding.Marshal(c.head)
	if err != nil {
		return compaction{}, err
	}

	c.txn = j.txn(encoded, storer.Op{Kind: storer.OpPut, Key: j.segmentKey(first.number), Value: value})
	if c.segment.through > first.number {
		c.txn.Success = append(c.txn.Success, storer.Op{
			Kind: storer.OpDelete, Key: j.segmentKey(first.number + 1), RangeEnd: j.segmentKey(c.segment.through + 1),
		})
	}

	return c, nil
}

// gather fills the new segment and returns its value. A claim is packed only if
// its result stands in the replaced segments too: a younger result is still to be given
// to callers. What can't be packed is kept as it is.
func (c *compaction) gather(j *journal) []byte {
	var (
		packed []packedClaim
		kept   []byte
	)

	s := &c.segment
	for _, old := range j.segments[c.from:c.to] {
		packed = append(packed, unpackAll(old.packed)...)

		for _, e := range old.claims {
			switch {
			case j.byID[e.id] != e:
			case e.result != nil && e.ended <= s.through:
				packed = append(packed, pack(e))
				c.packed = append(c.packed, e)
			default:
				kept = append(kept, e.record().encode()...)
				s.claims = append(s.claims, e)
			}
		}

		for _, e := range old.ends {
			if j.byID[e.id] == e && e.claimed < s.number {
				kept = append(kept, record{Done: e.id, Result: withoutAnswer(*e.result)}.encode()...)
				s.ends = append(s.ends, e)
			}
		}

		for _, id := range old.voids {
			kept = append(kept, record{Void: id}.encode()...)
			s.voids = append(s.voids, id)
		}
	}

	s.packed = sortPacked(packed)
	value := append(record{Opened: &s.opened, Through: s.through, Packed: s.packed}.encode(), kept...)
	s.size = len(value)

	return value
}

// adopt makes the journal what the compaction left in the store.
func (c *compaction) adopt(j *journal, revision int64) error {
	j.revision = revision
	j.head = c.head
	j.seen = c.moment

	for _, e := range c.packed {
		j.drop(e)
	}

	for _, e := range c.segment.ends {
		e.result = withoutAnswer(*e.result)
		e.stored = 0
	}

	for _, id := range c.segment.voids {
		j.voided[id] = c.segment.number
	}

	for _, old := range j.segments[c.from:c.to] {
		j.size -= old.size
	}

	j.size += c.segment.size
	j.segments = slices.Replace(j.segments, c.from, c.to, c.segment)

	return j.check()
}

// compact replaces segments that are due, by one write. Only the shard's holder does it,
// unless the journal fills: two that do it at once make each other read the shard anew.
func (s *shard) compact() {
	options := s.claimer.options
	if !s.loaded || s.claimer.holder(s.number) != "" && s.journal.size < options.ShardBytes/2 {
		return
	}

	now := time.Now()

	from, to := s.journal.compactable(s.journal.now(now), options)
	if from == to {
		return
	}

	c, err := newCompaction(s.journal, from, to, now)
	if err != nil {
		s.failed(nil, err, false)

		return
	}

	s.send(nil, now, c.txn, c.adopt)
}
