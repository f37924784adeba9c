package granter

import (
	"context"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/dispatcher"
)

// prefixHint reports one prefix as cached on one upstream.
type prefixHint struct {
	upstream string
	prefix   uint64
}

// CachedTokens implements scheduler.CacheHints.
func (h prefixHint) CachedTokens(service, upstream string, prefixes []uint64) int {
	if service == "assistente" && upstream == h.upstream && slices.Contains(prefixes, h.prefix) {
		return 64
	}

	return 0
}

// Guards against a holder that never uses its cache hints: the slot request of another
// entry must contain the prompt's prefixes.
func TestPrefixesReachTheHolder(t *testing.T) {
	options := fixedSlotOptions()
	options.Pool.CacheHints = prefixHint{upstream: "e03", prefix: 7}

	inVirtualTime(t, 3, 4, 2, options, func(t *testing.T, ctx context.Context, n *network) {
		ask := dispatcher.SlotRequest{Service: "assistente", Class: "chat", Organisation: "a", Repeatable: true, Prefixes: []uint64{7}}
		slot, err := n.nonHolder().router.Acquire(ctx, ask)
		assert.NilError(t, err)
		assert.Equal(t, slot.Upstream.Name, "e03")
		n.nonHolder().router.Release(slot, ask, dispatcher.Outcome{})
	})
}
