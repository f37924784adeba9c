// Package reporter turns a played trace into figures for each class, compares
// them with stated outcomes and writes them as text, JSON or an SVG plot.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/replayer"
)

// Report holds the figures of one replay.
type Report struct {
	// Classes are sorted by service and class.
	Classes []ClassReport `json:"classes"`
	Total   Total         `json:"total"`
	// Checks are the stated outcomes; empty when none were stated.
	Checks []Check `json:"checks,omitempty"`
}

// Counts says how requests ended. Asked is the sum of Whole, Refused, Failed, Wrong and Missing.
type Counts struct {
	Asked   int `json:"asked"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Wrong   int `json:"wrong"`
	Missing int `json:"missing"`
	// Double counts idempotency keys of not repeatable requests that ran more than once.
	Double int `json:"double"`
	// NotRunButRan counts requests that ran although their caller was told that they did not.
	NotRunButRan int `json:"not_run_but_ran"`
}

func (c *Counts) add(more Counts) {
	c.Asked += more.Asked
	c.Whole += more.Whole
	c.Refused += more.Refused
	c.Failed += more.Failed
	c.Wrong += more.Wrong
	c.Missing += more.Missing
	c.Double += more.Double
	c.NotRunButRan += more.NotRunButRan
}

// Broken says whether a promise to a caller was broken: a wrong, missing or
// double answer, or a run of a request that was said not to have run.
func (c Counts) Broken() bool {
	return c.Wrong+c.Missing+c.Double+c.NotRunButRan > 0
}

// ClassReport holds the figures of one class. Times are in milliseconds and
// counted from the trace's own times; shares are 0 to 1.
type ClassReport struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	Counts
	// TargetMS is the latency target; zero when it is not known.
	TargetMS float64 `json:"target_ms,omitempty"`
	// Attained counts whole answers within the target, and all whole answers when no target is known.
	Attained int `json:"attained"`
	// Attainment is Attained over Asked: a refused request missed its target.
	Attainment float64 `json:"attainment"`
	// Latency is about the first token for engines and the whole answer for plain services; whole answers only.
	Latency Quantiles `json:"latency_ms"`
	// Duration is about the whole answer.
	Duration Quantiles `json:"duration_ms"`
	// Gap is about the times between tokens; zero for plain services.
	Gap Quantiles `json:"token_gap_ms"`
	// GoodTokensPerSecond and GoodAnswersPerSecond are the goodput: what came whole and within the target.
	GoodTokensPerSecond  float64 `json:"good_tokens_per_second"`
	GoodAnswersPerSecond float64 `json:"good_answers_per_second"`
	// DeliveredTokens are those of whole answers, once for each idempotency key.
	DeliveredTokens int `json:"delivered_tokens"`
	// ProducedTokens and WastedTokens are nil when no stand-in told what it produced.
	ProducedTokens *int `json:"produced_tokens,omitempty"`
	// WastedTokens were produced and not delivered in a whole answer.
	WastedTokens *int `json:"wasted_tokens,omitempty"`
	// Results counts the endings by the name of their numbered result.
	Results map[string]int `json:"results"`
}

// Name returns "service/class".
func (c ClassReport) Name() string {
	return replayer.ClassKey{Service: c.Service, Class: c.Class}.String()
}

// FinishedShare returns the share of whole answers.
func (c ClassReport) FinishedShare() float64 {
	return share(c.Whole, c.Asked)
}

// RefusedShare returns the share of refused requests.
func (c ClassReport) RefusedShare() float64 {
	return share(c.Refused, c.Asked)
}

// Total holds the figures of all classes together.
type Total struct {
	Counts
	Attained             int     `json:"attained"`
	GoodTokensPerSecond  float64 `json:"good_tokens_per_second"`
	GoodAnswersPerSecond float64 `json:"good_answers_per_second"`
	DeliveredTokens      int     `json:"delivered_tokens"`
	ProducedTokens       *int    `json:"produced_tokens,omitempty"`
	WastedTokens         *int    `json:"wasted_tokens,omitempty"`
	// UnassignedTokens are the part of WastedTokens that belongs to no class,
	// because the callers lost their connections before they learnt the request's id.
	UnassignedTokens int `json:"unassigned_tokens"`
	// LateSends counts events that the player sent too late; many of them make the figures worthless.
	LateSends int `json:"late_sends"`
	// MoreTries counts the calls beyond one for each event.
	MoreTries   int     `json:"more_tries"`
	TookSeconds float64 `json:"took_seconds"`
}

// Input is what a report is made of.
type Input struct {
	Result replayer.Result
	// Targets are the latency targets by class; classes without one count every whole answer as attained.
	Targets map[replayer.ClassKey]time.Duration
	// Audit is nil when no stand-in was asked.
	Audit *replayer.Audit
}

// New computes the figures.
func New(in Input) Report {
	report := Report{Total: Total{TookSeconds: in.Result.Took.Seconds()}}

	for k, v := range summarise(in) {
		report.Classes = append(report.Classes, v.finish(in.Result.Took, in.Audit, k))
		report.Total.LateSends += v.late
		report.Total.MoreTries += v.moreTries
	}

	slices.SortFunc(report.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Name(), b.Name()) })

	for _, v := range report.Classes {
		report.Total.add(v)
	}

	report.Total.audit(in.Audit)

	return report
}

// summarise gathers the outcomes of each class.
func summarise(in Input) map[replayer.ClassKey]*summary {
	classes := map[replayer.ClassKey]*summary{}
	doubles := in.Result.Doubles()
	// delivered holds the idempotency keys whose answer came whole.
	delivered := map[string]bool{}

	for _, v := range in.Result.Outcomes {
		class := replayer.KeyOf(v)
		if classes[class] == nil {
			classes[class] = newSummary(class, in.Targets[class])
		}

		// Callers who ask again with one key get one answer; it was produced once.
		key := v.Event.IdempotencyKey
		classes[class].add(v, key != "" && delivered[key])

		if v.Ending == replayer.Whole && key != "" {
			delivered[key] = true
		}

		if doubles[key] {
			classes[class].doubles[key] = true
		}
	}

	return classes
}

func (t *Total) add(c ClassReport) {
	t.Counts.add(c.Counts)
	t.Attained += c.Attained
	t.GoodTokensPerSecond += c.GoodTokensPerSecond
	t.GoodAnswersPerSecond += c.GoodAnswersPerSecond
	t.DeliveredTokens += c.DeliveredTokens
}

func (t *Total) audit(a *replayer.Audit) {
	if a == nil {
		return
	}

	produced := a.Unassigned
	for _, v := range a.Produced {
		produced += v
	}

	wasted := produced - t.DeliveredTokens
	t.ProducedTokens, t.WastedTokens, t.UnassignedTokens = &produced, &wasted, a.Unassigned
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}

	return float64(part) / float64(whole)
}
