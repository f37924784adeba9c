package meter

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/pkg/classifier"
)

// Snapshot is the state of all counters. The counters of a class are read one after another, so totals can differ by the
// requests that end in the meantime.
type Snapshot struct {
	Classes map[string]ClassSnapshot `json:"classes"`
	// Refused is the total over all classes by the name of the result code; every code except ok has an entry.
	Refused map[string]int64 `json:"refused"`
	// Retried is the total over all classes by reason.
	Retried map[string]int64 `json:"retried"`
}

// ClassSnapshot is the state of one class.
type ClassSnapshot struct {
	Requests int64 `json:"requests"`
	InFlight int64 `json:"in_flight"`
	Attained int64 `json:"attained"`
	Missed   int64 `json:"missed"`
	// Attainment is Attained / (Attained + Missed), or 1 while both are 0.
	Attainment    float64 `json:"attainment"`
	Tokens        int64   `json:"tokens"`
	GoodputTokens int64   `json:"goodput_tokens"`
	WastedTokens  int64   `json:"wasted_tokens"`
	Hedged        int64   `json:"hedged"`
	HedgesWon     int64   `json:"hedges_won"`
	// HedgeTokensWasted is included in WastedTokens.
	HedgeTokensWasted int64   `json:"hedge_tokens_wasted"`
	TargetMS          float64 `json:"target_ms"`
	// Refused contains only the result codes that occurred in the class.
	Refused    map[string]int64  `json:"refused"`
	Retried    map[string]int64  `json:"retried"`
	FirstToken HistogramSnapshot `json:"first_token"`
	TokenGap   HistogramSnapshot `json:"token_gap"`
	Duration   HistogramSnapshot `json:"duration"`
}

// HistogramSnapshot summarises the values that a histogram recorded since the start of the node.
type HistogramSnapshot struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Snapshot returns the state of all counters.
func (m *Meter) Snapshot() Snapshot {
	m.mu.RLock()
	classes := maps.Clone(m.classes)
	m.mu.RUnlock()

	snapshot := Snapshot{
		Classes: make(map[string]ClassSnapshot, len(classes)),
		Refused: make(map[string]int64),
		Retried: make(map[string]int64),
	}

	for _, v := range classifier.Descriptions() {
		if v.Code != classifier.OK {
			snapshot.Refused[v.Name] = 0
		}
	}

	for k, v := range classes {
		s := v.snapshot()
		snapshot.Classes[k] = s
		addCounts(snapshot.Refused, s.Refused)
		addCounts(snapshot.Retried, s.Retried)
	}

	return snapshot
}

func addCounts(sums, values map[string]int64) {
	for k, v := range values {
		sums[k] += v
	}
}

func (c *class) snapshot() ClassSnapshot {
	s := ClassSnapshot{
		Requests:      c.requests.Load(),
		InFlight:      c.inFlight.Load(),
		Attained:      c.attained.Load(),
		Missed:        c.missed.Load(),
		Attainment:    1,
		Tokens:        c.tokens.Load(),
		GoodputTokens: c.goodputTokens.Load(),
		WastedTokens:  c.wastedTokens.Load(),
		Hedged:        c.hedged.Load(),
		HedgesWon:     c.hedgesWon.Load(),
		TargetMS:      milliseconds(time.Duration(c.target.Load())),
		Refused:       make(map[string]int64),

		HedgeTokensWasted: c.hedgeTokensWasted.Load(),

		Retried: make(map[string]int64),
	}

	if counted := s.Attained + s.Missed; counted > 0 {
		s.Attainment = float64(s.Attained) / float64(counted)
	}

	for i := range c.refused {
		if n := c.refused[i].Load(); n > 0 {
			s.Refused[classifier.Code(i).String()] += n
		}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	for k, v := range c.retriesByReason {
		s.Retried[k] = v.Load()
	}

	s.FirstToken = summarise(c.firstToken)
	s.TokenGap = summarise(c.tokenGap)
	s.Duration = summarise(c.duration)

	return s
}

func summarise(histogram *hdrhistogram.Histogram) HistogramSnapshot {
	if histogram == nil {
		return HistogramSnapshot{}
	}

	quantileMS := func(quantile float64) float64 {
		return milliseconds(time.Duration(histogram.ValueAtQuantile(quantile)) * histogramUnit)
	}

	return HistogramSnapshot{Count: histogram.TotalCount(), P50MS: quantileMS(50), P95MS: quantileMS(95), P99MS: quantileMS(99)}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
