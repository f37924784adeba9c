// Package storer holds the types and errors of calls on the platform's key-value
// service and its list of VMs, without network code, for every package that makes such calls.
//
// The names are those of the etcd v3 API. Package connector makes the calls; the
// stand-in's Local makes them in tests. Errors say whether a write surely had no
// effect (ErrNotApplied) or may have had one (ErrUnknown), so that the caller
// reads back what holds before it goes on.
package storer

import "time"

// KeyValue is one key with its value and its place in the store's history.
type KeyValue struct {
	Key   string
	Value []byte
	// CreateRevision is the revision of the key's creation; 0 when the key is absent.
	CreateRevision int64
	// ModRevision is the revision of the last write; in a delete event that of the deletion.
	ModRevision int64
	// Version counts the writes since creation, from 1; 0 when the key is absent.
	Version int64
	// Lease is the lease that the key ends with; 0 means none.
	Lease int64
}

// Target names what a Compare looks at, in the words of the published mapping.
type Target string

// Targets. Each is a number of the key but TargetValue.
const (
	TargetVersion Target = "VERSION"
	TargetCreate  Target = "CREATE"
	TargetMod     Target = "MOD"
	TargetValue   Target = "VALUE"
)

// Relation is how the key's target must relate to the number or value given.
type Relation string

// Relations; the empty Relation stands for RelationEqual.
const (
	RelationEqual    Relation = "EQUAL"
	RelationNotEqual Relation = "NOT_EQUAL"
	RelationGreater  Relation = "GREATER"
	RelationLess     Relation = "LESS"
)

// Compare is one condition of a transaction.
// An absent key has the numbers 0 and fulfils no condition on its value.
type Compare struct {
	Key      string
	Target   Target
	Relation Relation
	// Number is compared for all targets but TargetValue.
	Number int64
	// Value is compared for TargetValue.
	Value []byte
}

// OpKind names an operation of a transaction.
type OpKind string

// Kinds of operations.
const (
	OpPut    OpKind = "put"
	OpRange  OpKind = "range"
	OpDelete OpKind = "delete"
)

// Op is one operation of a transaction.
type Op struct {
	Kind OpKind
	Key  string
	// RangeEnd is the first key past the range of OpRange and OpDelete; empty means Key alone.
	RangeEnd string
	// Value and Lease belong to OpPut.
	Value []byte
	Lease int64
	// Limit bounds the keys of OpRange; 0 means no bound.
	Limit int64
}

// Txn is applied as a whole in one revision: Success when all compares hold, else Failure.
// No key may be written twice in one branch.
type Txn struct {
	Compares []Compare
	Success  []Op
	Failure  []Op
}

// OpResult is the result of the operation at the same place of the chosen branch.
type OpResult struct {
	Kind OpKind
	// KeyValues, Count and More belong to OpRange; Count includes keys past the limit.
	KeyValues []KeyValue
	Count     int64
	More      bool
	// Deleted is the number of keys that OpDelete removed.
	Deleted int64
}

// TxnResult says which branch was applied. A branch not taken is no error.
type TxnResult struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision  int64
	Responses []OpResult
}

// EventKind names a change of a key.
type EventKind string

// Kinds of events.
const (
	EventPut    EventKind = "PUT"
	EventDelete EventKind = "DELETE"
)

// Event is one change of one key. A delete carries the key and ModRevision only.
type Event struct {
	Kind     EventKind
	KeyValue KeyValue
}

// WatchEvents is one message of a watch.
type WatchEvents struct {
	// Created marks the first message, which tells that the watch is in place.
	Created bool
	// Revision is the store's revision when the message was made. The revision to
	// resume from is one more than the ModRevision of the last event received.
	Revision int64
	// Events are in order of revision; those of one revision are never parted.
	Events []Event
	// CompactRevision is the oldest revision still known, set with an Err that is ErrCompacted.
	CompactRevision int64
	// Err ends the watch: it stands in the last message before the channel closes.
	// A watch that ends with its context closes the channel without one.
	Err error
}

// VM is one virtual machine as the platform lists it.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// VMList is the platform's list of VMs, which lags behind the truth.
type VMList struct {
	VMs []VM `json:"vms"`
	// AsOf is the time that the list describes.
	AsOf time.Time `json:"as_of"`
}

const (
	// NoEnd as the end of a range stands for "past all keys" in the published mapping.
	NoEnd = "\x00"
	// FirstKey is the lowest key that there can be; keys aren't empty.
	FirstKey = "\x00"
)

// PrefixEnd returns the first key past all keys that begin with prefix.
// It returns NoEnd for a prefix that no key can be past, such as an empty one.
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

// PrefixRange returns the first key and the end of the range of all keys with a prefix.
func PrefixRange(prefix string) (key, rangeEnd string) {
	if prefix == "" {
		return FirstKey, NoEnd
	}

	return prefix, PrefixEnd(prefix)
}

// LeaseSeconds returns a lease's length as the store counts it: whole seconds, rounded up, at least 1.
func LeaseSeconds(length time.Duration) int64 {
	return max(int64((length+time.Second-1)/time.Second), 1)
}
