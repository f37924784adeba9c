package cataloguer

import (
	"sync/atomic"
	"time"
)

// Freshness says as of when some content was known to be the newest. It belongs to that content alone: confirmations of newer content don't
// change it, so content that was taken together with its freshness never appears fresher than it is. It is safe for concurrent use.
type Freshness struct {
	// now must include the time for which the VM is suspended.
	now func() time.Duration
	// at is the time of the newest read that confirmed the content; negative before the first.
	at atomic.Int64
}

// newFreshness returns the freshness of content that no read has confirmed.
func newFreshness(now func() time.Duration) *Freshness {
	f := &Freshness{now: now}
	f.at.Store(-1)

	return f
}

// next returns the freshness of newer content that is as fresh as this one: it lacks nothing that this one has.
func (f *Freshness) next() *Freshness {
	next := &Freshness{now: f.now}
	next.at.Store(f.at.Load())

	return next
}

// Age returns the time since the content was last confirmed as the newest, or false if it never was. The content must have been taken
// before.
func (f *Freshness) Age() (time.Duration, bool) {
	// The confirmation is read before the clock, so that a pause between the two makes the content older.
	at := f.at.Load()
	if at < 0 {
		return 0, false
	}

	return f.now() - time.Duration(at), true
}

// confirm records that the content was the newest as of the given time. Earlier times have no effect.
func (f *Freshness) confirm(at time.Duration) {
	for {
		current := f.at.Load()
		if int64(at) <= current || f.at.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}
