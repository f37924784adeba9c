package operator

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/printer"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxFileBytes is the platform's largest value; a branch is one value.
const maxFileBytes = 1 << 20

// ReadFile returns the text of a file, or of the input stream for the name "-".
// It refuses an empty one: an empty input is far more often a broken pipeline
// than the wish for a branch without values.
func ReadFile(name string, input io.Reader) (string, error) {
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", classifier.Wrap(err, classifier.InvalidUsage, "can't read %s", name)
		}
		defer file.Close()

		input = file
	}

	data, err := io.ReadAll(io.LimitReader(input, maxFileBytes+1))
	if err != nil {
		return "", classifier.Wrap(err, classifier.InvalidUsage, "can't read %s", name)
	}

	if len(data) > maxFileBytes {
		return "", classifier.New(classifier.BodyTooLarge, "%s has more than %d bytes; a branch holds no more", name, maxFileBytes)
	}

	if len(bytes.TrimSpace(data)) == 0 {
		return "", classifier.New(classifier.InvalidUsage, "%s is empty; write {} for a branch without values", name)
	}

	return string(data), nil
}

// MakeChange fills the names of a change, has it made by a node and writes what
// came of it. Names come first, so that a call without an author reaches no node.
func (f Flags) MakeChange(given ChangeFlags, send func(c *Client, names ChangeFlags) (administrator.Change, error)) error {
	names, err := given.filled()
	if err != nil {
		return err
	}

	client, err := f.Client()
	if err != nil {
		return err
	}

	change, err := send(client, names)
	if err != nil {
		return err
	}

	return f.printChange(change)
}

// printChange writes a change: a sentence and its difference for terminals, else one row.
func (f Flags) printChange(change administrator.Change) error {
	if f.Format() != printer.Terminal {
		return f.Print(printer.Table{
			Rows: [][]string{{change.ID, string(change.State), strconv.FormatInt(change.Revision, 10), Shown(change.Path)}},
			Data: change,
		})
	}

	_, err := fmt.Fprintf(f.Factory.Streams.Out, "%sChanged %s at revision %d; tree undo %s takes it back.\n",
		change.Difference, Shown(change.Path), change.Revision, change.ID)

	return err
}
