package process_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/tracer"
)

// replayLimit only ends a replay that would hang.
const replayLimit = 2 * time.Minute

// answerLimit is how long a caller of a replay waits, with all its tries.
const answerLimit = 40 * time.Second

// kinds are the requests of a mix, with their parts of ten.
var kinds = []struct {
	parts int
	event tracer.Event
}{
	{4, tracer.Event{Service: "assistente", Class: "counter_lookup", PromptTokens: 12, AnswerTokens: 20}},
	{2, tracer.Event{Service: "assistente", Class: "owner_chat", PromptTokens: 40, AnswerTokens: 60}},
	{1, tracer.Event{Service: "assistente", Class: "care_notes", PromptTokens: 40, AnswerTokens: 120}},
	{1, tracer.Event{Service: "banco", Class: "lookup", Path: "/price"}},
	{2, tracer.Event{Service: "banco", Class: "booking", Path: "/book", NotRepeatable: true}},
}

// mix returns a seeded trace of both services. Every second booking is sent
// again with its idempotency key shortly after, as by a caller in doubt.
func mix(seed uint64, perSecond int, length time.Duration) []tracer.Event {
	random := rand.New(rand.NewPCG(seed, 0))
	count := int(length.Seconds() * float64(perSecond))

	var events []tracer.Event

	for i := range count {
		event := draw(random)
		event.AtMS = int64(i) * length.Milliseconds() / int64(count)
		event.Organisation = "barbagallo"
		event.ComeBack = true

		if event.NotRepeatable {
			event.IdempotencyKey = fmt.Sprintf("bath-%d-%d", seed, i)
		}

		events = append(events, event)

		if event.NotRepeatable && random.IntN(2) == 0 {
			event.AtMS += random.Int64N(400)
			events = append(events, event)
		}
	}

	slices.SortStableFunc(events, func(a, b tracer.Event) int { return int(a.AtMS - b.AtMS) })

	return events
}

func draw(random *rand.Rand) tracer.Event {
	part := random.IntN(10)

	for _, kind := range kinds {
		if part -= kind.parts; part < 0 {
			return kind.event
		}
	}

	return kinds[0].event
}

// replayOptions are the usual ones: callers know all nodes and ask again as their keys allow.
func (f *fleet) replayOptions() replayer.Options {
	options := replayer.Options{
		Keys:        map[string]string{"barbagallo": callerKey},
		AnswerLimit: answerLimit,
		StandIns:    true,
		AskAgain:    true,
	}

	for _, v := range f.nodeSpecs {
		options.Entries = append(options.Entries, v.entryAddress)
	}

	return options
}

// replay plays the events and returns once each has ended.
func replay(t *testing.T, options replayer.Options, events []tracer.Event) replayer.Result {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), replayLimit)
	defer cancel()

	result, err := replayer.New(options).Play(ctx, events)
	assert.NilError(t, err)

	return result
}

// inBackground plays the events and hands the result over when it is there.
func inBackground(t *testing.T, options replayer.Options, events []tracer.Event) <-chan replayer.Result {
	t.Helper()

	done := make(chan replayer.Result, 1)
	ctx, cancel := context.WithTimeout(t.Context(), replayLimit)

	go func() {
		defer close(done)
		defer cancel()

		result, err := replayer.New(options).Play(ctx, events)
		if err != nil {
			t.Errorf("replay: %v", err)

			return
		}

		done <- result
	}()

	return done
}

// checkPromises compares what callers were told with what the stand-ins recorded:
// no wrong, missing or double answer, and nothing ran that was called not run.
func (f *fleet) checkPromises(t *testing.T, result replayer.Result) {
	t.Helper()

	addresses := []string{f.service.address}
	for _, engine := range f.engines {
		addresses = append(addresses, engine.address)
	}

	audit, err := replayer.AuditStandIns(t.Context(), http.DefaultClient, addresses, result)
	assert.NilError(t, err)
	assert.Equal(t, len(audit.Doubles), 0, "ran more than once: %v", audit.Doubles)
	assert.Equal(t, len(audit.NotRunButRan), 0, "ran though called not run: %v", audit.NotRunButRan)
	assert.Equal(t, len(result.Doubles()), 0)

	for _, v := range result.Outcomes {
		if v.Ending == replayer.Wrong || v.Ending == replayer.Missing {
			t.Errorf("%s answer: %s", v.Ending, describe(v))
		}

		if !v.Event.NotRepeatable && v.Ending != replayer.Whole {
			t.Errorf("no whole answer: %s", describe(v))
		}
	}

	f.checkBookings(t, result)
}

// checkBookings compares each key's answers with its runs.
func (f *fleet) checkBookings(t *testing.T, result replayer.Result) {
	t.Helper()

	runs := map[string]int{}
	for _, v := range serviceRuns(t, f.service) {
		runs[v.IdempotencyKey]++
	}

	// A key whose every try was answered "not run" has no run; lost tries may have run.
	maybeRan := map[string]bool{}

	for _, v := range result.Outcomes {
		if !v.Event.NotRepeatable {
			continue
		}

		if v.Ending == replayer.Whole {
			assert.Equal(t, runs[v.Event.IdempotencyKey], 1, "%s", describe(v))
		}

		if len(v.NotRunIDs) < v.Tries {
			maybeRan[v.Event.IdempotencyKey] = true
		}
	}

	for _, v := range result.Outcomes {
		if v.Event.NotRepeatable && !maybeRan[v.Event.IdempotencyKey] {
			assert.Equal(t, runs[v.Event.IdempotencyKey], 0, "%s", describe(v))
		}
	}
}

// callsBeyondFirst counts the calls that callers made since an earlier one brought no answer, or one to come back after.
func callsBeyondFirst(result replayer.Result) int {
	count := 0
	for _, v := range result.Outcomes {
		count += v.Tries - 1
	}

	return count
}

// endings counts the outcomes of a class by what the caller was told.
func endings(result replayer.Result, class string) map[string]int {
	counts := map[string]int{}

	for _, v := range result.Outcomes {
		if v.Event.Class == class {
			counts[v.Result]++
		}
	}

	return counts
}

func describe(o replayer.Outcome) string {
	return fmt.Sprintf("event %d at %v, class %s, key %q, tries %d: %s (%s, ran %q): %s; ids %v",
		o.Index, o.Due, o.Event.Class, o.Event.IdempotencyKey, o.Tries, o.Result, o.Ending, o.Ran, o.Reason, o.RequestIDs)
}
