package relayer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// pace follows the events of one stream as they come from the upstream.
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

func (p *pace) pauses() balancer.Pauses {
	const millisecond = float64(time.Millisecond)

	return balancer.Pauses{
		Events:  p.events,
		Mean:    float64(p.last.Sub(p.first)) / millisecond / float64(max(p.events-1, 1)),
		Longest: float64(p.longest) / millisecond,
	}
}
