// Package replayer plays traces against running nodes as many callers would:
// open loop, so that a slow system does not slow the load, and checks each answer.
package replayer

import (
	"time"

	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Ending is how a caller's request ended. Every request has exactly one.
type Ending string

// Endings. Wrong and Missing break a promise to the caller; the others are answers.
const (
	// Whole means that the whole right answer came.
	Whole Ending = "whole"
	// Refused means that a numbered result said that the request did not run.
	Refused Ending = "refused"
	// Failed means that a numbered result said that the request ran or may have run.
	Failed Ending = "failed"
	// Wrong means that an answer came that is not this request's.
	Wrong Ending = "wrong"
	// Missing means that neither an answer nor a numbered result came.
	Missing Ending = "missing"
)

// Outcome is what one caller got for one event.
type Outcome struct {
	// Index is the event's place in the trace.
	Index int
	Event tracer.Event
	// Due is the time at which the trace sends the event, counted from the start.
	Due    time.Duration
	Ending Ending
	// Result is the name of the numbered result, "ok" for whole answers and empty for missing ones.
	Result string
	// Ran is what the result said about execution; empty when there was none.
	Ran classifier.Ran
	// FirstToken and Duration are counted from Due, so that late sends and waits
	// between tries are part of them. FirstToken is zero for plain services.
	FirstToken, Duration time.Duration
	// Gaps are the times between tokens of the last try.
	Gaps []time.Duration
	// Tokens is the number of tokens of the last try.
	Tokens int
	// Tries is the number of calls that the caller made.
	Tries int
	// Late says that the player itself sent the first try too late.
	Late bool
	// RequestIDs are the ids that nodes gave to the tries, as far as they were told.
	RequestIDs []string
	// NotRunIDs are those of RequestIDs that the caller was told had not run.
	NotRunIDs []string
	// Run names the run behind a plain answer of a stand-in; empty for engines.
	Run string
	// Reason is a sentence on what went wrong.
	Reason string
}

// Latency is what the class's target is about: the first token for engines and the whole answer for plain services.
func (o Outcome) Latency() time.Duration {
	if o.Event.IsEngine() {
		return o.FirstToken
	}

	return o.Duration
}

// Result is a played trace.
type Result struct {
	// Started is the time of the trace's start.
	Started time.Time
	// Took is the time from the start to the last ending.
	Took time.Duration
	// Outcomes has one entry for each event, in the order of the trace.
	Outcomes []Outcome
	// Entries are the addresses known at the end.
	Entries []string
}

// Doubles returns the idempotency keys of not repeatable events whose answers came from more than one run.
func (r Result) Doubles() map[string]bool {
	runs := map[string]string{}
	doubles := map[string]bool{}

	for _, v := range r.Outcomes {
		if !v.Event.NotRepeatable || v.Run == "" || v.Event.IdempotencyKey == "" {
			continue
		}

		key := v.Event.IdempotencyKey
		if known, ok := runs[key]; ok && known != v.Run {
			doubles[key] = true
		}

		runs[key] = v.Run
	}

	return doubles
}
