package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// load reads the head and all segments of the window, as they were at one revision.
func (s *shard) load() error {
	ctx, cancel := s.claimer.callContext()
	defer cancel()

	if err := s.claimer.agree(ctx); err != nil {
		s.claimer.disagree(err)

		return err
	}

	fresh := newJournal(s.number)
	s.claimer.stats.reads.Add(1)

	kvs, _, err := s.claimer.store.List(ctx, fresh.prefix)
	if err != nil {
		return err
	}

	fresh.seen = time.Now()
	if err := fresh.update(kvs, fresh.seen); err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.journal = fresh
	s.loaded = true

	return nil
}

// refresh brings the journal up to date: one read when the head has not moved, and a
// transaction that writes nothing when it has.
func (s *shard) refresh() error {
	ctx, cancel := s.claimer.callContext()
	defer cancel()

	s.claimer.stats.reads.Add(1)

	kv, _, err := s.claimer.store.Get(ctx, s.journal.headKey())
	if err != nil {
		return err
	}

	if kv.ModRevision == s.journal.revision {
		return nil
	}

	d, err := newDraft(s.journal, nil, time.Now(), s.claimer.options)
	if err != nil {
		return err
	}

	s.claimer.stats.reads.Add(1)

	result, err := s.claimer.store.Txn(ctx, storer.Txn{Compares: d.txn.Compares, Failure: d.txn.Failure})
	if err != nil {
		return storer.NotApplied(err)
	}

	return s.takeIn(result)
}

// change applies a change to the journal. One that fails leaves a journal that
// can't be trusted; it is read anew before anything else.
func (s *shard) change(apply func(*journal) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	err := apply(s.journal)
	if err != nil {
		s.forget()
	}

	return err
}

// fetch returns an earlier result with its body, which may have to be read from the store.
func (s *shard) fetch(ctx context.Context, r *replay) (*Result, error) {
	if r.stored == 0 {
		return r.result, nil
	}

	key := newJournal(s.number).segmentKey(r.stored)
	s.claimer.stats.reads.Add(1)

	kv, _, err := s.claimer.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}

	var result *Result

	err = decodeRecords(kv.Value, func(stored record) bool {
		if stored.Done == r.id {
			result = stored.Result
		}

		return result == nil
	})
	if err != nil {
		return nil, errors.Wrapf(err, "segment %d", r.stored)
	}

	if result != nil {
		return result, nil
	}

	dropped := *r.result
	dropped.Dropped = true

	return &dropped, nil
}

// found returns what the ranges of a transaction's taken branch found.
func found(result storer.TxnResult) []storer.KeyValue {
	var all []storer.KeyValue
	for _, r := range result.Responses {
		all = append(all, r.KeyValues...)
	}

	return all
}
