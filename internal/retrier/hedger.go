package retrier

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// hedgeSamples make a new estimate; hedgeLeast do when hedgeRound has passed.
	hedgeSamples  = 200
	hedgeLeast    = 50
	hedgeRound    = 30 * time.Second
	hedgeQuantile = 95
	// longestFirstToken bounds the histogram, in microseconds.
	longestFirstToken = int64(10 * time.Minute / time.Microsecond)
	// hedgeDigits keeps a class's histogram small; an error of a tenth is good enough here.
	hedgeDigits = 1
)

// Hedger decides when a slow request deserves a second copy on another upstream:
// after the 95th percentile of its class's own times to the first token, and
// under the budget that retries share. It is safe for concurrent use.
type Hedger struct {
	budget *Budget

	mu      sync.Mutex
	classes map[ClassKey]*hedgeClass
}

// hedgeClass is what is known of one class.
type hedgeClass struct {
	times   *hdrhistogram.Histogram
	started time.Time
	// after is the last estimate; zero before the first.
	after time.Duration
}

// NewHedger returns a hedger that spends from the given budget.
func NewHedger(budget *Budget) *Hedger {
	return &Hedger{budget: budget, classes: make(map[ClassKey]*hedgeClass)}
}

// Observe takes the time to the first token or answer byte of a first attempt.
// Times of classes that are not hedged are dropped.
func (h *Hedger) Observe(now time.Time, service string, class configurer.Class, firstToken time.Duration) {
	if !mayHedge(class) || firstToken <= 0 {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	pair := ClassKey{Service: service, Class: class.Name}
	known := h.classes[pair]

	if known == nil {
		known = &hedgeClass{times: hdrhistogram.New(1, longestFirstToken, hedgeDigits), started: now}
		h.classes[pair] = known
	}

	// The value is within the histogram's bounds, so there is no error to see.
	_ = known.times.RecordValue(min(max(firstToken.Microseconds(), 1), longestFirstToken))
	known.estimate(now)
}

// estimate renews the percentile once the round has enough times.
func (c *hedgeClass) estimate(now time.Time) {
	count := c.times.TotalCount()
	if count < hedgeSamples && (count < hedgeLeast || now.Sub(c.started) < hedgeRound) {
		return
	}

	c.after = time.Duration(c.times.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	c.started = now
	c.times.Reset()
}

// Delay returns how long to wait for the first token before a second copy may
// be sent, and false when the class is not hedged or too little is known of it.
func (h *Hedger) Delay(service string, class configurer.Class) (time.Duration, bool) {
	if !mayHedge(class) {
		return 0, false
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	known := h.classes[ClassKey{Service: service, Class: class.Name}]
	if known == nil || known.after == 0 {
		return 0, false
	}

	return known.after, true
}

// Spend takes the second copy from the class's budget. It is to be called right
// before the copy is sent; false means to go on waiting for the first.
func (h *Hedger) Spend(now time.Time, service string, class configurer.Class) bool {
	return mayHedge(class) && h.budget.Spend(now, ClassKey{Service: service, Class: class.Name}, class.RetryBudget, fullCost)
}

func mayHedge(class configurer.Class) bool {
	return class.Hedge && class.Repeatable
}
