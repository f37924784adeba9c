package claimer

import (
	"bytes"
	"slices"
	"sort"

	"quincepath.example/quincepath/pkg/classifier"
)

// A packed claim is that of a run that ended, without its answer: part of the
// key's hash, part of the body's, the code and what is known of the run. Two
// keys of the window that agree in packedKeyBytes would make the second look
// claimed: with 30 million claims one new claim in 2^71 meets that.
// Two bodies that agree in packedBodyBytes only change a refusal's code.
const (
	packedKeyBytes  = 12
	packedBodyBytes = 4
	packedBytes     = packedKeyBytes + packedBodyBytes + 2
)

type packedClaim [packedBytes]byte

// packedRuns gives classifier.Ran a number in the stored format: its place here.
var packedRuns = []classifier.Ran{classifier.RanNo, classifier.RanYes, classifier.RanUnknown}

func pack(e *entry) packedClaim {
	var p packedClaim

	copy(p[:packedKeyBytes], e.key)
	copy(p[packedKeyBytes:], e.body[:min(len(e.body), packedBodyBytes)])
	p[packedBytes-2] = byte(e.result.Code)
	// A result with another word for its run counts as unknown, which answers nothing that might be false.
	p[packedBytes-1] = byte(len(packedRuns) - 1)
	if i := slices.Index(packedRuns, e.result.Ran); i >= 0 {
		p[packedBytes-1] = byte(i)
	}

	return p
}

// unpack returns what is left of a packed claim; its answer is dropped.
func unpack(packed []byte, key string) *entry {
	result := Result{Code: classifier.Code(packed[packedBytes-2]), Ran: classifier.RanUnknown}
	if i := int(packed[packedBytes-1]); i < len(packedRuns) {
		result.Ran = packedRuns[i]
	}

	return &entry{key: key, body: string(packed[packedKeyBytes : packedBytes-2]), result: withoutAnswer(result)}
}

// withoutAnswer returns a result whose answer is no longer kept.
func withoutAnswer(r Result) *Result {
	return &Result{Code: r.Code, Ran: r.Ran, Dropped: r.Code == classifier.OK}
}

func sortPacked(claims []packedClaim) []byte {
	slices.SortFunc(claims, func(a, b packedClaim) int { return bytes.Compare(a[:], b[:]) })

	sorted := make([]byte, 0, len(claims)*packedBytes)
	for i := range claims {
		sorted = append(sorted, claims[i][:]...)
	}

	return sorted
}

// findPacked looks for a key in sorted packed claims and returns nil if it isn't there.
func findPacked(sorted []byte, key string) []byte {
	wanted := []byte(key[:min(len(key), packedKeyBytes)])

	i, found := sort.Find(len(sorted)/packedBytes, func(i int) int {
		return bytes.Compare(wanted, sorted[i*packedBytes:i*packedBytes+packedKeyBytes])
	})
	if !found {
		return nil
	}

	return sorted[i*packedBytes : (i+1)*packedBytes]
}

func unpackAll(sorted []byte) []packedClaim {
	claims := make([]packedClaim, 0, len(sorted)/packedBytes)
	for chunk := range slices.Chunk(sorted, packedBytes) {
		claims = append(claims, packedClaim(chunk))
	}

	return claims
}
