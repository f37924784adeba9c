package relayer_test

import (
	"net/http"
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

	response, body, err := w.send("/quote/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, len(body), 2*longAnswerBytes)
	assert.Equal(t, first.count(), 1)
}
