package relayer_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longAnswerBytes exceeds what the relayer buffers of an answer.
const longAnswerBytes = 300 << 10

// Guards against a caller's connection that is closed midway through a long answer, because its upstream is slow or silent.
func TestLongAnswerOutlastsTheAttemptTimeout(t *testing.T) {
	w := newFixture(t, 10)
	first := w.add(func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)

		for range 2 {
			_, _ = rw.Write([]byte(strings.Repeat("x", longAnswerBytes)))
			_ = http.NewResponseController(rw).Flush()
			// Longer than the timeout of an attempt.
			time.Sleep(time.Second)
		}
	})
	second := w.add(respondWith(http.StatusOK, "elsewhere"))

	response, body, err := w.send("/quote/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, len(body), 2*longAnswerBytes)
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}

// Guards against a stream that is broken off at a short silence of its upstream, though no other upstream may continue it.
func TestStreamOutlastsASilenceInItsLastAttempt(t *testing.T) {
	w := newFixture(t, 10)
	pausing := func(rw http.ResponseWriter, r *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")

		from, _ := strconv.Atoi(r.Header.Get(names.LastEventID))
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: a\n\n", from+1)
		_ = http.NewResponseController(rw).Flush()
		// Longer than the timeout of an attempt of a stream.
		time.Sleep(1500 * time.Millisecond)

		_, _ = fmt.Fprintf(rw, "id: %d\ndata: b\n\n", from+2)
	}
	first, second := w.add(pausing), w.add(pausing)

	_, body, err := w.send("/talk/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: b\n\n")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 1)
}

// Guards against a stream that is broken off at a short silence of its upstream, though the retry budget allows no other attempt.
func TestStreamOutlastsASilenceWithoutRetryBudget(t *testing.T) {
	w := newFixture(t, 0)
	first := w.add(func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(rw, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(rw).Flush()
		// Longer than the timeout of an attempt of a stream.
		time.Sleep(2500 * time.Millisecond)

		_, _ = fmt.Fprint(rw, "id: 2\ndata: b\n\n")
	})
	second := w.add(streamEvents(true, 2))

	_, body, err := w.send("/talk/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}
