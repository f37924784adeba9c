package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soundSilence is how long a sound upstream may be silent; it is longer than the attempt timeouts of impatient routes.
const soundSilence = 1500 * time.Millisecond

// silentBefore is silent before it responds.
func silentBefore(respond http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(soundSilence)
		respond(rw, r)
	}
}

// Guards against a request that fails because its upstream was silent for a second or so, although no other upstream could
// take it.
func TestSilentUpstreamIsWaitedForWhereNoOtherTakesTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		upstreams, extra, sends int
	}{
		"no other upstream":     {upstreams: 1, extra: 10, sends: 1},
		"retry budget is spent": {upstreams: 2, extra: 0, sends: 1},
		"no attempt is left":    {upstreams: 3, extra: 10, sends: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			w := newFixture(t, c.extra)
			for range c.upstreams {
				w.add(silentBefore(respondWith(http.StatusOK, "late")))
			}

			response, body, err := w.send("/quote/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, "late")

			sends := 0
			for _, u := range w.upstreams {
				sends += u.count()
			}

			assert.Equal(t, sends, c.sends)
		})
	}
}

// Guards against a stream that is broken off because its upstream was silent between two events, although no other
// upstream could resume it.
func TestStreamGoesOnAfterASilenceWhereNoOtherResumesIt(t *testing.T) {
	w := newFixture(t, 10)
	u := w.add(func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")

		for id := range 3 {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", id+1)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(soundSilence)
		}
	})

	_, body, err := w.send("/note/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\nid: 3\ndata: piece\n\n")
	assert.Equal(t, u.count(), 1)
}

// Guards against a request that is not repeatable and is broken off or sent again because its upstream was silent for a
// second or so.
func TestNotRepeatableRequestEnduresASilence(t *testing.T) {
	w := newFixture(t, 10)
	first, second := w.add(silentBefore(respondWith(http.StatusOK, "late"))), w.add(respondWith(http.StatusOK, "twice"))

	_, body, err := w.send("/book/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "late")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}

// Guards against a request that waits for a silent upstream although another one could take it.
func TestSilentUpstreamIsNotWaitedForWhereAnotherTakesTheRequest(t *testing.T) {
	w := newFixture(t, 10)
	released := make(chan struct{})
	first := w.add(func(http.ResponseWriter, *http.Request) { <-released })
	second := w.add(respondWith(http.StatusOK, "elsewhere"))
	// Runs before the upstreams' servers are closed, which wait for their handlers.
	t.Cleanup(func() { close(released) })

	_, body, err := w.send("/quote/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "elsewhere")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 1)
}

// lender is a peer that lends what it is asked for, or nothing. It implements budgeter.Peers.
type lender struct{ lends bool }

func (l *lender) Call(_ context.Context, _, _ string, params, result any) error {
	if !l.lends {
		return nil
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	return json.Unmarshal(data, result)
}

// Guards against a request that fails because its silent upstream was given up for an attempt whose borrowed permit had expired
// while an upstream was searched for.
func TestSilentUpstreamIsWaitedForWhenThePermitExpiresInTheSearch(t *testing.T) {
	w := newFixture(t, 0)
	first, second := w.add(silentBefore(respondWith(http.StatusOK, "late"))), w.add(respondWith(http.StatusOK, "elsewhere"))

	choices := 0
	w.peer = &lender{lends: true}
	w.onChoose = func() {
		if choices++; choices == 2 {
			// Longer than a borrowed permit may be used; nobody lends another.
			w.now += time.Minute
			w.peer.lends = false
		}
	}
	w.restart()

	response, body, err := w.send("/quote/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "late")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}

// Guards against a request that fails because its silent upstream was given up for one whose rate limit forbids its use.
func TestSilentUpstreamIsWaitedForWhereTheOtherMayNotBeUsed(t *testing.T) {
	w := newFixture(t, 10)
	first, second := w.add(silentBefore(respondWith(http.StatusOK, "late"))), w.add(respondWith(http.StatusOK, "elsewhere"))
	w.rateLimited = second.name

	response, body, err := w.send("/quote/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "late")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}
