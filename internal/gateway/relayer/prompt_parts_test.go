package relayer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against logs that don't tell which parts of their prompts the requests that broke off had in common, and against
// callers that fill the log with parts.
func TestLoggedPartsAreTheSharedOnes(t *testing.T) {
	assert.Equal(t, len(sharedPartIDs(nil)), 0)
	assert.Equal(t, len(sharedPartIDs([]balancer.PromptPart{{ID: "own"}})), 0)
	assert.DeepEqual(t, sharedPartIDs([]balancer.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}), []string{"a", "b"})

	many := make([]balancer.PromptPart, 300)
	many[0].ID = strings.Repeat("f", 1000)

	logged := sharedPartIDs(many)
	assert.Equal(t, len(logged), maxLoggedParts)
	assert.Equal(t, len(logged[0]), maxLoggedPartBytes)
}
