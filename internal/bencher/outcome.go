package bencher

import (
	"fmt"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// leastAttained is the share of tier 1 that has its first token within target.
	leastAttained = 0.99
	// mostWasted is the share of generated tokens that may be lost.
	mostWasted = 0.02
	// longTier is the first tier of work that can wait but has to finish: care notes and contract reviews.
	longTier = 4
)

// Outcome is one stated outcome and what a run made of it.
type Outcome struct {
	// Name is the statement, with its class if it is about one.
	Name string
	// Met says whether the run kept it; Got is the figure.
	Met bool
	Got string
}

// Outcomes compares a run with the stated outcomes. They hold for every
// scenario that leaves at least 40 % of the capacity.
func (r Result) Outcomes(shop Shop) []Outcome {
	list := []Outcome{
		{Name: "wasted under 2 % of tokens", Met: r.WastedShare() < mostWasted, Got: fmt.Sprintf("%.4f", r.WastedShare())},
		{Name: "every caller has a last answer", Met: r.Unanswered == 0, Got: fmt.Sprint(r.Unanswered)},
	}

	for _, c := range r.Classes {
		class := shop.Settings.Services[c.Service].Classes[c.Class]
		list = append(list, c.outcomes(class)...)
	}

	return list
}

func (c ClassResult) outcomes(class configurer.Class) []Outcome {
	bound := LongestWait(class)
	list := []Outcome{
		{Name: c.Class + " waits at most " + bound.String(), Met: c.MaxWait <= bound, Got: c.MaxWait.String()},
		{Name: c.Class + " not preempted if not repeatable", Met: c.PreemptedOnce == 0, Got: fmt.Sprint(c.PreemptedOnce)},
	}

	if c.Tier == 1 {
		list = append(list,
			Outcome{Name: c.Class + " attains 0.99", Met: c.AttainedShare() >= leastAttained, Got: fmt.Sprintf("%.4f", c.AttainedShare())},
			Outcome{Name: c.Class + " never shed", Met: c.Shed == 0, Got: fmt.Sprint(c.Shed)},
			Outcome{Name: c.Class + " never preempted", Met: c.Preempted == 0, Got: fmt.Sprint(c.Preempted)},
		)
	}

	if c.Tier >= longTier {
		list = append(list, Outcome{Name: c.Class + " finishes", Met: c.Finished == c.Requests, Got: fmt.Sprintf("%d of %d", c.Finished, c.Requests)})
	}

	return list
}

// LongestWait is the stated bound from arrival to the first token or the last
// answer: the time in the queue, and two silent servers one after the other.
func LongestWait(class configurer.Class) time.Duration {
	return class.MaxWait + 2*class.GapLimit
}

// Missed returns the outcomes that a run did not keep.
func (r Result) Missed(shop Shop) []Outcome {
	var missed []Outcome

	for _, o := range r.Outcomes(shop) {
		if !o.Met {
			missed = append(missed, o)
		}
	}

	return missed
}
