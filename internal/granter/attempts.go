package granter

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
)

// attempt is an attempt that runs on a slot of a pool.
type attempt struct {
	state attemptState
	pool  string
	// holder is the node that granted the slot, or empty if the fallback did.
	holder    string
	lowerTier bool
	startedAt time.Time
	// fallbackSlot is the slot that the fallback granted, or nil.
	fallbackSlot *dispatcher.Slot
	preempted    chan struct{}
	// preemptors are the holders that preempted the attempt; preempted is closed by the first.
	preemptors []string
}

// holdersToNotify returns the holders that count the attempt as running: the one that
// granted it, the current one, which has adopted it if it took the pool over, and
// those that preempted it. While nodes disagree on the holder, a preemptor may be
// neither of the first two, and would otherwise wait for the slot until the next
// comparisons.
func (a *attempt) holdersToNotify(current string) []string {
	names := append([]string{a.holder, current}, a.preemptors...)
	slices.Sort(names)

	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == "" })
}

func newAttempt(p *pendingRequest, grantID, upstream, holder string) *attempt {
	return &attempt{
		state: attemptState{
			GrantID:      grantID,
			ID:           p.request.ID,
			Upstream:     upstream,
			Class:        p.request.Class,
			Organisation: p.request.Organisation,

			NotRepeatable: p.request.NotRepeatable,
		},
		pool:      p.pool,
		holder:    holder,
		lowerTier: p.class.Tier != topTier,
		startedAt: time.Now(),
		preempted: make(chan struct{}),
	}
}

// recordAttempt adds a running attempt. The caller holds r.mu.
func (r *Router) recordAttempt(a *attempt) {
	r.attempts[a.state.GrantID] = a

	if !a.lowerTier {
		return
	}

	peak := r.recentPeaks[a.pool]
	if peak == nil {
		peak = &recentPeak{}
		r.recentPeaks[a.pool] = peak
	}

	peak.record(time.Now(), r.lowerTierAttempts(a.pool))
}

// attemptsOn returns the attempts that this node runs on a pool.
func (r *Router) attemptsOn(pool string) inFlightResult {
	r.mu.Lock()
	defer r.mu.Unlock()

	var result inFlightResult

	for _, a := range r.attempts {
		if a.pool != pool {
			continue
		}

		state := a.state
		state.Age = time.Since(a.startedAt)
		result.Attempts = append(result.Attempts, state)
	}

	return result
}

// compareAttempts returns the attempts that this node runs on a pool, or only Same if they match the holder's digest.
func (r *Router) compareAttempts(pool string, known digest) inFlightResult {
	result := r.attemptsOn(pool)

	var own digest
	for i := range result.Attempts {
		own.add(result.Attempts[i].GrantID)
	}

	if own == known {
		return inFlightResult{Same: true}
	}

	return result
}
