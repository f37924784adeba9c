package configurer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

// branchCall is a read of a branch, or an edit of it from the text base.
type branchCall struct {
	branch string
	read   bool
	base   string
	text   string
}

type branchAnswer struct {
	text    string
	applied bool
	// unknown says that the edit may be applied or not, now or later.
	unknown bool
}

// branchModel is a branch as operators may understand it: one text at a time, changed by compare-and-swap.
var branchModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, v := range history {
			branch := v.Input.(branchCall).branch
			parts[branch] = append(parts[branch], v)
		}
		var all [][]porcupine.Operation
		for _, v := range parts {
			all = append(all, v)
		}
		return all
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		text, call, answer := state.(string), input.(branchCall), output.(branchAnswer)
		switch {
		case call.read:
			return answer.text == text, text
		case answer.unknown && call.base == text:
			return true, call.text
		case answer.unknown || !answer.applied:
			return true, text
		}
		return call.base == text, call.text
	},
}

// Symptom: an operator reads a text that was already replaced, or two edits of one text both succeed.
// Sequence: three operators read and edit two branches while calls are lost, late and refused.
// Cause: a read that isn't of one moment, or an edit whose compare and write are apart.
func TestEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			history := recordHistory(t, seed)
			assert.Equal(t, porcupine.CheckOperationsTimeout(branchModel, history, 0), porcupine.Ok, "seed %d", seed)
		})
	}
}

func recordHistory(t *testing.T, seed uint64) []porcupine.Operation {
	store := keeper.NewStore(keeper.StoreOptions{})

	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		history []porcupine.Operation
	)

	begun := time.Now()
	record := func(client int, call branchCall, ask func() (branchAnswer, bool)) branchAnswer {
		from := time.Since(begun)
		answer, ok := ask()
		until := time.Since(begun)
		if answer.unknown {
			until = time.Hour
		}
		mu.Lock()
		defer mu.Unlock()
		if ok {
			history = append(history, porcupine.Operation{ClientId: client, Input: call, Call: int64(from), Output: answer, Return: int64(until)})
		}
		return answer
	}

	for i := range 3 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			e := newEditor(store, randomFaults(random))
			for k := range 5 {
				branch := string("ab"[random.IntN(2)])
				var current configurer.Branch
				seen := record(i, branchCall{branch: branch, read: true}, func() (branchAnswer, bool) {
					tree, err := e.Tree(t.Context())
					current, _ = tree.Find(branch)
					return branchAnswer{text: string(current.Value)}, err == nil
				})
				id := fmt.Sprintf("e%d-%d", i, k)
				call := branchCall{branch: branch, base: seen.text, text: "# " + id + "\n"}
				record(i, call, func() (branchAnswer, bool) {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					_, err := e.Edit(ctx, edit(branch, call.text, current.Revision, id))
					return branchAnswer{applied: err == nil, unknown: codeOf(err) == classifier.EditUnknown}, true
				})
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)

	for _, branch := range []string{"a", "b"} {
		record(9, branchCall{branch: branch, read: true}, func() (branchAnswer, bool) {
			tree, err := newEditor(store, nil).Tree(t.Context())
			current, _ := tree.Find(branch)
			return branchAnswer{text: string(current.Value)}, err == nil
		})
	}

	return history
}
