package generator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/standin/supporter"
)

var errCrash = errors.New("crash asked for by a switch")

// form says which of the two completion calls an answer has the shape of.
type form int

const (
	chatForm form = iota
	textForm
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID                string   `json:"id"`
	Object            string   `json:"object"`
	Created           int64    `json:"created"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint"`
	Choices           []choice `json:"choices"`
	Usage             *usage   `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func refuse(w http.ResponseWriter, status int, kind, code, text string) {
	supporter.WriteJSON(w, status, errorBody{Error: errorDetail{Message: text, Type: kind, Code: code}})
}

func (e *Engine) complete(f form) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		crashAfter, refused := e.faults()
		if refused {
			w.Header().Set("Retry-After", "1")
			refuse(w, http.StatusServiceUnavailable, "server_error", "unavailable", "the engine takes no requests")
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, supporter.MaxBody))
		if err != nil {
			refuseBody(w, err)
			return
		}
		a := e.accept(w, body)
		if a == nil {
			return
		}
		a.form, a.crashAfter, a.w, a.r = f, crashAfter, w, r
		e.answer(a, body)
	}
}

func refuseBody(w http.ResponseWriter, err error) {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		refuse(w, http.StatusRequestEntityTooLarge, "invalid_request_error", "body_too_long", "the body is longer than 4 MiB")
		return
	}
	refuse(w, http.StatusBadRequest, "invalid_request_error", "unreadable_body", "the body could not be read")
}

// accept returns nil after it has answered with an error.
func (e *Engine) accept(w http.ResponseWriter, body []byte) *attempt {
	a := &attempt{engine: e}
	if err := json.Unmarshal(body, &a.request); err != nil {
		refuse(w, http.StatusBadRequest, "invalid_request_error", "invalid_json", err.Error())
		return nil
	}
	var err error
	if a.answer, err = a.request.answer(); err != nil {
		refuse(w, http.StatusBadRequest, "invalid_request_error", "invalid_value", err.Error())
		return nil
	}
	a.blocks = prefixer.HashBlocks(a.answer.prompt)
	if !e.orders.serves(a.request.Model) {
		refuse(w, http.StatusNotFound, "invalid_request_error", "model_not_found", "the model is not loaded: "+a.request.Model)
		return nil
	}
	return a
}

// answer makes the tokens. On a crash it aborts the connection, so that the client
// sees a broken stream and not an orderly end.
func (e *Engine) answer(a *attempt, body []byte) {
	a.record, _ = e.runs.Add(Record{
		RequestID:    a.r.Header.Get("X-Request-Id"),
		Attempt:      a.r.Header.Get("X-Attempt"),
		Priority:     a.request.Priority,
		Offset:       a.request.ResumeOffset,
		PromptTokens: a.answer.PromptTokens,
		State:        stateRunning,
		BodyHash:     strconv.FormatUint(xxhash.Sum64(body), 16),
		StartedAt:    time.Now(),
	})
	j := Job{
		Priority:     a.request.Priority,
		PromptTokens: a.answer.PromptTokens,
		Offset:       a.request.ResumeOffset,
		Length:       a.answer.Length,
		Cached:       a.cached,
	}
	err := e.batch.Run(a.r.Context(), j, a.emit)
	if err == nil {
		err = a.finish()
	}
	if err != nil {
		a.end(err)
		panic(http.ErrAbortHandler)
	}
}

// attempt is one request while it is served, by one goroutine.
type attempt struct {
	engine  *Engine
	form    form
	request request
	// blocks are the hashes of the prompt's prefixes.
	blocks []uint64
	answer Answer
	// crashAfter is the number of tokens after which the answer breaks off; 0 means never.
	crashAfter int
	record     *Record
	w          http.ResponseWriter
	r          *http.Request
	// made is the number of tokens made so far.
	made int
	// opened is true once the header of the stream is set.
	opened bool
}

// cached looks the prompt up when its prefill begins, for it may have waited for a slot.
func (a *attempt) cached() int {
	n := a.engine.cache.cached(a.blocks)
	a.engine.runs.Update(a.record, func(r *Record) { r.CachedTokens = n })
	return n
}

func (a *attempt) emit(offset int) error {
	if a.made == 0 {
		a.engine.cache.store(a.blocks)
	}
	if err := a.engine.silent.Pass(a.r.Context()); err != nil {
		return err
	}
	a.made++
	a.engine.runs.Update(a.record, func(r *Record) { r.Tokens = a.made })
	if a.request.Stream {
		c := a.chunk()
		c.Choices = []choice{a.piece(a.answer.Token(offset), a.made == 1)}
		if err := a.send(strconv.Itoa(offset), c); err != nil {
			return err
		}
	}
	if a.crashAfter > 0 && a.made >= a.crashAfter {
		return errCrash
	}
	return nil
}

// finish records the end before it sends it: a reader that has the whole answer must not
// find the run still listed as running.
func (a *attempt) finish() error {
	if err := a.engine.silent.Pass(a.r.Context()); err != nil {
		return err
	}
	a.end(nil)
	if !a.request.Stream {
		supporter.WriteJSON(a.w, http.StatusOK, a.whole())
		return nil
	}
	c := a.chunk()
	last := a.piece("", false)
	stop := "stop"
	last.FinishReason = &stop
	c.Choices = []choice{last}
	if a.request.StreamOptions.IncludeUsage {
		c.Usage = a.usage()
	}
	if err := a.send("", c); err != nil {
		return err
	}
	return a.write("", "[DONE]")
}

func (a *attempt) end(err error) {
	s := stateFinished
	switch {
	case errors.Is(err, errCrash):
		s = stateCrashed
	case err != nil:
		s = stateCancelled
	}
	a.engine.runs.Update(a.record, func(r *Record) { r.State = s })
}

func (a *attempt) usage() *usage {
	p, n := a.answer.PromptTokens, a.answer.Length
	return &usage{PromptTokens: p, CompletionTokens: n, TotalTokens: p + n}
}

// answerID stays the same when the rest of an answer is asked for: the request's id, if one was sent.
func (a *attempt) answerID() string {
	if a.record.RequestID != "" {
		return a.record.RequestID
	}
	return a.record.BodyHash
}

func (a *attempt) chunk() completion {
	c := completion{
		ID:                "chatcmpl-" + a.answerID(),
		Object:            "chat.completion.chunk",
		Created:           a.record.StartedAt.Unix(),
		Model:             a.request.Model,
		SystemFingerprint: a.engine.options.Name,
	}
	if a.form == textForm {
		c.ID, c.Object = "cmpl-"+a.answerID(), "text_completion"
	}
	return c
}

func (a *attempt) piece(text string, first bool) choice {
	if a.form == textForm {
		return choice{Text: &text}
	}
	d := &delta{Content: text}
	if first {
		d.Role = "assistant"
	}
	return choice{Delta: d}
}

func (a *attempt) whole() completion {
	c := a.chunk()
	text, stop := a.answer.After(a.request.ResumeOffset), "stop"
	c.Usage = a.usage()
	if a.form == textForm {
		c.Choices = []choice{{Text: &text, FinishReason: &stop}}
		return c
	}
	c.Object = "chat.completion"
	c.Choices = []choice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: &stop}}
	return c
}

func (a *attempt) send(id string, c completion) error {
	b, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode a chunk")
	}
	return a.write(id, string(b))
}

func (a *attempt) write(id, data string) error {
	if !a.opened {
		a.opened = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
	}
	var m sse.Message
	m.AppendData(data)
	if id != "" {
		m.ID = sse.ID(id)
	}
	if _, err := m.WriteTo(a.w); err != nil {
		return errors.Wrap(err, "write an event")
	}
	return errors.Wrap(http.NewResponseController(a.w).Flush(), "flush an event")
}
