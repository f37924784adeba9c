package broker

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// maxRequestBytes limits the total size of the messages of one request, without their envelopes. Above it, a fleet of the
// design size with 76 requests per second and node exceeds its traffic budget.
const maxRequestBytes = 1000

func TestMessagesOfARequestAreShort(t *testing.T) {
	id := "0b8f6a52-9c41-4d07-be2a-35f68a1c77d0.0"
	served := balancer.Served
	work := balancer.Request{
		ID: id, Priority: 2, PromptTokens: 9190, OutputTokens: 60, TimeLimit: 6 * time.Second, Target: 800 * time.Millisecond,
		GapLimit:    500 * time.Millisecond,
		PromptParts: []balancer.PromptPart{{ID: "5c1e07a2", Tokens: 2520}, {ID: "91bd3f06", Tokens: 3780}, {ID: "e4402b7d", Tokens: 2890}},
	}
	choice := balancer.Choice{Upstream: "i-7f3a91c2ab", Address: "10.128.0.9:8080", Born: 1796400000000, Loss: 0.1234567890123456, ExpectedWaitMS: 123.4567890123456}
	total := 0

	for name, message := range map[string]any{
		"ask":    chooseParams{Pool: "huvo11a/0", Work: work},
		"answer": chooseResult{Choice: choice},
		"begin":  reportParams{Reports: []report{{Pool: "huvo11a/0", ID: id, Begin: &beginReport{Upstream: choice.Upstream, Work: work}}}},
		"first":  reportParams{Reports: []report{{Pool: "huvo11a/0", ID: id, First: true, Load: &balancer.Load{Running: 12, Waiting: 1}}}},
		"end":    reportParams{Reports: []report{{Pool: "huvo11a/0", ID: id, End: &served, Pauses: &balancer.EventGaps{Events: 20, MeanMS: 64.3, LongestMS: 131.8}}}},
	} {
		data, err := json.Marshal(message)
		assert.NilError(t, err)
		t.Logf("%s: %d bytes", name, len(data))
		total += len(data)
	}

	assert.Assert(t, total < maxRequestBytes, "%d bytes", total)
}
