package claimer_test

import (
	"context"
	"flag"
	"math"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/storer"
)

const defaultSeeds = 1000

var seedsFlag = flag.Int("seeds", 0, "number of fault schedules; 0 means $QUINCEPATH_SEEDS or 1,000")

func seeds() uint64 {
	if *seedsFlag > 0 {
		return uint64(*seedsFlag)
	}
	if n, err := strconv.Atoi(os.Getenv("QUINCEPATH_SEEDS")); err == nil && n > 0 {
		return uint64(n)
	}

	return defaultSeeds
}

type input struct {
	kind    string
	request string
}

type output struct {
	result string
	value  string
}

// keyState is the model of one key: absent (empty), claimed or done, by a request.
type keyState struct {
	claimed string
	done    string
	// lost says that a claim that was given up may stand, or come to stand, until it is voided.
	lost bool
}

// step returns the states that an operation can lead to; none when its output is impossible.
func step(state, in, out any) []any {
	s, i, o := state.(keyState), in.(input), out.(output)
	absent := s.claimed == "" && s.done == ""
	next := s
	possible := false
	switch {
	case i.kind == "begin" && o.result == "run":
		possible = absent
		next.claimed = i.request
	case i.kind == "begin" && o.result == "replay":
		possible = s.done != "" && s.done == o.value
	case i.kind == "begin" && o.result == "dropped":
		possible = s.done != ""
	case i.kind == "begin" && o.result == "unavailable":
		possible = true
		next.lost = true
	case i.kind == "begin":
		possible = s.claimed != "" || absent && s.lost
	case i.kind == "done":
		possible = s.claimed == i.request
		next = keyState{done: i.request, lost: s.lost}
	case i.kind == "void":
		possible = s.claimed == i.request
		next = keyState{lost: s.lost}
	}
	var states []any
	if possible {
		states = append(states, next)
	}
	if o.result == "open" {
		states = append(states, s)
	}

	return states
}

// history records operations by a counter of its own, so that no two events have the same time.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations map[string][]porcupine.Operation
}

type pending struct {
	history *history
	key     string
	op      porcupine.Operation
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++

	return h.clock
}

func (h *history) call(key string, in input) *pending {
	return &pending{history: h, key: key, op: porcupine.Operation{Input: in, Call: h.tick()}}
}

func (p *pending) end(out output) {
	p.add(out, p.history.tick())
}

// open ends an operation that may take effect later, or never.
func (p *pending) open() {
	p.add(output{result: "open"}, math.MaxInt64)
}

func (p *pending) add(out output, at int64) {
	p.op.Output, p.op.Return = out, at
	h := p.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.operations == nil {
		h.operations = map[string][]porcupine.Operation{}
	}
	h.operations[p.key] = append(h.operations[p.key], p.op)
}

func (h *history) count(tally map[string]int) {
	for _, operations := range h.operations {
		for _, o := range operations {
			tally[o.Input.(input).kind+" "+o.Output.(output).result]++
		}
	}
}

func (h *history) check() error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: step,
	}
	deterministic := model.ToModel()
	for key, operations := range h.operations {
		if result := porcupine.CheckOperationsTimeout(deterministic, operations, 0); result != porcupine.Ok {
			return errors.Newf("the history of %s is %s: %v", key, result, operations)
		}
	}

	return nil
}

// Symptom: a client gets two confirmations for one bath. Sequence: pauses, ends of nodes before and
// after each call, lost requests and replies, writes with a late effect, two writers of a shard,
// outages, all at random. Cause: a claim that two nodes believe to hold.
func TestBegin_FaultSchedules(t *testing.T) {
	tally := map[string]int{}
	for seed := range seeds() {
		if err := play(t, seed, nil, tally); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d schedules: %v", seeds(), tally)
	for _, result := range []string{
		"begin run", "begin replay", "begin dropped", "begin unavailable", "begin outcome_unknown", "begin key_in_progress",
		"done ok", "done open", "void ok", "void open",
	} {
		assert.Assert(t, tally[result] > 0, "no schedule brought about %q", result)
	}
}

// withoutCompare writes without looking at the head's revision.
type withoutCompare struct{ claimer.Store }

func (w withoutCompare) Txn(ctx context.Context, txn storer.Txn) (storer.TxnResult, error) {
	txn.Compares = nil

	return w.Store.Txn(ctx, txn)
}

// withoutReadBack takes a lost reply for a success.
type withoutReadBack struct{ claimer.Store }

func (w withoutReadBack) Txn(ctx context.Context, txn storer.Txn) (storer.TxnResult, error) {
	result, err := w.Store.Txn(ctx, txn)
	if errors.Is(err, storer.ErrUnknown) {
		return storer.TxnResult{Succeeded: true}, nil
	}

	return result, err
}

// Symptom: the schedules above pass whatever the code does. Cause: faults that never meet a claim.
// So each mechanism is switched off, and the schedules must show it.
func TestBegin_FaultSchedulesShowMissingMechanisms(t *testing.T) {
	tests := map[string]func(claimer.Store) claimer.Store{
		"head compare": func(s claimer.Store) claimer.Store { return withoutCompare{s} },
		"read-back":    func(s claimer.Store) claimer.Store { return withoutReadBack{s} },
	}
	for name, wrap := range tests {
		t.Run(name, func(t *testing.T) {
			const tries = 50
			broken := 0
			var first error
			for seed := range uint64(tries) {
				if err := play(t, seed, wrap, map[string]int{}); err != nil {
					broken++
					first = errors.CombineErrors(first, err)
				}
			}
			t.Logf("%d of %d schedules fail without the %s; the first: %v", broken, tries, name, first)
			assert.Assert(t, broken > 0)
		})
	}
}
