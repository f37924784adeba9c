package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two attempts of one request that are silent and of which the first is refused after all: the third attempt, which the route
// then has left, isn't sent though the second one hangs.
func TestAttemptThatARefusalLeavesIsUsed(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(shortSilence)
			rejectWith(http.StatusServiceUnavailable)(rw, r)
		})
		w.add(hangs)
		w.add(respondWith(http.StatusOK, "answer"))

		response, body, err := w.send("/quote/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "answer")
	})
}

// Guards against a stream that hangs for good although the route has an attempt left: its first event came while a replacement was being
// connected that was never sent.
func TestStreamThatBeganBesideAnUnsentReplacementIsFollowed(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			beginStream(rw)
			time.Sleep(shortSilence)
			sendEvents(rw, 1)
			hangs(rw, r)
		})
		// It takes no connection.
		w.add(nil).address = w.network.listen().Addr().String()
		w.add(resumesAfter(0))

		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
	})
}
