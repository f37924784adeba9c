package storer

import (
	"cmp"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors about the era of an answer.
var (
	// ErrEarlierEra means that an answer is from before the store returned from an older copy: what it says may be lost.
	ErrEarlierEra = errors.New("the answer is from an earlier era of the store")
	// ErrEraUnknown means that an answer doesn't name its era though earlier ones did.
	ErrEraUnknown = errors.New("the answer doesn't name the era of the store")
	// ErrEraChanged means that the store returned from an older copy during an operation.
	ErrEraChanged = errors.New("the store began a new era meanwhile")
)

// Position is a point in the history of a store. The zero Position is before any other and means that none is known.
//
// A store that returns from an older copy of itself begins a new era. It has lost the latest changes, and gives their revisions out
// again, so revisions of different eras can't be compared.
type Position struct {
	// Era increases with each return from a copy; 0 if the store names none.
	Era int64 `json:"era,omitempty"`
	// Resets counts the returns in an era that were noticed by the revision alone, since the store doesn't name them.
	Resets int64 `json:"resets,omitempty"`
	// Revision increases with each change between two returns.
	Revision int64 `json:"revision"`
}

// Compare returns a negative number if p is before other, 0 if they are the same, and a positive number if p is after it.
func (p Position) Compare(other Position) int {
	return cmp.Or(p.compareHistory(other), cmp.Compare(p.Revision, other.Revision))
}

func (p Position) compareHistory(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Resets, other.Resets))
}

// HasHistoryOf reports whether the store hasn't returned from a copy between the two positions.
func (p Position) HasHistoryOf(other Position) bool {
	return p.compareHistory(other) == 0
}

// IsOfEarlierHistory reports whether the store has returned from a copy between p and other.
func (p Position) IsOfEarlierHistory(other Position) bool {
	return p.compareHistory(other) < 0
}

// IsBefore reports whether p is before other.
func (p Position) IsBefore(other Position) bool {
	return p.Compare(other) < 0
}

// IsKnown reports whether p is a position of a store.
func (p Position) IsKnown() bool {
	return p != Position{}
}

// Eras follows the eras that the answers of a store name. It is safe for concurrent use.
type Eras struct {
	latest atomic.Int64
}

// Latest returns the latest era that an answer named; 0 if none did.
func (e *Eras) Latest() int64 {
	return e.latest.Load()
}

// Observe returns the era of an answer from the text that names it, which is empty if nothing does. It returns ErrEarlierEra if
// another answer named a later era, and ErrEraUnknown if other answers named their eras and this one doesn't.
func (e *Eras) Observe(text string) (int64, error) {
	era, err := strconv.ParseInt(text, 10, 64)
	if text == "" {
		era, err = 0, nil
	}

	for {
		latest := e.latest.Load()

		switch {
		case err != nil || era < 0 || era == 0 && latest > 0:
			return 0, errors.Wrapf(ErrEraUnknown, "era %q", text)
		case era < latest:
			return 0, errors.Wrapf(ErrEarlierEra, "era %d after %d", era, latest)
		case e.latest.CompareAndSwap(latest, era):
			return era, nil
		}
	}
}
