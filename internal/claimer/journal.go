package claimer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// driftParts is the part of the window, one in so many, that is added for monotonic clocks that run too fast.
const driftParts = 100

// heldBytes is the longest answer that is held in memory; longer ones are read from the store when they are asked for.
const heldBytes = 256

// record is one line of a segment. Exactly one of Opened, Claim, Done and Void is set.
type record struct {
	// Opened is the shard's time in milliseconds at which the segment began; the first line holds it.
	Opened *int64 `json:"opened,omitempty"`
	// Claim, Done and Void hold a claim's id.
	Claim string `json:"claim,omitempty"`
	Done  string `json:"done,omitempty"`
	Void  string `json:"void,omitempty"`
	// Key, Body and Request belong to Claim.
	Key     string `json:"key,omitempty"`
	Body    string `json:"body,omitempty"`
	Request string `json:"request,omitempty"`
	// Result belongs to Done.
	Result *Result `json:"result,omitempty"`
}

func (r record) line() []byte {
	// A record has only strings, numbers and bytes, which always encode.
	line, _ := json.Marshal(r)

	return append(line, '\n')
}

// head is the value of a shard's head key.
type head struct {
	// At is the shard's time in milliseconds at the last write.
	At int64 `json:"at"`
	// First and Last number the segments of the window; Last is 0 before the first write.
	First int64 `json:"first"`
	Last  int64 `json:"last"`
}

// entry is a claim that stands.
type entry struct {
	id      string
	key     string
	body    string
	request string
	// result is nil until the run's result is recorded. Its body is left out
	// when it is long; it then stands in the segment numbered stored.
	result *Result
	stored int64
}

// end takes in the result that a segment holds.
func (e *entry) end(result *Result, number int64) {
	e.result = result
	if len(result.Body) <= heldBytes {
		return
	}

	held := *result
	held.Body = nil
	e.result = &held
	e.stored = number
}

// maker returns the node and the incarnation that made the claim.
func (e *entry) maker() (node, incarnation string) {
	parts := strings.Split(e.id, ".")
	if len(parts) < 3 {
		return e.id, ""
	}

	last := len(parts) - 1

	return strings.Join(parts[:last-1], "."), parts[last-1]
}

// segment describes one stored segment.
type segment struct {
	number int64
	// opened is the shard's time in milliseconds at which the segment began.
	opened int64
	size   int
	// claims and voids are those that the segment holds.
	claims []*entry
	voids  []string
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
	// keys holds the claims that stand, byID the same by id.
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

// update takes in a snapshot of the head and of all segments from the last known one on.
func (j *journal) update(found []storer.KeyValue, moment time.Time) error {
	for _, kv := range found {
		if kv.Key == j.headKey() {
			if err := json.Unmarshal(kv.Value, &j.head); err != nil {
				return errors.Wrap(err, "decode the head")
			}

			j.revision = kv.ModRevision
			j.seen = moment

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

	return j.appendLines(value[known:], value)
}

// appendLines applies new lines of the newest segment, whose whole value is given.
func (j *journal) appendLines(lines, value []byte) error {
	last := &j.segments[len(j.segments)-1]

	for line := range bytes.Lines(lines) {
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return errors.Wrapf(err, "decode segment %d", last.number)
		}

		j.apply(r, last)
	}

	j.size += len(value) - last.size
	last.size = len(value)
	j.newest = value

	return nil
}

func (j *journal) apply(r record, s *segment) {
	switch {
	case r.Opened != nil:
		s.opened = *r.Opened
	case r.Claim != "":
		e := &entry{id: r.Claim, key: r.Key, body: r.Body, request: r.Request}
		j.keys[e.key] = e
		j.byID[e.id] = e
		s.claims = append(s.claims, e)
	case r.Done != "":
		if e := j.byID[r.Done]; e != nil && e.result == nil && r.Result != nil {
			e.end(r.Result, s.number)
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

	if int64(len(j.segments)) != j.head.Last-j.head.First+1 {
		return errors.Newf("%d segments are known of %d to %d", len(j.segments), j.head.First, j.head.Last)
	}

	for i, s := range j.segments {
		if s.number != j.head.First+int64(i) {
			return errors.Newf("segment %d stands in the place of %d", s.number, j.head.First+int64(i))
		}
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
