package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/retrier"
)

// If each node started with the full credit and minimum retries, a restart of all nodes would add them up.
func TestRestartsOfAllNodesAddOneNodesCredit(t *testing.T) {
	const (
		nodes  = 9
		budget = 0.1
		// saved is the maximum credit of the class plus the minimum retries of one node.
		saved = 100*budget + 3
	)

	now := time.Unix(0, 0)
	options := retrier.Options{NodeCount: func() int { return nodes }, Now: func() time.Time { return now }}
	request := dispatcher.Request{Class: configurer.Class{Name: "chat", RetryBudget: budget}, Repeatable: true}
	failed := dispatcher.Outcome{Result: dispatcher.ResultFailed}
	extra := 0

	// Each node starts, has 20 requests that all fail, and stops.
	for range nodes {
		node := retrier.New(options)

		for range 20 {
			attempt := dispatcher.Attempt{Number: 1}
			for node.Decide(request, attempt, failed, 0).Retry {
				extra++
				attempt.Number++
				attempt.History = attempt.History.WithAttempt(failed)
			}
		}
	}

	allowed := budget*20*nodes + saved
	assert.Assert(t, float64(extra) <= allowed, "%d extra attempts, %.1f allowed", extra, allowed)
	assert.Assert(t, extra > 0)
}
