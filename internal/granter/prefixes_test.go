package granter

import (
	"context"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/dispatcher"
)

// hintsFor names the upstream that has one prefix.
type hintsFor struct {
	upstream string
	prefix   uint64
}

// CachedTokens implements scheduler.CacheHints.
func (h hintsFor) CachedTokens(service, upstream string, prefixes []uint64) int {
	if service == "assistente" && upstream == h.upstream && slices.Contains(prefixes, h.prefix) {
		return 64
	}

	return 0
}

// Symptom: the holder never uses its hints.
// Events: a request comes to an entry that isn't the holder.
// Cause: the ask goes to the holder without the prompt's prefixes.
func TestPrefixesReachTheHolder(t *testing.T) {
	options := fixed()
	options.Pool.CacheHints = hintsFor{upstream: "e03", prefix: 7}

	inVirtualTime(t, 3, 4, 2, options, func(t *testing.T, ctx context.Context, n *network) {
		ask := dispatcher.SlotRequest{Service: "assistente", Class: "chat", Organisation: "a", Repeatable: true, Prefixes: []uint64{7}}
		slot, err := n.other().router.Acquire(ctx, ask)
		assert.NilError(t, err)
		assert.Equal(t, slot.Upstream.Name, "e03")
		n.other().router.Release(slot, ask, dispatcher.Outcome{})
	})
}
