package claimer

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// draft is one write of a shard that is not yet known to have taken effect.
type draft struct {
	moment time.Time
	head   head
	// records are the records that the write adds.
	records []byte
	// value is the whole newest segment after the write; opens says that the write begins it.
	value []byte
	opens bool
	txn   storer.Txn
}

// newDraft builds the transaction that appends records to the journal at a moment of the monotonic clock.
func newDraft(j *journal, records []byte, moment time.Time, options Options) (draft, error) {
	d := draft{moment: moment, head: j.head, records: records}
	d.head.At = j.now(moment)
	d.head.First = j.expired(d.head.At, options.Window)
	d.place(j, options)

	encoded, err := encoding.Marshal(d.head)
	if err != nil {
		return draft{}, err
	}

	d.txn = j.txn(encoded, storer.Op{Kind: storer.OpPut, Key: j.segmentKey(d.head.Last), Value: d.value})
	if d.head.First > j.head.First && j.head.First > 0 {
		d.txn.Success = append(d.txn.Success, storer.Op{
			Kind: storer.OpDelete, Key: j.segmentKey(j.head.First), RangeEnd: j.segmentKey(d.head.First),
		})
	}

	return d, nil
}

// place decides whether the records go to the newest segment or begin the next.
func (d *draft) place(j *journal, options Options) {
	d.opens = len(j.segments) == 0
	if !d.opens {
		age := d.head.At - j.segments[len(j.segments)-1].opened
		d.opens = len(j.newest)+len(d.records) > options.SegmentBytes || age >= options.SegmentAge.Milliseconds()
	}

	if !d.opens {
		d.value = slices.Concat(j.newest, d.records)

		return
	}

	d.head.Last++
	if d.head.First == 0 {
		d.head.First = d.head.Last
	}

	d.records = append(record{Opened: &d.head.At}.encode(), d.records...)
	d.value = d.records
}

// adopt makes the journal what the draft's write left in the store.
func (d *draft) adopt(j *journal, revision int64) error {
	j.revision = revision
	j.head = d.head

	j.seen = d.moment
	if d.opens {
		j.segments = append(j.segments, segment{number: d.head.Last})
	}

	if err := j.appendRecords(d.records, d.value); err != nil {
		return err
	}

	j.forget(d.head.First)

	return j.check()
}
