package relayer_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// untilLeft records when the relayer leaves an upstream that sends nothing more.
type untilLeft struct {
	begun time.Time
	after time.Duration
}

// wait waits until the relayer leaves.
func (l *untilLeft) wait(r *http.Request) {
	<-r.Context().Done()
	l.after = time.Since(l.begun)
}

// resumesAfter sends, after a time, the events up to 6 that its caller lacks.
func resumesAfter(silence time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		beginStream(rw)
		time.Sleep(silence)

		last, _ := strconv.Atoi(r.Header.Get(names.LastEventID))
		for id := last + 1; id <= 6; id++ {
			sendEvents(rw, id)
		}
	}
}

// Guards against two upstreams that work on one stream for long: the replacement is left as soon as the silent upstream goes on.
func TestReplacementIsLeftWhenTheSilentUpstreamGoesOn(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
		replacement := &untilLeft{begun: time.Now()}
		w.add(goesOnAfter(shortSilence))
		second := w.add(func(rw http.ResponseWriter, r *http.Request) {
			beginStream(rw)
			replacement.wait(r)
		})

		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		assert.Equal(t, second.count(), 1)
		assert.DeepEqual(t, w.outcomesOf(), []string{"served", "abandoned"})
		synctest.Wait()
		assert.Equal(t, replacement.after, shortSilence)
		assert.Equal(t, w.counter("replacement_unneeded"), int64(1))
	})
}

// Guards against a silent upstream that is left late, or not at all, once its replacement delivers.
func TestSilentUpstreamIsLeftWhenTheReplacementDelivers(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
		silent := &untilLeft{begun: time.Now()}
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			beginStream(rw)
			sendEvents(rw, 1, 2, 3)
			silent.wait(r)
		})
		second := w.add(resumesAfter(200 * time.Millisecond))

		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		assert.Equal(t, second.requests[0].Header.Get(names.LastEventID), "3")
		synctest.Wait()
		assert.Equal(t, silent.after, 1200*time.Millisecond)
		assert.Equal(t, w.counter("replacement_took_over"), int64(1))
	})
}

// Guards against events that are delivered twice, or not at all, when both upstreams go on at the same moment.
func TestBothUpstreamsGoOnAtOnce(t *testing.T) {
	for range 100 {
		inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
			w.add(goesOnAfter(shortSilence))
			w.add(resumesAfter(shortSilence - time.Second))

			_, body, err := w.send("/note/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, sixEvents())
			assert.Equal(t, w.counter("replacement_took_over")+w.counter("replacement_unneeded"), int64(1))
		})
	}
}

// Guards against short answers that are delivered twice, or not at all, when both upstreams answer at the same moment.
func TestBothUpstreamsAnswerAtOnce(t *testing.T) {
	answerAfter := func(silence time.Duration) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(silence)
			respondWith(http.StatusOK, "answer")(rw, r)
		}
	}

	for range 100 {
		inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
			w.add(answerAfter(shortSilence))
			w.add(answerAfter(shortSilence - 400*time.Millisecond))

			_, body, err := w.send("/quote/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "answer")
			assert.Equal(t, len(w.usage.counts), 1)
			assert.Equal(t, w.usage.counts["salon"], 1)
		})
	}
}

// Guards against a request that is sent more often than its route's attempts or the retry budget allow, while attempts of it are
// silent and others fail.
func TestSilentAttemptCountsForTheLimits(t *testing.T) {
	fails := respondWith(http.StatusInternalServerError, "oh")

	for name, c := range map[string]struct {
		path         string
		extra, sends int
	}{
		"two attempts":         {path: "/note/1", extra: 10, sends: 2},
		"three attempts":       {path: "/letter/1", extra: 10, sends: 3},
		"one permit":           {path: "/letter/1", extra: 1, sends: 2},
		"no permit":            {path: "/letter/1", extra: 0, sends: 1},
		"short, two attempts":  {path: "/quote/1", extra: 10, sends: 2},
		"not to be sent twice": {path: "/book/1", extra: 10, sends: 1},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, c.extra, func(t *testing.T, w *fixture) {
				w.add(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(12 * time.Second)
					resumesAfter(0)(rw, r)
				})

				for range 4 {
					w.add(fails)
				}

				_, body, err := w.send(c.path, nil)
				assert.NilError(t, err)
				assert.Equal(t, body, sixEvents())
				assert.Equal(t, len(w.chosen), c.sends)
				assert.Equal(t, w.counter("replacement_failed"), int64(c.sends-1))
			})
		})
	}
}

// Guards against refusals that use up more sends than a request may have.
func TestRefusedReplacementsCountAsSends(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		w.add(goesOnAfter(18 * time.Second))

		for range 6 {
			w.add(rejectWith(http.StatusServiceUnavailable))
		}

		_, body, err := w.send("/note/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		assert.Equal(t, len(w.chosen), 4)
	})
}

// Guards against a stream that waits for a replacement which is silent itself, though a third attempt is left.
func TestSilentReplacementIsReplaced(t *testing.T) {
	inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
		first, second := &untilLeft{begun: time.Now()}, &untilLeft{begun: time.Now()}
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			beginStream(rw)
			sendEvents(rw, 1, 2, 3)
			first.wait(r)
		})
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			beginStream(rw)
			second.wait(r)
		})
		w.add(resumesAfter(0))

		_, body, err := w.send("/letter/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, sixEvents())
		synctest.Wait()
		assert.Equal(t, first.after, 2*time.Second)
		assert.Equal(t, second.after, 2*time.Second)
	})
}

// Guards against upstreams that work on for a caller who has left, or whose time is over, while an attempt and its replacement
// overlap.
func TestBothUpstreamsAreLeftWithTheCaller(t *testing.T) {
	const timeout = 3 * time.Second

	for name, c := range map[string]struct {
		path   string
		leaves bool
	}{
		"caller leaves":                {path: "/note/1", leaves: true},
		"caller leaves a short answer": {path: "/quote/1", leaves: true},
		"time is over":                 {path: "/note/1"},
		"time of a short answer":       {path: "/quote/1"},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
				first, second := &untilLeft{begun: time.Now()}, &untilLeft{begun: time.Now()}
				w.add(func(_ http.ResponseWriter, r *http.Request) { first.wait(r) })
				w.add(func(_ http.ResponseWriter, r *http.Request) { second.wait(r) })

				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				if c.leaves {
					time.AfterFunc(timeout, cancel)
				}

				response, _, err := w.sendIn(ctx, c.path, func(r *http.Request) {
					if !c.leaves {
						r.Header.Set(names.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
					}
				})

				if c.leaves {
					assert.ErrorIs(t, err, context.Canceled)
				} else {
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
				}

				assert.DeepEqual(t, w.outcomesOf(), []string{"abandoned", "abandoned"})
				synctest.Wait()
				assert.Equal(t, first.after, timeout)
				assert.Equal(t, second.after, timeout)
			})
		})
	}
}

// Guards against an error response that is delivered though the silent upstream still answers, or that is lost though it doesn't.
func TestErrorResponseWaitsForTheSilentUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		silent http.HandlerFunc
		want   int
		after  time.Duration
	}{
		"answers": {silent: func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(shortSilence)
			respondWith(http.StatusOK, "late")(rw, r)
		}, want: http.StatusOK, after: shortSilence},
		"breaks off": {silent: func(http.ResponseWriter, *http.Request) {
			time.Sleep(shortSilence)
			panic(http.ErrAbortHandler)
		}, want: http.StatusInternalServerError, after: shortSilence},
		"hangs": {silent: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, want: http.StatusInternalServerError, after: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
				begun := time.Now()
				w.add(c.silent)
				w.add(respondWith(http.StatusInternalServerError, "oh"))

				response, _, err := w.send("/quote/1", func(r *http.Request) { r.Header.Set(names.Deadline, "3000") })
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, c.want)
				assert.Equal(t, time.Since(begun), c.after)
			})
		})
	}
}

// Guards against a replacement that is thrown away, though it is under way, because the silent upstream breaks off meanwhile.
func TestReplacementOutlastsTheSilentAttempt(t *testing.T) {
	for name, path := range map[string]string{"stream": "/note/1", "short answer": "/quote/1"} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
				w.add(func(http.ResponseWriter, *http.Request) {
					time.Sleep(shortSilence)
					panic(http.ErrAbortHandler)
				})
				second := w.add(resumesAfter(2 * time.Second))

				_, body, err := w.send(path, nil)
				assert.NilError(t, err)
				assert.Equal(t, body, sixEvents())
				assert.Equal(t, second.count(), 1)
				assert.DeepEqual(t, w.outcomesOf(), []string{"failed", "served"})
			})
		})
	}
}
