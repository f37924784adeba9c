package claimer

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// load reads the head and all segments of the window, as they were at one revision.
func (s *shard) load() error {
	ctx, cancel := s.claimer.callContext()
	defer cancel()

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

	return s.change(func(j *journal) error { return j.update(found(result), time.Now()) })
}

// change applies a change to the journal. One that fails leaves a journal that
// can't be trusted; it is read anew before anything else.
func (s *shard) change(apply func(*journal) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	err := apply(s.journal)
	if err != nil {
		s.loaded = false
		s.journal = newJournal(s.number)
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

	for line := range bytes.Lines(kv.Value) {
		var found record
		if err := json.Unmarshal(line, &found); err != nil {
			return nil, errors.Wrapf(err, "decode segment %d", r.stored)
		}

		if found.Done == r.id && found.Result != nil {
			return found.Result, nil
		}
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

func lineCount(lines []byte) int {
	return bytes.Count(lines, []byte("\n"))
}
