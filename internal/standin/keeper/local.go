package keeper

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

var errConnection = errors.New("the connection broke")

// Kinds of calls, one for each method of Local.
const (
	CallGet       = "get"
	CallList      = "list"
	CallPut       = "put"
	CallDelete    = "delete"
	CallTxn       = "txn"
	CallGrant     = "grant"
	CallKeepAlive = "keepalive"
	CallRevoke    = "revoke"
	CallWatch     = "watch"
	CallVMs       = "vms"
)

// Call is one call of a Local, as shown to its faults.
type Call struct {
	// Kind is one of the constants above, such as CallTxn.
	Kind string
	// Key is the key or prefix; of a transaction the first key that it compares or writes.
	Key string
	// Number counts the calls of this Local from 1.
	Number int
	// Write says whether the call can change the store.
	Write bool
	// Txn is set for kind txn.
	Txn storer.Txn
}

// Verdict is the fault of one call; the zero Verdict is none.
type Verdict struct {
	// Refuse ends the call before it leaves; the caller gets it as ErrNotApplied.
	Refuse error
	// DelayBefore is the time until the store applies the call. A write that has left takes
	// effect after that time also when its caller no longer waits (it got ErrUnknown).
	// A test under synctest sleeps past its longest delay before it returns.
	DelayBefore time.Duration
	// LoseRequest means that the store never gets the call; the caller can't know.
	// A watch with it stays open and silent.
	LoseRequest bool
	// LoseReply means that the store applies the call; the caller can't know.
	LoseReply bool
	// DelayAfter is the time from the effect to the reply or to the loss showing.
	DelayAfter time.Duration
}

// Faults judges each call. It may block, on a channel too, to hold a call back at this very place;
// it runs in the caller's goroutine before anything else.
type Faults func(ctx context.Context, call Call) Verdict

// Local gives a Store the methods and the errors of connector.Client, without network and with faults.
type Local struct {
	store  *Store
	faults Faults
	eras   storer.Eras

	mu    sync.Mutex
	calls int
	// leaseEras maps leases to the eras in which they were granted. In a later one the same lease may be another node's.
	leaseEras map[int64]int64
}

// NewLocal returns a Local on the store; nil faults mean none. Several Locals may share a store,
// one for each node of a test.
func NewLocal(store *Store, faults Faults) *Local {
	return &Local{store: store, faults: faults, leaseEras: make(map[int64]int64)}
}

func (l *Local) judge(ctx context.Context, call Call) Verdict {
	l.mu.Lock()
	l.calls++
	call.Number = l.calls
	l.mu.Unlock()
	if l.faults == nil {
		return Verdict{}
	}

	return l.faults(ctx, call)
}

type reply[T any] struct {
	value T
	err   error
	// era is the era of the store in which the call was carried out.
	era int64
}

func perform[T any](ctx context.Context, l *Local, call Call, apply func() (T, error)) (T, error) {
	var none T
	verdict := l.judge(ctx, call)
	if verdict.Refuse != nil {
		return none, storer.NotApplied(verdict.Refuse)
	}
	if err := ctx.Err(); err != nil {
		return none, storer.NotApplied(err)
	}
	if verdict.DelayBefore == 0 && verdict.DelayAfter == 0 {
		return observe(l, carry(l.store, verdict, call, apply), call)
	}
	replies := make(chan reply[T], 1)
	go func() {
		time.Sleep(verdict.DelayBefore)
		done := carry(l.store, verdict, call, apply)
		time.Sleep(verdict.DelayAfter)
		replies <- done
	}()
	select {
	case done := <-replies:
		return observe(l, done, call)
	case <-ctx.Done():
		return none, lost(call, ctx.Err())
	}
}

func carry[T any](store *Store, verdict Verdict, call Call, apply func() (T, error)) reply[T] {
	var done reply[T]
	if verdict.LoseRequest {
		done.err = lost(call, errConnection)
		return done
	}
	store.returning.RLock()
	value, err := apply()
	era := store.Era()
	store.returning.RUnlock()
	if verdict.LoseReply {
		done.err = lost(call, errConnection)
		return done
	}
	var status *StatusError
	if errors.As(err, &status) {
		err = storer.FromStatus(status.Code, status.Message, call.Write)
	}

	return reply[T]{value: value, err: err, era: era}
}

// observe returns a reply, or an error if it is of an earlier era than another one.
func observe[T any](l *Local, done reply[T], call Call) (T, error) {
	if done.era == 0 {
		return done.value, done.err
	}
	if _, err := l.eras.Observe(strconv.FormatInt(done.era, 10)); err != nil {
		return done.value, lost(call, err)
	}

	return done.value, done.err
}

func lost(call Call, cause error) error {
	if call.Write {
		return storer.Unknown(cause)
	}

	return storer.NotApplied(cause)
}

type located struct {
	found    []storer.KeyValue
	revision int64
	era      int64
}

func (l *Local) read(ctx context.Context, call Call, q Query) (located, error) {
	return perform(ctx, l, call, func() (located, error) {
		result, revision, err := l.store.Range(q)
		return located{result.KeyValues, revision, l.store.Era()}, err
	})
}

// Get does what Get of connector.Client does.
func (l *Local) Get(ctx context.Context, key string) (storer.KeyValue, int64, error) {
	got, err := l.read(ctx, Call{Kind: CallGet, Key: key}, Query{Key: key})
	if err != nil || len(got.found) == 0 {
		return storer.KeyValue{Era: got.era}, got.revision, err
	}
	found := got.found[0]
	found.Era = got.era

	return found, got.revision, nil
}

// List does what List of connector.Client does.
func (l *Local) List(ctx context.Context, prefix string) ([]storer.KeyValue, int64, error) {
	from, end := storer.PrefixRange(prefix)
	got, err := l.read(ctx, Call{Kind: CallList, Key: prefix}, Query{Key: from, RangeEnd: end})

	return got.found, got.revision, err
}

// Put does what Put of connector.Client does.
func (l *Local) Put(ctx context.Context, key string, value []byte, lease int64) (int64, error) {
	return perform(ctx, l, Call{Kind: CallPut, Key: key, Write: true}, func() (int64, error) {
		return l.store.Put(key, value, lease)
	})
}

// Delete does what Delete of connector.Client does.
func (l *Local) Delete(ctx context.Context, key string) (int64, error) {
	return perform(ctx, l, Call{Kind: CallDelete, Key: key, Write: true}, func() (int64, error) {
		deleted, _, err := l.store.Delete(key, "")
		return deleted, err
	})
}

// Txn does what Txn of connector.Client does. In a store that names eras, it does what platform.DutyStore does.
func (l *Local) Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error) {
	if t.Era != l.eras.Latest() {
		return storer.TxnResult{}, nil
	}
	era := t.Era
	result, err := perform(ctx, l, Call{Kind: CallTxn, Key: firstKey(t), Write: true, Txn: t}, func() (storer.TxnResult, error) {
		era = l.store.Era()
		return l.store.Txn(t)
	})
	if err == nil && era != t.Era {
		return storer.TxnResult{}, storer.Unknown(storer.ErrEraChanged)
	}

	return result, err
}

func firstKey(t storer.Txn) string {
	if len(t.Compares) > 0 {
		return t.Compares[0].Key
	}
	if len(t.Success) > 0 {
		return t.Success[0].Key
	}

	return ""
}

// Grant does what Grant of connector.Client does.
func (l *Local) Grant(ctx context.Context, length time.Duration) (int64, error) {
	got, err := perform(ctx, l, Call{Kind: CallGrant, Write: true}, func() (grantedLease, error) {
		id, err := l.store.Grant(0, storer.LeaseSeconds(length))
		return grantedLease{id: id, era: l.store.Era()}, err
	})
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.leaseEras[got.id] = got.era
	}

	return got.id, err
}

type grantedLease struct {
	id, era int64
}

// isLost reports whether the store has begun a new era since it granted a lease.
func (l *Local) isLost(lease int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.leaseEras[lease] != l.eras.Latest()
}

// KeepAlive does what KeepAlive of connector.Client does. In a store that names eras, it does what platform.DutyStore does.
func (l *Local) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	length, err := perform(ctx, l, Call{Kind: CallKeepAlive, Write: true}, func() (time.Duration, error) {
		seconds := l.store.KeepAlive(lease)
		if seconds == 0 {
			return 0, refuse(storer.StatusNotFound, "the lease has ended")
		}
		return time.Duration(seconds) * time.Second, nil
	})
	if l.eras.Latest() > 0 && l.isLost(lease) {
		return 0, storer.FromStatus(storer.StatusNotFound, storer.ErrEraChanged.Error(), true)
	}

	return length, err
}

// Revoke does what Revoke of connector.Client does. In a store that names eras, it ends no lease of an earlier one.
func (l *Local) Revoke(ctx context.Context, lease int64) error {
	_, err := perform(ctx, l, Call{Kind: CallRevoke, Write: true}, func() (int64, error) {
		if era := l.store.Era(); era > 0 {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.leaseEras[lease] != era {
				return 0, refuse(storer.StatusNotFound, storer.ErrEraChanged.Error())
			}
		}
		return l.store.Revoke(lease)
	})

	return err
}

// VMs does what VMs of connector.Client does.
func (l *Local) VMs(ctx context.Context) (storer.VMList, error) {
	return perform(ctx, l, Call{Kind: CallVMs}, func() (storer.VMList, error) {
		return l.store.VMs(), nil
	})
}

// Watch does what Watch of connector.Client does.
func (l *Local) Watch(ctx context.Context, prefix string, from int64) (<-chan storer.WatchEvents, error) {
	call := Call{Kind: CallWatch, Key: prefix}
	verdict := l.judge(ctx, call)
	if verdict.Refuse != nil {
		return nil, storer.NotApplied(verdict.Refuse)
	}
	key, end := storer.PrefixRange(prefix)
	w := l.store.Watch(key, end, from)
	if verdict.LoseRequest {
		w.silence()
	}
	messages := make(chan storer.WatchEvents)
	go deliver(ctx, w, messages)

	return messages, nil
}

func deliver(ctx context.Context, w *Watcher, messages chan<- storer.WatchEvents) {
	defer close(messages)
	defer w.Close()
	for {
		message, err := w.Next(ctx)
		if err != nil {
			return
		}
		if message.CompactRevision > 0 {
			message.Err = storer.FromStatus(storer.StatusOutOfRange, "the revision is compacted", false)
		}
		select {
		case messages <- message:
		case <-ctx.Done():
			return
		}
		if message.Err != nil {
			return
		}
	}
}
