package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// workload records which upstreams work on a request. It is safe for concurrent use.
type workload struct {
	mu sync.Mutex
	// working, most and runs count the upstreams that work now, that worked at once, and that began to.
	working, most, runs int
	leftAt              time.Time
}

// observe returns a handler whose work is recorded.
func (w *workload) observe(respond http.HandlerFunc) http.HandlerFunc {
	if respond == nil {
		return nil
	}

	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.working++
		w.runs++
		w.most = max(w.most, w.working)
		w.mu.Unlock()

		var once sync.Once

		end := func() {
			once.Do(func() {
				w.mu.Lock()
				defer w.mu.Unlock()

				w.working--
				w.leftAt = time.Now()
			})
		}
		defer end()

		stop := context.AfterFunc(r.Context(), end)
		defer stop()

		respond(rw, r)
	}
}

// Guards against upstreams that work on after the caller has left or got its answer, and against more of them than the route's
// attempts, in any order of silences, refusals, failures and departures of the caller.
func TestNoUpstreamWorksOnAfterTheCaller(t *testing.T) {
	attempts := map[string]int{"/note/1": 2, "/letter/1": 3, "/quote/1": 2}

	for seed := range uint64(300) {
		for path, limit := range attempts {
			t.Run(fmt.Sprint(path, seed), func(t *testing.T) {
				random := &randomUpstreams{random: rand.New(rand.NewPCG(seed, 1))}
				leaves := time.Duration(random.random.IntN(500)) * 10 * time.Millisecond
				byDeadline := random.random.IntN(2) == 0

				inVirtualTime(t, random.random.IntN(4), func(t *testing.T, w *fixture) {
					load := &workload{}

					for range 4 {
						w.addReplacement(load.observe(random.any()))
					}

					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()

					began := time.Now()

					if !byDeadline {
						time.AfterFunc(leaves, cancel)
					}

					_, _, _ = w.sendIn(ctx, path, func(r *http.Request) {
						if byDeadline {
							r.Header.Set(names.Deadline, strconv.FormatInt(leaves.Milliseconds()+1, 10))
						}
					})
					ended := time.Since(began)

					synctest.Wait()
					load.mu.Lock()
					defer load.mu.Unlock()

					assert.Equal(t, load.working, 0)
					assert.Assert(t, load.most <= limit, "%d upstreams at once", load.most)
					assert.Assert(t, load.leftAt.Sub(began) <= ended, "%s after %s", load.leftAt.Sub(began), ended)
				})
			})
		}
	}
}
