// Package pausedetector measures for how long the process stood still: stopped, without processor time, or suspended with its VM.
//
// A process that stood still finds all its deadlines due at once, before it has read what came in time. Who waits for something
// that others send subtracts the pauses from its wait.
package pausedetector

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// tickInterval is the time between two ticks while the process runs.
	tickInterval = 50 * time.Millisecond
	// minPause is the shortest delay of a tick that counts as a pause. Shorter ones are usual on a busy machine.
	minPause = 100 * time.Millisecond
	// maxLogsPerSecond limits the log lines about pauses.
	maxLogsPerSecond = 5
)

// Counters counts pauses.
type Counters struct {
	Pauses  int64 `json:"pauses"`
	TotalMS int64 `json:"total_ms"`
	// LongestMS is the longest pause since the start.
	LongestMS int64 `json:"longest_ms"`
}

// Detector detects pauses of the process. It is safe for concurrent use. A nil Detector detects none.
type Detector struct {
	now    func() time.Duration
	logger zerolog.Logger

	mu sync.Mutex
	// lastTick is when the detector last ran, by now; 0 before the first time.
	lastTick time.Duration
	total    time.Duration
	longest  time.Duration
	pauses   int64
}

// New returns a Detector that detects nothing until it runs. The now function returns the time of a clock that can't be set.
func New(now func() time.Duration, logger zerolog.Logger) *Detector {
	return &Detector{now: now, logger: logger.Sample(&zerolog.BurstSampler{Burst: maxLogsPerSecond, Period: time.Second})}
}

// Run detects pauses until ctx is cancelled.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	for {
		d.tick()

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Paused returns the total time that the process stood still since the detector began to run. It never falls, and includes a pause
// that has just ended, even if the detector hasn't run since.
func (d *Detector) Paused() time.Duration {
	if d == nil {
		return 0
	}

	d.tick()

	d.mu.Lock()
	defer d.mu.Unlock()

	return d.total
}

// Counters returns the counts since the start.
func (d *Detector) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()

	return Counters{Pauses: d.pauses, TotalMS: d.total.Milliseconds(), LongestMS: d.longest.Milliseconds()}
}

// tick records that the process runs, and for how long it did not.
func (d *Detector) tick() {
	if pause := d.advance(); pause > 0 {
		d.logger.Warn().Dur("paused_ms", pause).Msg("process_paused")
	}
}

// advance returns the length of the pause that has just ended, or 0.
func (d *Detector) advance() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.now()
	delay := now - d.lastTick - tickInterval
	isFirst := d.lastTick == 0
	d.lastTick = now

	if isFirst || delay < minPause {
		return 0
	}

	d.pauses++
	d.total += delay
	d.longest = max(d.longest, delay)

	return delay
}
