package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/recorder"
)

// Symptom: a server of a plain service that refuses connections looks like the fastest, and healthy ones like stragglers.
// Sequence: an attempt ends within a millisecond without any byte of an answer; the ejector takes its first-answer time.
// Cause: the time to the failure is reported as the time to the answer.
func TestFailedPlainAttemptHasNoAnswerTime(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()

	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(full.Close)

	results := map[string]dispatcher.Result{closed.URL: dispatcher.ResultNotSent, full.URL: dispatcher.ResultRefused}
	request := dispatcher.Request{ID: "r", Class: configurer.Class{GapLimit: time.Minute}, Repeatable: true}

	for address, want := range results {
		sender := &plainSender{
			client: forwarder.NewClient(forwarder.Options{}), upstreams: newUpstreamTable(), request: request,
			method: http.MethodGet, path: "/", answer: recorder.NewEventBuffer(),
		}
		slot := dispatcher.Slot{Upstream: configurer.Upstream{Address: address}}

		outcome := sender.Send(t.Context(), dispatcher.Attempt{Number: 1, Slot: slot})
		assert.Equal(t, outcome.Result, want)
		assert.Equal(t, outcome.FirstToken, time.Duration(0))
	}
}
