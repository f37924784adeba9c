package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"quincepath.example/quincepath/pkg/classifier"
)

// silentAfter is how long an owner may leave reports unanswered before a node
// without a lease goes on with an even part of rates and tokens.
const silentAfter = 5 * time.Second

// spareSeconds times an even part of a limit is what a node may save up. All
// nodes together may so send as many seconds' worth of the limit at once.
const spareSeconds = 4

// entry is the state of one limit on one node.
type entry struct {
	limits Amounts
	owner  string
	// allowed is the share in force: base plus lease, or an even part of rates and
	// tokens while the owner is silent.
	allowed Amounts

	requests *rate.Limiter
	inFlight int
	// balance is the number of tokens left; below zero it is a debt that later time
	// pays. A rate.Limiter can't be used here: it refuses more than its burst at
	// once, and answers are longer than that.
	balance   float64
	balanceAt time.Time
	// mostTokens is the balance up to which time adds to it.
	mostTokens float64
	// promised is the latest time that a refused caller was told to return at.
	promised time.Time

	lent      Amounts
	leaseEnds time.Time
	number    uint64
	received  uint64
	// measuredAt is when the demand was last measured.
	measuredAt time.Time
	// sentAt is when the report with the last number was sent; a lease runs from then.
	sentAt time.Time
	// renewedAt is when the last report was sent that the owner answered.
	renewedAt time.Time
	// sent is what the last report says; told what the last answered one said, as
	// long as the owner still goes by it.
	sent, told told
	// asked says that the owner must hear of the limit although nothing changed here.
	asked bool
	// silentSince is the time of the first report without an answer; zero when none waits.
	silentSince time.Time

	// What happened since the last report.
	attempts, peak, blocked int
	used                    float64
	tokensRefused, refused  bool
	// hadToRefuse says that the period before ended with a refusal in it.
	hadToRefuse bool

	// rate and tokenRate are averages, in requests and tokens a second.
	rate, tokenRate float64
	wants           Amounts
	lastUsed        time.Time
}

func newEntry(now time.Time, limits Amounts, view *view) *entry {
	allowed := view.base(now, limits)

	return &entry{
		limits:     limits,
		allowed:    allowed,
		requests:   rate.NewLimiter(rate.Limit(allowed.Requests), burst(allowed, view.even(now, limits), limits)),
		balance:    allowed.Tokens,
		balanceAt:  now,
		mostTokens: saved(allowed, view.even(now, limits), limits).Tokens,
		measuredAt: now,
		lastUsed:   now,
	}
}

// saved is what a node may save up while nothing comes: one second's worth of its
// share or, if more, of spareSeconds of an even part, but never of more than the
// limit. By the even part a node without a lease serves until it has one.
//
// One second's worth of a small share is less than one request, or less than one
// answer's tokens: of requests that come at random, two within a second would then
// be told that a limit is reached of which their organisation uses a quarter.
func saved(share, even, limits Amounts) Amounts {
	return share.atLeast(even.times(spareSeconds).atMost(limits))
}

// burst is the number of requests that may come at once, one at least.
func burst(share, even, limits Amounts) int {
	return max(1, int(math.Ceil(saved(share, even, limits).Requests)))
}

// refresh brings the share up to now. A lease that ended is taken off as of its end.
func (e *entry) refresh(now time.Time, view *view) {
	even := view.even(now, e.limits)

	if e.holds() && !now.Before(e.leaseEnds) {
		e.lent = Amounts{}
		e.told = told{}
		e.allow(e.leaseEnds, view.base(e.leaseEnds, e.limits), even)
	}

	share := view.base(now, e.limits).plus(e.lent)

	if e.ownerSilent(now) {
		even.Concurrency = 0
		share = share.atLeast(even)
	}

	e.allow(now, share.atMost(e.limits), even)
}

// holds says whether the owner may go by an earlier report.
func (e *entry) holds() bool {
	return e.lent != (Amounts{}) || e.told != (told{})
}

// ownerSilent says whether the owner has not answered for so long that the node
// goes on with an even part of rates and tokens. It keeps the lease to its end
// first. Concurrency has no even part: the owner may be alive behind a cut and
// lend it whole, so that more than the limit would run at once.
func (e *entry) ownerSilent(now time.Time) bool {
	return e.lent == (Amounts{}) && !e.silentSince.IsZero() && now.Sub(e.silentSince) >= silentAfter
}

func (e *entry) allow(at time.Time, share, even Amounts) {
	e.settle(at)

	if share == e.allowed {
		return
	}

	e.allowed = share
	e.requests.SetLimitAt(at, rate.Limit(share.Requests))
	e.requests.SetBurstAt(at, burst(share, even, e.limits))
	e.mostTokens = saved(share, even, e.limits).Tokens
	e.balance = min(e.balance, e.mostTokens)
}

// settle adds the tokens that time brought.
func (e *entry) settle(at time.Time) {
	passed := at.Sub(e.balanceAt).Seconds()
	if passed <= 0 {
		return
	}

	e.balance = min(e.balance+passed*e.allowed.Tokens, max(e.mostTokens, e.balance))
	e.balanceAt = at
}

// awaits says whether the concurrency is used up only since nothing is lent yet,
// and counts the request as demand, so that a report is due in the next round. It
// is not so from an even part of the limit on, nor while the owner doesn't answer.
func (e *entry) awaits(now time.Time, options Options, view *view) bool {
	full := e.limits.Concurrency > 0 && float64(e.inFlight) >= e.allowed.Concurrency
	unanswered := !e.silentSince.IsZero() && now.Sub(e.silentSince) >= options.ReportPeriod

	if !full || unanswered || e.lent.Concurrency > 0 || float64(e.inFlight) >= max(view.even(now, e.limits).Concurrency, 1) {
		return false
	}

	e.blocked = max(e.blocked, 1)
	e.refused = true
	e.lastUsed = now

	return true
}

// check says whether a request fits, and counts the attempt as demand.
func (e *entry) check(now time.Time, options Options) (classifier.Code, time.Duration) {
	e.attempts++
	e.lastUsed = now

	if e.limits.Concurrency > 0 && float64(e.inFlight) >= e.allowed.Concurrency {
		e.blocked++
		e.refused = true

		return classifier.ConcurrencyLimited, options.ReportPeriod
	}

	if e.limits.Tokens > 0 && e.balance <= 0 {
		e.tokensRefused = true
		e.refused = true

		return classifier.TokensLimited, e.wait((1-e.balance)/e.likely(e.allowed.Tokens, e.limits.Tokens), options)
	}

	if e.limits.Requests > 0 && e.requests.TokensAt(now) < 1 {
		e.refused = true

		return classifier.RateLimited, e.promise(now, options)
	}

	return classifier.OK, 0
}

// promise gives each refused caller a time of its own: told the same, they would
// return as one crowd, of which one gets in.
func (e *entry) promise(now time.Time, options Options) time.Duration {
	step := time.Duration(float64(time.Second) / e.likely(e.allowed.Requests, e.limits.Requests))
	latest := now.Add(options.MaxRetryAfter)

	if e.promised.Before(now) {
		e.promised = now
	}

	e.promised = e.promised.Add(min(step, options.MaxRetryAfter))
	if e.promised.After(latest) {
		e.promised = latest
	}

	return max(e.promised.Sub(now), options.ReportPeriod)
}

// likely is the rate to expect: a node without a lease will have one after its next report.
func (e *entry) likely(allowed, limit float64) float64 {
	if e.lent == (Amounts{}) {
		return max(allowed, limit/2)
	}

	return allowed
}

func (e *entry) wait(seconds float64, options Options) time.Duration {
	seconds = min(seconds, options.MaxRetryAfter.Seconds())

	return max(time.Duration(seconds*float64(time.Second)), options.ReportPeriod)
}

func (e *entry) take(now time.Time) {
	if e.limits.Requests > 0 {
		e.requests.AllowN(now, 1)
	}

	e.inFlight++
	e.peak = max(e.peak, e.inFlight)
}

func (e *entry) finish(now time.Time, tokens int) {
	e.inFlight = max(e.inFlight-1, 0)
	e.lastUsed = now

	if e.limits.Tokens > 0 {
		e.balance -= float64(tokens)
		e.used += float64(tokens)
	}
}

// forgettable says whether a new entry would be no more generous than this one.
func (e *entry) forgettable(now time.Time, options Options) bool {
	if e.inFlight > 0 || e.asked || e.holds() || now.Sub(e.lastUsed) < options.EvictAfter {
		return false
	}

	paid := e.limits.Tokens == 0 || e.balance >= e.allowed.Tokens
	full := e.limits.Requests == 0 || e.requests.TokensAt(now) >= float64(e.requests.Burst())

	return paid && full
}
