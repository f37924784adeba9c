package quarantiner

import (
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// maxParts is the number of parts of one prompt that are considered: the first and the last of them, since callers choose
	// how many there are.
	maxParts = 64
	// maxPartIDBytes is the length to which the ID of a part is cut in logs, messages and the store. Its key covers all of it.
	maxPartIDBytes = 64
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	// Key covers the caller's organisation and the ID of the part. The content of a part is the same for all callers that name its
	// ID, but nothing proves that a caller names what it sends, so what one organisation's requests do says nothing about those
	// of another.
	Key Key
	// ID is the part's ID, at most maxPartIDBytes of it.
	ID string
}

// NewParts returns the parts of a prompt that other requests may share, given the IDs of all its parts in order: the last is the
// request's own. caller is its organisation, empty if it has none.
func NewParts(caller string, ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}

	ids = ids[:len(ids)-1]
	if len(ids) > maxParts {
		ids = slices.Concat(ids[:maxParts/2], ids[len(ids)-maxParts/2:])
	}

	parts := make([]Part, 0, len(ids))

	for _, id := range ids {
		if id == "" {
			continue
		}

		parts = append(parts, Part{Key: partKey(caller, id), ID: id[:min(len(id), maxPartIDBytes)]})
	}

	return parts
}

func partKey(caller, id string) Key {
	sum := sha256.New()
	writeFields(sum, "prompt part", caller, id)

	return Key(sum.Sum(nil)[:keyBytes])
}

// Traits are what a request may share with others that crash upstreams as it does: its whole content, or a part of its prompt.
type Traits struct {
	// Content is the key of the whole request.
	Content Key
	// Parts are in the order of the prompt.
	Parts []Part
}

// Run is one run of a request on an upstream.
type Run struct {
	Traits
	Service string
	// Upstream is the upstream's ID.
	Upstream string
	Address  string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Answering is true if part of the answer had arrived.
	Answering bool
}
