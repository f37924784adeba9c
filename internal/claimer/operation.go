package claimer

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

type kind string

const (
	kindClaim kind = "claim"
	kindDone  kind = "done"
	kindVoid  kind = "void"
	kindTick  kind = "tick"
)

// operation is one wish to change a shard. It waits in the shard's queue until
// a write, or a read of the whole window, settles it.
type operation struct {
	kind kind
	// id is that of the claim and key selects the shard; body and request belong to kindClaim, result to kindDone.
	id      string
	key     string
	body    string
	request string
	result  *Result
	// foreign says that the claim's maker is another node, which alone may void it.
	foreign bool
	started time.Time

	// settled is closed once answer is final.
	settled chan struct{}

	// Guarded by the lock of the shard.
	// finished says that answer is final or that nobody waits for it any more.
	finished bool
	// writing says that a write with this operation is on its way, attempted
	// that an earlier one may still take effect.
	writing   bool
	attempted bool
	// voiding says that a void of this claim is queued; the claim is open until it is recorded.
	voiding bool
	answer  answer
}

func newOperation(k kind, id string) *operation {
	return &operation{kind: k, id: id, started: time.Now(), settled: make(chan struct{})}
}

// answer is what became of an operation; the zero answer means that it is recorded.
type answer struct {
	run     bool
	replay  *replay
	failure *classifier.Error
}

// replay is an earlier result. A body that is not held in memory stands in the segment numbered stored.
type replay struct {
	result    *Result
	requestID string
	id        string
	stored    int64
}

// err returns the failure without making a nil pointer a non-nil error.
func (a answer) err() error {
	if a.failure == nil {
		return nil
	}

	return a.failure
}

// record returns the journal's record for the operation, or nil when the journal needs none.
func (o *operation) record(j *journal) []byte {
	switch o.kind {
	case kindClaim:
		if _, void := j.voided[o.id]; void || j.find(o.key) != nil {
			return nil
		}

		return record{Claim: o.id, Key: []byte(o.key), Body: []byte(o.body), Request: o.request}.encode()
	case kindDone:
		if e := j.byID[o.id]; e == nil || e.result != nil {
			return nil
		}

		return record{Done: o.id, Result: o.result}.encode()
	case kindVoid:
		if _, void := j.voided[o.id]; void {
			return nil
		}

		return record{Void: o.id}.encode()
	default:
		return nil
	}
}
