// Package storer defines the types and errors of calls to the platform's key-value store and its list of VMs. It has no
// network code, so that every package that makes such calls can import it.
//
// The names are those of the etcd v3 API. Package connector makes the calls; in tests the stand-in's Local does.
// Errors say whether a write certainly had no effect (ErrNotApplied) or may have had one (ErrUnknown), in which case the
// caller reads back the state before it continues.
package storer

import "time"

// KeyValue is one key with its value, revisions and lease.
type KeyValue struct {
	Key   string
	Value []byte
	// CreateRevision is the revision at which the key was created; 0 if the key doesn't exist.
	CreateRevision int64
	// ModRevision is the revision of the last write; in a delete event, of the deletion.
	ModRevision int64
	// Version is the number of writes since creation, starting at 1; 0 if the key doesn't exist.
	Version int64
	// Lease is the ID of the lease that the key is attached to and deleted with; 0 means none.
	Lease int64
	// Era is the era of the store in which the key was read; 0 if the store names none.
	Era int64
}

// Target is the field of a key that a Compare checks. The values are those of the etcd API's JSON mapping.
type Target string

// Targets. All but TargetValue are numeric.
const (
	TargetVersion Target = "VERSION"
	TargetCreate  Target = "CREATE"
	TargetMod     Target = "MOD"
	TargetValue   Target = "VALUE"
)

// Relation is the comparison operator between the key's target and the given number or value.
type Relation string

// Relations. An empty Relation means RelationEqual.
const (
	RelationEqual    Relation = "EQUAL"
	RelationNotEqual Relation = "NOT_EQUAL"
	RelationGreater  Relation = "GREATER"
	RelationLess     Relation = "LESS"
)

// Compare is one condition of a transaction. For a key that doesn't exist, numeric targets are 0 and conditions on the
// value are false.
type Compare struct {
	Key      string
	Target   Target
	Relation Relation
	// Number is the operand for all targets but TargetValue.
	Number int64
	// Value is the operand for TargetValue.
	Value []byte
}

// OpKind is the kind of an operation in a transaction.
type OpKind string

// Operation kinds.
const (
	OpPut    OpKind = "put"
	OpRange  OpKind = "range"
	OpDelete OpKind = "delete"
)

// Op is one operation of a transaction.
type Op struct {
	Kind OpKind
	Key  string
	// RangeEnd is the exclusive end of the range of OpRange and OpDelete; empty means Key alone.
	RangeEnd string
	// Value and Lease apply to OpPut.
	Value []byte
	Lease int64
	// Limit is the maximum number of keys that OpRange returns; 0 means no limit.
	Limit int64
}

// Txn is applied atomically in one revision: the operations of Success if all compares are true, else those of Failure.
// No key may be written twice in one branch.
type Txn struct {
	// Era is the era in which the revisions of Compares were read. In any other era none of the compares is true.
	Era      int64
	Compares []Compare
	Success  []Op
	Failure  []Op
}

// OpResult is the result of the operation at the same index in the branch that was applied.
type OpResult struct {
	Kind OpKind
	// KeyValues, Count and More apply to OpRange; Count includes keys past the limit.
	KeyValues []KeyValue
	Count     int64
	More      bool
	// Deleted is the number of keys that OpDelete removed.
	Deleted int64
}

// TxnResult is the result of a transaction and says which branch was applied. False compares are not an error.
type TxnResult struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision  int64
	Responses []OpResult
}

// EventKind is the kind of change to a key.
type EventKind string

// Event kinds.
const (
	EventPut    EventKind = "PUT"
	EventDelete EventKind = "DELETE"
)

// Event is one change to one key. A delete event has only the key and ModRevision.
type Event struct {
	Kind     EventKind
	KeyValue KeyValue
}

// WatchEvents is one message of a watch.
type WatchEvents struct {
	// Created marks the first message, which confirms that the watch is established.
	Created bool
	// Revision is the store's revision when it created the message. To resume, watch from the ModRevision of the last event
	// received plus one.
	Revision int64
	// Events are ordered by revision; those of one revision are never split across messages.
	Events []Event
	// CompactRevision is the oldest revision that the store still keeps. It is set if Err is ErrCompacted.
	CompactRevision int64
	// Err is the error that ended the watch, set in the last message before the channel is closed. When the watch's context
	// is done, the channel is closed without one.
	Err error
}

// VM is a virtual machine in the platform's list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// VMList is the platform's list of VMs, which lags behind their actual state.
type VMList struct {
	VMs []VM `json:"vms"`
	// AsOf is the time of the state that the list shows.
	AsOf time.Time `json:"as_of"`
}

const (
	// NoEnd as the end of a range means that the range is unbounded, as in the etcd API's JSON mapping.
	NoEnd = "\x00"
	// FirstKey is the lowest possible key, as keys can't be empty.
	FirstKey = "\x00"
)

// PrefixEnd returns the exclusive end of the range of all keys with a prefix. It returns NoEnd if no key sorts after all of
// them, as with an empty prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}

	return NoEnd
}

// PrefixRange returns the first key and the exclusive end of the range of all keys with a prefix.
func PrefixRange(prefix string) (key, rangeEnd string) {
	if prefix == "" {
		return FirstKey, NoEnd
	}

	return prefix, PrefixEnd(prefix)
}

// LeaseSeconds returns a lease's TTL as the store takes it: in whole seconds, rounded up, at least 1.
func LeaseSeconds(ttl time.Duration) int64 {
	return max(int64((ttl+time.Second-1)/time.Second), 1)
}
