package claimer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

// world is a store and the nodes of one test, under virtual time.
type world struct {
	t     *testing.T
	store *keeper.Store
	alive map[string]bool
}

func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t, &world{t: t, store: keeper.NewStore(keeper.StoreOptions{}), alive: map[string]bool{}})
		time.Sleep(5 * time.Minute)
	})
}

func (w *world) Alive(node, _ string) bool { return w.alive[node] }

// node starts a node; cancel ends its process.
func (w *world) node(name string, faults keeper.Faults, change func(*claimer.Options)) (*claimer.Claimer, context.CancelFunc) {
	ctx, cancel := context.WithCancel(w.t.Context())
	options := claimer.Options{Node: name, Incarnation: "1", Makers: w}
	if change != nil {
		change(&options)
	}

	return claimer.New(ctx, keeper.NewLocal(w.store, faults), options), cancel
}

func claimOf(key, body string) claimer.Claim {
	return claimer.Claim{
		Organisation: "salon", Service: "banco", Key: key,
		BodyHash: sha256.Sum256([]byte(body)), RequestID: "a.1.7",
	}
}

func begin(t *testing.T, c *claimer.Claimer, key, body string) (claimer.Decision, classifier.Code) {
	t.Helper()
	decision, err := c.Begin(t.Context(), claimOf(key, body))
	if err != nil {
		return decision, classifier.From(err).Code
	}

	return decision, classifier.OK
}

func mustRun(t *testing.T, c *claimer.Claimer, key string) *claimer.Handle {
	t.Helper()
	decision, code := begin(t, c, key, "bath")
	assert.Equal(t, code, classifier.OK)
	assert.Assert(t, decision.Handle != nil, "the claim of %s was not granted", key)

	return decision.Handle
}

var ranOnce = claimer.Result{Ran: classifier.RanYes, Status: 201, ContentType: "text/plain", Body: []byte("booked")}

func TestBegin_AskedAgain(t *testing.T) {
	long := ranOnce
	long.Body = make([]byte, 3000)
	tooLong := ranOnce
	tooLong.Body = make([]byte, 5000)
	dropped := ranOnce
	dropped.Body, dropped.Dropped = nil, true
	broken := claimer.Result{Code: classifier.UpstreamFailed, Ran: classifier.RanUnknown}
	tests := map[string]struct {
		end        func(ctx context.Context, h *claimer.Handle) error
		makerAlive bool
		body       string
		want       classifier.Code
		replay     *claimer.Result
		run        bool
	}{
		"finished":         {end: finishWith(ranOnce), body: "bath", replay: &ranOnce},
		"long answer":      {end: finishWith(long), body: "bath", replay: &long},
		"too long answer":  {end: finishWith(tooLong), body: "bath", replay: &dropped},
		"broke off":        {end: finishWith(broken), makerAlive: true, body: "bath", want: classifier.OutcomeUnknown},
		"other body":       {end: finishWith(ranOnce), body: "cut", want: classifier.KeyConflict},
		"voided":           {end: func(ctx context.Context, h *claimer.Handle) error { return h.Void(ctx) }, body: "bath", run: true},
		"running":          {makerAlive: true, body: "bath", want: classifier.KeyInProgress},
		"maker is gone":    {body: "bath", want: classifier.OutcomeUnknown},
		"other, no result": {body: "cut", want: classifier.KeyConflict},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				first, cancel := w.node("a", nil, nil)
				defer cancel()
				second, cancel := w.node("b", nil, nil)
				defer cancel()
				w.alive["a"] = tt.makerAlive
				_, code := begin(t, second, "other key", "bath")
				assert.Equal(t, code, classifier.OK)
				handle := mustRun(t, first, "key")
				if tt.end != nil {
					assert.NilError(t, tt.end(t.Context(), handle))
					assert.ErrorContains(t, handle.Void(t.Context()), "already ended")
				}
				decision, code := begin(t, second, "key", tt.body)
				assert.Equal(t, code, tt.want)
				assert.Equal(t, decision.Handle != nil, tt.run)
				assert.DeepEqual(t, decision.Replay, tt.replay)
				if tt.replay != nil {
					assert.Equal(t, decision.RequestID, "a.1.7")
				}
			})
		})
	}
}

func finishWith(r claimer.Result) func(context.Context, *claimer.Handle) error {
	return func(ctx context.Context, h *claimer.Handle) error { return h.Finish(ctx, r) }
}

// Symptom: a request is held while the store is down, or told "not run" and run later.
// Sequence: the store refuses, or takes calls and says nothing; the claim is given up; the store returns.
// Cause: a wait for the store without a bound, and a claim that outlives its refusal.
func TestBegin_StoreDown(t *testing.T) {
	tests := map[string]struct {
		verdict keeper.Verdict
		bound   time.Duration
	}{
		"refuses":            {keeper.Verdict{Refuse: errors.New("down")}, time.Millisecond},
		"silent":             {keeper.Verdict{LoseRequest: true, DelayAfter: time.Minute}, 2 * time.Second},
		"writes, no replies": {keeper.Verdict{DelayAfter: time.Minute}, 2 * time.Second},
		"writes much later":  {keeper.Verdict{DelayBefore: 10 * time.Second}, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				var down atomic.Bool
				c, cancel := w.node("a", func(_ context.Context, call keeper.Call) keeper.Verdict {
					if !down.Load() {
						return keeper.Verdict{}
					}
					return tt.verdict
				}, nil)
				defer cancel()
				// All shards are read before; a finished key is answered also in the outage.
				for i := range 100 {
					assert.NilError(t, mustRun(t, c, fmt.Sprint(i)).Finish(t.Context(), ranOnce))
				}
				time.Sleep(time.Second)
				down.Store(true)
				started := time.Now()
				_, err := c.Begin(t.Context(), claimOf("key", "bath"))
				failure := classifier.From(err)
				assert.Equal(t, failure.Code, classifier.ClaimUnavailable)
				assert.Equal(t, failure.Ran, classifier.RanNo)
				assert.Assert(t, failure.RetryAfter > 0)
				assert.Assert(t, time.Since(started) <= tt.bound)
				decision, _ := begin(t, c, "7", "bath")
				assert.Assert(t, decision.Replay != nil)
				time.Sleep(30 * time.Second)
				down.Store(false)
				time.Sleep(30 * time.Second)
				mustRun(t, c, "key")
			})
		})
	}
}

// Symptom: a caller is told "not run" although its claim stands, or is made to wait for nothing.
// Sequence: the claim's write takes effect and its reply is lost. Cause: no reading back.
func TestBegin_LostReplyIsSettled(t *testing.T) {
	tests := map[string]struct{ layout, claim int64 }{"of the claim": {claim: 1}, "of the layout": {layout: 1}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				left := map[bool]int64{true: tt.layout, false: tt.claim}
				c, cancel := w.node("a", func(_ context.Context, call keeper.Call) keeper.Verdict {
					ofLayout := call.Key == layoutKey
					if call.Kind != "txn" || left[ofLayout] == 0 {
						return keeper.Verdict{}
					}
					left[ofLayout]--
					return keeper.Verdict{LoseReply: true}
				}, nil)
				defer cancel()
				mustRun(t, c, "key")
				assert.DeepEqual(t, left, map[bool]int64{true: 0, false: 0})
				assert.Equal(t, c.Stats().UnknownWrites, tt.claim)
				assert.Equal(t, c.Stats().LostWrites, tt.claim)
				assert.Equal(t, c.Stats().JournalClaims, int64(1))
			})
		})
	}
}

// Symptom: a key is free again too early, or never. Sequence: no node lives as long as the window.
// Cause: expiry by a clock that a node's start sets anew. (A node's wall clock is never read.)
func TestBegin_WindowUnderRestarts(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		short := func(o *claimer.Options) { o.Window, o.TickInterval = time.Hour, time.Minute }
		c, cancel := w.node("a", nil, short)
		assert.NilError(t, mustRun(t, c, "key").Finish(t.Context(), ranOnce))
		started := time.Now()
		gone := time.Duration(0)
		for number := 0; gone == 0 && number < 20; number++ {
			time.Sleep(10*time.Minute + 30*time.Second)
			cancel()
			c, cancel = w.node(fmt.Sprintf("node-%d", number), nil, short)
			decision, code := begin(t, c, "key", "bath")
			assert.Equal(t, code, classifier.OK)
			if decision.Handle != nil {
				gone = time.Since(started)
			}
		}
		cancel()
		t.Logf("the key was kept for %s of a window of 1h", gone)
		assert.Assert(t, gone >= time.Hour)
		assert.Assert(t, gone <= 90*time.Minute)
	})
}

// Symptom: the store fills, or a shard's values outgrow its limit. Sequence: many claims, then none.
// Cause: segments that are never closed or never removed.
func TestBegin_SegmentsAreBoundedAndRemoved(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		c, cancel := w.node("a", nil, func(o *claimer.Options) {
			o.Window, o.TickInterval, o.SegmentBytes = time.Hour, time.Minute, 1000
		})
		defer cancel()
		for i := range 300 {
			assert.NilError(t, mustRun(t, c, fmt.Sprint(i)).Finish(t.Context(), ranOnce))
		}
		stored, largest := w.stored()
		assert.Assert(t, stored > 300*80 && largest <= 1000, "%d bytes, the largest value %d", stored, largest)
		time.Sleep(2 * time.Hour)
		stored, _ = w.stored()
		assert.Equal(t, c.Stats().JournalClaims, int64(0))
		assert.Assert(t, stored < 16*4000, "%d bytes are left", stored)
	})
}

func (w *world) stored() (total, largest int) {
	result, _, err := w.store.Range(keeper.Query{Key: "claims/", RangeEnd: storer.PrefixEnd("claims/")})
	assert.NilError(w.t, err)
	for _, kv := range result.KeyValues {
		total += len(kv.Value)
		largest = max(largest, len(kv.Value))
	}

	return total, largest
}

func TestBegin_FullJournalRefusesClaimsOnly(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		c, cancel := w.node("a", nil, func(o *claimer.Options) { o.ShardBytes = 100 })
		defer cancel()
		handle := mustRun(t, c, "key")
		refused := 0
		for i := range 100 {
			if _, code := begin(t, c, fmt.Sprint(i), "bath"); code == classifier.ClaimsFull {
				refused++
			}
		}
		assert.Assert(t, refused > 0 && c.Stats().Full == int64(refused))
		assert.NilError(t, handle.Finish(t.Context(), ranOnce))
	})
}

// Symptom: a key stays claimed though nobody runs it. Sequence: the caller leaves while its claim's
// write is on its way; the write succeeds. Cause: only lost replies count as possible effects.
func TestBegin_CallerLeavesDuringWrite(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		c, cancel := w.node("a", func(_ context.Context, call keeper.Call) keeper.Verdict {
			if call.Kind != "txn" {
				return keeper.Verdict{}
			}
			return keeper.Verdict{DelayBefore: 300 * time.Millisecond, DelayAfter: 300 * time.Millisecond}
		}, nil)
		defer cancel()
		ctx, leave := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer leave()
		_, err := c.Begin(ctx, claimOf("key", "bath"))
		assert.Equal(t, classifier.From(err).Ran, classifier.RanNo)
		time.Sleep(5 * time.Second)
		mustRun(t, c, "key")
	})
}

// Symptom: a key that was claimed runs again. Sequence: a segment of the window is gone from the store,
// by an operator's hand. Cause: a reader that takes what it finds for the whole window.
func TestBegin_MissingSegmentRefuses(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		c, cancel := w.node("a", nil, nil)
		defer cancel()
		mustRun(t, c, "key")
		for shard := range claimer.Shards {
			log := fmt.Sprintf("claims/%02x/log/", shard)
			_, _, err := w.store.Delete(log, storer.PrefixEnd(log))
			assert.NilError(t, err)
		}
		next, cancel := w.node("b", nil, nil)
		defer cancel()
		_, code := begin(t, next, "key", "bath")
		assert.Equal(t, code, classifier.ClaimUnavailable)
	})
}

// Symptom: a planned stop leaves claims without a result. Sequence: results wait for a store that is
// down while the node stops. Cause: an exit before the queue is empty.
func TestDrain(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		var down atomic.Bool
		c, cancel := w.node("a", func(context.Context, keeper.Call) keeper.Verdict {
			if down.Load() {
				return keeper.Verdict{Refuse: errors.New("down")}
			}
			return keeper.Verdict{}
		}, nil)
		defer cancel()
		handle := mustRun(t, c, "key")
		down.Store(true)
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		assert.ErrorContains(t, handle.Finish(ctx, ranOnce), "still being written")
		assert.ErrorContains(t, c.Drain(ctx), "1 claims have no recorded end")
		time.AfterFunc(time.Minute, func() { down.Store(false) })
		assert.NilError(t, c.Drain(t.Context()))
		cancel()
		c.Wait()
		next, cancel := w.node("b", nil, nil)
		defer cancel()
		down.Store(false)
		decision, _ := begin(t, next, "key", "bath")
		assert.Assert(t, decision.Replay != nil)
	})
}
