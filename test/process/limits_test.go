package process_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// concurrency is the organisation's limit, and serviceWork the least time of a run, in the test below.
	concurrency = 6
	serviceWork = 150 * time.Millisecond
	// lentOver is by how much the sum over all nodes may exceed the limit: nothing, while all nodes are known.
	lentOver = 0
)

// timedRun is when the service ended a run.
type timedRun struct {
	At time.Time `json:"at"`
}

// Symptom: one organisation crowds out all others although its concurrency is limited.
// Events: an organisation sends through three nodes at once far more than it may, as a whole or in one class.
// Cause: a node knows only its own requests; three nodes that each grant the whole limit grant three times as much.
func TestConcurrencyLimitHoldsAcrossNodes(t *testing.T) {
	t.Parallel()

	shapes := map[string]shape{
		"organisation": {organisation: "concurrency: 6"},
		"class":        {lookupClass: ", organisation_concurrency: 6"},
	}

	for name, v := range shapes {
		t.Run(name, func(t *testing.T) { holdConcurrency(t, v) })
	}
}

// holdConcurrency sends to three nodes for some seconds and counts what ran at once.
func holdConcurrency(t *testing.T, v shape) {
	t.Helper()

	v.serviceFlags = []string{"--slots", "64", "--work", serviceWork.String()}
	f := newFleetOf(t, 3, v)

	// A node that just began lends and borrows nothing until what may be lent elsewhere has ended.
	waitFor(t, "loans", func() bool { return f.lookUpAt(t, 0) == "ok" && f.lookUpAt(t, 1) == "ok" && f.lookUpAt(t, 2) == "ok" })
	call(t, http.MethodDelete, "http://"+f.service.address+"/standin/runs", nil, nil)

	var (
		group  sync.WaitGroup
		counts results
	)

	deadline := time.Now().Add(5 * time.Second)

	for i := range 24 {
		group.Go(func() {
			for time.Now().Before(deadline) {
				counts.add(f.lookUpAt(t, i%3))
			}
		})
	}

	group.Wait()

	var runs []timedRun

	call(t, http.MethodGet, "http://"+f.service.address+"/standin/runs", nil, &runs)

	most := mostAtOnce(runs)
	t.Logf("%d runs, at most %d at once; answers %v", len(runs), most, counts.byName)
	assert.Assert(t, most <= concurrency+lentOver, "%d runs at once", most)
	assert.Assert(t, most >= concurrency-1, "the organisation got less than its limit: %d at once", most)
	assert.Assert(t, counts.byName["concurrency_limited"] > 0, "nothing was refused: %v", counts.byName)
	assert.Equal(t, len(runs), counts.byName["ok"], "runs and whole answers differ: %v", counts.byName)
}

// lookUpAt asks a node for a price and returns the name of the result.
func (f *fleet) lookUpAt(t *testing.T, node int) string {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.nodes[node].address+"/services/banco/price", strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}

	request.Header.Set("Authorization", "Bearer "+callerKey)

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		// A refused caller waits a moment, so that the test measures the limit and not the refusals.
		time.Sleep(10 * time.Millisecond)
	}

	return response.Header.Get("Quincepath-Result")
}

// mostAtOnce counts the runs that surely overlap: each took at least serviceWork until its end.
func mostAtOnce(runs []timedRun) int {
	type edge struct {
		at   time.Time
		step int
	}

	var edges []edge
	for _, v := range runs {
		edges = append(edges, edge{v.At.Add(-serviceWork), 1}, edge{v.At, -1})
	}

	// Where one run ends as another begins, the end comes first.
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}

		return a.step - b.step
	})

	now, most := 0, 0
	for _, v := range edges {
		now += v.step
		most = max(most, now)
	}

	return most
}
