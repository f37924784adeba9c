package leader

import "github.com/cockroachdb/errors"

var errTermOver = errors.New("the term ended before the call was sent")

// Authority identifies the holder and the term under which a call is made.
type Authority struct {
	// Holder is the name of the node that holds the duties.
	Holder string
	// Number is the fencing number of the term.
	Number int64
	// Valid reports whether the term is still valid.
	Valid func() bool
}

// Check returns an error if the term is no longer valid. It must be called right before the first byte of a call is sent, and
// the call must not be made if it fails.
func (a Authority) Check() error {
	if !a.Valid() {
		return errTermOver
	}

	return nil
}
