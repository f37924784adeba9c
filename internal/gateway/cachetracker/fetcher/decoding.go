package fetcher

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const (
	// maxEntries limits the entries of a response. More parts than that are not tracked for an engine.
	maxEntries = 4096
	// maxIDBytes limits the ID of a prompt part.
	maxIDBytes = 128
	// maxTokens limits the tokens of a prompt part.
	maxTokens = 1 << 30
)

// Flag is a JSON value that is set unless it is missing, null, false, zero or empty.
type Flag bool

// UnmarshalJSON implements json.Unmarshaler.
func (f *Flag) UnmarshalJSON(data []byte) error {
	switch string(data) {
	case "null", "false", "0", `""`, "[]", "{}":
		*f = false
	default:
		*f = true
	}

	return nil
}

// Position is the part that both responses have in common.
type Position struct {
	// Epoch is a string or a number.
	Epoch Epoch `json:"epoch"`
	// Next is not negative.
	Next int64 `json:"next"`
}

// Check returns an error if the epoch is missing or the position invalid.
func (p *Position) Check() error {
	if p.Epoch == "" || p.Next < 0 {
		return errors.New("the epoch is missing or the position is negative")
	}

	return nil
}

// Epoch is the text of a JSON string or number that identifies an epoch.
type Epoch string

// String returns the text.
func (e *Epoch) String() string { return string(*e) }

// UnmarshalJSON implements json.Unmarshaler.
func (e *Epoch) UnmarshalJSON(data []byte) error {
	if len(data) > maxIDBytes || data[0] == '{' || data[0] == '[' || string(data) == "null" || string(data) == `""` {
		return errors.New("the epoch is neither a string nor a number")
	}

	*e = Epoch(data)

	return nil
}

// Layout says which elements of an entry, a JSON array, have which meaning.
type Layout struct {
	// Number and Sign are used only for events, ID and Tokens for both.
	Number, Sign, ID, Tokens int
	// Added and Removed are the values of Sign.
	Added, Removed string
}

// DecodeEvents decodes events. It rejects them as a whole if one is invalid.
func (l *Layout) DecodeEvents(entries [][]json.RawMessage) ([]balancer.CacheEvent, error) {
	if len(entries) > maxEntries {
		return nil, errors.Newf("%d entries are more than %d", len(entries), maxEntries)
	}

	events := make([]balancer.CacheEvent, 0, len(entries))

	for i, entry := range entries {
		event := balancer.CacheEvent{}
		sign := ""
		err := decodeElements(entry, map[int]any{l.Number: &event.Number, l.Sign: &sign, l.ID: &event.Part.ID, l.Tokens: &event.Part.Tokens})

		if err == nil && sign != l.Added && sign != l.Removed {
			err = errors.Newf("unknown sign %.8q", sign)
		}

		if err = errors.CombineErrors(err, checkPart(event.Part)); err != nil {
			return nil, errors.Wrapf(err, "entry %d", i)
		}

		event.Removed = sign == l.Removed
		events = append(events, event)
	}

	return events, nil
}

// DecodeParts decodes prompt parts. It rejects them as a whole if one is invalid.
func (l *Layout) DecodeParts(entries [][]json.RawMessage) ([]balancer.PromptPart, error) {
	if len(entries) > maxEntries {
		return nil, errors.Newf("%d entries are more than %d", len(entries), maxEntries)
	}

	parts := make([]balancer.PromptPart, 0, len(entries))

	for i, entry := range entries {
		part := balancer.PromptPart{}
		err := decodeElements(entry, map[int]any{l.ID: &part.ID, l.Tokens: &part.Tokens})

		if err = errors.CombineErrors(err, checkPart(part)); err != nil {
			return nil, errors.Wrapf(err, "entry %d", i)
		}

		parts = append(parts, part)
	}

	return parts, nil
}

func decodeElements(entry []json.RawMessage, targets map[int]any) error {
	for i, target := range targets {
		if i >= len(entry) {
			return errors.Newf("only %d elements", len(entry))
		}

		if err := json.Unmarshal(entry[i], target); err != nil {
			return errors.Wrapf(err, "element %d", i)
		}
	}

	return nil
}

// checkPart returns an error unless the part can be one of a prompt.
func checkPart(part balancer.PromptPart) error {
	if part.ID == "" || len(part.ID) > maxIDBytes || part.Tokens < 0 || part.Tokens > maxTokens {
		return errors.Newf("invalid part of %d tokens with an ID of %d bytes", part.Tokens, len(part.ID))
	}

	return nil
}
