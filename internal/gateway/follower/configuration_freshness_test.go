package follower_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an age that outlives a pause: of a node that has computed it for another one, of one that has it in its hands, or during a
// read of the store. Removed keys would be accepted for as long as the pause lasted.
func TestNoNodeVouchesForVersionsThatItLacks(t *testing.T) {
	const (
		pauseShare = 0.15
		maxPause   = 8 * time.Second
	)

	for _, seed := range []uint64{1, 2, 3, 4} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 9)
			defer f.stop()

			time.Sleep(15 * time.Second)

			random := rand.New(rand.NewPCG(seed, 67))
			f.update(func() {
				f.pauses = func() time.Duration {
					f.mu.Lock()
					defer f.mu.Unlock()

					if random.Float64() > pauseShare {
						return 0
					}

					return time.Duration(random.Int64N(int64(maxPause)))
				}
			})

			acknowledged := make(map[int64]time.Time)

			for range 400 {
				f.update(func() { f.version++ })

				acknowledged[f.version] = time.Now()

				time.Sleep(70 * time.Millisecond)
				f.checkVersions(t, acknowledged)
			}

			// Pauses that have begun end.
			f.update(func() { f.pauses = nil })
			time.Sleep(maxPause + time.Second)
			assert.Assert(t, f.timeUntilAll(hasVersion(f.version)) < 2*time.Second)
		})
	}
}

// checkVersions compares each node's version with those that were acknowledged before its freshness time.
func (f *fleet) checkVersions(t *testing.T, acknowledged map[int64]time.Time) {
	t.Helper()

	for _, m := range f.members {
		state := m.catalog.State()

		age, known := state.ConfigurationFreshness.Age()
		if !known {
			continue
		}

		next, ok := acknowledged[state.Configuration.Version+1]
		assert.Assert(t, !ok || !next.Before(time.Now().Add(-age)), "%s has version %d by an age of %v", m.name, state.Configuration.Version, age)
	}
}
