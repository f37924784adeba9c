package claimer

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// driftParts is the part of the window, one in so many, that is added for monotonic clocks that run too fast.
const driftParts = 100

// segment describes one stored segment.
type segment struct {
	number int64
	// opened is the shard's time in milliseconds at which the segment began.
	opened int64
	// through numbers the last segment that a compacted one stands for; 0 for others.
	through int64
	size    int
	// packed are the sorted claims of a compacted segment whose runs ended.
	packed []byte
	// claims and voids are those that the segment holds, ends the claims whose results it holds.
	claims []*entry
	ends   []*entry
	voids  []string
}

// last returns the number of the last segment that this one stands for.
func (s segment) last() int64 {
	return max(s.number, s.through)
}

// journal is what a shard's window holds at one revision of its head.
type journal struct {
	prefix string
	// revision is the head's; 0 means that the head doesn't exist.
	revision int64
	head     head
	// seen is the moment, by the monotonic clock, that head.At stands for at the earliest.
	seen time.Time
	// segments are sorted by number and have no gaps; newest is the value of the last.
	segments []segment
	newest   []byte
	// size is the number of stored bytes of all segments.
	size int
	// keys holds the claims that stand and aren't packed, byID the same by id.
	keys map[string]*entry
	byID map[string]*entry
	// voided holds the segments of voided ids: a claim of such an id must never be written again.
	voided map[string]int64
}

func newJournal(shard int) *journal {
	return &journal{
		prefix: fmt.Sprintf("claims/%02x/", shard),
		keys:   map[string]*entry{},
		byID:   map[string]*entry{},
		voided: map[string]int64{},
	}
}

// find returns the claim that stands for a key, or nil.
func (j *journal) find(key string) *entry {
	if e := j.keys[key]; e != nil {
		return e
	}

	for _, s := range slices.Backward(j.segments) {
		if packed := findPacked(s.packed, key); packed != nil {
			return unpack(packed, key)
		}
	}

	return nil
}

// claims returns how many claims stand.
func (j *journal) claims() int {
	total := len(j.byID)
	for _, s := range j.segments {
		total += len(s.packed) / packedBytes
	}

	return total
}

func (j *journal) headKey() string {
	return j.prefix + "head"
}

func (j *journal) segmentKey(number int64) string {
	return fmt.Sprintf("%slog/%012x", j.prefix, number)
}

func (j *journal) segmentsEnd() string {
	return storer.PrefixEnd(j.prefix + "log/")
}

func (j *journal) segmentNumber(key string) (int64, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(key, j.prefix+"log/"), 16, 64)

	return number, errors.Wrapf(err, "parse segment key %q", key)
}

// now returns the shard's time in milliseconds at a moment of the monotonic clock.
func (j *journal) now(moment time.Time) int64 {
	return j.head.At + max(moment.Sub(j.seen).Milliseconds(), 0)
}

// txn returns a transaction that moves the head, and otherwise reads what moved it.
func (j *journal) txn(head []byte, writes ...storer.Op) storer.Txn {
	return storer.Txn{
		Compares: []storer.Compare{{Key: j.headKey(), Target: storer.TargetMod, Number: j.revision}, layoutCompare()},
		Success:  append([]storer.Op{{Kind: storer.OpPut, Key: j.headKey(), Value: head}}, writes...),
		Failure: []storer.Op{
			{Kind: storer.OpRange, Key: layoutKey},
			{Kind: storer.OpRange, Key: j.headKey()},
			{Kind: storer.OpRange, Key: j.segmentKey(j.head.Last), RangeEnd: j.segmentsEnd()},
		},
	}
}

// refused takes in what a transaction found that was not applied.
func (j *journal) refused(found []storer.KeyValue, moment time.Time) error {
	if len(found) == 0 || found[0].Key != layoutKey {
		return checkLayout(storer.KeyValue{})
	}

	if err := checkLayout(found[0]); err != nil {
		return err
	}

	return j.update(found[1:], moment)
}

// update takes in a snapshot of the head and of all segments from the last known one on.
func (j *journal) update(found []storer.KeyValue, moment time.Time) error {
	for _, kv := range found {
		if kv.Key == j.headKey() {
			if err := j.takeHead(kv, moment); err != nil {
				return err
			}

			continue
		}

		number, err := j.segmentNumber(kv.Key)
		if err != nil {
			return err
		}

		if err := j.replace(number, kv.Value); err != nil {
			return err
		}
	}

	j.forget(j.head.First)

	return j.check()
}

func (j *journal) takeHead(kv storer.KeyValue, moment time.Time) error {
	var next head
	if err := decoding.Unmarshal(kv.Value, &next); err != nil {
		return errors.Wrap(err, "decode the head")
	}

	if j.revision > 0 && next.Compactions != j.head.Compactions {
		return errCompacted
	}

	j.head = next
	j.revision = kv.ModRevision
	j.seen = moment

	return nil
}

// replace takes in a segment's value; of the last known segment only what was appended.
func (j *journal) replace(number int64, value []byte) error {
	known := 0

	if n := len(j.segments); n > 0 && j.segments[n-1].number == number {
		if !bytes.HasPrefix(value, j.newest) {
			return errors.Newf("segment %d was not only appended to", number)
		}

		known = len(j.newest)
	} else {
		j.segments = append(j.segments, segment{number: number})
	}

	return j.appendRecords(value[known:], value)
}

// appendRecords applies new records of the newest segment, whose whole value is given.
func (j *journal) appendRecords(records, value []byte) error {
	last := &j.segments[len(j.segments)-1]

	err := decodeRecords(records, func(r record) bool {
		j.apply(r, last)

		return true
	})
	if err != nil {
		return errors.Wrapf(err, "segment %d", last.number)
	}

	j.size += len(value) - last.size
	last.size = len(value)
	j.newest = value

	return nil
}

func (j *journal) apply(r record, s *segment) {
	switch {
	case r.Opened != nil:
		s.opened, s.through, s.packed = *r.Opened, r.Through, r.Packed
	case r.Claim != "":
		e := &entry{id: r.Claim, key: string(r.Key), body: string(r.Body), request: r.Request, claimed: s.number}
		j.keys[e.key] = e
		j.byID[e.id] = e
		s.claims = append(s.claims, e)
	case r.Done != "":
		if e := j.byID[r.Done]; e != nil && e.result == nil && r.Result != nil {
			e.end(r.Result, s.number)
			s.ends = append(s.ends, e)
		}
	case r.Void != "":
		j.voided[r.Void] = s.number

		s.voids = append(s.voids, r.Void)
		if e := j.byID[r.Void]; e != nil {
			j.drop(e)
		}
	}
}

func (j *journal) drop(e *entry) {
	if j.byID[e.id] == e {
		delete(j.byID, e.id)
	}

	if j.keys[e.key] == e {
		delete(j.keys, e.key)
	}
}

// forget removes all segments before first with the keys claimed in them.
func (j *journal) forget(first int64) {
	for len(j.segments) > 0 && j.segments[0].number < first {
		oldest := j.segments[0]
		// The slot outlives its removal from the slice; the claims must not.
		j.segments[0] = segment{}
		j.segments = j.segments[1:]

		j.size -= oldest.size
		for _, e := range oldest.claims {
			j.drop(e)
		}

		for _, id := range oldest.voids {
			if j.voided[id] == oldest.number {
				delete(j.voided, id)
			}
		}
	}
}

// check reports a window with gaps: it would let a key that is claimed look free.
func (j *journal) check() error {
	if j.revision == 0 {
		return nil
	}

	next := j.head.First
	for _, s := range j.segments {
		if s.number != next {
			return errors.Newf("segment %d stands in the place of %d", s.number, next)
		}

		next = s.last() + 1
	}

	if next != j.head.Last+1 {
		return errors.Newf("the segments of %d to %d are known up to %d", j.head.First, j.head.Last, next-1)
	}

	return nil
}

// expired returns the first segment to keep at a shard's time. The newest is always kept.
func (j *journal) expired(now int64, window time.Duration) int64 {
	limit := (window + window/driftParts).Milliseconds()

	first := j.head.First
	for i := 1; i < len(j.segments) && now-j.segments[i].opened >= limit; i++ {
		first = j.segments[i].number
	}

	return first
}
