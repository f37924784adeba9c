package claimer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/pkg/classifier"
)

// wire connects nodes of a test. Broken loses all replies; late keeps requests back instead of passing them on.
type wire struct {
	nodes  map[string]*claimer.Claimer
	from   string
	broken bool
	late   bool
	kept   []json.RawMessage
}

func (r *wire) Holder(int) string { return "holder" }

func (r *wire) Call(ctx context.Context, peer, _ string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if r.late {
		r.kept = append(r.kept, encoded)
		<-ctx.Done()
		return ctx.Err()
	}
	reply, err := r.nodes[peer].HandleWrite(ctx, r.from, encoded)
	if err != nil {
		return err
	}
	if r.broken {
		return errors.New("the reply is lost")
	}
	encoded, err = json.Marshal(reply)
	if err != nil {
		return err
	}

	return json.Unmarshal(encoded, result)
}

// Symptom: a finished request is answered "outcome unknown". Sequence: its claim and its end are
// written by the shard's holder, with and without a reply. Cause: the end went to another shard.
func TestBegin_HolderWrites(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprintf("broken_%v", broken), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				holder, cancel := w.node("holder", nil, nil)
				defer cancel()
				r := &wire{nodes: map[string]*claimer.Claimer{"holder": holder}, from: "a", broken: broken}
				entry, cancel := w.node("a", nil, func(o *claimer.Options) { o.Holders, o.Caller = r, r })
				defer cancel()
				assert.NilError(t, mustRun(t, entry, "key").Finish(t.Context(), ranOnce))
				assert.NilError(t, mustRun(t, entry, "key-2").Void(t.Context()))
				mustRun(t, entry, "key-2")
				for _, c := range []*claimer.Claimer{entry, holder} {
					decision, code := begin(t, c, "key", "bath")
					assert.Equal(t, code, classifier.OK)
					assert.DeepEqual(t, decision.Replay, &ranOnce)
				}
				assert.Equal(t, entry.Stats().Writes > 0, broken)
				_, err := holder.HandleWrite(t.Context(), "b", json.RawMessage(`{"kind":"void","id":"a.1.1"}`))
				assert.Equal(t, classifier.From(err).Code, classifier.Forbidden)
			})
		})
	}
}

// Symptom: a key is answered "outcome unknown" for a whole window though it never ran. Sequence: the
// call of the holder hangs, the entry node writes by itself, is told that the key is taken or voids its
// claim; the call then reaches the holder. Cause: the holder writes a claim that its maker has given up.
func TestBegin_LateCallOfHolder(t *testing.T) {
	for _, taken := range []bool{false, true} {
		t.Run(fmt.Sprintf("taken_%v", taken), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				holder, cancel := w.node("holder", nil, nil)
				defer cancel()
				r := &wire{nodes: map[string]*claimer.Claimer{"holder": holder}, from: "a", late: true}
				entry, cancel := w.node("a", nil, func(o *claimer.Options) { o.Holders, o.Caller = r, r })
				defer cancel()
				if taken {
					other := mustRun(t, holder, "key")
					w.alive["holder"] = true
					_, code := begin(t, entry, "key", "bath")
					assert.Equal(t, code, classifier.KeyInProgress)
					assert.NilError(t, other.Void(t.Context()))
				} else {
					assert.NilError(t, mustRun(t, entry, "key").Void(t.Context()))
				}
				time.Sleep(time.Second)
				_, err := holder.HandleWrite(t.Context(), "a", r.kept[0])
				assert.NilError(t, err)
				mustRun(t, holder, "key")
			})
		})
	}
}
