package process_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/replayer"
)

// Symptom: bookings run twice, or callers get no answer, on a day when nodes crash.
// Events: during a replay two of four nodes are killed, one shortly after the other, and started again; bookings are asked for twice under one key.
// Cause: what a node alone knew is gone with it; the callers' second requests and the claims in the platform have to be enough.
func TestTwoKilledNodesDuringReplay(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 4)
	options := f.replayOptions()
	events := mix(1, 60, 7*time.Second)
	reached := milestones(&options, len(events)/6, len(events)/4, len(events)/2, len(events)*2/3)
	done := inBackground(t, options, events)

	<-reached[0]
	f.nodes[1].kill()
	<-reached[1]
	f.nodes[2].kill()
	<-reached[2]
	f.nodes[1] = f.startNode(t, 1)
	<-reached[3]
	f.nodes[2] = f.startNode(t, 2)

	result := <-done
	f.checkPromises(t, result)

	// The kills must have hit requests, or the test would show nothing.
	tries := callsBeyondFirst(result)
	assert.Assert(t, tries > 0, "no caller noticed the kills")
	t.Logf("bookings ended: %v; calls beyond the first: %d of %d events", endings(result, "booking"), tries, len(events))
}

// milestones returns channels that close when the given numbers of events have ended.
func milestones(options *replayer.Options, counts ...int) []chan struct{} {
	reached := make([]chan struct{}, len(counts))
	for i := range reached {
		reached[i] = make(chan struct{})
	}

	options.Progress = func(ended, _ int) {
		for i, count := range counts {
			if ended == count {
				close(reached[i])
			}
		}
	}

	return reached
}

// Symptom: every roll-out of a new version costs a few callers their answers.
// Events: under load each of nine nodes is asked to stop, ends, and is started again; then the next.
// Cause: a node that stops listening while callers still hold its address, or ends while it still serves, cuts them off.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	t.Parallel()
	newFleet(t, 9).restartAll(t)
}

// Symptom: a restarted node refuses an organisation that is far below its limits.
// Events: as above, with limits of twenty times what the organisation uses.
// Cause: a node that began lends and borrows nothing until what may be lent elsewhere has ended.
func TestRollingRestartKeepsLimitedOrganisation(t *testing.T) {
	t.Parallel()

	f := newFleetOf(t, 9, shape{organisation: "concurrency: 200, requests_per_second: 1000"})

	for i := range f.nodes {
		waitFor(t, "the first loans", func() bool { return f.lookUpAt(t, i) == "ok" })
	}

	f.restartAll(t)
}

// restartAll restarts one node after the other under load; no request may fail.
func (f *fleet) restartAll(t *testing.T) {
	t.Helper()

	rolled := make(chan struct{})
	done := untilClosed(t, f.replayOptions(), rolled)

	for i := range f.nodes {
		f.nodes[i].stop(t)
		f.nodes[i] = f.startNode(t, i)
	}

	close(rolled)

	requests := 0

	for result := range done {
		requests += len(result.Outcomes)
		f.checkPromises(t, result)

		for _, v := range result.Outcomes {
			// A try without a request id met a node that was gone or would not take it. The other
			// tries beyond the first are those of a key that was still running: told to come back, they did.
			if v.Ending != replayer.Whole || len(v.RequestIDs) < v.Tries || len(v.NotRunIDs) > 0 {
				t.Errorf("a request failed at first: %s", describe(v))
			}
		}
	}

	t.Logf("%d requests during the restart of %d nodes", requests, len(f.nodes))
}

// untilClosed plays one short trace after the other until the channel closes.
func untilClosed(t *testing.T, options replayer.Options, stop <-chan struct{}) <-chan replayer.Result {
	t.Helper()

	const most = 100

	results := make(chan replayer.Result, most)

	go func() {
		defer close(results)

		for seed := uint64(100); seed < 100+most && !isClosed(stop); seed++ {
			result, err := replayer.New(options).Play(t.Context(), mix(seed, 40, 2*time.Second))
			if err != nil {
				t.Errorf("replay: %v", err)

				return
			}

			results <- result
		}
	}()

	return results
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
