package relayer_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standStill makes the process stand still once, from and for the given time.
func (w *fixture) standStill(from, span time.Duration) {
	begun := time.Now()
	w.paused = func() time.Duration { return min(max(time.Since(begun)-from, 0), span) }
	w.restart()
}

// Guards against requests that are sent a second time because this node stood still, and all of its upstreams looked silent.
func TestPauseOfTheNodeIsNoSilenceOfUpstreams(t *testing.T) {
	const (
		pauseBegin = 500 * time.Millisecond
		pause      = 600 * time.Millisecond
	)

	t.Run("stream", func(t *testing.T) {
		inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
			w.standStill(pauseBegin, pause)
			w.add(goesOnAfter(shortSilence))
			second := w.add(resumesAfter(0))

			_, body, err := w.send("/note/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, sixEvents())
			assert.Equal(t, second.count(), 0)
		})
	})

	t.Run("short answer", func(t *testing.T) {
		inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
			w.standStill(pauseBegin-200*time.Millisecond, pause)
			w.add(func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(900 * time.Millisecond)
				respondWith(http.StatusOK, "answer")(rw, r)
			})
			second := w.add(respondWith(http.StatusOK, "elsewhere"))

			_, body, err := w.send("/quote/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "answer")
			assert.Equal(t, second.count(), 0)
		})
	})

	// An event of one stream shortly before the pause shows that the upstream of another one isn't silent.
	t.Run("upstream that was active before", func(t *testing.T) {
		inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
			w.standStill(pauseBegin, pause)

			var requests sync.Mutex

			first := true
			w.add(func(rw http.ResponseWriter, r *http.Request) {
				beginStream(rw)
				requests.Lock()
				isFirst := first
				first = false
				requests.Unlock()

				if isFirst {
					time.Sleep(pauseBegin - 50*time.Millisecond)
					sendEvents(rw, 1)
					time.Sleep(1350 * time.Millisecond)
				} else {
					time.Sleep(1800 * time.Millisecond)
					sendEvents(rw, 1)
				}

				sendEvents(rw, 2, 3, 4, 5, 6)
			})
			second := w.add(resumesAfter(0))

			var group sync.WaitGroup
			for range 2 {
				group.Go(func() {
					_, body, err := w.send("/note/1", nil)
					assert.Check(t, err)
					assert.Check(t, body == sixEvents())
				})
			}

			group.Wait()
			assert.Equal(t, second.count(), 0)
		})
	})
}
