package process_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/administrator"
)

// Symptom: an engine is taken away for repair and callers lose their answers, or it still gets work hours later.
// Events: long answers run on an engine; an operator says that it leaves; more requests come; the long answers end.
// Cause: every node has to hear of it, to send nothing new there, and to let what runs go on.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	t.Parallel()

	f := newTreeFleet(t, 3)

	done := make(chan struct{})

	go func() {
		defer close(done)

		f.askEach(t, 6, 900)
	}()

	busy := f.busyEngine(t)
	name := "engine-" + strconv.Itoa(busy+1)
	change := f.change(t, 1, "upstream", "leave", "assistente", name)
	f.inForce(t, change.Revision)

	for i := range f.nodes {
		assert.Equal(t, f.stateOf(t, i, name), "leaving")
	}

	// Grants made before the news may still be on their way to an engine.
	settled := runsOf(t, f.engines[busy])

	f.checkPromises(t, replay(t, f.replayOptions(), mix(500, 30, 2*time.Second)))
	<-done

	last := runsOf(t, f.engines[busy])
	assert.Equal(t, len(last), len(settled), "the leaving engine got new work: %+v", last[len(settled):])

	for _, run := range last {
		assert.Equal(t, run.State, "finished", "%+v", run)
	}
}

// askEach sends long answers one after the other to the nodes in turn and reads them to their ends.
func (f *fleet) askEach(t *testing.T, count int, tokens int64) {
	t.Helper()

	var group sync.WaitGroup

	for i := range count {
		group.Go(func() {
			params := chatParams("review "+strconv.Itoa(i), tokens)
			got, err := wholeText(t.Context(), f.nodeSpecs[i%len(f.nodeSpecs)].entryAddress, params)
			assert.Check(t, err)
			assert.Check(t, got == expected(t, params), "review %d is not whole", i)
		})
	}

	group.Wait()
}

// stateOf is the state of an upstream as a node shows it to operators.
func (f *fleet) stateOf(t *testing.T, node int, upstream string) string {
	t.Helper()

	var rows []administrator.UpstreamStatus

	assert.Assert(t, f.query(t, node, &rows, "upstream", "list"))

	for _, v := range rows {
		if v.Upstream == upstream {
			return v.State
		}
	}

	t.Fatalf("%s shows no upstream %s", f.nodeSpecs[node].name, upstream)

	return ""
}
