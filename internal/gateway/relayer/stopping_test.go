package relayer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is sent late in a planned stop, and cut off with the end of the node.
func TestRequestThatGetsItsSlotLateInAPlannedStopIsNotSent(t *testing.T) {
	for _, path := range []string{"/book/1", "/price/1", "/chat/1"} {
		w := newFixture(t, 9)
		u := w.add(respondWith(http.StatusOK, "ran"))
		w.onChoose = func() {
			w.relayer.BeginStop(time.Now().Add(1010 * time.Millisecond))
			time.Sleep(time.Second)

			// The node does that all along.
			for range 3 {
				time.Sleep(10 * time.Millisecond)
				w.relayer.RefuseLate()
			}
		}

		response, body, err := w.send(path, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(body, "node_leaving"), body)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Equal(t, u.count(), 0)
		assert.DeepEqual(t, w.outcomes, []string{"abandoned"})
	}
}

// Guards against requests that end without an answer as the node ends while their upstreams are still working on them.
func TestRunningRequestsAreAnsweredAtTheEndOfTheNode(t *testing.T) {
	for _, path := range []string{"/book/1", "/price/1", "/chat/1"} {
		w := newFixture(t, 9)
		u := w.add(func(_ http.ResponseWriter, r *http.Request) {
			w.relayer.Abort()
			<-r.Context().Done()
		})

		response, body, err := w.send(path, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		assert.Assert(t, strings.Contains(body, "node_stopped"), body)
		assert.Equal(t, u.count(), 1)
	}
}

// Guards against an upload that ends without an answer as the node ends.
func TestUploadIsRefusedAtTheEndOfTheNode(t *testing.T) {
	w := newFixture(t, 9)
	u := w.add(respondWith(http.StatusOK, "ran"))
	body, upload := io.Pipe()

	go func() {
		// Written once the request's head has been sent.
		_, _ = io.WriteString(upload, "begin")

		for range 20 {
			time.Sleep(50 * time.Millisecond)
			w.relayer.Abort()
		}

		_ = upload.Close()
	}()

	response, text, err := w.send("/book/1", func(r *http.Request) { r.Body, r.ContentLength = body, 100 })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "node_leaving"), text)
	assert.Equal(t, u.count(), 0)
}
