package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"quincepath.example/quincepath/pkg/classifier"
)

// ownerTimeout is how long an owner may leave reports unanswered before a node without
// a lease falls back to an even share of rates and tokens.
const ownerTimeout = 5 * time.Second

// burstSeconds is the burst that a node may save up, in seconds of its even share. All
// nodes together may thus send that many seconds' worth of the limit at once.
const burstSeconds = 4

// limitState is the state of one limit on one node.
type limitState struct {
	limits Amounts
	owner  string
	// allowed is the share in force: the base share plus the lease, or an even share of
	// rates and tokens while the owner is unresponsive.
	allowed Amounts

	requestLimiter *rate.Limiter
	inFlight       int
	// tokenBalance is the number of tokens left. A negative balance is a debt that is
	// paid off over time. A rate.Limiter can't be used here because it refuses to take
	// more than its burst at once, and answers are longer than that.
	tokenBalance   float64
	tokenBalanceAt time.Time
	// maxTokenBalance is the balance at which tokens stop accruing.
	maxTokenBalance float64
	// latestRetryAt is the latest time at which a refused caller was told to retry.
	latestRetryAt time.Time

	leased       Amounts
	leaseExpires time.Time
	sequence     uint64
	acknowledged uint64
	// measuredAt is when the demand was last measured.
	measuredAt time.Time
	// sentAt is when the report with this sequence number was sent. A lease is counted
	// from then.
	sentAt time.Time
	// renewedAt is when the last report that the owner answered was sent.
	renewedAt time.Time
	// lastDemand is what the last report contained, ackedDemand what the last one that
	// was answered contained, for as long as the owner still relies on it.
	lastDemand, ackedDemand reportedDemand
	// mustReport forces a report although nothing changed on this node.
	mustReport bool
	// unansweredSince is when the first report without a reply was sent; zero if none
	// is pending.
	unansweredSince time.Time

	// The following count from when the demand was last measured.
	attempts, peakInFlight, overConcurrency int
	tokensUsed                              float64
	refusedForTokens, refusedAny            bool
	// refusedLastPeriod is set if requests were refused in the previous measuring
	// period.
	refusedLastPeriod bool

	// requestRate and tokenRate are moving averages per second.
	requestRate, tokenRate float64
	wanted                 Amounts
	lastUsed               time.Time
}

func newLimitState(now time.Time, limits Amounts, view *view) *limitState {
	allowed := view.baseShare(now, limits)

	return &limitState{
		limits:          limits,
		allowed:         allowed,
		requestLimiter:  rate.NewLimiter(rate.Limit(allowed.Requests), requestBurst(allowed, view.evenShare(now, limits), limits)),
		tokenBalance:    allowed.Tokens,
		tokenBalanceAt:  now,
		maxTokenBalance: burstCapacity(allowed, view.evenShare(now, limits), limits).Tokens,
		measuredAt:      now,
		lastUsed:        now,
	}
}

// burstCapacity is what a node may save up while no requests arrive: one second's worth
// of its share or, if that is more, burstSeconds of its even share, but never more than
// one second's worth of the limit. The even share also carries a node until its first
// lease.
//
// One second's worth of a small share is less than one request, or than the tokens of
// one answer. Of requests that arrive at random, two within a second would then be
// refused although their organisation uses only a quarter of its limit.
func burstCapacity(share, even, limits Amounts) Amounts {
	return share.atLeast(even.times(burstSeconds).atMost(limits))
}

// requestBurst is the number of requests that may arrive at once, at least one.
func requestBurst(share, even, limits Amounts) int {
	return max(1, int(math.Ceil(burstCapacity(share, even, limits).Requests)))
}

// refresh updates the share to now. An expired lease is removed as of its expiry.
func (s *limitState) refresh(now time.Time, view *view) {
	even := view.evenShare(now, s.limits)

	if s.trackedByOwner() && !now.Before(s.leaseExpires) {
		s.leased = Amounts{}
		s.ackedDemand = reportedDemand{}
		s.setAllowed(s.leaseExpires, view.baseShare(s.leaseExpires, s.limits), even)
	}

	share := view.baseShare(now, s.limits).plus(s.leased)

	if s.ownerUnresponsive(now) {
		even.Concurrency = 0
		share = share.atLeast(even)
	}

	s.setAllowed(now, share.atMost(s.limits), even)
}

// trackedByOwner reports whether the owner may still rely on an earlier report.
func (s *limitState) trackedByOwner() bool {
	return s.leased != (Amounts{}) || s.ackedDemand != (reportedDemand{})
}

// ownerUnresponsive reports whether the owner hasn't replied for so long that the node
// falls back to an even share of rates and tokens. It first keeps its lease until that
// expires. There is no fallback for concurrency: the owner may be alive behind a
// network partition and lease all of it, so that more than the limit would run at once.
func (s *limitState) ownerUnresponsive(now time.Time) bool {
	return s.leased == (Amounts{}) && !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= ownerTimeout
}

func (s *limitState) setAllowed(at time.Time, share, even Amounts) {
	s.accrueTokens(at)

	if share == s.allowed {
		return
	}

	s.allowed = share
	s.requestLimiter.SetLimitAt(at, rate.Limit(share.Requests))
	s.requestLimiter.SetBurstAt(at, requestBurst(share, even, s.limits))
	s.maxTokenBalance = burstCapacity(share, even, s.limits).Tokens
	s.tokenBalance = min(s.tokenBalance, s.maxTokenBalance)
}

// accrueTokens adds the tokens accrued since the last update.
func (s *limitState) accrueTokens(at time.Time) {
	passed := at.Sub(s.tokenBalanceAt).Seconds()
	if passed <= 0 {
		return
	}

	s.tokenBalance = min(s.tokenBalance+passed*s.allowed.Tokens, max(s.maxTokenBalance, s.tokenBalance))
	s.tokenBalanceAt = at
}

// shouldWaitForLease reports whether the concurrency is used up only because nothing is
// leased yet. If so, it counts the request as demand, which makes a report due in the
// next exchange. Requests don't wait once the node runs its even share of the limit,
// nor while the owner doesn't reply.
func (s *limitState) shouldWaitForLease(now time.Time, options Options, view *view) bool {
	concurrencyUsedUp := s.limits.Concurrency > 0 && float64(s.inFlight) >= s.allowed.Concurrency
	unanswered := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= options.ReportPeriod

	if !concurrencyUsedUp || unanswered || s.leased.Concurrency > 0 || float64(s.inFlight) >= max(view.evenShare(now, s.limits).Concurrency, 1) {
		return false
	}

	s.overConcurrency = max(s.overConcurrency, 1)
	s.refusedAny = true
	s.lastUsed = now

	return true
}

// check reports whether a request fits in the share, and counts the attempt as demand.
func (s *limitState) check(now time.Time, options Options) (classifier.Code, time.Duration) {
	s.attempts++
	s.lastUsed = now

	if s.limits.Concurrency > 0 && float64(s.inFlight) >= s.allowed.Concurrency {
		s.overConcurrency++
		s.refusedAny = true

		return classifier.ConcurrencyLimited, options.ReportPeriod
	}

	if s.limits.Tokens > 0 && s.tokenBalance <= 0 {
		s.refusedForTokens = true
		s.refusedAny = true

		return classifier.TokensLimited, s.clampRetryAfter((1-s.tokenBalance)/s.expectedRate(s.allowed.Tokens, s.limits.Tokens), options)
	}

	if s.limits.Requests > 0 && s.requestLimiter.TokensAt(now) < 1 {
		s.refusedAny = true

		return classifier.RateLimited, s.nextRetryAfter(now, options)
	}

	return classifier.OK, 0
}

// nextRetryAfter gives each refused caller a different time. With the same time for
// all, they would all return at once, and only one would be admitted.
func (s *limitState) nextRetryAfter(now time.Time, options Options) time.Duration {
	interval := time.Duration(float64(time.Second) / s.expectedRate(s.allowed.Requests, s.limits.Requests))
	latest := now.Add(options.MaxRetryAfter)

	if s.latestRetryAt.Before(now) {
		s.latestRetryAt = now
	}

	s.latestRetryAt = s.latestRetryAt.Add(min(interval, options.MaxRetryAfter))
	if s.latestRetryAt.After(latest) {
		s.latestRetryAt = latest
	}

	return max(s.latestRetryAt.Sub(now), options.ReportPeriod)
}

// expectedRate is the rate to assume for retries. A node without a lease will have one
// after its next report.
func (s *limitState) expectedRate(allowed, limit float64) float64 {
	if s.leased == (Amounts{}) {
		return max(allowed, limit/2)
	}

	return allowed
}

func (s *limitState) clampRetryAfter(seconds float64, options Options) time.Duration {
	seconds = min(seconds, options.MaxRetryAfter.Seconds())

	return max(time.Duration(seconds*float64(time.Second)), options.ReportPeriod)
}

func (s *limitState) start(now time.Time) {
	if s.limits.Requests > 0 {
		s.requestLimiter.AllowN(now, 1)
	}

	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
}

func (s *limitState) finish(now time.Time, tokens int) {
	s.inFlight = max(s.inFlight-1, 0)
	s.lastUsed = now

	if s.limits.Tokens > 0 {
		s.tokenBalance -= float64(tokens)
		s.tokensUsed += float64(tokens)
	}
}

// canEvict reports whether a newly created state would allow no more than this one.
func (s *limitState) canEvict(now time.Time, options Options) bool {
	if s.inFlight > 0 || s.mustReport || s.trackedByOwner() || now.Sub(s.lastUsed) < options.EvictAfter {
		return false
	}

	tokensRestored := s.limits.Tokens == 0 || s.tokenBalance >= s.allowed.Tokens
	requestsRestored := s.limits.Requests == 0 || s.requestLimiter.TokensAt(now) >= float64(s.requestLimiter.Burst())

	return tokensRestored && requestsRestored
}
