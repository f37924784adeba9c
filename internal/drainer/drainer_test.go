package drainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/drainer"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func options() drainer.Options {
	return drainer.Options{EntryLifetime: 10 * time.Second, DrainTimeout: 30 * time.Second}
}

// SIGTERM arrives at 0 s. Another node lists this one until 2 s, a caller uses that list until 12 s, and a request runs until 20 s.
// A shutdown that considered only requests in flight would refuse or cut off a caller whose list is still valid.
func TestDrainer_PlannedStop(t *testing.T) {
	d := drainer.New(options())
	assert.Assert(t, d.Accepting(at(0)))
	assert.Assert(t, !d.ShouldCloseConnections())
	assert.Assert(t, d.Begin(at(0)))

	for _, tt := range []struct {
		second    float64
		inFlight  int
		accepting bool
		due       bool
		phase     drainer.Phase
	}{
		{second: 0, inFlight: 3, accepting: true, phase: drainer.Leaving},
		{second: 5, inFlight: 0, accepting: true, phase: drainer.Leaving},
		{second: 11.9, inFlight: 1, accepting: true, phase: drainer.Leaving},
		{second: 12, inFlight: 1, phase: drainer.Finishing},
		{second: 19, inFlight: 1, phase: drainer.Finishing},
		{second: 20, inFlight: 0, due: true, phase: drainer.HandingOver},
		{second: 21, inFlight: 0, phase: drainer.HandingOver},
	} {
		assert.Equal(t, d.Accepting(at(tt.second)), tt.accepting, "at %v s", tt.second)
		assert.Equal(t, d.StartHandover(at(tt.second), tt.inFlight), tt.due, "at %v s", tt.second)
		assert.Equal(t, d.Phase(at(tt.second)), tt.phase, "at %v s", tt.second)
		assert.Assert(t, d.ShouldCloseConnections())

		done, _ := d.Done(at(tt.second), tt.inFlight)
		assert.Assert(t, !done, "at %v s", tt.second)
	}

	d.CompleteHandover()

	done, reason := d.Done(at(21), 0)
	assert.Assert(t, done)
	assert.Equal(t, reason, drainer.ReasonDrained)
}

// After SIGTERM a stream does not end, or the handover hangs. Without a deadline the node would never stop.
func TestDrainer_Deadline(t *testing.T) {
	d := drainer.New(options())
	d.Begin(at(0))

	done, _ := d.Done(at(29.9), 1)
	assert.Assert(t, !done)

	done, reason := d.Done(at(30), 1)
	assert.Assert(t, done)
	assert.Equal(t, reason, drainer.ReasonDeadline)
}

// An operator sends SIGTERM twice. If the second signal were treated like the first, it would have no effect.
func TestDrainer_SecondSignal(t *testing.T) {
	d := drainer.New(options())
	d.Begin(at(0))
	assert.Assert(t, !d.Begin(at(1)))
	assert.Assert(t, !d.Accepting(at(1)))

	done, reason := d.Done(at(1), 5)
	assert.Assert(t, done)
	assert.Equal(t, reason, drainer.ReasonSecondSignal)
}

// A shutdown that ends with ReasonDrained has cut off no request and refused no caller whose list of entries was valid.
func TestDrainer_NothingIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drainer.New(options())
		d.Begin(at(0))

		inFlight := rapid.IntRange(0, 5).Draw(t, "in_flight")

		for now := 0.0; now < 40; now += 0.5 {
			if d.Accepting(at(now)) {
				inFlight += rapid.IntRange(0, 2).Draw(t, "arrive")
			} else if now < 12 {
				t.Fatalf("refused at %v s", now)
			}

			inFlight -= min(inFlight, rapid.IntRange(0, 3).Draw(t, "finish"))

			if d.StartHandover(at(now), inFlight) {
				d.CompleteHandover()
			}

			done, reason := d.Done(at(now), inFlight)
			if !done {
				continue
			}

			if reason == drainer.ReasonDrained && inFlight > 0 {
				t.Fatalf("%d requests cut off", inFlight)
			}

			return
		}

		t.Fatal("never done")
	})
}

// An upstream reports that it is leaving while the platform's list lags or is unavailable. If a missing mark of one source cleared
// the marks of others, the upstream would get new requests.
func TestUpstreamLeaving_AnySourceHolds(t *testing.T) {
	u := drainer.NewLeavingUpstreams()
	u.Mark(at(1), drainer.SourceReport, "a", true)
	u.Replace(at(2), drainer.SourceList, nil)
	u.Replace(at(3), drainer.SourceSettings, []string{"b"})

	since, leaving := u.Leaving("a")
	assert.Assert(t, leaving)
	assert.Equal(t, since, at(1))

	u.Replace(at(4), drainer.SourceList, []string{"a"})
	u.Mark(at(5), drainer.SourceReport, "a", false)

	_, leaving = u.Leaving("a")
	assert.Assert(t, leaving, "the list still marks it")

	u.Replace(at(6), drainer.SourceList, []string{"c"})

	_, leaving = u.Leaving("a")
	assert.Assert(t, !leaving)

	_, leaving = u.Leaving("b")
	assert.Assert(t, leaving)
}
