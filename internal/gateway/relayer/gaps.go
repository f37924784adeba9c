package relayer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// gapTracker measures the gaps between the events of a stream, either as one attempt receives them or as they are sent
// to the caller.
type gapTracker struct {
	events      int
	first, last time.Time
	longest     time.Duration
}

func (p *gapTracker) record(now time.Time) {
	if p.events == 0 {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}

	p.events++
	p.last = now
}

// roundMilliseconds returns the duration in milliseconds with one decimal place, which is precise enough and keeps messages short.
func roundMilliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond).Microseconds()) / 1000
}

func (p *gapTracker) eventGaps() balancer.Pauses {
	return balancer.Pauses{
		Events:  p.events,
		Mean:    roundMilliseconds(p.last.Sub(p.first) / time.Duration(max(p.events-1, 1))),
		Longest: roundMilliseconds(p.longest),
	}
}
