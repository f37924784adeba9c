package claimer

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// Store is the part of the platform's key-value service that claims need. Its
// errors are those of package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	List(ctx context.Context, prefix string) ([]storer.KeyValue, int64, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
}

// Makers tells whether a run of a node is alive, as far as this node knows.
// It only chooses between KeyInProgress and OutcomeUnknown.
type Makers interface {
	Alive(node, incarnation string) bool
}

// Holders names the node that writes a shard for all others, or "" when each
// node is to write by itself. It saves writes; a wrong answer breaks nothing.
type Holders interface {
	Holder(shard int) string
}

// Caller calls a method of a peer. An error leaves open whether the peer acted.
type Caller interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Options are the fixed settings of a Claimer. A zero value of a duration or a
// size means its default. Window, SegmentBytes and SegmentAge may differ
// between nodes for as long as a change of settings takes; the shortest Window counts.
type Options struct {
	// Node and Incarnation name this run of this node; no two runs share both.
	Node        string
	Incarnation string
	// Makers may be nil: then no other node counts as alive.
	Makers Makers
	// Holders and Caller may be nil: then this node writes by itself.
	Holders Holders
	Caller  Caller

	// Window is how long a key is kept, counted from its claim; 24 h by default.
	Window time.Duration
	// AnswerTime is how long the answer of a run that ended is kept at least, 10 min by
	// default and at most a quarter of the window. After it a claim shrinks to what keeps its key from running again.
	AnswerTime time.Duration
	// SegmentBytes is the size at which a new segment begins; 2 KB by default. Every write sends the newest segment whole.
	SegmentBytes int
	// SegmentAge is the age at which a new segment begins; a hundredth of the window by default.
	SegmentAge time.Duration
	// ShardBytes bounds the journal of a shard; a full one takes no more claims. 20 MB by default.
	ShardBytes int
	// AnswerBytes is the longest answer that is kept; 4 KB by default.
	AnswerBytes int
	// WriteInterval is the mean time between two writes of a shard by this node
	// under load; 100 ms by default. An idle shard may write a few at once, and
	// nodes that write the same shard slow down to share it.
	WriteInterval time.Duration
	// EndDelay is how long a run's end waits for a claim of its shard to be written with; 200 ms by default.
	EndDelay time.Duration
	// ClaimTimeout bounds Begin; 2 s by default.
	ClaimTimeout time.Duration
	// CallTimeout bounds one call of the store; 1 s by default.
	CallTimeout time.Duration
	// ForwardTimeout bounds one call of a shard's holder; 400 ms by default, which a wait
	// for the holder's next write at WriteInterval must fit in.
	ForwardTimeout time.Duration
	// TickInterval is how often an idle shard's time is written and its old segments are removed; 10 min by default.
	TickInterval time.Duration
	// Notify is told what operators should know at once; it may be nil and must not block.
	Notify func(Notice)
}

const (
	defaultWindow         = 24 * time.Hour
	defaultAnswerTime     = 10 * time.Minute
	answersPerWindow      = 4
	defaultSegmentBytes   = 2 << 10
	segmentsPerWindow     = 100
	defaultShardBytes     = 20 << 20
	defaultAnswerBytes    = 4 << 10
	defaultWriteInterval  = 100 * time.Millisecond
	defaultEndDelay       = 200 * time.Millisecond
	defaultClaimTimeout   = 2 * time.Second
	defaultCallTimeout    = time.Second
	defaultForwardTimeout = 400 * time.Millisecond
	defaultTickInterval   = 10 * time.Minute
)

func (o Options) withDefaults() Options {
	o.Window = defaulted(o.Window, defaultWindow)
	o.AnswerTime = min(defaulted(o.AnswerTime, defaultAnswerTime), o.Window/answersPerWindow)
	o.SegmentBytes = defaulted(o.SegmentBytes, defaultSegmentBytes)
	o.SegmentAge = defaulted(o.SegmentAge, o.Window/segmentsPerWindow)
	o.ShardBytes = defaulted(o.ShardBytes, defaultShardBytes)
	o.AnswerBytes = defaulted(o.AnswerBytes, defaultAnswerBytes)
	o.WriteInterval = defaulted(o.WriteInterval, defaultWriteInterval)
	o.EndDelay = defaulted(o.EndDelay, defaultEndDelay)
	o.ClaimTimeout = defaulted(o.ClaimTimeout, defaultClaimTimeout)
	o.CallTimeout = defaulted(o.CallTimeout, defaultCallTimeout)
	o.ForwardTimeout = defaulted(o.ForwardTimeout, defaultForwardTimeout)
	o.TickInterval = defaulted(o.TickInterval, defaultTickInterval)

	return o
}

func defaulted[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}

	return value
}

// answeredBytes is what a claim takes until its answer is dropped, with an answer of 200 bytes
// (TestMeasure_Memory); it only sizes what operators are told.
const answeredBytes = 300

// Capacity returns how many claims a second fit for good into all shards, if
// answers are short and keys fall evenly.
func (o Options) Capacity() float64 {
	o = o.withDefaults()
	packed := (o.Window + o.Window/driftParts + o.SegmentAge).Seconds() * packedBytes
	answered := (o.AnswerTime + o.AnswerTime/compactionsPerAnswerTime).Seconds() * answeredBytes

	return Shards * float64(o.ShardBytes) / (packed + answered)
}
