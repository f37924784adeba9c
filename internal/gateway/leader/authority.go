package leader

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

var errTermOver = errors.New("the term ended before the call left")

// Authority is under what a call is made.
type Authority struct {
	// Holder is the node's name.
	Holder string
	// Number is the fencing number.
	Number int64
	// Valid is asked right before the first byte leaves; if it returns false the call isn't made.
	Valid func() bool
}

// Guard returns a reader of the data that fails once the authority isn't valid any more. A transport reads a body after it
// has dialled and before it writes a byte, if header and body fit into its buffer.
func (a Authority) Guard(data []byte) io.Reader {
	return &guardedReader{data: bytes.NewReader(data), valid: a.Valid}
}

type guardedReader struct {
	data  *bytes.Reader
	valid func() bool
}

// Read implements io.Reader.
func (g *guardedReader) Read(p []byte) (int, error) {
	if !g.valid() {
		return 0, errTermOver
	}

	return g.data.Read(p)
}
