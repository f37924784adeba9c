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
	"quincepath.example/quincepath/internal/standin/cutter"
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

// Guards against a response with an invalid status that ends the caller's connection without an answer, as a status below 100 can't be
// sent on, or that the caller gets.
func TestInvalidStatusOfAPlainServiceIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		server, err := cutter.Listen(t.Context())
		assert.NilError(t, err)

		head := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 3\r\n\r\n"
		server.Answer(cutter.Cut{Response: cutter.Response{Head: head, Body: "odd"}, Bytes: len(head) + 3, End: cutter.Stay})

		sender := &plainSender{
			client: forwarder.NewClient(forwarder.Options{}), upstreams: newUpstreamTable(), method: http.MethodPost, path: "/", answer: recorder.NewEventBuffer(),
			request: dispatcher.Request{ID: "r", Class: configurer.Class{GapLimit: time.Minute}},
		}
		slot := dispatcher.Slot{Upstream: configurer.Upstream{Address: "http://" + server.Address()}}

		outcome := sender.Send(t.Context(), dispatcher.Attempt{Number: 1, Slot: slot})
		assert.Check(t, outcome.Err != nil && outcome.Result != dispatcher.ResultNotSent && outcome.Result != dispatcher.ResultRefused, "%s: %v", status, outcome.Result)
	}
}
