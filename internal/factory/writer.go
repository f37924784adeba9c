package factory

import (
	"bytes"
	"io"

	"github.com/go-logfmt/logfmt"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
)

// eventKey stands in our lines where zerolog writes its message.
const eventKey = "event"

// firstKeys begin each line, in this order.
var firstKeys = [...]string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// lineWriter turns zerolog's JSON objects into our lines: time, level and
// event first, then the other keys as they were added.
type lineWriter struct {
	out    io.Writer
	encode func(line *bytes.Buffer, key string, value gjson.Result) error
	// before, between and after frame the pairs of a line.
	before, between, after string
}

func newLineWriter(out io.Writer, format string) io.Writer {
	w := lineWriter{out: out, encode: encodeKeyValue, between: " ", after: "\n"}
	if format == "json" {
		w = lineWriter{out: out, encode: encodeJSON, before: "{", between: ",", after: "}\n"}
	}

	// Without the lock, lines of several goroutines could mix in streams that split writes.
	return zerolog.SyncWriter(w)
}

// Write writes one event. An event that is no JSON object is written as it is.
func (w lineWriter) Write(event []byte) (int, error) {
	parsed := gjson.ParseBytes(event)
	if !parsed.IsObject() || !gjson.ValidBytes(event) {
		return w.out.Write(event)
	}

	var line bytes.Buffer

	line.Grow(len(event))
	line.WriteString(w.before)

	if err := w.encodeAll(&line, parsed); err != nil {
		return w.out.Write(event)
	}

	line.WriteString(w.after)

	if _, err := w.out.Write(line.Bytes()); err != nil {
		return 0, err
	}

	return len(event), nil
}

func (w lineWriter) encodeAll(line *bytes.Buffer, event gjson.Result) error {
	start := line.Len()

	pair := func(key string, value gjson.Result) error {
		if line.Len() > start {
			line.WriteString(w.between)
		}

		return w.encode(line, key, value)
	}

	for _, key := range firstKeys {
		value := event.Get(key)
		if !value.Exists() {
			continue
		}

		if err := pair(shownKey(key), value); err != nil {
			return err
		}
	}

	var failed error

	event.ForEach(func(key, value gjson.Result) bool {
		if !isFirst(key.Str) {
			failed = pair(key.Str, value)
		}

		return failed == nil
	})

	return failed
}

func shownKey(key string) string {
	if key == zerolog.MessageFieldName {
		return eventKey
	}

	return key
}

func isFirst(key string) bool {
	for _, first := range firstKeys {
		if key == first {
			return true
		}
	}

	return false
}

// encodeKeyValue writes the text of a JSON string, and any other value as it stands.
func encodeKeyValue(line *bytes.Buffer, key string, value gjson.Result) error {
	text := value.Raw
	if value.Type == gjson.String {
		text = value.Str
	}

	return logfmt.NewEncoder(line).EncodeKeyval(key, text)
}

func encodeJSON(line *bytes.Buffer, key string, value gjson.Result) error {
	line.Write(gjson.AppendJSONString(nil, key))
	line.WriteByte(':')
	line.WriteString(value.Raw)

	return nil
}
