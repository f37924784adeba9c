package server

import (
	"encoding/json"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/recorder"
)

// FuzzEngineBody checks that whatever body a caller sends, what goes to an
// engine is JSON that streams and carries the slot's priority and offset.
func FuzzEngineBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"assistente","messages":[{"role":"user","content":"price"}],"max_tokens":16}`,
		`{"model":"assistente","stream":true,"stream_options":{"include_usage":false}}`,
		`{"stream":false,"stream_options":"x"}`,
		`{"priority":{"a":[1]},"resume_offset":-1,"stream":null}`,
		`{"stream":1,"stream":2}`,
		`[]`, `null`, `"x"`, `{`, `{"":""}`,
	} {
		f.Add([]byte(seed))
	}

	attempt := dispatcher.Attempt{Number: 2, Slot: dispatcher.Slot{Priority: 3}, Offset: 7}

	f.Fuzz(func(t *testing.T, body []byte) {
		if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
			return
		}

		prepared, failure := prepareEngineBody(body)
		if failure != nil {
			return
		}

		sent, err := attemptBody(prepared, attempt)
		if err != nil {
			return
		}

		assert.Assert(t, json.Valid(sent), "%s", sent)
		assert.Assert(t, gjson.GetBytes(sent, "stream").Bool(), "%s", sent)
		assert.Equal(t, gjson.GetBytes(sent, "priority").Int(), int64(3))
		assert.Equal(t, gjson.GetBytes(sent, "resume_offset").Int(), int64(7))
	})
}

// FuzzChunks checks that the events of an engine, whatever they hold, are
// joined to an answer that is JSON.
func FuzzChunks(f *testing.F) {
	f.Add(`{"id":"a","object":"chat.completion.chunk","choices":[{"delta":{"content":"x"}}]}`, `{"usage":{"total_tokens":1}}`)
	f.Add(`{"id":"a","choices":[{"text":"x","finish_reason":"stop"}]}`, `[DONE]`)
	f.Add(`{"usage":{`, `{"usage":{"a":}}`)

	f.Fuzz(func(t *testing.T, first, second string) {
		_, err := json.Marshal(assemble([]recorder.Event{{Data: first}, {Data: second}}))
		assert.NilError(t, err)
	})
}
