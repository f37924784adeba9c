package factory

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-logfmt/logfmt"
	"github.com/rs/zerolog"
)

// eventKey stands in our lines where zerolog writes its message.
const eventKey = "event"

// field is one key of a log line with its JSON value.
type field struct {
	key   string
	value json.RawMessage
}

// lineWriter turns zerolog's JSON objects into our lines: time, level and
// event first, then the other keys as they were added.
type lineWriter struct {
	out    io.Writer
	encode func([]field) ([]byte, error)
}

func newLineWriter(out io.Writer, format string) io.Writer {
	w := lineWriter{out: out, encode: encodeKeyValue}
	if format == "json" {
		w.encode = encodeJSON
	}

	// Without the lock, lines of several goroutines could mix in streams that split writes.
	return zerolog.SyncWriter(w)
}

// Write writes one event. An event that is no JSON object is written as it is.
func (w lineWriter) Write(event []byte) (int, error) {
	fields, err := decodeFields(event)
	if err != nil {
		return w.out.Write(event)
	}

	line, err := w.encode(ordered(fields))
	if err != nil {
		return w.out.Write(event)
	}

	if _, err := w.out.Write(append(line, '\n')); err != nil {
		return 0, err
	}

	return len(event), nil
}

func decodeFields(event []byte) ([]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(event))
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}

	var fields []field

	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}

		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, err
		}

		name, _ := key.(string)
		fields = append(fields, field{key: name, value: value})
	}

	return fields, nil
}

func ordered(fields []field) []field {
	sorted := make([]field, 0, len(fields))

	for i := range fields {
		if fields[i].key == zerolog.MessageFieldName {
			fields[i].key = eventKey
		}
	}

	first := []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, eventKey}
	for _, k := range first {
		for _, v := range fields {
			if v.key == k {
				sorted = append(sorted, v)
			}
		}
	}

	for _, v := range fields {
		if v.key != first[0] && v.key != first[1] && v.key != first[2] {
			sorted = append(sorted, v)
		}
	}

	return sorted
}

func encodeKeyValue(fields []field) ([]byte, error) {
	var line bytes.Buffer

	encoder := logfmt.NewEncoder(&line)
	for _, v := range fields {
		if err := encoder.EncodeKeyval(v.key, plain(v.value)); err != nil {
			return nil, err
		}
	}

	return line.Bytes(), nil
}

// plain returns the text of a JSON string, and any other value as it is written.
func plain(value json.RawMessage) string {
	var text string
	if err := json.Unmarshal(value, &text); err == nil && value[0] == '"' {
		return text
	}

	return string(value)
}

func encodeJSON(fields []field) ([]byte, error) {
	var line bytes.Buffer

	line.WriteByte('{')

	for i, v := range fields {
		if i > 0 {
			line.WriteByte(',')
		}

		key, err := json.Marshal(v.key)
		if err != nil {
			return nil, err
		}

		line.Write(key)
		line.WriteByte(':')
		line.Write(v.value)
	}

	line.WriteByte('}')

	return line.Bytes(), nil
}
