package reporter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/internal/replayer"
)

const (
	// Histograms count microseconds with three figures, from one to an hour.
	longestMicroseconds = int64(time.Hour / time.Microsecond)
	significantFigures  = 3
)

// Quantiles are values in milliseconds below which the stated share lies.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }

	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestMicroseconds, significantFigures)
}

// record keeps a time; those out of the histogram's range count as its bounds.
func record(h *hdrhistogram.Histogram, length time.Duration) {
	value := min(max(length.Microseconds(), 1), longestMicroseconds)
	// The value is in range, so there is no error.
	_ = h.RecordValue(value)
}

// summary gathers the outcomes of one class.
type summary struct {
	report                  ClassReport
	target                  time.Duration
	latency, duration, gaps *hdrhistogram.Histogram
	goodTokens              int
	doubles                 map[string]bool
	late, moreTries         int
}

func newSummary(key replayer.ClassKey, target time.Duration) *summary {
	return &summary{
		report: ClassReport{
			Service:  key.Service,
			Class:    key.Class,
			TargetMS: milliseconds(target),
			Results:  map[string]int{},
		},
		target:   target,
		latency:  newHistogram(),
		duration: newHistogram(),
		gaps:     newHistogram(),
		doubles:  map[string]bool{},
	}
}

// add counts an outcome. Again means that its tokens were delivered to an earlier caller with the same key.
func (s *summary) add(o replayer.Outcome, again bool) {
	s.report.Asked++
	s.moreTries += max(o.Tries-1, 0)

	if o.Late {
		s.late++
	}

	if o.Result != "" {
		s.report.Results[o.Result]++
	}

	switch o.Ending {
	case replayer.Whole:
		s.addWhole(o, again)
	case replayer.Refused:
		s.report.Refused++
	case replayer.Failed:
		s.report.Failed++
	case replayer.Wrong:
		s.report.Wrong++
	default:
		s.report.Missing++
	}
}

func (s *summary) addWhole(o replayer.Outcome, again bool) {
	s.report.Whole++
	record(s.latency, o.Latency())
	record(s.duration, o.Duration)

	for _, v := range o.Gaps {
		record(s.gaps, v)
	}

	tokens := o.Tokens
	if again {
		tokens = 0
	}

	s.report.DeliveredTokens += tokens

	if s.target == 0 || o.Latency() <= s.target {
		s.report.Attained++
		s.goodTokens += tokens
	}
}

func (s *summary) finish(took time.Duration, audit *replayer.Audit, key replayer.ClassKey) ClassReport {
	r := s.report
	r.Attainment = share(r.Attained, r.Asked)
	r.Latency, r.Duration, r.Gap = newQuantiles(s.latency), newQuantiles(s.duration), newQuantiles(s.gaps)

	if took > 0 {
		r.GoodTokensPerSecond = float64(s.goodTokens) / took.Seconds()
		r.GoodAnswersPerSecond = float64(r.Attained) / took.Seconds()
	}

	if audit != nil {
		produced := audit.Produced[key]
		wasted := produced - r.DeliveredTokens
		r.ProducedTokens, r.WastedTokens = &produced, &wasted
		r.NotRunButRan = len(audit.NotRunButRan[key])

		for _, v := range audit.Doubles[key] {
			s.doubles[v] = true
		}
	}

	r.Double = len(s.doubles)

	return r
}

func milliseconds(length time.Duration) float64 {
	return float64(length) / float64(time.Millisecond)
}
