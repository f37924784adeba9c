package scheduler

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	shortestRetry = 100 * time.Millisecond
	longestRetry  = time.Minute
	// coldRetry is the least Retry-After while the drain rate of a class is unknown.
	coldRetry = time.Second
	// retrySpread is the part by which Retry-After differs between requests.
	retrySpread = 0.25
	// returnShare is the part of the pool that requests told to come back are
	// expected to find free.
	returnShare = 0.5
	// reviewEvery is the time between reviews of all waiting requests.
	reviewEvery = 250 * time.Millisecond
	// reviewMargin is how far a waiting request's estimate must exceed its bound,
	// so that a small change of the estimates doesn't refuse what was let in.
	reviewMargin = 1.5
	// leastShare is the part of the pool that an estimate leaves to a tier at least.
	leastShare = 0.02
)

// expectedWait estimates how long a request waits with the given number of
// requests of its tier before it: the slot time of all work that is served
// earlier, divided by the slots that higher tiers leave.
func (p *Pool) expectedWait(now time.Time, w *waiter, ahead int) time.Duration {
	slots := float64(p.view.slots)
	if slots == 0 {
		return 0
	}

	work := p.untilFree(w.tier)
	taken := 0.0

	for _, c := range p.classes {
		work += c.workAhead(w.tier, ahead, p.tiers[w.tier].waiting)

		if c.settings.Tier < w.tier {
			taken += c.load.rate(now)
		}
	}

	left := max(slots-taken, slots*leastShare)
	seconds := work / left

	if share := w.class.settings.GuaranteedShare; share > 0 && w.tier > topTier {
		own := float64(min(ahead, w.class.total)+1) * w.class.slotTime()
		seconds = min(seconds, own/(slots*share))
	}

	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// untilFree is the mean slot time of what runs: the pool's slots are free once
// in this time. It is zero for tier 1 while lower tiers run: no tier 1 request
// is given up for work that makes way for it.
func (p *Pool) untilFree(tier int) float64 {
	count, sum := 0, 0.0

	for _, c := range p.classes {
		if tier == topTier && c.running > 0 && c.settings.Tier > topTier {
			return 0
		}

		if c.warm() {
			count += c.running
			sum += float64(c.running) * c.slotTime()
		}
	}

	if count == 0 {
		return 0
	}

	return sum / float64(count)
}

// workAhead is the slot time of the class's requests in higher tiers and of its
// part of the given number of requests in the same tier.
func (c *class) workAhead(tier, ahead, waiting int) float64 {
	if !c.warm() || c.total == 0 {
		return 0
	}

	count := 0.0

	for higher := topTier; higher < tier; higher++ {
		count += float64(c.waiting[higher])
	}

	if waiting > 0 {
		count += float64(c.waiting[tier]) * float64(ahead) / float64(waiting)
	}

	return count * c.slotTime()
}

// hopeless says whether the request would wait beyond MaxWait, or start so late
// that its target is missed by TargetFactor, when its wait is estimated times the margin.
func (p *Pool) hopeless(now time.Time, w *waiter, ahead int, margin float64) bool {
	if p.options.NoPredictiveRefusals || w.request.Progress > 0 || !w.class.warm() || p.rebuild.active {
		return false
	}

	settings := &w.class.settings
	if settings.Tier == topTier {
		return false
	}

	wait := time.Duration(float64(p.expectedWait(now, w, ahead)) / margin)
	waited := now.Sub(w.queued)

	if settings.MaxWait > 0 && waited+wait > settings.MaxWait {
		return true
	}

	factor := p.options.lateFactor(settings.Tier)
	if factor < 0 || settings.Target <= 0 {
		return false
	}

	start := w.class.usualStart(p.service.Kind)
	latest := time.Duration(factor * float64(settings.Target))

	return waited+wait+start > max(latest, start)
}

// retryAfter tells a refused request when the present queue will have drained,
// and the requests refused before it that were told to come back. Without the
// second, all that a burst refuses comes back within one target, where there is
// room for few of them, and is refused again. The time differs from request to request, the same way each time, so that
// callers refused together don't come back together.
func (p *Pool) retryAfter(now time.Time, w *waiter) time.Duration {
	wait := p.expectedWait(now, w, p.tiers[w.tier].waiting)
	if !w.class.warm() {
		wait = max(wait, coldRetry)
	}

	wait = p.appoint(now, w, min(max(wait, shortestRetry), longestRetry))
	spread := 1 + retrySpread*float64(mix(hash(w.request.ID))%1024)/1024

	return min(time.Duration(float64(wait)*spread), longestRetry)
}

// appoint returns when the request may come back, at the earliest after wait, and
// keeps that much of the pool's time for it.
func (p *Pool) appoint(now time.Time, w *waiter, wait time.Duration) time.Duration {
	at := now.Add(wait)
	if w.class.appointed.After(at) {
		at = w.class.appointed
	}

	slots := max(float64(p.view.slots), 1) * returnShare
	w.class.appointed = earliest(at.Add(time.Duration(w.class.slotTime()/slots*float64(time.Second))), now.Add(longestRetry))

	return at.Sub(now)
}

// review bounds the queue and gives a new request up when it has no chance.
func (p *Pool) review(now time.Time, requestID string) {
	if len(p.waiting) > p.options.MaxQueue {
		p.overflow(now)
	}

	w := p.waiting[requestID]
	if w == nil || !p.hopeless(now, w, p.tiers[w.tier].ahead(w), 1) {
		return
	}

	p.giveUp(now, w, classifier.TargetUnreachable)
}

// overflow refuses the newest request of the lowest tier that waits.
func (p *Pool) overflow(now time.Time) {
	for tier := lowestTier; tier >= topTier; tier-- {
		if w := p.tiers[tier].newest(); w != nil {
			p.refuse(now, w, classifier.QueueFull)

			return
		}
	}
}

// giveUp refuses a request for want of capacity. Before a tier 1 request is
// refused, all that waits in lower tiers is.
func (p *Pool) giveUp(now time.Time, w *waiter, code classifier.Code) {
	if w.class.settings.Tier == topTier && len(w.request.Exclude) == 0 {
		for tier := lowestTier; tier > topTier; tier-- {
			for lower := p.tiers[tier].newest(); lower != nil; lower = p.tiers[tier].newest() {
				p.refuse(now, lower, classifier.QueueFull)
			}
		}
	}

	p.refuse(now, w, code)
}

// scheduleReview keeps a review due while requests wait. It also makes time
// pass for what has no event of its own: servers that open again, headroom that ends.
func (p *Pool) scheduleReview(now time.Time) {
	switch {
	case len(p.waiting) == 0:
		p.reviewAt = time.Time{}
	case p.reviewAt.IsZero():
		p.reviewAt = now.Add(reviewEvery)
	}
}

// reviewAll gives up what has no chance any more, in the order of service.
func (p *Pool) reviewAll(now time.Time) {
	if p.reviewAt.IsZero() || now.Before(p.reviewAt) {
		return
	}

	p.reviewAt = time.Time{}

	for tier := topTier; tier <= lowestTier; tier++ {
		for _, l := range p.tiers[tier].all() {
			p.reviewLane(now, p.tiers[tier], l)
		}
	}

	p.scheduleReview(now)
}

func (p *Pool) reviewLane(now time.Time, r *ring, l *lane) {
	position := 0

	for w := l.first; w != nil; {
		next := w.next
		ahead := min(r.waiting-1, position*r.weights/l.weight)

		if p.hopeless(now, w, ahead, reviewMargin) {
			p.giveUp(now, w, classifier.TargetUnreachable)
		} else {
			position++
		}

		w = next
	}
}
