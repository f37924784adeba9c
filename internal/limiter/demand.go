package limiter

import (
	"math"
	"time"
)

const (
	// roundsPerPeriod is how often in a period Exchange looks for due reports.
	roundsPerPeriod = 4
	// wantFactor leaves room for demand to grow before a further report.
	wantFactor = 1.5
	// wantFade is how much of the last demand still counts when the new one is lower.
	wantFade = 0.7
	// silentUse is the part of the base share that a node uses without reporting.
	silentUse = 0.5
	// idleAfter is how long after its last use a limit is not wanted at all.
	idleAfter = 5 * time.Second
	// smoothOver is the time over which rates are averaged.
	smoothOver = 5 * time.Second
)

// told is what an owner knows of a node's demand from a report.
type told struct {
	wants    Amounts
	inFlight int
}

// due says whether the owner must hear of the limit now: to renew what it goes
// by, when more is wanted than it was told and lent, when less runs than it counts
// beyond the lease, or when it asked. Less demand alone is told with the next
// renewal; an owner that needs the share for another node asks for it.
func (e *entry) due(now time.Time, options Options, view *view) bool {
	// A report before the answer to the last one would make that answer stale.
	if !e.silentSince.IsZero() && now.Sub(e.sentAt) < options.ReportPeriod {
		return false
	}

	e.measure(now, options)

	base := view.base(now, e.limits)

	switch {
	case e.asked, e.grown(base, view.even(now, e.limits)):
		return true
	case e.holds() && now.Sub(e.renewedAt) >= options.renewAfter():
		return true
	case float64(e.told.inFlight) > e.lent.Concurrency && e.beyond(base) < e.told.inFlight:
		return now.Sub(e.sentAt) >= options.ReportPeriod
	}

	e.silentSince = time.Time{}

	return false
}

// beyond is the number of requests that run beyond the base share.
func (e *entry) beyond(base Amounts) int {
	if e.limits.Concurrency == 0 {
		return 0
	}

	return max(e.inFlight-int(base.Concurrency), 0)
}

// grown says whether more is wanted than the node has, and the owner doesn't know.
// What it was told and could not lend is not worth telling again: it asks when it can.
func (e *entry) grown(base, even Amounts) bool {
	if !e.holds() {
		return e.wants.minus(base.times(silentUse)) != (Amounts{})
	}

	if e.told.wants.minus(e.lent).matters(even) || e.wants.minus(base.plus(e.lent)) == (Amounts{}) {
		return false
	}

	news := e.need(base).minus(e.told.wants)

	return news.matters(even) || (e.hadToRefuse && news != (Amounts{}))
}

// need is what is worth having beyond the base share.
func (e *entry) need(base Amounts) Amounts {
	wants := e.wants.times(wantFactor)
	wants.Concurrency = math.Ceil(wants.Concurrency)

	return wants.atMost(e.limits).minus(base).brief()
}

// measure takes the demand of the last period, or of a quarter of it where the
// node had to refuse and the owner knows of no demand at all.
func (e *entry) measure(now time.Time, options Options) {
	passed := now.Sub(e.measuredAt)
	urgent := e.refused && !e.holds()

	if passed < options.ReportPeriod/roundsPerPeriod || (passed < options.ReportPeriod && !urgent) {
		return
	}

	seconds := passed.Seconds()
	weight := 1 - math.Exp(-seconds/smoothOver.Seconds())
	e.rate += weight * (float64(e.attempts)/seconds - e.rate)
	e.tokenRate += weight * (e.used/seconds - e.tokenRate)

	measured := Amounts{
		Requests:    max(e.rate, surely(e.attempts)/seconds),
		Concurrency: float64(e.peak + e.blocked),
		Tokens:      e.tokenRate,
	}

	if e.tokensRefused {
		measured.Tokens = max(measured.Tokens, -e.balance/smoothOver.Seconds())
	}

	e.wants = measured.atLeast(e.wants.times(wantFade)).atMost(e.limits)

	if e.inFlight == 0 && now.Sub(e.lastUsed) >= idleAfter {
		e.wants = Amounts{}
		e.rate, e.tokenRate = 0, 0
	}

	e.measuredAt = now
	e.attempts, e.blocked, e.used = 0, 0, 0
	e.peak = e.inFlight
	e.hadToRefuse = e.refused
	e.tokensRefused, e.refused = false, false
}

// surely is the number of requests less what chance may add. One request in a
// period is no rate of one a second: taken for it, all nodes together would want
// several times what the organisation sends, and report as often as they guess.
func surely(attempts int) float64 {
	return float64(attempts) - math.Sqrt(float64(attempts))
}

func (e *entry) report(now time.Time, key Key, number uint64, view *view) Demand {
	e.number = number
	e.sentAt = now

	if e.silentSince.IsZero() {
		e.silentSince = now
	}

	base := view.base(now, e.limits)
	e.sent = told{wants: e.need(base), inFlight: e.beyond(base)}

	return Demand{
		Key:          key,
		Sequence:     e.number,
		Acknowledged: e.received,
		Wanted:       e.sent.wants,
		Held:         e.lent,
		InFlight:     e.sent.inFlight,
	}
}

// apply takes the answer to the last report. A smaller share is acknowledged with
// a further report: until then the owner counts the larger one.
func (e *entry) apply(share LeaseReply, options Options, even Amounts) {
	e.received = share.Sequence
	e.silentSince = time.Time{}
	e.asked = e.lent.minus(share.Leased).matters(even)
	e.told = e.sent
	e.lent = share.Leased
	e.renewedAt = e.sentAt
	e.leaseEnds = e.sentAt.Add(options.LeaseDuration)
}
