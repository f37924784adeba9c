package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds the memory that a file without line ends can take.
	maxLineBytes = 64 << 10
	// MaxEvents bounds the memory of a whole trace.
	MaxEvents = 5_000_000
)

// LineError is a fault of one line of a trace.
type LineError struct {
	File string
	// Line counts from 1.
	Line int
	// Reason names the value and what would be right.
	Reason string
}

// Error returns the place and the reason.
func (e *LineError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Read reads a whole trace. File stands for the source in errors, which are of
// type *LineError unless reading itself fails. A trace with any fault yields no events.
func Read(file string, r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)

	var events []Event

	line := 0

	for scanner.Scan() {
		line++

		event, err := decode(scanner.Bytes())
		if err == nil {
			err = follows(events, event)
		}

		if err != nil {
			return nil, &LineError{File: file, Line: line, Reason: err.Error()}
		}

		events = append(events, event)
	}

	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return nil, &LineError{File: file, Line: line + 1, Reason: fmt.Sprintf("the line is longer than %d bytes; write one event a line", maxLineBytes)}
	}

	return events, errors.Wrapf(scanner.Err(), "read %s", file)
}

// follows checks an event against the ones before it.
func follows(events []Event, event Event) error {
	if len(events) == MaxEvents {
		return errors.Newf("the trace has more than %d events; split it", MaxEvents)
	}

	if len(events) == 0 {
		return nil
	}

	if last := events[len(events)-1].AtMS; event.AtMS < last {
		return errors.Newf("at_ms is %d after %d; sort the events by at_ms", event.AtMS, last)
	}

	return nil
}

// decode reads one line. It goes through the keys itself because the JSON
// decoder takes repeated keys and keys in another case without a word, and so
// would replay something else than what was written.
func decode(line []byte) (Event, error) {
	var event Event

	decoder := json.NewDecoder(bytes.NewReader(line))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return Event{}, errors.Newf("the line is %.40q; write a JSON object", line)
	}

	targets := event.fields()
	seen := make(map[string]bool, len(targets))

	for decoder.More() {
		if err := decodeField(decoder, targets, seen); err != nil {
			return Event{}, err
		}
	}

	if _, err := decoder.Token(); err != nil {
		return Event{}, errors.New("the JSON object doesn't end; write it whole on one line")
	}

	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Event{}, errors.New("something follows the JSON object; write one object a line")
	}

	return event, event.Check()
}

func decodeField(decoder *json.Decoder, targets map[string]any, seen map[string]bool) error {
	token, err := decoder.Token()
	if err != nil {
		return errors.Newf("the line is no JSON (%v); write one JSON object", err)
	}

	key, _ := token.(string)

	target, ok := targets[key]
	if !ok {
		return errors.Newf("%q is unknown; the keys are %s", key, keyList(targets))
	}

	if seen[key] {
		return errors.Newf("%s stands twice; keep one", key)
	}

	seen[key] = true

	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return errors.Newf("the value of %s is no JSON (%v); write %s", key, err, kindOf(target))
	}

	if string(value) == "null" || json.Unmarshal(value, target) != nil {
		return errors.Newf("%s is %.60s; write %s", key, value, kindOf(target))
	}

	return nil
}

func (e *Event) fields() map[string]any {
	return map[string]any{
		"at_ms":           &e.AtMS,
		"service":         &e.Service,
		"class":           &e.Class,
		"organisation":    &e.Organisation,
		"prompt_tokens":   &e.PromptTokens,
		"answer_tokens":   &e.AnswerTokens,
		"path":            &e.Path,
		"idempotency_key": &e.IdempotencyKey,
		"not_repeatable":  &e.NotRepeatable,
		"come_back":       &e.ComeBack,
	}
}

func kindOf(target any) string {
	switch target.(type) {
	case *string:
		return "text in quotes"
	case *bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func keyList(targets map[string]any) string {
	keys := make([]string, 0, len(targets))
	for k := range targets {
		keys = append(keys, k)
	}

	sort.Strings(keys)

	return strings.Join(keys, ", ")
}
