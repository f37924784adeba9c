package relayer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// pace follows the events of a stream: those of one attempt as they come, or those of an answer as they go to the caller.
type pace struct {
	events      int
	first, last time.Time
	longest     time.Duration
}

func (p *pace) event(now time.Time) {
	if p.events == 0 {
		p.first = now
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}

	p.events++
	p.last = now
}

// tenths returns milliseconds to one place, which is short in messages and exact enough.
func tenths(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond).Microseconds()) / 1000
}

func (p *pace) pauses() balancer.EventGaps {
	return balancer.EventGaps{
		Events:    p.events,
		MeanMS:    tenths(p.last.Sub(p.first) / time.Duration(max(p.events-1, 1))),
		LongestMS: tenths(p.longest),
	}
}
