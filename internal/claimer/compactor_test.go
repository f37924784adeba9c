package claimer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/pkg/classifier"
)

const layoutKey = "claims/layout"

// compacting makes a node drop answers after a minute, by a write that follows soon.
func compacting(o *claimer.Options) {
	o.AnswerTime, o.SegmentAge, o.TickInterval, o.SegmentBytes = time.Minute, 2*time.Minute, 10*time.Second, 100
}

// Symptom: a key runs again, or a long run's result is lost. Sequence: segments are compacted while
// a claim runs, after it was voided, before its result comes. Cause: a compaction that drops more than answers.
func TestCompaction_KeepsWhatDecides(t *testing.T) {
	broken := claimer.Result{Code: classifier.UpstreamFailed, Ran: classifier.RanUnknown}
	failed := claimer.Result{Code: classifier.StreamBroken, Ran: classifier.RanYes}
	dropped := claimer.Result{Ran: classifier.RanYes, Dropped: true}
	tests := map[string]struct {
		end    func(ctx context.Context, h *claimer.Handle) error
		after  time.Duration
		body   string
		want   classifier.Code
		replay *claimer.Result
		run    bool
	}{
		"answer dropped":     {end: finishWith(ranOnce), body: "bath", replay: &dropped},
		"failure kept":       {end: finishWith(failed), body: "bath", replay: &failed},
		"broke off":          {end: finishWith(broken), body: "bath", want: classifier.OutcomeUnknown},
		"other body":         {end: finishWith(ranOnce), body: "cut", want: classifier.KeyConflict},
		"voided":             {end: func(ctx context.Context, h *claimer.Handle) error { return h.Void(ctx) }, body: "bath", run: true},
		"still running":      {body: "bath", want: classifier.KeyInProgress},
		"ended late":         {end: finishWith(ranOnce), after: 150 * time.Second, body: "bath", replay: &ranOnce},
		"ended late, voided": {end: func(ctx context.Context, h *claimer.Handle) error { return h.Void(ctx) }, after: 150 * time.Second, body: "bath", run: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.alive["a"] = true
				first, cancel := w.node("a", nil, compacting)
				defer cancel()
				other, cancel := w.node("c", nil, compacting)
				defer cancel()
				assert.NilError(t, mustRun(t, first, "before").Finish(t.Context(), ranOnce))
				handle := mustRun(t, first, "key")
				if tt.end != nil {
					time.Sleep(tt.after)
					assert.NilError(t, tt.end(t.Context(), handle))
				}
				if tt.after == 0 {
					time.Sleep(5 * time.Minute)
				}
				// Less than the time for answers, in which the claim's segment is compacted.
				time.Sleep(50 * time.Second)
				reader, cancel := w.node("b", nil, compacting)
				defer cancel()
				for _, c := range []*claimer.Claimer{first, other, reader} {
					decision, code := begin(t, c, "key", tt.body)
					assert.Equal(t, code, tt.want)
					assert.DeepEqual(t, decision.Replay, tt.replay)
					assert.Equal(t, decision.Handle != nil, tt.run)
					if tt.run {
						assert.NilError(t, decision.Handle.Void(t.Context()))
					}
					decision, _ = begin(t, c, "before", "bath")
					assert.DeepEqual(t, decision.Replay, &dropped)
				}
			})
		})
	}
}

// Symptom: keys run again after some time. Sequence: one node compacts a shard again and again; another,
// which read the shard long ago and keeps answers longer, writes and compacts by itself. Cause: a writer that deletes segments
// which it doesn't know to be compacted with others.
func TestCompaction_TwoWriters(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		nodes := make([]*claimer.Claimer, 2)
		for i := range nodes {
			c, cancel := w.node(fmt.Sprint(i), nil, func(o *claimer.Options) {
				compacting(o)
				o.AnswerTime *= time.Duration(1 + 2*i)
			})
			defer cancel()
			nodes[i] = c
		}
		const keys = 400
		for i := range keys {
			c := nodes[i/50%2]
			assert.NilError(t, mustRun(t, c, fmt.Sprint(i)).Finish(t.Context(), ranOnce))
			time.Sleep(2 * time.Second)
		}
		time.Sleep(10 * time.Minute)
		reader, cancel := w.node("reader", nil, nil)
		defer cancel()
		for _, c := range append(nodes, reader) {
			for i := range keys {
				decision, _ := begin(t, c, fmt.Sprint(i), "bath")
				assert.Assert(t, decision.Replay != nil && decision.Replay.Dropped, "key %d: %+v", i, decision)
			}
		}
		stored, _ := w.stored()
		assert.Equal(t, reader.Stats().JournalClaims, int64(keys))
		assert.Assert(t, stored < keys*60, "%d bytes for %d claims", stored, keys)
	})
}

// Symptom: a key that was claimed runs again after an upgrade. Sequence: the store holds claims in a
// layout of another program, from the start or from one moment on. Cause: a reader that takes what it
// can't read for nothing.
func TestLayout_UnknownRefuses(t *testing.T) {
	tests := map[string]struct {
		key, value string
		running    bool
	}{
		"more shards":             {key: layoutKey, value: `{"format":2,"shards":64}`},
		"later format":            {key: layoutKey, value: `{"format":3,"shards":32}`},
		"first format":            {key: "claims/0f/head", value: `{"at":1,"first":1,"last":1}`},
		"changed while it runs":   {key: layoutKey, value: `{"format":3,"shards":32}`, running: true},
		"its head, not this ones": {key: "claims/1f/head", value: "?"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				notices := 0
				c, cancel := w.node("a", nil, func(o *claimer.Options) {
					o.Notify = func(n claimer.Notice) {
						assert.Equal(t, n.Event, claimer.NoticeLayout)
						assert.ErrorContains(t, n.Err, "layout that this program doesn't know")
						notices++
					}
				})
				defer cancel()
				if tt.running {
					mustRun(t, c, "key")
				}
				_, err := w.store.Put(tt.key, []byte(tt.value), 0)
				assert.NilError(t, err)
				_, code := begin(t, c, "other", "bath")
				assert.Equal(t, code, classifier.ClaimUnavailable)
				assert.Assert(t, notices > 0)
				// Once it is gone, or was the operators' mistake, no restart is needed.
				_, _, err = w.store.Delete("claims/", "claims0")
				assert.NilError(t, err)
				time.Sleep(time.Minute)
				mustRun(t, c, "other")
			})
		})
	}
}

// Symptom: a node cut off from the holders runs out of memory. Sequence: it writes all shards itself,
// each with a large journal. Cause: journals of other nodes' shards that stay in memory.
func TestForeign_MemoryIsBounded(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		holder, cancel := w.node("holder", nil, func(o *claimer.Options) {
			o.WriteInterval, o.EndDelay = time.Microsecond, time.Microsecond
		})
		defer cancel()
		long := ranOnce
		long.Body = make([]byte, 4<<10)
		const claims = 8000
		for i := range claims {
			assert.NilError(t, mustRun(t, holder, fmt.Sprint(i)).Finish(t.Context(), long))
		}
		whole := holder.Stats().JournalBytes
		cut := &wire{nodes: map[string]*claimer.Claimer{}, late: true}
		entry, cancel := w.node("a", nil, func(o *claimer.Options) { o.Holders, o.Caller = cut, cut })
		defer cancel()
		for i := range 200 {
			decision, code := begin(t, entry, fmt.Sprint(i), "bath")
			assert.Equal(t, code, classifier.OK)
			assert.Equal(t, len(decision.Replay.Body), len(long.Body))
			held := entry.Stats().JournalBytes
			assert.Assert(t, held <= whole/20, "%d of %d bytes are held", held, whole)
		}
		mustRun(t, entry, "new")
	})
}

// Symptom: bookings are refused without a word before. Sequence: a journal fills. Cause: no sign until it is full.
func TestNotice_NearlyFull(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		var notices []claimer.Notice
		c, cancel := w.node("a", nil, func(o *claimer.Options) {
			o.ShardBytes = 10_000
			o.Notify = func(n claimer.Notice) { notices = append(notices, n) }
		})
		defer cancel()
		full := false
		for i := 0; !full; i++ {
			_, code := begin(t, c, fmt.Sprint(i), "bath")
			full = code == classifier.ClaimsFull
			if full {
				assert.Assert(t, len(notices) > 0 && c.Stats().FullestShare > 0.98)
			}
		}
		shards := map[int]bool{}
		for _, n := range notices {
			assert.Equal(t, n.Event, claimer.NoticeNearlyFull)
			assert.Assert(t, n.Share >= 0.8 && !shards[n.Shard])
			shards[n.Shard] = true
		}
		_, err := json.Marshal(c.Stats())
		assert.NilError(t, err)
	})
}
