package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/keeper"
)

const (
	// faultsPerHistory and returnsPerHistory are the numbers of faults, and of returns of the store from a copy, in a history.
	faultsPerHistory  = 8
	returnsPerHistory = 4
	// historyLength is the time in which faults begin.
	historyLength = 40 * time.Second
	// minCopyAge and maxCopyAge bound the age of the copy from which a store returns.
	minCopyAge = 200 * time.Millisecond
	maxCopyAge = 3 * time.Second
	// historiesVariable names the environment variable with the number of histories of a case, firstVariable that with the first seed.
	historiesVariable = "QUINCEPATH_HISTORIES"
	firstVariable     = "QUINCEPATH_HISTORIES_FIRST"
	defaultHistories  = 8
)

// returnCase is a mix of faults beside which the store returns.
type returnCase struct {
	name  string
	kinds []string
	// hidesEra is true if the store doesn't name its era.
	hidesEra bool
	// overtakes is true if others write so much after each return that no later revision is below an earlier one.
	overtakes bool
	// keepsLeases is true if the copies have the leases.
	keepsLeases bool
	// killsAll is true if all processes are killed at each return, and at the same times in histories without returns.
	killsAll bool
}

func returnCases() []returnCase {
	mixed := []string{"freeze", "store_down", "platform_down", "store_cut", "platform_cut", "peers_cut", "kill", "leave", "lose", "step"}

	return []returnCase{
		{name: "no other fault"},
		{name: "nodes cut off from their peers", kinds: []string{"peers_cut"}},
		{name: "kills", kinds: []string{"kill"}},
		{name: "planned stops", kinds: []string{"leave"}},
		{name: "nodes that stand still", kinds: []string{"freeze"}},
		{name: "clocks that jump", kinds: []string{"step"}},
		{name: "store and platform", kinds: []string{"lose", "store_cut", "platform_cut", "store_down", "platform_down"}},
		{name: "late writes and kills", kinds: []string{"lose", "kill", "lose", "freeze"}},
		{name: "mixed", kinds: mixed},
		{name: "mixed, copies with leases", kinds: mixed, keepsLeases: true},
		{name: "all nodes killed", kinds: mixed, killsAll: true},
		{name: "no eras", hidesEra: true},
		{name: "no eras, planned stops", kinds: []string{"leave"}, hidesEra: true},
		{name: "no eras, kills", kinds: []string{"kill"}, hidesEra: true},
		{name: "no eras, late writes and kills", kinds: []string{"lose", "kill", "lose", "freeze"}, hidesEra: true},
		{name: "no eras, mixed", kinds: mixed, hidesEra: true},
		{name: "no eras, mixed, revisions overtaken", kinds: mixed, hidesEra: true, overtakes: true},
		{name: "no eras, mixed, copies with leases", kinds: mixed, hidesEra: true, keepsLeases: true},
	}
}

// historyResult is what a history showed.
type historyResult struct {
	violations []string
	// windows is the number of windows that were due. missed counts those that weren't reported, inaccurate those whose counts were
	// off by more than a twentieth.
	windows, missed, inaccurate int
	// trace holds the log lines about the windows of the violations, and about accounts that were read.
	trace []string
}

func (r *historyResult) add(other historyResult) {
	if len(r.violations) == 0 && len(other.violations) > 0 {
		r.trace = other.trace
	}

	r.violations = append(r.violations, other.violations...)
	r.windows += other.windows
	r.missed += other.missed
	r.inaccurate += other.inaccurate
}

// runHistory plays a seeded history of faults, with or without the returns of the store.
func runHistory(t *testing.T, h returnCase, storeReturns bool, seed uint64) historyResult {
	t.Helper()

	var result historyResult

	machines := []string{"a", "b", "c", "d"}
	random := rand.New(rand.NewPCG(seed, 80))

	runSimulation(t, func(_ *testing.T, ctx context.Context) {
		c := newCluster(machines...)
		if !h.hidesEra {
			c.nameEras()
		}

		for _, name := range machines {
			c.machines[name].start(ctx, name+".0")
		}

		time.Sleep(2 * time.Second)

		within := func() time.Duration { return time.Duration(random.Int64N(int64(historyLength))) }

		for i := range faultsPerHistory * min(len(h.kinds), 1) {
			e := fault{
				kind: h.kinds[random.IntN(len(h.kinds))], machine: machines[random.IntN(len(machines))], holder: random.IntN(2) == 0,
				length: time.Duration(random.Int64N(int64(maxFaultLength))),
			}

			time.AfterFunc(within(), func() { c.inject(ctx, e, fmt.Sprintf("%s.%d", e.machine, i+1)) })
		}

		for i := range returnsPerHistory {
			age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))

			time.AfterFunc(within(), func() {
				loss := c.store.TakeCopy()

				time.AfterFunc(age, func() {
					if storeReturns {
						c.returnFromCopy(t, h, loss)
					}

					if h.killsAll {
						c.restartAll(ctx, fmt.Sprintf("all.%d", i))
					}
				})
			})
		}

		for end := time.Now().Add(historyLength + maxCopyAge); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			c.countRequests(machines[random.IntN(len(machines))], "shop", 1)
			c.countRequests(machines[random.IntN(len(machines))], "desk", 1)
		}

		time.Sleep(maxFaultLength + 2*lease + 2*time.Second + 2*window + reportDeadline)

		result = c.historyResult()
	})

	for i := range result.violations {
		result.violations[i] = fmt.Sprintf("seed %d: %s", seed, result.violations[i])
	}

	return result
}

// returnFromCopy makes the store return from a copy.
func (c *cluster) returnFromCopy(t *testing.T, h returnCase, loss *keeper.Copy) {
	t.Helper()

	before := c.revision(t)
	c.store.Restore(loss, h.keepsLeases)

	for h.overtakes && c.revision(t) < before {
		_, err := c.store.Put("servers/s", nil, 0)
		assert.NilError(t, err)
	}
}

// revision returns the revision of the store.
func (c *cluster) revision(t *testing.T) int64 {
	t.Helper()

	_, revision, err := c.store.Range(keeper.Query{Key: "servers/s"})
	assert.NilError(t, err)

	return revision
}

// restartAll kills all processes and starts them again half a second later.
func (c *cluster) restartAll(ctx context.Context, incarnation string) {
	for name, m := range c.machines {
		m.stop(true)

		time.AfterFunc(500*time.Millisecond, func() {
			if ctx.Err() == nil {
				m.start(ctx, name+"."+incarnation)
			}
		})
	}
}

func (c *cluster) historyResult() historyResult {
	c.mu.Lock()
	defer c.mu.Unlock()

	result := historyResult{violations: c.checker.violations, windows: len(c.expected)}

	if len(result.violations) > 0 {
		result.trace = c.log.find("usage_read", "duties_taken", "usage_window_closed", "usage_reported")
	}

	for number, counts := range c.expected {
		reported, known := c.checker.usage[number]

		if !known {
			result.missed++

			continue
		}

		for organisation, want := range counts {
			if got := reported[organisation]; max(got-want, want-got)*20 > want {
				result.inaccurate++

				break
			}
		}
	}

	return result
}

// historySeeds returns the seeds of the histories of a case.
func historySeeds(t *testing.T) []uint64 {
	t.Helper()

	number := func(variable string, otherwise uint64) uint64 {
		text := os.Getenv(variable)
		if text == "" {
			return otherwise
		}

		value, err := strconv.ParseUint(text, 10, 32)
		assert.NilError(t, err)

		return value
	}

	first := number(firstVariable, 1)
	seeds := make([]uint64, number(historiesVariable, defaultHistories))

	for i := range seeds {
		seeds[i] = first + uint64(i)
	}

	return seeds
}

// Guards against two usage reports of one window that differ, since the store returned from a copy without the account of the first one,
// and against returns that cost more than a window each.
func TestReportsAreNotForgottenWithTheStore(t *testing.T) {
	for _, h := range returnCases() {
		t.Run(h.name, func(t *testing.T) {
			var before, after historyResult

			for _, seed := range historySeeds(t) {
				before.add(runHistory(t, h, false, seed))
				after.add(runHistory(t, h, true, seed))
			}

			t.Logf("without returns: %d of %d windows missed, %d inaccurate; with returns: %d of %d, %d",
				before.missed, before.windows, before.inaccurate, after.missed, after.windows, after.inaccurate)

			if testing.Verbose() {
				t.Log(after.trace)
			}

			assert.DeepEqual(t, before.violations, []string(nil))
			assert.DeepEqual(t, after.violations, []string(nil))

			bad, bound := after.missed+after.inaccurate, before.missed+before.inaccurate+returnsPerHistory*len(historySeeds(t))
			assert.Assert(t, bad <= bound, "%d windows are missed or inaccurate, %d are allowed: one for each return", bad, bound)
		})
	}
}

// Guards against a fencing number that a node sends again which started after a store without eras had lost it.
func TestNumberThatTheStoreLostIsNotSentAgain(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		c := newCluster("a", "b", "c")
		c.machines["c"].abstains = true
		c.machines["c"].start(ctx, "c.0")

		loss := c.store.TakeCopy()

		c.machines["a"].start(ctx, "a.0")
		assert.Equal(t, c.waitForOrder().name, "a")
		c.machines["a"].stop(true)
		c.store.Restore(loss, false)

		c.machines["b"].start(ctx, "b.0")
		assert.Equal(t, c.waitForOrder().name, "b")
		time.Sleep(lease)
		assert.DeepEqual(t, c.checker.violations, []string(nil))
	})
}
