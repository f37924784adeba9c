package retrier

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// A new estimate is made after estimateSamples samples, or after estimateInterval with at least minEstimateSamples.
	estimateSamples    = 200
	minEstimateSamples = 50
	estimateInterval   = 30 * time.Second
	hedgePercentile    = 95
	// maxFirstTokenMicros is the largest value in the histogram, in microseconds.
	maxFirstTokenMicros = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision in significant digits. One keeps the histogram small; an error of 10% is acceptable.
	histogramDigits = 1
)

// Hedger decides when a slow request is sent to a second upstream: after the 95th percentile of the times to the first token of
// its class, and within the budget that it shares with retries. It is safe for concurrent use.
type Hedger struct {
	budget *Budget

	mu      sync.Mutex
	classes map[ClassKey]*classLatency
}

// classLatency estimates the hedge delay of one class.
type classLatency struct {
	firstTokens *hdrhistogram.Histogram
	// startedAt is when the current estimate interval began.
	startedAt time.Time
	// hedgeDelay is the last estimate, or zero if there is none.
	hedgeDelay time.Duration
}

// NewHedger returns a Hedger that charges hedged attempts to the given budget.
func NewHedger(budget *Budget) *Hedger {
	return &Hedger{budget: budget, classes: make(map[ClassKey]*classLatency)}
}

// Observe records the time to the first token or response byte of a first attempt. Classes that are not hedged are ignored.
func (h *Hedger) Observe(now time.Time, service string, class configurer.Class, firstToken time.Duration) {
	if !isHedged(class) || firstToken <= 0 {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	key := ClassKey{Service: service, Class: class.Name}
	latency := h.classes[key]

	if latency == nil {
		latency = &classLatency{firstTokens: hdrhistogram.New(1, maxFirstTokenMicros, histogramDigits), startedAt: now}
		h.classes[key] = latency
	}

	// The value is within the range of the histogram, so RecordValue cannot fail.
	_ = latency.firstTokens.RecordValue(min(max(firstToken.Microseconds(), 1), maxFirstTokenMicros))
	latency.estimate(now)
}

// estimate updates the percentile once there are enough samples.
func (c *classLatency) estimate(now time.Time) {
	count := c.firstTokens.TotalCount()
	if count < estimateSamples && (count < minEstimateSamples || now.Sub(c.startedAt) < estimateInterval) {
		return
	}

	c.hedgeDelay = time.Duration(c.firstTokens.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	c.startedAt = now
	c.firstTokens.Reset()
}

// Delay returns how long to wait for the first token before a hedged attempt may be sent. It returns false if the class is not
// hedged or has no estimate yet.
func (h *Hedger) Delay(service string, class configurer.Class) (time.Duration, bool) {
	if !isHedged(class) {
		return 0, false
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	latency := h.classes[ClassKey{Service: service, Class: class.Name}]
	if latency == nil || latency.hedgeDelay == 0 {
		return 0, false
	}

	return latency.hedgeDelay, true
}

// Spend charges a hedged attempt to the budget of the class. Call it immediately before the attempt is sent. If it returns false,
// keep waiting for the first attempt.
func (h *Hedger) Spend(now time.Time, service string, class configurer.Class) bool {
	return isHedged(class) && h.budget.Spend(now, ClassKey{Service: service, Class: class.Name}, class.RetryBudget, fullCost)
}

func isHedged(class configurer.Class) bool {
	return class.Hedge && class.Repeatable
}
