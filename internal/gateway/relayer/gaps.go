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

func (g *gapTracker) record(now time.Time) {
	if g.events == 0 {
		g.first = now
	} else {
		g.longest = max(g.longest, now.Sub(g.last))
	}

	g.events++
	g.last = now
}

// roundMilliseconds returns the duration in milliseconds with one decimal place, which is precise enough and keeps
// messages short.
func roundMilliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond).Microseconds()) / 1000
}

func (g *gapTracker) eventGaps() balancer.EventGaps {
	return balancer.EventGaps{
		Events:    g.events,
		MeanMS:    roundMilliseconds(g.last.Sub(g.first) / time.Duration(max(g.events-1, 1))),
		LongestMS: roundMilliseconds(g.longest),
	}
}
