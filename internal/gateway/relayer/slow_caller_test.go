package relayer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that is sent a second time because its caller reads slowly: its upstream isn't read meanwhile.
func TestSlowCallerIsNoSilenceOfItsUpstream(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		// More than the event queue holds.
		long := "data: " + strings.Repeat("x", 40<<10) + "\n\n"
		w.add(func(rw http.ResponseWriter, _ *http.Request) {
			beginStream(rw)

			for _, id := range []string{"1", "2", "3", "4"} {
				_, _ = io.WriteString(rw, "id: "+id+"\n"+long)
			}
		})
		second := w.add(resumesAfter(0))

		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.server.URL+"/note/1", nil)
		assert.NilError(t, err)
		request.Host = "shop.example"
		request.Header.Set(names.RequestID, "id-1")
		request.Header.Set("Authorization", "Token k1")

		response, err := w.client.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()

		time.Sleep(10 * time.Second)

		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), 4*len("id: 1\n"+long))
		assert.Equal(t, second.count(), 0)
	})
}
