package bencher

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const seed = 1

// tableChoices are the policies of the golden tables.
var tableChoices = []string{baselineName}

func choice(t *testing.T, name string) Choice {
	t.Helper()

	for _, c := range Choices() {
		if c.Name == name {
			return c
		}
	}

	t.Fatalf("no policy %q", name)

	return Choice{}
}

func table(t *testing.T, results []Result) string {
	t.Helper()

	var b bytes.Buffer
	assert.NilError(t, WriteTable(&b, results))

	return b.String()
}

// forEachScenario runs check for every scenario of both shops in parallel.
func forEachScenario(t *testing.T, check func(t *testing.T, shop Shop, scenario Scenario)) {
	t.Helper()

	for _, shop := range Shops() {
		for _, scenario := range Scenarios(shop) {
			t.Run(shop.Name+"/"+scenario.Name, func(t *testing.T) {
				t.Parallel()
				check(t, shop, scenario)
			})
		}
	}
}

func TestTables(t *testing.T) {
	forEachScenario(t, func(t *testing.T, shop Shop, scenario Scenario) {
		var results []Result
		for _, name := range tableChoices {
			results = append(results, Run(shop, scenario, seed, choice(t, name).Build))
		}

		golden.Assert(t, table(t, results), shop.Name+"_"+scenario.Name+".golden")
	})
}

// Symptom: callers of the first tier miss their targets, and drafts and notes break off.
// Events: a fault or a burst while every node chooses servers by itself from old reports.
// Cause: the baseline does not see the other nodes' requests or a server's failing, and gives nothing up.
func TestBaselineMissesOutcomes(t *testing.T) {
	var missed bytes.Buffer

	for _, shop := range Shops() {
		for _, scenario := range Scenarios(shop) {
			result := Run(shop, scenario, seed, NewBaseline)
			for _, o := range result.Missed(shop) {
				fmt.Fprintf(&missed, "%s %s: %s: %s\n", shop.Name, scenario.Name, o.Name, o.Got)
			}
		}
	}

	golden.Assert(t, missed.String(), "baseline_missed.golden")
}

func TestSameSeedSameTable(t *testing.T) {
	shop := Barbagallo()
	scenario := Scenarios(shop)[8]

	for _, c := range Choices()[:1] {
		first := table(t, []Result{Run(shop, scenario, seed, c.Build)})
		assert.Equal(t, first, table(t, []Result{Run(shop, scenario, seed, c.Build)}), c.Name)
	}
}

func TestEveryCallerEndsOnce(t *testing.T) {
	forEachScenario(t, func(t *testing.T, shop Shop, scenario Scenario) {
		result := Run(shop, scenario, seed, NewBaseline)
		for _, c := range result.Classes {
			open := c.Requests - c.Finished - c.Failed - c.GivenUp
			assert.Assert(t, open >= 0 && open <= result.Unanswered, "%s: %d callers neither finished nor failed", c.Class, open)
		}
	})
}
