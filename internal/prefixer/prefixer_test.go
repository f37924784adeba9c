package prefixer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func stored(sequence int, block uint64) Event {
	return Event{Sequence: sequence, Kind: KindStored, PrefixHash: block}
}

func TestHashBlocks_HashCoversPrecedingBlocks(t *testing.T) {
	prompt := strings.Repeat("a", BlockBytes) + strings.Repeat("b", BlockBytes)
	longer := prompt + strings.Repeat("c", BlockBytes-1)
	other := strings.Repeat("x", BlockBytes) + strings.Repeat("b", BlockBytes)

	assert.DeepEqual(t, HashBlocks(prompt), HashBlocks(longer))
	assert.Assert(t, HashBlocks(prompt)[1] != HashBlocks(other)[1])
	assert.Equal(t, len(HashBlocks(strings.Repeat("a", 1<<20))), MaxBlocks)
	assert.Equal(t, len(HashBlocks("short")), 0)
	assert.DeepEqual(t, Sample([]uint64{1, 2, 3, 4, 5}), []uint64{1, 2, 4})
	assert.Equal(t, len(Sample(HashBlocks(strings.Repeat("a", 1<<20)))), maxSampleDepths)
}

func TestCachedTokens_UsesDeepestHint(t *testing.T) {
	table := NewTable()
	// The event with sequence number 2 is lost.
	table.Apply("s", "e1", 4, []Event{stored(1, 11), stored(3, 13), stored(4, 14)})
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{11, 12, 14}), 4*BlockTokens)
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{11, 12, 15}), BlockTokens)
	assert.Equal(t, table.CachedTokens("s", "e2", []uint64{11}), 0)
	assert.Equal(t, table.CachedTokens("other", "e1", []uint64{11}), 0)
}

// Guards against stale hints that send requests to an engine with an empty cache: after a restart its
// sequence numbers start at 1 again, and its new events were ignored as duplicates.
func TestApply_RestartClearsHints(t *testing.T) {
	table := NewTable()
	table.Apply("s", "e1", 2, []Event{stored(1, 11), stored(2, 12)})
	table.Apply("s", "e1", 1, nil)
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{11, 12}), 0)
	assert.Equal(t, table.AppliedSequence("s", "e1"), 0)
	table.Apply("s", "e1", 1, []Event{stored(1, 13)})
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{13}), BlockTokens)
}

// Guards against a hint that is kept forever because the event of its eviction was lost: gaps in the
// sequence numbers were not counted.
func TestCachedTokens_IgnoresHintsAfterLostEvents(t *testing.T) {
	table := NewTable()
	table.Apply("s", "e1", 1, []Event{stored(1, 11)})
	table.Apply("s", "e1", maxLostEvents+2, []Event{stored(maxLostEvents+2, 12)})
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{11}), BlockTokens)
	table.Apply("s", "e1", maxLostEvents+4, []Event{stored(maxLostEvents+4, 13)})
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{11}), 0)
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{12}), BlockTokens)
}

func TestRetainUpstreams_RemovesOthers(t *testing.T) {
	table := NewTable()
	table.Apply("s", "e1", 1, []Event{stored(1, 11)})
	table.Apply("s", "e2", 1, []Event{stored(1, 11)})
	table.RetainUpstreams("s", func(name string) bool { return name == "e2" })
	assert.Equal(t, table.CachedTokens("s", "e1", []uint64{11}), 0)
	assert.Equal(t, table.CachedTokens("s", "e2", []uint64{11}), BlockTokens)
	table.RetainUpstreams("s", func(string) bool { return false })
	assert.Equal(t, len(table.services), 0)
}

// TestApply_IsIdempotent checks that duplicate and late events leave the table unchanged.
func TestApply_IsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, expected := NewTable(), NewTable()
		last := rapid.IntRange(1, 200).Draw(t, "last")

		var events []Event

		for i := range last {
			if rapid.IntRange(0, 7).Draw(t, "lost") > 0 {
				kind := rapid.SampledFrom([]Kind{KindStored, KindStored, KindEvicted, "unknown"}).Draw(t, "kind")
				events = append(events, Event{Sequence: i + 1, Kind: kind, PrefixHash: rapid.Uint64Range(1, 20).Draw(t, "block")})
			}
		}

		expected.Apply("s", "e1", last, events)

		for at := 0; at < len(events); {
			next := rapid.IntRange(at+1, len(events)).Draw(t, "next")
			from := rapid.IntRange(0, at).Draw(t, "from")
			page := rapid.Permutation(events[from:next]).Draw(t, "page")
			table.Apply("s", "e1", last, page)

			at = next

			old := rapid.IntRange(0, at-1).Draw(t, "old")
			table.Apply("s", "e1", last, events[old:rapid.IntRange(old, at).Draw(t, "old_end")])
		}

		for block := uint64(1); block <= 20; block++ {
			assert.Equal(t, table.CachedTokens("s", "e1", []uint64{block}), expected.CachedTokens("s", "e1", []uint64{block}))
		}
	})
}

func TestApply_BoundsHintsPerUpstream(t *testing.T) {
	table := NewTable()

	for i := 1; i <= 3*maxHintsPerUpstream; i++ {
		table.Apply("s", "e1", i, []Event{stored(i, uint64(i))})
	}

	assert.Equal(t, table.services["s"]["e1"].lostEventsWhenStored.Len(), maxHintsPerUpstream)
}

func BenchmarkCachedTokens(b *testing.B) {
	table := NewTable()
	table.Apply("s", "e1", 1, []Event{stored(1, 11)})

	prefixes := []uint64{11, 12, 13, 14, 15, 16, 17}

	b.ReportAllocs()

	for b.Loop() {
		table.CachedTokens("s", "e1", prefixes)
	}
}
