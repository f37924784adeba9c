package keeper

import (
	"bytes"
	"cmp"

	"quincepath.example/quincepath/internal/storer"
)

// Txn applies a transaction in one revision, or refuses it and changes nothing.
func (s *Store) Txn(t storer.Txn) (storer.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := checkCompares(t.Compares); err != nil {
		return storer.TxnResult{}, err
	}
	for _, branch := range [][]storer.Op{t.Success, t.Failure} {
		if err := checkBranch(branch); err != nil {
			return storer.TxnResult{}, err
		}
	}
	result := storer.TxnResult{Succeeded: s.holds(t.Compares)}
	branch := t.Failure
	if result.Succeeded {
		branch = t.Success
	}
	for _, op := range branch {
		if op.Kind == storer.OpPut && op.Lease != 0 && s.leases[op.Lease] == nil {
			return storer.TxnResult{}, refuse(storer.StatusNotFound, "etcdserver: requested lease not found")
		}
	}
	result.Responses = s.apply(branch)
	result.Revision = s.revision

	return result, nil
}

// Put writes one key and returns the store's revision.
func (s *Store) Put(key string, value []byte, lease int64) (int64, error) {
	op := storer.Op{Kind: storer.OpPut, Key: key, Value: value, Lease: lease}
	result, err := s.Txn(storer.Txn{Success: []storer.Op{op}})

	return result.Revision, err
}

// Delete removes a key or a range and returns the number removed and the store's revision.
func (s *Store) Delete(key, rangeEnd string) (int64, int64, error) {
	op := storer.Op{Kind: storer.OpDelete, Key: key, RangeEnd: rangeEnd}
	result, err := s.Txn(storer.Txn{Success: []storer.Op{op}})
	if err != nil {
		return 0, 0, err
	}

	return result.Responses[0].Deleted, result.Revision, nil
}

func checkCompares(compares []storer.Compare) error {
	for _, c := range compares {
		if c.Key == "" {
			return refuse(storer.StatusInvalidArgument, "etcdserver: key is not provided")
		}
		switch c.Target {
		case "", storer.TargetVersion, storer.TargetCreate, storer.TargetMod, storer.TargetValue:
		default:
			return refuse(storer.StatusInvalidArgument, "unknown compare target")
		}
		switch c.Relation {
		case "", storer.RelationEqual, storer.RelationNotEqual, storer.RelationGreater, storer.RelationLess:
		default:
			return refuse(storer.StatusInvalidArgument, "unknown compare result")
		}
	}

	return nil
}

func checkBranch(branch []storer.Op) error {
	put := map[string]bool{}
	for _, op := range branch {
		if op.Key == "" {
			return refuse(storer.StatusInvalidArgument, "etcdserver: key is not provided")
		}
		if op.Kind != storer.OpPut {
			continue
		}
		if put[op.Key] {
			return refuse(storer.StatusInvalidArgument, "etcdserver: duplicate key given in txn request")
		}
		if len(op.Value) > MaxValueBytes {
			return refuse(storer.StatusInvalidArgument, "etcdserver: request is too large")
		}
		put[op.Key] = true
	}
	for _, op := range branch {
		if op.Kind == storer.OpDelete && overlaps(op, put) {
			return refuse(storer.StatusInvalidArgument, "etcdserver: duplicate key given in txn request")
		}
	}

	return nil
}

func overlaps(op storer.Op, put map[string]bool) bool {
	for key := range put {
		if inRange(key, op.Key, op.RangeEnd) {
			return true
		}
	}

	return false
}

func (s *Store) holds(compares []storer.Compare) bool {
	for _, c := range compares {
		if !s.compare(c) {
			return false
		}
	}

	return true
}

func (s *Store) compare(c storer.Compare) bool {
	kv, ok := s.values[c.Key]
	var order int
	switch c.Target {
	case storer.TargetCreate:
		order = cmp.Compare(kv.CreateRevision, c.Number)
	case storer.TargetMod:
		order = cmp.Compare(kv.ModRevision, c.Number)
	case storer.TargetValue:
		if !ok {
			return false
		}
		order = bytes.Compare(kv.Value, c.Value)
	default:
		order = cmp.Compare(kv.Version, c.Number)
	}
	switch c.Relation {
	case storer.RelationNotEqual:
		return order != 0
	case storer.RelationGreater:
		return order > 0
	case storer.RelationLess:
		return order < 0
	}

	return order == 0
}

func (s *Store) apply(branch []storer.Op) []storer.OpResult {
	next := s.revision + 1
	wrote := false
	results := make([]storer.OpResult, 0, len(branch))
	for _, op := range branch {
		result := storer.OpResult{Kind: op.Kind}
		switch op.Kind {
		case storer.OpPut:
			s.write(s.successor(op, next))
			wrote = true
		case storer.OpDelete:
			result.Deleted = s.remove(s.current(op.Key, op.RangeEnd), next)
			wrote = wrote || result.Deleted > 0
		default:
			result = limited(s.current(op.Key, op.RangeEnd), op.Limit)
		}
		results = append(results, result)
	}
	if wrote {
		s.commit(next)
	}

	return results
}

func (s *Store) successor(op storer.Op, revision int64) storer.KeyValue {
	kv := s.values[op.Key]
	if kv.Version == 0 {
		kv.CreateRevision = revision
	}
	kv.Key = op.Key
	kv.Value = op.Value
	kv.ModRevision = revision
	kv.Version++
	kv.Lease = op.Lease

	return kv
}

func (s *Store) remove(found []storer.KeyValue, revision int64) int64 {
	for _, kv := range found {
		s.write(storer.KeyValue{Key: kv.Key, ModRevision: revision})
	}

	return int64(len(found))
}

func (s *Store) commit(revision int64) {
	s.revision = revision
	s.trim()
	s.wakeWatchers()
}
