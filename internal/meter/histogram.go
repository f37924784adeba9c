package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations since the start of the node. The zero value is empty. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	// values is nil until the first value.
	values *hdrhistogram.Histogram
}

// Record adds a duration; those out of range count as the bounds of the range.
func (h *Histogram) Record(value time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()

	recordValue(&h.values, value)
}

// Snapshot summarises the values.
func (h *Histogram) Snapshot() HistogramSnapshot {
	h.mu.Lock()
	defer h.mu.Unlock()

	return summarise(h.values)
}
