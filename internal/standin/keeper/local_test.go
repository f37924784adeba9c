package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

func TestLocal_Faults(t *testing.T) {
	tests := map[string]struct {
		verdict     keeper.Verdict
		want        error
		appliedThen bool
		appliedLate bool
	}{
		"none":                    {keeper.Verdict{}, nil, true, true},
		"refused":                 {keeper.Verdict{Refuse: errors.New("down")}, storer.ErrNotApplied, false, false},
		"request lost":            {keeper.Verdict{LoseRequest: true}, storer.ErrUnknown, false, false},
		"reply lost":              {keeper.Verdict{LoseReply: true}, storer.ErrUnknown, true, true},
		"slow but in time":        {keeper.Verdict{DelayBefore: time.Second}, nil, true, true},
		"applied after give-up":   {keeper.Verdict{DelayBefore: time.Minute}, storer.ErrUnknown, false, true},
		"applied, reply too late": {keeper.Verdict{DelayAfter: time.Minute}, storer.ErrUnknown, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := keeper.NewStore(keeper.StoreOptions{})
				l := keeper.NewLocal(s, func(context.Context, keeper.Call) keeper.Verdict { return tt.verdict })
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := l.Put(ctx, "a", []byte("1"), 0)
				assert.Equal(t, len(keysOf(t, s)) == 1, tt.appliedThen)
				if tt.want == nil {
					assert.NilError(t, err)
				} else {
					assert.ErrorIs(t, err, tt.want)
					assert.Equal(t, classifier.From(err).Code, classifier.PlatformUnavailable)
				}
				time.Sleep(2 * time.Minute)
				assert.Equal(t, len(keysOf(t, s)) == 1, tt.appliedLate)
			})
		})
	}
}

// Symptom: two nodes both believe they hold a claim. Sequence: both read it free, the first's
// transaction is held back at the fault hook, the second's lands, the first's goes on.
// Cause: a transaction without a compare on the revision read.
func TestLocal_HeldTransactionLoses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := keeper.NewStore(keeper.StoreOptions{})
		release := make(chan struct{})
		first := keeper.NewLocal(s, func(_ context.Context, c keeper.Call) keeper.Verdict {
			if c.Kind == "txn" {
				<-release
			}
			return keeper.Verdict{}
		})
		second := keeper.NewLocal(s, nil)
		claim := func(l *keeper.Local, name string) storer.TxnResult {
			result, err := l.Txn(t.Context(), storer.Txn{
				Compares: []storer.Compare{{Key: "claim", Target: storer.TargetMod}},
				Success:  []storer.Op{put("claim", name)},
				Failure:  []storer.Op{{Kind: storer.OpRange, Key: "claim"}},
			})
			assert.Check(t, err)
			return result
		}
		results := make(chan storer.TxnResult, 1)
		go func() { results <- claim(first, "first") }()
		synctest.Wait()
		assert.Equal(t, claim(second, "second").Succeeded, true)
		close(release)
		lost := <-results
		assert.Equal(t, lost.Succeeded, false)
		assert.Equal(t, string(lost.Responses[0].KeyValues[0].Value), "second")
	})
}

// Symptom: a node misses a change and never notices. Sequence: the watch goes silent, a key
// changes, a new watch resumes from the revision last seen. Cause: a resume from "now".
func TestLocal_SilentWatchAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := keeper.NewStore(keeper.StoreOptions{})
		l := keeper.NewLocal(s, nil)
		ctx, cancel := context.WithCancel(t.Context())
		messages, err := l.Watch(ctx, "a/", 0)
		assert.NilError(t, err)
		created := <-messages
		assert.Assert(t, created.Created)
		s.SilenceWatches(true)
		s.SilenceWatches(false)
		_, err = l.Put(ctx, "a/1", nil, 0)
		assert.NilError(t, err)
		synctest.Wait()
		select {
		case <-messages:
			t.Fatal("a silent watch spoke")
		default:
		}
		again, err := l.Watch(ctx, "a/", created.Revision+1)
		assert.NilError(t, err)
		<-again
		assert.Equal(t, (<-again).Events[0].KeyValue.Key, "a/1")
		cancel()
		_, open := <-again
		assert.Equal(t, open, false)
	})
}
