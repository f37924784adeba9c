package leader

import "github.com/cockroachdb/errors"

var errTermOver = errors.New("the term ended before the call left")

// Authority is under what a call is made.
type Authority struct {
	// Holder is the node's name.
	Holder string
	// Number is the fencing number.
	Number int64
	// Valid says whether the term lasts.
	Valid func() bool
}

// Check is asked right before the first byte of a call leaves; with an error the call isn't made.
func (a Authority) Check() error {
	if !a.Valid() {
		return errTermOver
	}

	return nil
}
