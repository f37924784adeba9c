package relayer_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// namedEvents sends events whose IDs are no numbers, so that one that comes twice can't be told by its ID.
func namedEvents(rw http.ResponseWriter, ids ...string) {
	for _, id := range ids {
		_, _ = fmt.Fprintf(rw, "id: %s\ndata: piece\n\n", id)
	}

	_ = http.NewResponseController(rw).Flush()
}

// Guards against events that are delivered twice where their IDs don't tell, when both upstreams go on at the same moment.
func TestBothUpstreamsGoOnAtOnceWithNamedEvents(t *testing.T) {
	for range 100 {
		inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
			w.add(func(rw http.ResponseWriter, _ *http.Request) {
				beginStream(rw)
				namedEvents(rw, "a", "b")
				time.Sleep(shortSilence)
				namedEvents(rw, "c")
				namedEvents(rw, "d")
			})
			w.add(func(rw http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.Header.Get(names.LastEventID) == "b")
				beginStream(rw)
				time.Sleep(shortSilence - time.Second)
				namedEvents(rw, "c", "d")
			})

			_, body, err := w.send("/note/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "id: a\ndata: piece\n\nid: b\ndata: piece\n\nid: c\ndata: piece\n\nid: d\ndata: piece\n\n")
		})
	}
}

// Guards against a stream whose caller has all events and waits for its end at an upstream that hangs.
func TestReplacementMayEndTheStream(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			beginStream(rw)
			sendEvents(rw, 1, 2, 3, 4, 5, 6)
			<-r.Context().Done()
		})
		w.add(resumesAfter(0))

		begun := time.Now()
		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		assert.Equal(t, time.Since(begun), time.Second)
	})
}

// Guards against a stream that is cut, and looks whole, because the replacement closed its connection before its first event: where a
// response ends with its connection, a crash looks like its end.
func TestClosedReplacementDoesNotEndTheStream(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
		w.add(goesOnAfter(shortSilence))
		w.add(closeDelimited(eventStream, "", false))

		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		assert.Equal(t, w.counter("replacement_failed"), int64(1))
	})
}

// Guards against a stream that goes on at another software version because its own upstream is silent.
func TestSilentStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		w.ignoreVersions = true
		w.add(goesOnAfter(shortSilence))
		other := w.add(resumesAfter(0))
		other.version = "v2"

		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		assert.Equal(t, other.count(), 0)
	})
}

// Guards against a long response that is given up for a replacement, or that starts twice, once its beginning has been delivered.
func TestLongReplacementTakesOver(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		long := make([]byte, longAnswerBytes)
		w.add(hangs)
		second := w.add(func(rw http.ResponseWriter, _ *http.Request) {
			sign(rw)
			_, _ = rw.Write(long)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(10 * time.Second)
			_, _ = rw.Write(long)
		})
		third := w.add(respondWith(http.StatusOK, "elsewhere"))

		_, body, err := w.send("/letter/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, len(body), 2*longAnswerBytes)
		assert.Equal(t, second.count(), 1)
		assert.Equal(t, third.count(), 0)
	})
}
