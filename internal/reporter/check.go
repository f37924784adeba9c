package reporter

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Check is one stated outcome beside what was measured.
type Check struct {
	// Class is "service/class", or "all".
	Class    string `json:"class"`
	Stated   string `json:"stated"`
	Measured string `json:"measured"`
	Met      bool   `json:"met"`
}

// Check compares the report with stated outcomes and keeps the rows. A stated
// class that the trace doesn't hold is missed.
func (r *Report) Check(e Expectations) {
	for _, name := range slices.Sorted(maps.Keys(e.Classes)) {
		i := slices.IndexFunc(r.Classes, func(c ClassReport) bool { return c.Name() == name })
		if i < 0 {
			r.Checks = append(r.Checks, Check{Class: name, Stated: "asked at least once", Measured: "0"})

			continue
		}

		r.checkClass(r.Classes[i], e.Classes[name])
	}

	r.checkTotal(e.Total)
}

func (r *Report) checkClass(c ClassReport, e ClassExpectation) {
	name := c.Name()
	r.least(name, "attainment", e.MinAttainment, c.Attainment)
	r.least(name, "finished", e.MinFinished, c.FinishedShare())
	r.most(name, "refused", e.MaxRefused, c.RefusedShare())
	r.checkP95(c, e)
	r.mostCount(name, "failed", e.MaxFailed, c.Failed)
	r.mostCount(name, "wrong", e.MaxWrong, c.Wrong)
	r.mostCount(name, "missing", e.MaxMissing, c.Missing)
	r.mostCount(name, "double", e.MaxDouble, c.Double)
}

func (r *Report) checkP95(c ClassReport, e ClassExpectation) {
	limit, err := time.ParseDuration(e.MaxP95)
	if err != nil {
		return
	}

	r.Checks = append(r.Checks, Check{
		Class:    c.Name(),
		Stated:   "p95 <= " + limit.String(),
		Measured: fmt.Sprintf("%.1fms of %d", c.Latency.P95, c.Whole),
		// Without a whole answer there is no latency that could meet the bound.
		Met: c.Whole > 0 && c.Latency.P95 <= milliseconds(limit),
	})
}

func (r *Report) checkTotal(e TotalExpectation) {
	const name = "all"

	t := r.Total
	r.mostCount(name, "wrong", e.MaxWrong, t.Wrong)
	r.mostCount(name, "missing", e.MaxMissing, t.Missing)
	r.mostCount(name, "double", e.MaxDouble, t.Double)
	r.mostCount(name, "not_run_but_ran", e.MaxNotRunButRan, t.NotRunButRan)
	r.most(name, "late sends", e.MaxLateShare, share(t.LateSends, t.Asked))

	if e.MaxWastedShare == nil {
		return
	}

	if t.ProducedTokens == nil {
		r.Checks = append(r.Checks, Check{Class: name, Stated: fmt.Sprintf("wasted <= %.3f", *e.MaxWastedShare), Measured: "unknown; name the stand-ins"})

		return
	}

	r.most(name, "wasted", e.MaxWastedShare, share(*t.WastedTokens, *t.ProducedTokens))
}

func (r *Report) least(class, what string, stated *float64, measured float64) {
	if stated != nil {
		r.Checks = append(r.Checks, Check{class, fmt.Sprintf("%s >= %.3f", what, *stated), fmt.Sprintf("%.3f", measured), measured >= *stated})
	}
}

func (r *Report) most(class, what string, stated *float64, measured float64) {
	if stated != nil {
		r.Checks = append(r.Checks, Check{class, fmt.Sprintf("%s <= %.3f", what, *stated), fmt.Sprintf("%.3f", measured), measured <= *stated})
	}
}

func (r *Report) mostCount(class, what string, stated *int, measured int) {
	if stated != nil {
		r.Checks = append(r.Checks, Check{class, fmt.Sprintf("%s <= %d", what, *stated), fmt.Sprint(measured), measured <= *stated})
	}
}
