package meter

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/pkg/classifier"
)

// Snapshot is the state of all counters. Counters of one class are read one
// after the other, so that sums may be apart by the requests ending meanwhile.
type Snapshot struct {
	Classes map[string]ClassSnapshot `json:"classes"`
	// Refused sums over the classes by the name of the result code; every code but ok has an entry.
	Refused map[string]int64 `json:"refused"`
	// Retried sums over the classes by reason.
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
	// HedgeTokensWasted is part of WastedTokens.
	HedgeTokensWasted int64   `json:"hedge_tokens_wasted"`
	TargetMS          float64 `json:"target_ms"`
	// Refused has the codes that the class met.
	Refused    map[string]int64  `json:"refused"`
	Retried    map[string]int64  `json:"retried"`
	FirstToken HistogramSnapshot `json:"first_token"`
	TokenGap   HistogramSnapshot `json:"token_gap"`
	Duration   HistogramSnapshot `json:"duration"`
}

// HistogramSnapshot summarises a histogram since the start of the node.
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
		add(snapshot.Refused, s.Refused)
		add(snapshot.Retried, s.Retried)
	}

	return snapshot
}

func add(sums, values map[string]int64) {
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

		HedgeTokensWasted: c.hedgeWasted.Load(),

		Retried: make(map[string]int64),
	}

	if judged := s.Attained + s.Missed; judged > 0 {
		s.Attainment = float64(s.Attained) / float64(judged)
	}

	for i := range c.refused {
		if n := c.refused[i].Load(); n > 0 {
			s.Refused[classifier.Code(i).String()] += n
		}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	for k, v := range c.reasons {
		s.Retried[k] = v.Load()
	}

	s.FirstToken = summary(c.firstToken)
	s.TokenGap = summary(c.tokenGap)
	s.Duration = summary(c.duration)

	return s
}

func summary(histogram *hdrhistogram.Histogram) HistogramSnapshot {
	if histogram == nil {
		return HistogramSnapshot{}
	}

	at := func(quantile float64) float64 {
		return milliseconds(time.Duration(histogram.ValueAtQuantile(quantile)) * histogramUnit)
	}

	return HistogramSnapshot{Count: histogram.TotalCount(), P50MS: at(50), P95MS: at(95), P99MS: at(99)}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
