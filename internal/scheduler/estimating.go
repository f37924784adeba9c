package scheduler

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// defaultRetryAfter is the smallest Retry-After while the slot time of a class is unknown.
	defaultRetryAfter = time.Second
	// retryJitter is the relative range of variation of Retry-After between requests.
	retryJitter = 0.25
	// retryCapacityFraction is the fraction of the pool that retries of refused requests are expected to
	// find free.
	retryCapacityFraction = 0.5
	// reviewInterval is the time between reviews of all waiting requests.
	reviewInterval = 250 * time.Millisecond
	// reviewMargin is the factor by which the estimate of a waiting request must exceed its bound, so that
	// a small change of the estimates doesn't refuse requests that were already queued.
	reviewMargin = 1.5
	// minCapacityFraction is the smallest fraction of the pool that an estimate assumes for a tier.
	minCapacityFraction = 0.02
)

// expectedWait estimates how long a request waits with the given number of requests of its tier ahead
// of it: the slot time of all work that is served earlier, divided by the slots that higher tiers
// leave free.
func (p *Pool) expectedWait(now time.Time, w *waiter, ahead int) time.Duration {
	slots := float64(p.view.slots)
	if slots == 0 {
		return 0
	}

	work := p.meanRunningSlotTime(w.tier)
	taken := 0.0

	for _, c := range p.classes {
		work += c.workAhead(w.tier, ahead, p.tiers[w.tier].waiting)

		if c.settings.Tier < w.tier {
			taken += c.load.rate(now)
		}
	}

	left := max(slots-taken, slots*minCapacityFraction)
	seconds := work / left

	if share := w.class.settings.GuaranteedShare; share > 0 && w.tier > highestTier {
		own := float64(min(ahead, w.class.total)+1) * w.class.slotTime()
		seconds = min(seconds, own/(slots*share))
	}

	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// meanRunningSlotTime returns the mean slot time of the running requests: all slots of the pool become
// free once in this time. It returns zero for tier 1 while lower tiers run, because no tier 1 request
// is refused because of work that it can displace.
func (p *Pool) meanRunningSlotTime(tier int) float64 {
	count, sum := 0, 0.0

	for _, c := range p.classes {
		if tier == highestTier && c.running > 0 && c.settings.Tier > highestTier {
			return 0
		}

		if c.hasEstimates() {
			count += c.running
			sum += float64(c.running) * c.slotTime()
		}
	}

	if count == 0 {
		return 0
	}

	return sum / float64(count)
}

// workAhead returns the slot time of the class's requests in higher tiers and of its part of the given
// number of requests in the same tier.
func (c *class) workAhead(tier, ahead, waiting int) float64 {
	if !c.hasEstimates() || c.total == 0 {
		return 0
	}

	count := 0.0

	for higher := highestTier; higher < tier; higher++ {
		count += float64(c.waiting[higher])
	}

	if waiting > 0 {
		count += float64(c.waiting[tier]) * float64(ahead) / float64(waiting)
	}

	return count * c.slotTime()
}

// isUnattainable reports whether the request would wait beyond MaxWait, or start later than its target
// times the target factor. Its estimated wait is divided by margin.
func (p *Pool) isUnattainable(now time.Time, w *waiter, ahead int, margin float64) bool {
	if p.options.NoPredictiveRefusals || w.request.Progress > 0 || !w.class.hasEstimates() || p.rebuild.active {
		return false
	}

	settings := &w.class.settings
	if settings.Tier == highestTier {
		return false
	}

	wait := time.Duration(float64(p.expectedWait(now, w, ahead)) / margin)
	waited := now.Sub(w.queuedAt)

	if settings.MaxWait > 0 && waited+wait > settings.MaxWait {
		return true
	}

	factor := p.options.targetFactor(settings.Tier)
	if factor < 0 || settings.Target <= 0 {
		return false
	}

	start := w.class.startMean(p.service.Kind)
	latest := time.Duration(factor * float64(settings.Target))

	return waited+wait+start > max(latest, start)
}

// retryAfter returns the time until the current queue and the refused requests that were told to retry
// earlier are served. Without counting the latter, all requests refused in a burst would retry within
// one target, find room for few of them, and be refused again. The time has a jitter derived from the
// request ID, so that callers refused together don't retry together.
func (p *Pool) retryAfter(now time.Time, w *waiter) time.Duration {
	wait := p.expectedWait(now, w, p.tiers[w.tier].waiting)
	if !w.class.hasEstimates() {
		wait = max(wait, defaultRetryAfter)
	}

	wait = p.reserveRetry(now, w, min(max(wait, minRetryAfter), maxRetryAfter))
	spread := 1 + retryJitter*float64(mixBits(hash(w.request.ID))%1024)/1024

	return min(time.Duration(float64(wait)*spread), maxRetryAfter)
}

// reserveRetry returns when the request may retry, no earlier than after wait, and reserves its share
// of the pool's time.
func (p *Pool) reserveRetry(now time.Time, w *waiter, wait time.Duration) time.Duration {
	at := now.Add(wait)
	if w.class.nextRetrySlot.After(at) {
		at = w.class.nextRetrySlot
	}

	slots := max(float64(p.view.slots), 1) * retryCapacityFraction
	w.class.nextRetrySlot = earliest(at.Add(time.Duration(w.class.slotTime()/slots*float64(time.Second))), now.Add(maxRetryAfter))

	return at.Sub(now)
}

// review bounds the queue and refuses a new request that can't be served in time.
func (p *Pool) review(now time.Time, requestID string) {
	if len(p.waiting) > p.options.MaxQueue {
		p.refuseNewest(now)
	}

	w := p.waiting[requestID]
	if w == nil || !p.isUnattainable(now, w, p.tiers[w.tier].estimateAhead(w), 1) {
		return
	}

	p.refuseForCapacity(now, w, classifier.TargetUnreachable)
}

// refuseNewest refuses the newest request of the lowest waiting tier.
func (p *Pool) refuseNewest(now time.Time) {
	for tier := lowestTier; tier >= highestTier; tier-- {
		if w := p.tiers[tier].newest(); w != nil {
			p.refuse(now, w, classifier.QueueFull)

			return
		}
	}
}

// refuseForCapacity refuses a request for lack of capacity. Before a tier 1 request is refused, all
// waiting requests of lower tiers are.
func (p *Pool) refuseForCapacity(now time.Time, w *waiter, code classifier.Code) {
	if w.class.settings.Tier == highestTier && len(w.request.Exclude) == 0 {
		for tier := lowestTier; tier > highestTier; tier-- {
			for lower := p.tiers[tier].newest(); lower != nil; lower = p.tiers[tier].newest() {
				p.refuse(now, lower, classifier.QueueFull)
			}
		}
	}

	p.refuse(now, w, code)
}

// scheduleReview keeps a review scheduled while requests are waiting. The review also detects changes
// that have no event of their own: servers that reopen, headroom that expires.
func (p *Pool) scheduleReview(now time.Time) {
	switch {
	case len(p.waiting) == 0:
		p.reviewAt = time.Time{}
	case p.reviewAt.IsZero():
		p.reviewAt = now.Add(reviewInterval)
	}
}

// reviewAll refuses requests that can no longer be served in time, in the order of service.
func (p *Pool) reviewAll(now time.Time) {
	if p.reviewAt.IsZero() || now.Before(p.reviewAt) {
		return
	}

	p.reviewAt = time.Time{}

	for tier := highestTier; tier <= lowestTier; tier++ {
		for _, q := range p.tiers[tier].activeQueues() {
			p.reviewQueue(now, p.tiers[tier], q)
		}
	}

	p.scheduleReview(now)
}

func (p *Pool) reviewQueue(now time.Time, t *tierQueue, q *organisationQueue) {
	position := 0

	for w := q.first; w != nil; {
		next := w.next
		ahead := min(t.waiting-1, position*t.totalWeight/q.weight)

		if p.isUnattainable(now, w, ahead, reviewMargin) {
			p.refuseForCapacity(now, w, classifier.TargetUnreachable)
		} else {
			position++
		}

		w = next
	}
}
