package limiter

import (
	"math"
	"time"
)

const (
	// exchangesPerPeriod is how many times in a report period Exchange must be called.
	exchangesPerPeriod = 4
	// demandHeadroom lets demand grow before another report is needed.
	demandHeadroom = 1.5
	// demandDecay is the fraction of the previous demand that is kept as a minimum when
	// the new one is lower.
	demandDecay = 0.7
	// unreportedBaseFraction is the fraction of the base share that a node without a
	// lease uses without reporting.
	unreportedBaseFraction = 0.5
	// demandIdleTimeout is how long after its last use a limit's demand drops to zero.
	demandIdleTimeout = 5 * time.Second
	// rateTimeConstant is the time constant of the moving averages of rates.
	rateTimeConstant = 5 * time.Second
)

// reportedDemand is what the owner knows of a node's demand from a report.
type reportedDemand struct {
	wanted   Amounts
	inFlight int
}

// isReportDue reports whether the owner must be told about the limit now: to renew the
// lease, because more is wanted than was reported and leased, because fewer requests
// run than the owner counts beyond the lease, or because it requested a report. Lower
// demand alone is only reported with the next renewal; an owner that needs the share
// for another node requests a report.
func (s *limitState) isReportDue(now time.Time, options Options, view *view) bool {
	// Reporting before the reply to the last report has arrived would make that reply
	// stale.
	if !s.unansweredSince.IsZero() && now.Sub(s.sentAt) < options.ReportPeriod {
		return false
	}

	s.measureDemand(now, options)

	base := view.baseShare(now, s.limits)

	switch {
	case s.mustReport, s.hasUnreportedDemand(base, view.evenShare(now, s.limits)):
		return true
	case s.trackedByOwner() && now.Sub(s.renewedAt) >= options.renewInterval():
		return true
	case float64(s.ackedDemand.inFlight) > s.leased.Concurrency && s.inFlightBeyondBase(base) < s.ackedDemand.inFlight:
		return now.Sub(s.sentAt) >= options.ReportPeriod
	}

	s.unansweredSince = time.Time{}

	return false
}

// inFlightBeyondBase is the number of requests that run beyond the base share.
func (s *limitState) inFlightBeyondBase(base Amounts) int {
	if s.limits.Concurrency == 0 {
		return 0
	}

	return max(s.inFlight-int(base.Concurrency), 0)
}

// hasUnreportedDemand reports whether more is wanted than the node has, and the owner
// doesn't know. Demand that was reported and could not be met isn't reported again: the
// owner requests a report when it can be met.
func (s *limitState) hasUnreportedDemand(base, even Amounts) bool {
	if !s.trackedByOwner() {
		return s.wanted.minus(base.times(unreportedBaseFraction)) != (Amounts{})
	}

	if s.ackedDemand.wanted.minus(s.leased).isSignificant(even) || s.wanted.minus(base.plus(s.leased)) == (Amounts{}) {
		return false
	}

	unreported := s.wantedBeyondBase(base).minus(s.ackedDemand.wanted)

	return unreported.isSignificant(even) || (s.refusedLastPeriod && unreported != (Amounts{}))
}

// wantedBeyondBase is the amount, including headroom, to request beyond the base share.
func (s *limitState) wantedBeyondBase(base Amounts) Amounts {
	wanted := s.wanted.times(demandHeadroom)
	wanted.Concurrency = math.Ceil(wanted.Concurrency)

	return wanted.atMost(s.limits).minus(base).roundDown()
}

// measureDemand updates the demand from the last period, or from a quarter of one if
// the node refused requests and the owner knows of no demand.
func (s *limitState) measureDemand(now time.Time, options Options) {
	passed := now.Sub(s.measuredAt)
	urgent := s.refusedAny && !s.trackedByOwner()

	if passed < options.ReportPeriod/exchangesPerPeriod || (passed < options.ReportPeriod && !urgent) {
		return
	}

	seconds := passed.Seconds()
	weight := 1 - math.Exp(-seconds/rateTimeConstant.Seconds())
	s.requestRate += weight * (float64(s.attempts)/seconds - s.requestRate)
	s.tokenRate += weight * (s.tokensUsed/seconds - s.tokenRate)

	measured := Amounts{
		Requests:    max(s.requestRate, lowerEstimate(s.attempts)/seconds),
		Concurrency: float64(s.peakInFlight + s.overConcurrency),
		Tokens:      s.tokenRate,
	}

	if s.refusedForTokens {
		measured.Tokens = max(measured.Tokens, -s.tokenBalance/rateTimeConstant.Seconds())
	}

	s.wanted = measured.atLeast(s.wanted.times(demandDecay)).atMost(s.limits)

	if s.inFlight == 0 && now.Sub(s.lastUsed) >= demandIdleTimeout {
		s.wanted = Amounts{}
		s.requestRate, s.tokenRate = 0, 0
	}

	s.measuredAt = now
	s.attempts, s.overConcurrency, s.tokensUsed = 0, 0, 0
	s.peakInFlight = s.inFlight
	s.refusedLastPeriod = s.refusedAny
	s.refusedForTokens, s.refusedAny = false, false
}

// lowerEstimate returns the number of requests less one standard deviation of a Poisson
// process. A single request in a period doesn't mean a rate of one a second: if it did,
// all nodes together would want several times what the organisation sends, and would
// report whenever the estimate changes.
func lowerEstimate(attempts int) float64 {
	return float64(attempts) - math.Sqrt(float64(attempts))
}

func (s *limitState) newDemand(now time.Time, key Key, sequence uint64, view *view) Demand {
	s.sequence = sequence
	s.sentAt = now

	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}

	base := view.baseShare(now, s.limits)
	s.lastDemand = reportedDemand{wanted: s.wantedBeyondBase(base), inFlight: s.inFlightBeyondBase(base)}

	return Demand{
		Key:          key,
		Sequence:     s.sequence,
		Acknowledged: s.acknowledged,
		Wanted:       s.lastDemand.wanted,
		Held:         s.leased,
		InFlight:     s.lastDemand.inFlight,
	}
}

// applyReply applies the reply to the last report. A smaller share is acknowledged by a
// further report, since the owner counts the larger one until then.
func (s *limitState) applyReply(reply LeaseReply, options Options, even Amounts) {
	s.acknowledged = reply.Sequence
	s.unansweredSince = time.Time{}
	s.mustReport = s.leased.minus(reply.Leased).isSignificant(even)
	s.ackedDemand = s.lastDemand
	s.leased = reply.Leased
	s.renewedAt = s.sentAt
	s.leaseExpires = s.sentAt.Add(options.LeaseDuration)
}
