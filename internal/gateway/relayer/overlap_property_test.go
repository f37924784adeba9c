package relayer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomUpstreams makes upstreams that behave at random. It is safe for concurrent use.
type randomUpstreams struct {
	mu     sync.Mutex
	random *rand.Rand
}

// silence returns a time for which a sound upstream is silent.
func (u *randomUpstreams) silence() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()

	if u.random.IntN(2) == 0 {
		return 0
	}

	return time.Duration(u.random.IntN(15)) * 100 * time.Millisecond
}

// sound answers each request whole, with short silences.
func (u *randomUpstreams) sound(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/quote/1" {
		time.Sleep(u.silence())
		respondWith(http.StatusOK, sixEvents())(rw, r)

		return
	}

	beginStream(rw)

	last, _ := strconv.Atoi(r.Header.Get(names.LastEventID))
	for id := last + 1; id <= 6; id++ {
		time.Sleep(u.silence())
		sendEvents(rw, id)
	}
}

// any returns the behaviour of another upstream.
func (u *randomUpstreams) any() http.HandlerFunc {
	useless := uselessReplacements()
	useless["hangs"] = hangs
	kinds := append(slices.Sorted(maps.Keys(useless)), "sound", "sound", "sound", "sound")

	switch kind := kinds[u.random.IntN(len(kinds))]; kind {
	case "sound":
		return u.sound
	default:
		respond := useless[kind]
		if respond == nil {
			return nil
		}

		return func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(u.silence())
			respond(rw, r)
		}
	}
}

// Guards against any order of silences, refusals and failures in which a request loses an answer that a sound upstream has, or gets
// a part of it twice.
func TestSoundUpstreamsLoseNoAnswer(t *testing.T) {
	ends := map[string]int64{"replacement_took_over": 0, "replacement_unneeded": 0, "replacement_failed": 0}

	for seed := range uint64(300) {
		for _, path := range []string{"/note/1", "/letter/1", "/quote/1"} {
			t.Run(fmt.Sprint(path, seed), func(t *testing.T) {
				random := &randomUpstreams{random: rand.New(rand.NewPCG(seed, 0))}

				inVirtualTime(t, random.random.IntN(3), func(t *testing.T, w *fixture) {
					w.add(random.sound)

					for range 3 {
						w.addReplacement(random.any())
					}

					response, body, err := w.send(path, nil)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Equal(t, body, sixEvents())

					for name := range ends {
						ends[name] += w.counter(name)
					}
				})
			})
		}
	}

	// Each kind of end is seen often.
	for name, count := range ends {
		assert.Assert(t, count > 10, "%s %d", name, count)
	}

	t.Log(ends)
}
