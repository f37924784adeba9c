package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms. Values beyond the range are recorded as its maximum.
const (
	histogramUnit     = 100 * time.Microsecond
	maxHistogramUnits = int64(time.Hour / histogramUnit)
	// Two significant figures keep every quantile within 1 % and a histogram under 25 KB.
	significantFigures = 2
)

// class holds the counters of one class.
type class struct {
	inFlight          atomic.Int64
	requests          atomic.Int64
	attained          atomic.Int64
	missed            atomic.Int64
	tokens            atomic.Int64
	goodputTokens     atomic.Int64
	wastedTokens      atomic.Int64
	hedged            atomic.Int64
	hedgesWon         atomic.Int64
	hedgeTokensWasted atomic.Int64
	// target is the latency target of the last request that had one, in nanoseconds.
	target  atomic.Int64
	refused [codeCount]atomic.Int64

	// mu guards the fields below.
	mu              sync.Mutex
	retriesByReason map[string]*atomic.Int64
	// The histograms are nil until their first value: a service that doesn't stream tokens has no token gaps.
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	duration   *hdrhistogram.Histogram
}

// retryCounter returns the counter of a retry reason. Beyond maxReasons, new reasons share the counter of overflowName.
func (c *class) retryCounter(name string) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	if found, ok := c.retriesByReason[name]; ok {
		return found
	}

	if len(c.retriesByReason) >= maxReasons-1 {
		name = overflowName
	}

	if found, ok := c.retriesByReason[name]; ok {
		return found
	}

	created := new(atomic.Int64)
	c.retriesByReason[name] = created

	return created
}

// recordTimes adds the times of an ended request to the histograms. Requests without a first token are left out:
// otherwise a node that refuses requests immediately would appear to be fast.
func (c *class) recordTimes(sample Sample) {
	if sample.FirstToken <= 0 {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	recordValue(&c.firstToken, sample.FirstToken)
	recordValue(&c.duration, sample.Duration)

	if sample.Tokens > 1 {
		recordValue(&c.tokenGap, (sample.Duration-sample.FirstToken)/time.Duration(sample.Tokens-1))
	}
}

func recordValue(histogram **hdrhistogram.Histogram, value time.Duration) {
	if *histogram == nil {
		*histogram = hdrhistogram.New(1, maxHistogramUnits, significantFigures)
	}

	units := min(max(int64(value/histogramUnit), 0), maxHistogramUnits)
	// RecordValue fails only for values out of range, and units is within it.
	_ = (*histogram).RecordValue(units)
}
