package quarantiner_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
)

// returnFromCopy makes the store hold what it held before.
func (f *fleet) returnFromCopy(stored map[quarantiner.Key]quarantiner.Quarantine) {
	f.mu.Lock()
	f.stored = maps.Clone(stored)
	f.storeReturns++
	f.mu.Unlock()
	f.list()
}

// storePart makes the store hold the quarantine of a part, and all nodes know it.
func (f *fleet) storePart() quarantiner.Quarantine {
	part := quarantiner.Quarantine{Key: key("part"), Since: time.Now().UnixMilli(), Crashes: 5, Part: "part"}

	f.mu.Lock()
	f.stored[part.Key] = part
	f.mu.Unlock()
	f.list()

	return part
}

func (f *fleet) copyOfStore() map[quarantiner.Key]quarantiner.Quarantine {
	f.mu.Lock()
	defer f.mu.Unlock()

	return maps.Clone(f.stored)
}

// Guards against a request that crashes upstreams again since the store lost its quarantine.
func TestQuarantineThatTheStoreLostIsStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		loss := f.copyOfStore()
		f.crashThree()
		time.Sleep(5 * time.Second)
		f.list()
		assert.Equal(t, f.recorded(), 1)

		f.returnFromCopy(loss)
		assert.Equal(t, f.held(key("culprit")), 5)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.recorded(), 1)

		f.list()
		assert.Equal(t, f.held(key("culprit")), 5)

		// Operators lift it.
		f.mu.Lock()
		clear(f.stored)
		f.mu.Unlock()
		f.list()
		assert.Equal(t, f.held(key("culprit")), 0)
	})
}

// Guards against a part that is tried more often than it may, since the store holds its quarantine as of before the last trial.
func TestTrialThatTheStoreLostIsStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		part := f.storePart()
		loss := f.copyOfStore()
		tried := part
		tried.Since, tried.Trials = part.Since+1000, 1
		f.mu.Lock()
		f.stored[part.Key] = tried
		f.mu.Unlock()
		f.list()

		f.returnFromCopy(loss)
		time.Sleep(3 * time.Second)

		assert.Equal(t, f.copyOfStore()[part.Key], tried)
	})
}

// Guards against a quarantine that was lifted and comes back with the copy, for nodes that start later.
func TestLiftedQuarantineThatTheStoreHoldsAgainIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		part := f.storePart()
		loss := f.copyOfStore()
		f.nodes["n0"].Survived(quarantiner.Traits{Parts: []quarantiner.Part{{Key: part.Key, ID: part.Part}}}, "s")
		time.Sleep(3 * time.Second)
		f.list()
		assert.Equal(t, f.recorded(), 0)

		f.returnFromCopy(loss)

		for range 3 {
			time.Sleep(30 * time.Second)
			f.list()
		}

		assert.Equal(t, f.recorded(), 0)
	})
}

// Guards against a quarantine that operators lifted and that comes back with the copy.
func TestLiftingByOperatorsIsNotForgottenWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		part := f.storePart()
		loss := f.copyOfStore()
		f.mu.Lock()
		clear(f.stored)
		f.mu.Unlock()
		f.list()
		assert.Equal(t, f.held(part.Key), 0)

		f.returnFromCopy(loss)
		assert.Equal(t, f.held(part.Key), 0)

		for range 3 {
			time.Sleep(30 * time.Second)
			f.list()
		}

		assert.Equal(t, f.recorded(), 0)

		// What is written long after counts.
		time.Sleep(11 * time.Minute)
		f.list()
		f.mu.Lock()
		f.stored[part.Key] = part
		f.mu.Unlock()
		f.list()
		assert.Equal(t, f.held(part.Key), 3)
	})
}

// Guards against a trial that is granted twice, since the store lost the first one before any other node read it.
func TestTrialThatTheStoreLostIsNotGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		part := f.storePart()
		loss := f.copyOfStore()
		request := quarantiner.Traits{Parts: []quarantiner.Part{{Key: part.Key, ID: part.Part}}}
		trials := func(seconds int) int {
			granted := 0

			for range seconds {
				for _, n := range f.nodes {
					if _, mayRun := n.Check(request, quarantiner.Key{}); mayRun {
						granted++
					}
				}

				if granted > 0 && seconds > 60 {
					break
				}

				time.Sleep(time.Second)
			}

			return granted
		}

		assert.Equal(t, trials(2*3600), 1)
		f.returnFromCopy(loss)
		assert.Equal(t, trials(60), 0)
	})
}
