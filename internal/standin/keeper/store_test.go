package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
)

func put(key, value string) storer.Op {
	return storer.Op{Kind: storer.OpPut, Key: key, Value: []byte(value)}
}

func TestStore_Txn(t *testing.T) {
	tests := map[string]struct {
		compare storer.Compare
		want    bool
	}{
		"absent by version":        {storer.Compare{Key: "b", Target: storer.TargetVersion}, true},
		"absent by create":         {storer.Compare{Key: "b", Target: storer.TargetCreate}, true},
		"absent has no value":      {storer.Compare{Key: "b", Target: storer.TargetValue, Relation: storer.RelationNotEqual}, false},
		"version of second write":  {storer.Compare{Key: "a", Target: storer.TargetVersion, Number: 2}, true},
		"create revision":          {storer.Compare{Key: "a", Target: storer.TargetCreate, Number: 2}, true},
		"mod revision":             {storer.Compare{Key: "a", Target: storer.TargetMod, Number: 3}, true},
		"mod revision gone by":     {storer.Compare{Key: "a", Target: storer.TargetMod, Number: 2}, false},
		"mod revision greater":     {storer.Compare{Key: "a", Target: storer.TargetMod, Relation: storer.RelationGreater, Number: 2}, true},
		"mod revision not less":    {storer.Compare{Key: "a", Target: storer.TargetMod, Relation: storer.RelationLess, Number: 3}, false},
		"value":                    {storer.Compare{Key: "a", Target: storer.TargetValue, Value: []byte("2")}, true},
		"value gone by":            {storer.Compare{Key: "a", Target: storer.TargetValue, Value: []byte("1")}, false},
		"absent key not by number": {storer.Compare{Key: "b", Target: storer.TargetMod, Number: 3}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := keeper.NewStore(keeper.StoreOptions{})
			for _, value := range []string{"1", "2"} {
				_, err := s.Put("a", []byte(value), 0)
				assert.NilError(t, err)
			}
			result, err := s.Txn(storer.Txn{
				Compares: []storer.Compare{tt.compare},
				Success:  []storer.Op{put("c", "yes"), {Kind: storer.OpDelete, Key: "a"}},
				Failure:  []storer.Op{{Kind: storer.OpRange, Key: "a"}},
			})
			assert.NilError(t, err)
			assert.Equal(t, result.Succeeded, tt.want)
			if tt.want {
				assert.Equal(t, result.Revision, int64(4))
				assert.Equal(t, result.Responses[1].Deleted, int64(1))
				return
			}
			assert.Equal(t, result.Revision, int64(3))
			assert.Equal(t, string(result.Responses[0].KeyValues[0].Value), "2")
		})
	}
}

func TestStore_RefusedTxnChangesNothing(t *testing.T) {
	tests := map[string]storer.Txn{
		"key put twice":    {Success: []storer.Op{put("a", "1"), put("a", "2")}},
		"put and deleted":  {Success: []storer.Op{put("a", "1"), {Kind: storer.OpDelete, Key: "a"}}},
		"value over 1 MB":  {Success: []storer.Op{put("a", "1"), put("b", string(make([]byte, keeper.MaxValueBytes+1)))}},
		"lease not there":  {Success: []storer.Op{put("a", "1"), {Kind: storer.OpPut, Key: "b", Lease: 9}}},
		"unknown target":   {Compares: []storer.Compare{{Key: "a", Target: "LEASE"}}, Success: []storer.Op{put("a", "1")}},
		"unknown relation": {Compares: []storer.Compare{{Key: "a", Relation: "NEAR"}}, Success: []storer.Op{put("a", "1")}},
		"no key":           {Success: []storer.Op{put("a", "1"), put("", "2")}},
	}
	for name, txn := range tests {
		t.Run(name, func(t *testing.T) {
			s := keeper.NewStore(keeper.StoreOptions{})
			_, err := s.Txn(txn)
			assert.ErrorContains(t, err, "status")
			found, revision, err := s.Range(keeper.Query{Key: "\x00", RangeEnd: "\x00"})
			assert.NilError(t, err)
			assert.Equal(t, found.Count, int64(0))
			assert.Equal(t, revision, int64(1))
		})
	}
}

// Symptom: a node keeps its claim although its lease ran out, or loses it although it renewed.
// Sequence: grant 5 s, renew at 4 s, look at 8 s and at 9 s. Cause: expiry counted from the grant.
func TestStore_LeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := keeper.NewStore(keeper.StoreOptions{})
		lease, err := s.Grant(0, 5)
		assert.NilError(t, err)
		_, err = s.Put("held", nil, lease)
		assert.NilError(t, err)
		_, err = s.Put("moved", nil, lease)
		assert.NilError(t, err)
		_, err = s.Put("moved", nil, 0)
		assert.NilError(t, err)

		time.Sleep(4 * time.Second)
		assert.Equal(t, s.KeepAlive(lease), int64(5))
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, keysOf(t, s), []string{"held", "moved"})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, keysOf(t, s), []string{"moved"})
		assert.Equal(t, s.KeepAlive(lease), int64(0))
	})
}

func TestStore_VMsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := keeper.NewStore(keeper.StoreOptions{VMLag: 10 * time.Second})
		s.SetVMs([]storer.VM{{Name: "a"}})
		time.Sleep(9 * time.Second)
		assert.Equal(t, len(s.VMs().VMs), 0)
		s.SetVMs([]storer.VM{{Name: "b"}})
		time.Sleep(9 * time.Second)
		assert.Equal(t, s.VMs().VMs[0].Name, "a")
		time.Sleep(time.Second)
		assert.Equal(t, s.VMs().VMs[0].Name, "b")
	})
}

func keysOf(t *testing.T, s *keeper.Store) []string {
	t.Helper()
	result, _, err := s.Range(keeper.Query{Key: "\x00", RangeEnd: "\x00"})
	assert.NilError(t, err)
	var keys []string
	for _, kv := range result.KeyValues {
		keys = append(keys, kv.Key)
	}

	return keys
}

// A reader at any kept revision sees the keys as they were, and a watch resumed from any kept
// revision, folded over that state, ends at the present one; older revisions are refused.
func TestStore_HistoryAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := keeper.NewStore(keeper.StoreOptions{HistoryEvents: 12})
		snapshots := map[int64]string{1: ""}
		last := int64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			other := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "other")
			txn := storer.Txn{Success: []storer.Op{put(key, "v"), put(other, "w")}}
			if rapid.Bool().Draw(t, "delete") {
				txn = storer.Txn{Success: []storer.Op{{Kind: storer.OpDelete, Key: key, RangeEnd: "e"}}}
			}
			result, err := s.Txn(txn)
			assert.NilError(t, err)
			last = result.Revision
			snapshots[last] = fold(t, s, 0)
		}
		for revision, want := range snapshots {
			q := keeper.Query{Key: "\x00", RangeEnd: "\x00", Revision: revision}
			_, _, err := s.Range(q)
			w := s.Watch("\x00", "\x00", revision+1)
			_, _ = w.Next(context.Background())
			if err != nil {
				assert.ErrorContains(t, err, "compacted")
				continue
			}
			assert.Equal(t, fold(t, s, revision), want)
			assert.Equal(t, resume(t, s, w, revision, last), snapshots[last])
		}
	})
}

func fold(t *rapid.T, s *keeper.Store, revision int64) string {
	result, _, err := s.Range(keeper.Query{Key: "\x00", RangeEnd: "\x00", Revision: revision})
	assert.NilError(t, err)
	text := ""
	for _, kv := range result.KeyValues {
		text += fmt.Sprintf("%s:%d:%d ", kv.Key, kv.ModRevision, kv.Version)
	}

	return text
}

func resume(t *rapid.T, s *keeper.Store, w *keeper.Watcher, revision, last int64) string {
	result, _, err := s.Range(keeper.Query{Key: "\x00", RangeEnd: "\x00", Revision: revision})
	assert.NilError(t, err)
	state := map[string]storer.KeyValue{}
	for _, kv := range result.KeyValues {
		state[kv.Key] = kv
	}
	for revision < last {
		message, err := w.Next(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, message.CompactRevision, int64(0))
		for _, e := range message.Events {
			revision = e.KeyValue.ModRevision
			state[e.KeyValue.Key] = e.KeyValue
			if e.Kind == storer.EventDelete {
				delete(state, e.KeyValue.Key)
			}
		}
	}
	text := ""
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		if kv, ok := state[key]; ok {
			text += fmt.Sprintf("%s:%d:%d ", kv.Key, kv.ModRevision, kv.Version)
		}
	}

	return text
}
