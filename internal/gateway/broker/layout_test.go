package broker

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const layoutSessions = 2000

func layoutUpstreams(count int) []balancer.Upstream {
	var upstreams []balancer.Upstream
	for i := range count {
		upstreams = append(upstreams, balancer.Upstream{ID: fmt.Sprint("engine", i), Slots: 64})
	}

	return upstreams
}

// sessionParts returns the part of each of many sessions.
func sessionParts(upstreams []balancer.Upstream) []int {
	l := newLayout(split(upstreams))

	var parts []int
	for i := range layoutSessions {
		parts = append(parts, l.part(&balancer.Request{ID: fmt.Sprint("r", i), PromptParts: []balancer.PromptPart{{ID: fmt.Sprint("s", i)}, {ID: "own"}}}))
	}

	return parts
}

func movedPart(before, after []int) float64 {
	moved := 0

	for i := range before {
		if before[i] != after[i] {
			moved++
		}
	}

	return float64(moved) / float64(len(before))
}

// Symptom: in a rolling replacement, or after one engine is lost, nearly all prompts are read anew, on 90 engines
// 30 million tokens instead of the few that the lost engine knew.
// Sequence: 90 engines in parts; one goes; requests of all sessions come again.
// Cause: the part was the hash modulo the number of engines, so that one engine less moved nearly every session.
func TestLossOfOneUpstreamMovesFewSessions(t *testing.T) {
	upstreams := layoutUpstreams(90)
	before := sessionParts(upstreams)

	assert.Assert(t, movedPart(before, sessionParts(upstreams[1:])) < 0.03)
	assert.Assert(t, movedPart(before, sessionParts(layoutUpstreams(91))) < 0.03)

	upstreams[5].Draining = true
	assert.Assert(t, movedPart(before, sessionParts(upstreams)) < 0.03)
}

// Load: a fifth of the engines crashes at once, so that there is a part less.
// Grounds: what the lost part had must move, a sixth, and what the others lost in weight.
func TestLossOfAPartMovesItsShare(t *testing.T) {
	upstreams := layoutUpstreams(90)
	left := upstreams[:72]
	assert.Equal(t, len(split(upstreams))-len(split(left)), 1)
	assert.Assert(t, movedPart(sessionParts(upstreams), sessionParts(left)) < 0.4)

	places := map[string]int{}

	for i, part := range split(upstreams) {
		for _, upstream := range part {
			places[upstream.ID] = i
		}
	}

	moved := 0

	for i, part := range split(left) {
		for _, upstream := range part {
			if places[upstream.ID] != i {
				moved++
			}
		}
	}

	assert.Assert(t, moved < 72/3, "%d of 72 engines moved", moved)
}

// Load: parts of uneven size.
// Grounds: an engine of a small part gets no more requests than one of a large part.
func TestSessionsFollowTheWeightOfTheirPart(t *testing.T) {
	l := layout{weights: []float64{5, 20, 0, 15}}
	counts := make([]int, len(l.weights))

	for i := range 8000 {
		counts[l.part(&balancer.Request{ID: fmt.Sprint("r", i)})]++
	}

	for i, weight := range l.weights {
		want := 200 * weight
		assert.Assert(t, float64(counts[i]) >= 0.85*want && float64(counts[i]) <= 1.15*want, "part %d: %d of %.0f", i, counts[i], want)
	}
}
