package scheduler

import (
	"math"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

const (
	minLimit = 1
	maxLimit = 256
	// decreaseFactor reduces a server's limit when answers are late.
	decreaseFactor = 0.93
	// targetMargin and gapMargin are the fractions of a target above which a server counts as overloaded.
	// A token gap is a mean over a whole answer and varies less than a first token.
	targetMargin = 0.9
	gapMargin    = 0.97
	// targetExcess and gapExcess are factors of the fastest measurements that a late answer must exceed as
	// well: a long prompt or a small model is slow even without concurrent requests.
	targetExcess = 1.5
	gapExcess    = 1.2
	// queueExcess is the factor of the fastest first token above which the engine itself is queueing, so
	// that a higher limit brings nothing.
	queueExcess = 8
	// stallFactor is the factor of the longest 95th percentile duration of a class for which the lowest
	// tier of a server may complete nothing, while higher tiers do, before it counts as queued inside the
	// engine.
	stallFactor = 2
	// roundFraction is the relative growth of a limit in one round of additive increase.
	roundFraction = 0.1
	// engineSpeedWeight is the weight of a new sample in a server's relative speed. slownessDecay is the
	// time constant after which a slow server without new samples is trusted again.
	engineSpeedWeight = 0.3
	// plainSpeedWeight is smaller: the time of a plain answer depends more on its work than on its server.
	plainSpeedWeight = 0.05
	slownessDecay    = time.Minute
	// stragglerRatio is the relative token time, at the same number of running requests, above which tier
	// 1 avoids a server.
	stragglerRatio = 1.75
	// minCloseTime and maxCloseTime bound how long a failing server is closed.
	minCloseTime = 500 * time.Millisecond
	maxCloseTime = 30 * time.Second
	// silentResultsToClose is the number of consecutive silent answers that close a server. A single one
	// indicates a lost connection rather than a server failure.
	silentResultsToClose = 3
)

// server is the state of one upstream.
type server struct {
	upstream configurer.Upstream
	// removed means that the settings no longer contain the server; it is kept until its last grant ends.
	removed bool
	// limit is the learned concurrency limit, 1 to 256; its integer part applies.
	limit    float64
	inFlight int
	// belowHighestTier is the number of grants below tier 1.
	belowHighestTier int
	// vacated is the number of slots that preempted grants released during the current call. Tier 1 takes
	// them even above the limit, since the server gets no fuller.
	vacated int
	// oversubscribed is the number of tier 1 grants above the limit.
	oversubscribed int
	// exposure tracks the answers in flight that can't be resumed elsewhere.
	exposure exposure
	// running counts grants by class index.
	running []int

	lastDecreaseAt time.Time
	// slowStart is true until the first sign of overload.
	slowStart bool
	// relativeTime is the token time relative to the usual one in the pool, 1 when unknown.
	relativeTime   float64
	relativeTimeAt time.Time
	// currentSlowness is the slowness at the time of the current call.
	currentSlowness float64

	// lowestTierActiveAt is when the lowest running tier last completed an answer or began to run.
	lowestTierActiveAt time.Time

	// roundCeiling bounds the limit in the current round of increase, which began at roundStartedAt.
	roundCeiling   float64
	roundStartedAt time.Time

	failures      int
	lastFailureAt time.Time
	closedUntil   time.Time

	slotTime time.Duration
	// limitTime is the time integral of the limit.
	limitTime   time.Duration
	accountedAt time.Time
}

func newServer(upstream configurer.Upstream, kind configurer.Kind) *server {
	limit := float64(min(max(upstream.Slots, minLimit), maxLimit))

	return &server{
		upstream:        upstream,
		limit:           limit,
		relativeTime:    1,
		currentSlowness: 1,
		slowStart:       kind == configurer.KindEngine,
	}
}

func (s *server) slots() int {
	return int(s.limit)
}

func (s *server) isOpen(now time.Time) bool {
	return !s.removed && !s.upstream.Leaving && !now.Before(s.closedUntil)
}

// slowness returns the relative token time; it decays towards 1 while there are no new samples.
func (s *server) slowness(now time.Time) float64 {
	if s.relativeTime <= 1 {
		return s.relativeTime
	}

	return 1 + (s.relativeTime-1)*math.Exp(-now.Sub(s.relativeTimeAt).Seconds()/slownessDecay.Seconds())
}

// accountTime adds the slot time since the last change. It must be called before inFlight changes.
func (s *server) accountTime(now time.Time) {
	if !s.accountedAt.IsZero() && now.After(s.accountedAt) {
		passed := now.Sub(s.accountedAt)
		s.slotTime += time.Duration(s.inFlight) * passed
		s.limitTime += time.Duration(s.slots()) * passed
	}

	s.accountedAt = now
}

// busyShare returns the fraction of the limit over time that was in use; above 1 if tier 1 exceeded
// the limit.
func (s *server) busyShare() float64 {
	if s.limitTime == 0 {
		return 0
	}

	return float64(s.slotTime) / float64(s.limitTime)
}

func (s *server) add(now time.Time, g *grant, classes []*class) {
	c := g.class
	s.accountTime(now)

	if s.inFlight == 0 || c.settings.Tier > s.lowestTier(classes) {
		s.lowestTierActiveAt = now
	}

	s.inFlight++

	for len(s.running) <= c.index {
		s.running = append(s.running, 0)
	}

	s.running[c.index]++
	c.running++

	if g.belowHighestTier {
		s.belowHighestTier++
	}

	if g.countsInExposure {
		s.exposure.add(now, g.grantedAt)
	}
}

func (s *server) remove(now time.Time, g *grant) {
	s.accountTime(now)
	s.inFlight--
	s.running[g.class.index]--
	g.class.running--

	if g.belowHighestTier {
		s.belowHighestTier--
	}

	if g.countsInExposure {
		s.exposure.remove(now, g.grantedAt)
	}

	if g.preempted {
		s.vacated++
	}

	if g.oversubscribed {
		s.oversubscribed--
	}
}

// lowestTier returns the lowest tier of the running classes.
func (s *server) lowestTier(classes []*class) int {
	lowest := highestTier

	for i, count := range s.running {
		if count > 0 {
			lowest = max(lowest, classes[i].settings.Tier)
		}
	}

	return lowest
}

// strictestGap returns the shortest token gap target of the running classes; zero for none.
func (s *server) strictestGap(classes []*class) time.Duration {
	var strictest time.Duration

	for i, count := range s.running {
		target := classes[i].settings.TokenGap
		if count > 0 && target > 0 && (strictest == 0 || target < strictest) {
			strictest = target
		}
	}

	return strictest
}

// updateSpeed adds a sample relative to the usual value in the pool.
func (s *server) updateSpeed(now time.Time, sample, usual, weight float64) {
	if sample <= 0 || usual <= 0 {
		return
	}

	s.relativeTime = s.slowness(now)*(1-weight) + weight*sample/usual
	s.relativeTimeAt = now
}

// recordFailure reduces the limit of a failed server and closes it. Answers granted before the last
// failure are ignored, since one crash breaks all of them at the same time.
func (s *server) recordFailure(now time.Time, granted time.Time, result dispatcher.Result) {
	if !s.lastFailureAt.IsZero() && !granted.After(s.lastFailureAt) {
		return
	}

	s.failures++
	s.lastFailureAt = now

	if result == dispatcher.ResultSilent && s.failures < silentResultsToClose {
		return
	}

	s.limit = max(minLimit, s.limit/2)
	s.closedUntil = now.Add(min(maxCloseTime, minCloseTime<<min(s.failures-1, 6)))
}

// limitChange is the change of a server's limit that one answer suggests.
type limitChange int

const (
	// Values are ordered: the smaller of two is the more cautious one.
	limitDecrease limitChange = iota
	// limitEngineQueued means that the answer was queued inside the engine.
	limitEngineQueued
	limitHold
	limitIncrease
)

// limitByEngineQueue holds the limit while the engine may be queueing. The engine queues by priority,
// so all tiers but the lowest running one overtake its queue without a visible wait. The limit
// therefore rises by one round at a time, and the next round requires an answer of the lowest tier
// that began after the last rise and met no queue. A lowest tier that completes nothing for longer
// than stallTime, while higher tiers do, is being queued inside the engine.
func (s *server) limitByEngineQueue(now, granted time.Time, change limitChange, tier int, classes []*class, stallTime time.Duration) limitChange {
	lowest := s.lowestTier(classes)

	switch {
	case tier >= lowest:
		s.lowestTierActiveAt = now
	case now.Sub(s.lowestTierActiveAt) > stallTime:
		change = min(change, limitEngineQueued)
	}

	if change == limitEngineQueued {
		s.roundCeiling = s.limit
	}

	if change != limitIncrease {
		return change
	}

	if tier >= lowest && granted.After(s.roundStartedAt) && s.limit+s.limitStep() > s.roundCeiling {
		s.roundCeiling = s.limit + s.roundStep()
		s.roundStartedAt = now
	}

	if s.limit+s.limitStep() > s.roundCeiling {
		return limitHold
	}

	return change
}

// adjustLimit applies additive increase while the server is full and on time, and multiplicative
// decrease once for each set of answers granted before the decrease. Signs of a queue in the engine
// only take back what was added to the slots of the settings, because a long prompt looks the same.
func (s *server) adjustLimit(now, granted time.Time, change limitChange) {
	switch {
	case change == limitIncrease && s.inFlight >= s.slots():
		s.limit = min(maxLimit, s.limit+s.limitStep())
	case change == limitEngineQueued && granted.After(s.lastDecreaseAt):
		s.limit = max(min(s.limit, float64(s.upstream.Slots)), s.limit-1, minLimit)
		s.lastDecreaseAt = now
		s.slowStart = false
	case change == limitDecrease && granted.After(s.lastDecreaseAt):
		s.limit = max(minLimit, s.limit*decreaseFactor)
		s.lastDecreaseAt = now
		s.slowStart = false
	}
}

// excluded reports whether the request must not go to the server.
func (s *server) excluded(request *Request) bool {
	return len(request.Exclude) > 0 && slices.Contains(request.Exclude, s.upstream.Name)
}

// limitStep returns the increase for one timely answer of a full server: 1 in slow start, afterwards
// about 1 per round.
func (s *server) limitStep() float64 {
	if s.slowStart {
		return 1
	}

	return 1 / s.limit
}

// roundStep returns by how much the limit may rise before an answer must show that the engine isn't
// queueing: double the limit in slow start.
func (s *server) roundStep() float64 {
	if s.slowStart {
		return s.limit
	}

	return max(1, roundFraction*s.limit)
}

// preferredByHighestTier reports whether tier 1 may use the server: it is not a straggler and has not
// failed since its last complete answer. Without the second condition, each reopening of a silent
// server would be tried out with counter lookups.
func (s *server) preferredByHighestTier() bool {
	return s.failures == 0 && s.currentSlowness <= stragglerRatio
}
