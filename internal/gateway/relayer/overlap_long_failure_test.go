package relayer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a silent upstream that is given up for an error response, since that is too long to be kept.
func TestLongErrorResponseWaitsForTheSilentUpstream(t *testing.T) {
	for name, path := range map[string]string{"stream": "/note/1", "short answer": "/quote/1"} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
				w.add(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(shortSilence)
					resumesAfter(0)(rw, r)
				})
				w.add(respondWith(http.StatusInternalServerError, strings.Repeat("oh", 150<<10)))

				response, body, err := w.send(path, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, sixEvents())
			})
		})
	}
}
