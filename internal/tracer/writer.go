package tracer

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Write writes a trace that Read accepts. It fails before the first event that is out of range or unsorted.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)

	for i, v := range events {
		if err := errors.CombineErrors(v.Check(), follows(events[:i], v)); err != nil {
			return errors.Wrapf(err, "event %d", i)
		}

		if err := encoder.Encode(v); err != nil {
			return errors.Wrap(err, "write the trace")
		}
	}

	return errors.Wrap(buffered.Flush(), "write the trace")
}
