package generator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"
	"gotest.tools/v3/assert"
)

func start(t *testing.T, o Options) string {
	t.Helper()
	s := httptest.NewServer(New(o).Handler())
	t.Cleanup(s.Close)
	return s.URL
}

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	r, err := http.Post(url, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	t.Cleanup(func() { r.Body.Close() })
	return r
}

func runs(t *testing.T, url string) []Record {
	t.Helper()
	r, err := http.Get(url + "/standin/runs")
	assert.NilError(t, err)
	defer r.Body.Close()
	var list []Record
	assert.NilError(t, json.NewDecoder(r.Body).Decode(&list))
	return list
}

type stream struct {
	text, last, reason string
	usage              usage
	done               bool
	err                error
}

func read(r io.Reader, limit int) stream {
	var s stream
	n := 0
	for v, err := range sse.Read(r, nil) {
		if err != nil {
			s.err = err
			break
		}
		if v.Data == "[DONE]" {
			s.done = true
			break
		}
		s.add(v)
		if n++; n == limit {
			break
		}
	}
	return s
}

func (s *stream) add(v sse.Event) {
	var c completion
	if s.err = json.Unmarshal([]byte(v.Data), &c); s.err != nil {
		return
	}
	s.last = v.LastEventID
	s.text += c.Choices[0].Delta.Content
	if c.Choices[0].FinishReason != nil {
		s.reason = *c.Choices[0].FinishReason
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
}

const question = `{"model":"m","messages":[{"role":"user","content":"Quando passa il treno?"}],"max_tokens":30`

// Symptom: an answer joined from two engines misses or repeats tokens.
// Events: the first engine's stream breaks after 12 tokens, another resumes at 12.
// Cause: the engines count the offset differently, or answer differently.
func TestResumedPiecesMakeWholeAnswer(t *testing.T) {
	one, two := start(t, Options{Slots: 4, Seed: 1}), start(t, Options{Slots: 2, Seed: 2})
	expected, err := Expect([]byte(question + "}"))
	assert.NilError(t, err)
	post(t, one+"/standin/switches", `{"crash_after_tokens":12}`)

	first := read(post(t, one+"/v1/chat/completions", question+`,"stream":true}`).Body, -1)
	assert.Assert(t, !first.done)
	assert.Equal(t, first.last, "12")
	offset, err := strconv.Atoi(first.last)
	assert.NilError(t, err)
	rest := read(post(t, two+"/v1/chat/completions",
		question+`,"stream":true,"stream_options":{"include_usage":true},"resume_offset":`+strconv.Itoa(offset)+"}").Body, -1)

	assert.NilError(t, rest.err)
	assert.Assert(t, rest.done)
	assert.Equal(t, first.text+rest.text, expected.Text())
	assert.Equal(t, rest.last, "30")
	assert.Equal(t, rest.reason, "stop")
	assert.Equal(t, rest.usage.CompletionTokens, 30)
	assert.Equal(t, runs(t, one)[0].State, stateCrashed)
	assert.Equal(t, runs(t, one)[0].Tokens, 12)
	assert.Equal(t, runs(t, two)[0].State, stateFinished)
	assert.Equal(t, runs(t, two)[0].Tokens, 18)
}

func TestWholeAnswerWithoutStream(t *testing.T) {
	url := start(t, Options{Slots: 1})
	for _, c := range []struct{ path, body string }{
		{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"ciao"}]}]}`},
		{"/v1/completions", `{"model":"m","prompt":"ciao"}`},
	} {
		var v completion
		assert.NilError(t, json.NewDecoder(post(t, url+c.path, c.body).Body).Decode(&v))
		expected, err := Expect([]byte(c.body))
		assert.NilError(t, err)
		got := v.Choices[0].Text
		if got == nil {
			got = &v.Choices[0].Message.Content
		}
		assert.Equal(t, *got, expected.Text())
		assert.Equal(t, v.Usage.CompletionTokens, expected.Length)
	}
}

func TestSilentHoldsStreamOpen(t *testing.T) {
	url := start(t, Options{Slots: 1, TokenStep: time.Millisecond})
	post(t, url+"/standin/switches", `{"silent":true}`)
	got := make(chan stream, 1)
	go func() {
		r, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(question+`,"stream":true}`))
		if err != nil {
			got <- stream{err: err}
			return
		}
		defer r.Body.Close()
		got <- read(r.Body, -1)
	}()
	for len(runs(t, url)) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, runs(t, url)[0].Tokens, 0)
	post(t, url+"/standin/switches", `{"silent":false}`)
	s := <-got
	assert.NilError(t, s.err)
	assert.Assert(t, s.done)
}

// Symptom: the engine goes on with answers that nobody reads.
// Events: the reader closes its connection while nothing is written to it, as the answer isn't streamed.
// Cause: the closed connection did not reach the batch; only a failing write would have ended the run.
func TestClosedConnectionCancels(t *testing.T) {
	url := start(t, Options{Slots: 1, TokenStep: time.Millisecond})
	ctx, closeConnection := context.WithCancel(t.Context())
	body := strings.NewReader(`{"model":"m","prompt":"x","max_tokens":1000000}`)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", body)
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(q)
		ended <- err
	}()
	for len(runs(t, url)) == 0 || runs(t, url)[0].Tokens == 0 {
		time.Sleep(time.Millisecond)
	}
	closeConnection()
	assert.ErrorIs(t, <-ended, context.Canceled)
	for runs(t, url)[0].State == stateRunning {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, runs(t, url)[0].State, stateCancelled)
}

func TestStatuses(t *testing.T) {
	url := start(t, Options{Slots: 1, CheckFencing: true, Models: []string{"m"}})
	keyed := start(t, Options{Slots: 1, BearerKey: "k"})
	for _, c := range []struct {
		url, body string
		want      int
	}{
		{keyed + "/v1/completions", `{"prompt":"x"}`, http.StatusUnauthorized},
		{url + "/v1/completions", `{"model":"n","prompt":"x"}`, http.StatusNotFound},
		{url + "/v1/completions", `{"model":"m"}`, http.StatusBadRequest},
		{url + "/v1/completions", `{"model":"m","prompt":"x","max_tokens":3,"resume_offset":4}`, http.StatusBadRequest},
		{url + "/v1/completions", `{"prompt":"` + strings.Repeat("x", 4<<20) + `"}`, http.StatusRequestEntityTooLarge},
		{url + "/orders", `{"kind":"load_model","name":"n","fencing":7}`, http.StatusOK},
		{url + "/orders", `{"kind":"unload_model","name":"n","fencing":6}`, http.StatusConflict},
		{url + "/v1/completions", `{"model":"n","prompt":"x"}`, http.StatusOK},
		{url + "/standin/switches", `{"refuse":true}`, http.StatusNoContent},
		{url + "/v1/completions", `{"model":"m","prompt":"x"}`, http.StatusServiceUnavailable},
	} {
		assert.Equal(t, post(t, c.url, c.body).StatusCode, c.want, "%.80s", c.body)
	}
	assert.Equal(t, len(runs(t, url)), 1)
}
