package claimer

import "strings"

// heldBytes is the longest answer that is held in memory; longer ones are read from the store when they are asked for.
const heldBytes = 256

// entry is a claim that stands.
type entry struct {
	// id and request are empty once the claim is packed; body is then a part of the hash.
	id      string
	key     string
	body    string
	request string
	// claimed and ended number the segments that held the claim and its result when they were written.
	claimed int64
	ended   int64
	// result is nil until the run's result is recorded. Its body is left out
	// when it is long; it then stands in the segment numbered stored.
	result *Result
	stored int64
}

// end takes in the result that a segment holds.
func (e *entry) end(result *Result, number int64) {
	e.result = result

	e.ended = number
	if len(result.Body) <= heldBytes {
		return
	}

	held := *result
	held.Body = nil
	e.result = &held
	e.stored = number
}

// maker returns the node and the incarnation that made the claim.
func (e *entry) maker() (node, incarnation string) {
	parts := strings.Split(e.id, ".")
	if len(parts) < 3 {
		return e.id, ""
	}

	last := len(parts) - 1

	return strings.Join(parts[:last-1], "."), parts[last-1]
}

// record returns the record of the claim as it was first written.
func (e *entry) record() record {
	return record{Claim: e.id, Key: []byte(e.key), Body: []byte(e.body), Request: e.request}
}
