package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/recorder"
)

// hedgingParts grants two upstreams in their order, hedges at once, and never retries.
type hedgingParts struct {
	upstreams []configurer.Upstream
	// begun is closed once the first upstream has begun an answer. The second is granted
	// only then: on a busy machine the first attempt would else be over before its request left.
	begun chan struct{}

	mu       sync.Mutex
	released map[string]dispatcher.Outcome
}

func (h *hedgingParts) Acquire(ctx context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	for i, upstream := range h.upstreams {
		if !slices.Contains(ask.Exclude, upstream.Name) {
			if i > 0 {
				h.awaitFirst(ctx)
			}

			return dispatcher.Slot{ID: upstream.Name, Upstream: upstream}, nil
		}
	}

	return dispatcher.Slot{}, context.DeadlineExceeded
}

func (h *hedgingParts) awaitFirst(ctx context.Context) {
	select {
	case <-h.begun:
	case <-ctx.Done():
	}
}

func (h *hedgingParts) Release(slot dispatcher.Slot, _ dispatcher.SlotRequest, outcome dispatcher.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.released[slot.ID] = outcome
}

func (h *hedgingParts) Decide(dispatcher.Request, dispatcher.Attempt, dispatcher.Outcome, int) dispatcher.RetryDecision {
	return dispatcher.RetryDecision{}
}

func (h *hedgingParts) AttemptEnded(dispatcher.Request, dispatcher.Attempt, dispatcher.Outcome, dispatcher.RetryDecision) {
}

func (h *hedgingParts) Delay(string, configurer.Class) (time.Duration, bool) {
	return time.Millisecond, true
}

func (h *hedgingParts) Spend(time.Time, string, configurer.Class) bool { return true }

func (h *hedgingParts) Observe(time.Time, string, configurer.Class, time.Duration) {}

// runHedged runs a request whose first upstream begins an answer and never goes on until it is cancelled.
func runHedged(t *testing.T, first, second string, send func(dispatcher.Request, *forwarder.Client) dispatcher.Sender) *hedgingParts {
	t.Helper()

	begun, cancelled := make(chan struct{}), make(chan struct{})
	stuck := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, first)
		_ = http.NewResponseController(w).Flush()

		close(begun)
		<-r.Context().Done()
		close(cancelled)
	}))
	well := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, second) }))

	t.Cleanup(stuck.Close)
	t.Cleanup(well.Close)

	parts := &hedgingParts{begun: begun, released: make(map[string]dispatcher.Outcome), upstreams: []configurer.Upstream{
		{Name: "stuck", Address: stuck.URL},
		{Name: "well", Address: well.URL},
	}}
	class := configurer.Class{Name: "lookup", Repeatable: true, GapLimit: time.Minute, Target: time.Minute}
	request := dispatcher.Request{ID: "r", Class: class, Repeatable: true, Arrived: time.Now()}

	d := dispatcher.New(parts, parts, parts)
	d.SetHedger(parts)

	// Bounds a test that fails; it decides no verdict of speed.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	assert.Assert(t, d.Run(ctx, request, send(request, forwarder.NewClient(forwarder.Options{}))) == nil)
	<-cancelled

	assert.Equal(t, parts.released["stuck"].Result, dispatcher.ResultSuperseded)
	assert.Equal(t, parts.released["well"].Result, dispatcher.ResultDone)

	return parts
}

// Symptom: a caller gets the role twice, or chunks with two ids, and its client library gives up.
// Sequence: the first engine sends the role and no token; a second attempt delivers the answer.
// Cause: what comes before the first token goes into the answer before it has an owner.
func TestHedgedStreamHasOneOwner(t *testing.T) {
	chunk := func(id, delta string) string {
		return `data: {"id":"` + id + `","choices":[{"delta":` + delta + `}]}` + "\n\n"
	}
	role := `{"role":"assistant"}`
	answer := recorder.NewEventBuffer()

	parts := runHedged(t,
		chunk("one", role),
		chunk("two", role)+chunk("two", `{"content":"a"}`)+chunk("two", `{"content":"b"}`)+"data: [DONE]\n\n",
		func(request dispatcher.Request, client *forwarder.Client) dispatcher.Sender {
			return &engineSender{client: client, upstreams: newUpstreamTable(), request: request, body: []byte("{}"), answer: answer}
		})

	assert.Equal(t, parts.released["well"].Tokens, 2)

	events, _, _ := answer.EventsFrom(t.Context(), 0)

	var text strings.Builder
	for _, event := range events {
		text.WriteString("data: " + event.Data + "\n\n")
	}

	want := chunk("two", role) + chunk("two", `{"content":"a"}`) + chunk("two", `{"content":"b"}`) + "data: [DONE]\n\n"
	assert.Equal(t, text.String(), want)
}

// Symptom: a caller of a plain service gets the start of one answer with the status of another.
// Sequence: the first upstream sends half an answer and no more; a second attempt delivers a whole one.
// Cause: both attempts write the answer.
func TestHedgedPlainAnswerHasOneOwner(t *testing.T) {
	var sender *plainSender

	runHedged(t, "half", "whole", func(request dispatcher.Request, client *forwarder.Client) dispatcher.Sender {
		sender = &plainSender{client: client, upstreams: newUpstreamTable(), request: request, method: http.MethodGet, path: "/", answer: recorder.NewEventBuffer()}

		return sender
	})

	assert.Equal(t, string(sender.payload), "whole")
	assert.Equal(t, sender.status, http.StatusOK)
}
