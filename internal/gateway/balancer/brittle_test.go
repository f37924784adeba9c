package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const (
	brittleSlots = 6
	// brittleAttempts is the number of requests that are offered, more than any upstream has room for.
	brittleAttempts = 40
)

// brittlePool is a pool of plain upstreams that say that they are brittle.
type brittlePool struct {
	*balancer.Pool

	offered int
}

func newBrittlePool(upstreams, rejections int) *brittlePool {
	p := &brittlePool{Pool: newPool(upstreams, brittleSlots, balancer.Engine{})}
	for i := range upstreams {
		p.SetBrittle(start, balancer.Brittleness{Upstream: string(rune('a' + i)), Rejections: rejections})
	}

	return p
}

// fill offers requests for 100 ms and returns those that got an upstream. The others leave the queue.
func (p *brittlePool) fill(now time.Time) (ids, upstreams []string) {
	for i := range brittleAttempts {
		p.offered++
		now := now.Add(time.Duration(i) * 100 * time.Millisecond / brittleAttempts)
		id := fmt.Sprint("r", p.offered)

		choice, decision := p.Acquire(now, "node", balancer.Request{ID: id, TimeLimit: time.Minute, Target: time.Minute})
		if decision != balancer.Granted {
			p.RecordEnd(now, id, balancer.Abandoned)

			continue
		}

		ids, upstreams = append(ids, id), append(upstreams, choice.Upstream)
	}

	return ids, upstreams
}

// Guards against requests that wait at a brittle upstream, and against more at once than it can reject.
func TestBrittleUpstreamHasASlotForEachRequest(t *testing.T) {
	p := newBrittlePool(1, 2)
	ids, _ := p.fill(at(0))
	assert.Equal(t, len(ids), brittleSlots-1)

	p = newBrittlePool(1, 2)

	granted := 0

	for i := range brittleAttempts {
		if _, decision := p.Acquire(at(0), "node", balancer.Request{ID: fmt.Sprint(i), TimeLimit: time.Minute}); decision == balancer.Granted {
			granted++
		}
	}

	assert.Equal(t, granted, 2)
}

// Guards against a holder that goes on to fill a brittle upstream that has begun to reject requests.
func TestBrittleUpstreamThatRejectsGetsFewerRequests(t *testing.T) {
	p := newBrittlePool(1, 2)
	ids, _ := p.fill(at(0))

	now := at(150 * time.Millisecond)
	p.RecordEnd(now, ids[0], balancer.Rejected)

	for _, id := range ids[1:] {
		p.RecordEnd(now, id, balancer.Served)
	}

	paused, _ := p.fill(now.Add(500 * time.Millisecond))
	assert.Equal(t, len(paused), 0)

	later, _ := p.fill(now.Add(1100 * time.Millisecond))
	assert.Assert(t, len(later) > 0 && len(later) < len(ids), "%d requests after the pause, %d before", len(later), len(ids))
}

// Guards against an upstream that rejects more requests than it bears, or is paused long before.
func TestBrittleUpstreamIsPausedBeforeItRejectsTooMany(t *testing.T) {
	p := newBrittlePool(1, 6)

	for rejections := range 4 {
		now := at(time.Duration(rejections) * 200 * time.Millisecond)
		ids, _ := p.fill(now)
		assert.Equal(t, len(ids) > 0, rejections < 3, "after %d rejections", rejections)

		for i, id := range ids {
			outcome := balancer.Served
			if i == 0 {
				outcome = balancer.Rejected
			}

			p.RecordEnd(now.Add(150*time.Millisecond), id, outcome)
		}
	}
}

// Guards against requests that were given up and still run at a brittle upstream.
func TestRequestThatWasGivenUpKeepsItsSlotAtABrittleUpstream(t *testing.T) {
	for _, outcome := range []balancer.Outcome{balancer.Abandoned, balancer.Failed, balancer.Silent} {
		t.Run(outcome.String(), func(t *testing.T) {
			p := newBrittlePool(1, 2)

			first, _ := p.fill(at(0))
			for _, id := range first {
				p.RecordEnd(at(400*time.Millisecond), id, balancer.Served)
			}

			second, _ := p.fill(at(500 * time.Millisecond))
			assert.Equal(t, len(second), brittleSlots-1)

			for _, id := range second {
				p.RecordEnd(at(610*time.Millisecond), id, outcome)
			}

			atOnce, _ := p.fill(at(620 * time.Millisecond))
			assert.Equal(t, len(atOnce), 0)

			later, _ := p.fill(at(2 * time.Second))
			assert.Equal(t, len(later), brittleSlots-1)
		})
	}
}

// Guards against upstreams that count as brittle after they no longer say it, and the reverse.
func TestBrittleUpstreamIsWhatItsResponsesSay(t *testing.T) {
	p := newBrittlePool(2, 2)

	// An older report comes late.
	p.SetBrittle(at(time.Second), balancer.Brittleness{Upstream: "a", Ended: true})
	p.SetBrittle(at(time.Second), balancer.Brittleness{Upstream: "a", Rejections: 2, AgeMS: 500})

	_, upstreams := p.fill(at(2 * time.Second))

	counts := make(map[string]int)
	for _, upstream := range upstreams {
		counts[upstream]++
	}

	assert.Assert(t, counts["a"] > brittleSlots, "%d requests at an upstream that is no longer brittle", counts["a"])
	assert.Assert(t, counts["b"] < brittleSlots, "%d requests at a brittle upstream", counts["b"])

	// Nobody has said it for a long time.
	p = newBrittlePool(1, 2)
	ids, _ := p.fill(at(20 * time.Second))
	assert.Assert(t, len(ids) > brittleSlots)
}

// Guards against an upstream that counts as sound since it last answered before the others of its service became brittle.
func TestUpstreamWithoutNewResponsesIsAsBrittleAsTheOthers(t *testing.T) {
	p := &brittlePool{Pool: newPool(2, brittleSlots, balancer.Engine{})}
	p.SetBrittle(start, balancer.Brittleness{Upstream: "a", Ended: true})
	p.SetBrittle(at(2*time.Second), balancer.Brittleness{Upstream: "b", Rejections: 2})

	ids, _ := p.fill(at(3 * time.Second))
	assert.Equal(t, len(ids), 2*(brittleSlots-1))
}

// Guards against a wave at an upstream that starts while the others of its service are brittle.
func TestUpstreamThatStartsIsAsBrittleAsTheOthers(t *testing.T) {
	p := newBrittlePool(1, 2)
	p.SetUpstreams(at(time.Second), []balancer.Upstream{{ID: "a", Slots: brittleSlots, Draining: true}, {ID: "b", Slots: brittleSlots}}, balancer.Engine{})

	ids, _ := p.fill(at(time.Second))
	assert.Equal(t, len(ids), 2)

	for round := range 10 {
		now := at(time.Second + time.Duration(round)*200*time.Millisecond)
		for _, id := range ids {
			p.RecordEnd(now.Add(150*time.Millisecond), id, balancer.Served)
		}

		ids, _ = p.fill(now.Add(200 * time.Millisecond))
	}

	assert.Equal(t, len(ids), brittleSlots-1)
}

// Guards against a node that doesn't decide for the others and sends a brittle upstream requests of its own, and against
// nodes that decide at the same time.
func TestShareOfABrittleUpstream(t *testing.T) {
	for _, c := range []struct {
		share, cost float64
		granted     int
	}{
		{share: 0, cost: 4, granted: 0},
		{share: 1, cost: 1, granted: brittleSlots - 1},
		{share: 1, cost: 4, granted: 1},
		{share: 0.25, cost: 1, granted: 1},
		{share: 0.1, cost: 1, granted: 0},
	} {
		p := newBrittlePool(1, 2)
		p.SetLimitTerms(start, c.share, c.cost)

		ids, _ := p.fill(at(0))
		assert.Equal(t, len(ids), c.granted, "share %v, cost %v", c.share, c.cost)
	}
}
