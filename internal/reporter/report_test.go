package reporter_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/reporter"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

var (
	lookup  = tracer.Event{Service: "assistente", Class: "counter_lookup", PromptTokens: 4, AnswerTokens: 3}
	booking = tracer.Event{Service: "banco", Class: "booking", Path: "/bookings", NotRepeatable: true, IdempotencyKey: "k1"}
	draft   = tracer.Event{Service: "redacteur", Class: "renewal_draft", PromptTokens: 4, AnswerTokens: 50, NotRepeatable: true, IdempotencyKey: "k2"}
)

func whole(e tracer.Event, due, latency time.Duration) replayer.Outcome {
	o := replayer.Outcome{Event: e, Due: due, Ending: replayer.Whole, Result: "ok", Ran: classifier.RanYes, Duration: latency, Tries: 1}
	if e.IsEngine() {
		o.FirstToken, o.Tokens, o.Gaps = latency, e.AnswerTokens, []time.Duration{5 * time.Millisecond, 7 * time.Millisecond}
		o.Duration += 12 * time.Millisecond
	}

	return o
}

// input holds ten lookups (one refused, one beyond the target), two bookings
// with one key that ran twice, and a draft whose answer two callers got.
func input() reporter.Input {
	outcomes := []replayer.Outcome{
		{Event: lookup, Due: time.Second, Ending: replayer.Refused, Result: "queue_full", Ran: classifier.RanNo, Duration: time.Millisecond, Tries: 3},
		whole(lookup, 2*time.Second, 400*time.Millisecond),
	}
	for i := range 8 {
		outcomes = append(outcomes, whole(lookup, time.Duration(i)*time.Second, time.Duration(20+i)*time.Millisecond))
	}

	first, second := whole(booking, 0, 8*time.Millisecond), whole(booking, time.Second, 9*time.Millisecond)
	first.Run, second.Run = "banco#1", "banco#2"
	lost := replayer.Outcome{Event: draft, Ending: replayer.Missing, Duration: time.Second, Tries: 1, Late: true}
	outcomes = append(outcomes, first, second, whole(draft, 0, time.Second), whole(draft, time.Second, time.Second), lost)

	return reporter.Input{
		Result: replayer.Result{Took: 10 * time.Second, Outcomes: outcomes},
		Targets: map[replayer.ClassKey]time.Duration{
			{Service: "assistente", Class: "counter_lookup"}: 300 * time.Millisecond,
			{Service: "banco", Class: "booking"}:             time.Second,
		},
		Audit: &replayer.Audit{
			Produced:     map[replayer.ClassKey]int{{Service: "assistente", Class: "counter_lookup"}: 30, {Service: "redacteur", Class: "renewal_draft"}: 50},
			Unassigned:   20,
			NotRunButRan: map[replayer.ClassKey][]string{{Service: "assistente", Class: "counter_lookup"}: {"r1"}},
		},
	}
}

const expectations = `classes:
  assistente/counter_lookup: {min_attainment: 0.8, min_finished: 0.95, max_refused: 0.1, max_p95: 350ms, max_wrong: 0}
  banco/booking: {target: 5ms, min_attainment: 0.9, max_double: 0}
  redacteur/contract_review: {min_finished: 1}
total: {max_missing: 1, max_not_run_but_ran: 0, max_late_share: 0.1, max_wasted_share: 0.3}
`

func TestReport(t *testing.T) {
	e, err := reporter.ParseExpectations("e.yaml", []byte(expectations))
	assert.NilError(t, err)

	in := input()
	in.Targets = e.Targets(in.Targets)
	report := reporter.New(in)
	report.Check(e)

	var text, object bytes.Buffer

	assert.NilError(t, report.WriteText(&text))
	assert.NilError(t, report.WriteJSON(&object))
	golden.Assert(t, text.String(), "report.txt")
	golden.Assert(t, object.String(), "report.json")
	assert.Assert(t, report.Total.Broken())
	assert.Equal(t, classifier.From(report.Missed()).Code, classifier.ExpectationMissed)
}

func TestNoExpectationIsMissedWhenNoneIsStated(t *testing.T) {
	assert.NilError(t, reporter.New(input()).Missed())
}

func TestExpectationErrorsNameLineAndValue(t *testing.T) {
	var report strings.Builder

	for _, v := range []string{
		"classes:\n  a/b: {min_attainmemt: 0.8}\n",
		"classes:\n  a/b: {min_attainment: 1.5}\n",
		"classes:\n  a/b: {target: 300}\n",
		"classes:\n  a/b: {max_p95: -3s}\n",
		"classes:\n  ab: {max_wrong: 0}\n",
		"classes:\n  a/b: {max_wrong: few}\n",
		"classes:\n  a/b: {max_wrong: 0}\n  a/b: {max_wrong: 1}\n",
		"total:\n  max_wrong: 0\n  max_late_share: 2\n",
	} {
		_, err := reporter.ParseExpectations("e.yaml", []byte(v))
		assert.Equal(t, classifier.From(err).Code, classifier.SettingsInvalid)
		report.WriteString(classifier.From(err).Reason + "\n")
	}

	golden.Assert(t, report.String(), "errors.golden")
}

func TestPlotIsWellFormed(t *testing.T) {
	var plot bytes.Buffer

	assert.NilError(t, reporter.WritePlot(&plot, input().Result))
	assert.Assert(t, strings.Contains(plot.String(), "assistente/counter_lookup, not whole"))

	decoder := xml.NewDecoder(&plot)
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}

		assert.NilError(t, err)
	}
}
