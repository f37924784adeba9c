package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms. Values beyond the range count as its end.
const (
	histogramUnit = 100 * time.Microsecond
	maxValue      = int64(time.Hour / histogramUnit)
	// significantFigures of 2 keeps every quantile within 1 % and a histogram under 25 KB.
	significantFigures = 2
)

// class holds the counters of one class.
type class struct {
	inFlight      atomic.Int64
	requests      atomic.Int64
	attained      atomic.Int64
	missed        atomic.Int64
	tokens        atomic.Int64
	goodputTokens atomic.Int64
	wastedTokens  atomic.Int64
	hedged        atomic.Int64
	hedgesWon     atomic.Int64
	hedgeWasted   atomic.Int64
	// target is in nanoseconds, as of the last request.
	target  atomic.Int64
	refused [codeCount]atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	reasons map[string]*atomic.Int64
	// The histograms are nil before their first value: a plain service has no token gaps.
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	duration   *hdrhistogram.Histogram
}

// reason returns the counter of a retry reason.
func (c *class) reason(name string) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	if found, ok := c.reasons[name]; ok {
		return found
	}

	if len(c.reasons) >= maxReasons-1 {
		name = overflowName
	}

	if found, ok := c.reasons[name]; ok {
		return found
	}

	created := new(atomic.Int64)
	c.reasons[name] = created

	return created
}

// observe adds the times of an ended request. Refusals stay out of the
// histograms: a node that refuses at once would otherwise look fast.
func (c *class) observe(sample Sample) {
	if sample.FirstToken <= 0 {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	record(&c.firstToken, sample.FirstToken)
	record(&c.duration, sample.Duration)

	if sample.Tokens > 1 {
		record(&c.tokenGap, (sample.Duration-sample.FirstToken)/time.Duration(sample.Tokens-1))
	}
}

func record(histogram **hdrhistogram.Histogram, value time.Duration) {
	if *histogram == nil {
		*histogram = hdrhistogram.New(1, maxValue, significantFigures)
	}

	units := min(max(int64(value/histogramUnit), 0), maxValue)
	// The only error is a value out of range.
	_ = (*histogram).RecordValue(units)
}
