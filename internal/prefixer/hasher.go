// Package prefixer keeps hints about which engine has which prompt prefixes in
// its cache. Engines publish the underlying cache events late and with gaps, so
// the hints may only decide between equivalent servers. A wrong hint costs one
// prefill and nothing more.
package prefixer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of one block of prompt text.
	BlockBytes = 256
	// BlockTokens is the approximate number of tokens in a block.
	BlockTokens = 64
	// MaxBlocks bounds the leading blocks of a prompt that are hashed.
	MaxBlocks = 64
	// maxSampleDepths is the number of powers of two from 1 to MaxBlocks.
	maxSampleDepths = 7
)

// HashBlocks returns the hashes of the complete leading blocks of a prompt, at most
// MaxBlocks. Each hash also covers all preceding blocks, so equal hashes mean equal prefixes.
func HashBlocks(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	digest := xxhash.New()

	var last [8]byte

	for i := range count {
		digest.Reset()
		// Writes to a digest never fail.
		_, _ = digest.Write(last[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])

		sum := digest.Sum64()
		binary.LittleEndian.PutUint64(last[:], sum)
		hashes = append(hashes, sum)
	}

	return hashes
}

// Sample returns the hashes at depths 1, 2, 4 and so on, few enough to be sent with each slot request.
func Sample(blocks []uint64) []uint64 {
	var sample []uint64

	for depth := 1; depth <= len(blocks) && len(sample) < maxSampleDepths; depth *= 2 {
		sample = append(sample, blocks[depth-1])
	}

	return sample
}
