package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

func TestGapTracker(t *testing.T) {
	begun := time.Date(2026, time.March, 12, 4, 0, 0, 0, time.UTC)
	p := &gapTracker{}
	assert.Equal(t, p.eventGaps(), balancer.EventGaps{})

	for _, at := range []time.Duration{0, 10 * time.Millisecond, 150 * time.Millisecond, 160 * time.Millisecond} {
		p.record(begun.Add(at))
	}

	assert.Equal(t, p.eventGaps(), balancer.EventGaps{Events: 4, MeanMS: 53.3, LongestMS: 140})
}
