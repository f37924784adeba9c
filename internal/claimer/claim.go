package claimer

import (
	"crypto/sha256"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/pkg/classifier"
)

// Shards is the number of shards. It belongs to the stored format: nodes that
// differ in it would look for one key in two shards, and both could run it.
const Shards = 32

// hashBytes is how much of a SHA-256 sum is stored for keys and bodies.
const hashBytes = 16

// Claim asks for the right to run one request.
type Claim struct {
	Organisation string
	Service      string
	// Key is the caller's idempotency key, never empty.
	Key string
	// BodyHash covers all that makes the request what it is: method, path and body.
	BodyHash [sha256.Size]byte
	// RequestID names the request in logs and for callers that resume it.
	RequestID string
}

// identity is what the journal stores of organisation, service and key.
func (c Claim) identity() string {
	sum := sha256.Sum256([]byte(c.Organisation + "\x00" + c.Service + "\x00" + c.Key))

	return string(sum[:hashBytes])
}

func (c Claim) body() string {
	return string(c.BodyHash[:hashBytes])
}

func shardOf(identity string) int {
	return int(xxhash.Sum64String(identity) % Shards)
}

// Result is what is recorded of a run that ended, and replayed to callers that ask again.
type Result struct {
	// Code and Ran are the result as the first caller got it. A result whose
	// Ran is RanUnknown is answered as OutcomeUnknown.
	Code classifier.Code `json:"code" cbor:"1,keyasint"`
	Ran  classifier.Ran  `json:"ran" cbor:"2,keyasint"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty" cbor:"3,keyasint,omitempty"`
	// ContentType belongs to Body.
	ContentType string `json:"content_type,omitempty" cbor:"4,keyasint,omitempty"`
	// Body is the whole answer, at most Options.AnswerBytes long.
	Body []byte `json:"body,omitempty" cbor:"5,keyasint,omitempty"`
	// Dropped says that the request ran but its answer was too long to keep.
	Dropped bool `json:"dropped,omitempty" cbor:"6,keyasint,omitempty"`
}

// limited returns the result without a body that is too long to keep.
func (r Result) limited(answerBytes int) Result {
	if len(r.Body) <= answerBytes {
		return r
	}

	r.Body = nil
	r.Dropped = true

	return r
}

// Decision is the answer to a Claim: either the right to run or an earlier result.
type Decision struct {
	// Handle is set when the request is to run now; exactly one of its methods must be called.
	Handle *Handle
	// Replay is the earlier result when Handle is nil.
	Replay *Result
	// RequestID is that of the earlier run when Replay is set.
	RequestID string
}

// shortRequest leaves the maker's name out of a request id that begins with it.
func shortRequest(request, maker string) string {
	return strings.TrimPrefix(request, maker)
}

// fullRequest undoes shortRequest. A short id has no dot left in it.
func fullRequest(short, maker string) string {
	if short == "" || strings.Contains(short, ".") {
		return short
	}

	return maker + short
}
