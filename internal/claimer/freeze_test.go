package claimer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

// freezer stops a holder as SIGSTOP does: its calls of the store stand still, and what
// peers send it is neither answered nor read before it wakes.
type freezer struct {
	holder *claimer.Claimer
	from   string
	gate   *gate
	late   *sync.WaitGroup
}

// gate holds up whoever passes while it is shut: once, for a time.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
	open bool
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.shut != nil && !g.open
}

// close shuts the gate and says whether this was the first time.
func (g *gate) close(length time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		return false
	}
	g.shut = make(chan struct{})
	time.AfterFunc(length, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.open = true
		close(g.shut)
	})

	return true
}

func (f freezer) Holder(int) string { return "holder" }

func (f freezer) Call(ctx context.Context, _, _ string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	replies := make(chan []byte, 1)
	f.late.Go(func() {
		f.gate.pass()
		reply, err := f.holder.HandleWrite(context.WithoutCancel(ctx), f.from, encoded)
		// The reply is kept too, if the holder was stopped while it worked.
		f.gate.pass()
		if err == nil {
			encoded, _ := json.Marshal(reply)
			replies <- encoded
		}
	})
	select {
	case reply := <-replies:
		return json.Unmarshal(reply, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Symptom: a caller waits for minutes, or a booking runs that was answered "not run". Sequence: a shard's
// holder is stopped in the middle of a group write, before or after its effect, with forwards in flight;
// peers write by themselves, some of them can't reach the store either; the holder wakes minutes later
// and goes on with its write and with all that it was sent. Cause: waits without a bound, late writes
// that nothing voids.
func TestFreeze_HolderInMidWrite(t *testing.T) {
	tests := map[string]struct{ effect, storeDown bool }{
		"before the effect":              {},
		"after the effect":               {effect: true},
		"before the effect, no fallback": {storeDown: true},
		"after the effect, no fallback":  {effect: true, storeDown: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) { playFreeze(t, w, tt.effect, tt.storeDown) })
		})
	}
}

func playFreeze(t *testing.T, w *world, effect, storeDown bool) {
	const entries, keys, freeze = 3, 60, 5 * time.Minute
	var late, callers sync.WaitGroup
	var hold gate
	var mu sync.Mutex
	longest := time.Duration(0)
	holder, cancel := w.node("holder", func(_ context.Context, call keeper.Call) keeper.Verdict {
		// The layout, the first claims and then the write in which the holder stops.
		if call.Kind == keeper.CallTxn && call.Number > 20 && hold.close(freeze) && effect {
			return keeper.Verdict{DelayBefore: storeDelay, DelayAfter: freeze}
		}
		hold.pass()
		return keeper.Verdict{DelayBefore: storeDelay / 2, DelayAfter: storeDelay / 2}
	}, nil)
	defer cancel()
	nodes := make([]*claimer.Claimer, entries)
	for i := range nodes {
		f := freezer{holder: holder, from: fmt.Sprint(i), gate: &hold, late: &late}
		c, cancel := w.node(f.from, func(context.Context, keeper.Call) keeper.Verdict {
			if storeDown && hold.isShut() {
				return keeper.Verdict{LoseRequest: true, DelayAfter: time.Minute}
			}
			return keeper.Verdict{DelayBefore: storeDelay / 2, DelayAfter: storeDelay / 2}
		}, func(o *claimer.Options) { o.Holders, o.Caller = f, f })
		defer cancel()
		nodes[i] = c
	}
	ran, notRun := map[string]int{}, map[string]bool{}
	for i := range keys {
		key := fmt.Sprint(i)
		time.Sleep(40 * time.Millisecond)
		callers.Go(func() {
			started := time.Now()
			decision, err := nodes[i%entries].Begin(t.Context(), claimOf(key, "bath"))
			took := time.Since(started)
			mu.Lock()
			longest = max(longest, took)
			if err != nil {
				notRun[key] = classifier.From(err).Ran == classifier.RanNo
			} else {
				ran[key]++
			}
			mu.Unlock()
			if err == nil {
				_ = decision.Handle.Finish(t.Context(), ranOnce)
			}
		})
	}
	callers.Wait()
	time.Sleep(freeze)
	late.Wait()
	time.Sleep(time.Minute)
	reader, cancel := w.node("reader", nil, nil)
	defer cancel()
	for i := range keys {
		key := fmt.Sprint(i)
		decision, err := reader.Begin(t.Context(), claimOf(key, "bath"))
		assert.NilError(t, err, "key %s, ran %d, told not run %v", key, ran[key], notRun[key])
		assert.Equal(t, decision.Replay != nil, ran[key] == 1)
		assert.Equal(t, decision.Handle != nil, notRun[key])
	}
	t.Logf("ran=%d told not run=%d longest wait=%s", len(ran), len(notRun), longest)
	assert.Assert(t, !hold.close(0) && len(ran)+len(notRun) == keys)
	assert.Assert(t, longest <= 2*time.Second)
	assert.Equal(t, storeDown, len(notRun) > 0)
}
