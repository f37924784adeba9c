// Package prefixer keeps hints about which engine holds which prompt prefix in
// its cache. The hints come from cache events that engines publish late and
// with gaps, so nothing may depend on them: they choose between servers that
// are as good as each other, and a wrong one costs a prefill and nothing more.
package prefixer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of one block of prompt text.
	BlockBytes = 256
	// BlockTokens is about how many tokens a block has.
	BlockTokens = 64
	// MaxBlocks is the number of leading blocks that are looked at.
	MaxBlocks = 64
	// maxSamples is the number of depths 1, 2, 4 and so on up to MaxBlocks.
	maxSamples = 7
)

// HashBlocks returns the hash of each whole block at the start of a prompt, MaxBlocks
// at most. Each hash covers all blocks before it too, so that equal hashes mean equal prefixes.
func HashBlocks(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	digest := xxhash.New()

	var last [8]byte

	for i := range count {
		digest.Reset()
		// A digest's writes return no error.
		_, _ = digest.Write(last[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])

		sum := digest.Sum64()
		binary.LittleEndian.PutUint64(last[:], sum)
		hashes = append(hashes, sum)
	}

	return hashes
}

// Sample keeps the hashes of the depths 1, 2, 4 and so on. They are few enough to travel with each ask.
func Sample(blocks []uint64) []uint64 {
	var sample []uint64

	for depth := 1; depth <= len(blocks) && len(sample) < maxSamples; depth *= 2 {
		sample = append(sample, blocks[depth-1])
	}

	return sample
}
