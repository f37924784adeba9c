package scheduler

import (
	"math"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

const (
	smallestLimit = 1
	largestLimit  = 256
	// decreaseFactor shrinks a server's limit when answers come late.
	decreaseFactor = 0.93
	// startMargin and gapMargin times a target are the measures above which a server
	// counts as too full. A gap is a mean over a whole answer and varies less than a first token.
	startMargin = 0.9
	gapMargin   = 0.97
	// firstExcess and gapExcess times the fastest measures is what a late answer has to
	// exceed too: a long prompt or a small model is slow without any company.
	firstExcess = 1.5
	gapExcess   = 1.2
	// queueExcess times the fastest first token shows that the engine itself queues:
	// more requests at once would bring nothing.
	queueExcess = 8
	// stuckAfter times the longest usual answer is how long the lowest tier of a
	// server may end nothing, while higher ones do, until it counts as queued inside the engine.
	stuckAfter = 2
	// roundShare is the part by which a limit grows in one round of increase.
	roundShare = 0.1
	// slowWeight is the weight of a new measure in a server's relative speed, and
	// slowForget the time over which a server without measures is trusted again.
	slowWeight = 0.3
	// plainWeight is smaller: the time of one plain answer tells of its work first.
	plainWeight = 0.05
	slowForget  = time.Minute
	// stragglerRatio is the relative token time at the same fill above which a server is kept from tier 1.
	stragglerRatio = 1.75
	// shortestClose and longestClose bound how long a failing server gets nothing.
	shortestClose = 500 * time.Millisecond
	longestClose  = 30 * time.Second
	// silencesToClose is how many silent answers running close a server. One
	// alone tells of a lost connection and not of the server.
	silencesToClose = 3
)

// server is one upstream with what was learned about it.
type server struct {
	upstream configurer.Upstream
	// gone means that the settings no longer name it; it is kept until its last grant ends.
	gone bool
	// limit is the learned number of requests at once, 1 to 256; its whole part counts.
	limit    float64
	inFlight int
	// lower is the number of grants below tier 1.
	lower int
	// vacated is the number of slots that preempted grants gave back during the
	// present call. Tier 1 takes them even above the limit: the server gets no fuller.
	vacated int
	// extra is the number of tier 1 grants that were given above the limit.
	extra int
	// exposure counts the answers in flight that can't be resumed elsewhere.
	exposure exposure
	// running counts grants by class index.
	running []int

	lastDecrease time.Time
	// searching is true until the first sign of too many at once.
	searching bool
	// ratio is the token time relative to what is usual in the pool, 1 when nothing is known.
	ratio   float64
	ratioAt time.Time
	// slow is the slowness at the time of the present call.
	slow float64

	// lowSince is when the lowest running tier last ended an answer, or began to run.
	lowSince time.Time

	// ceiling bounds the present round of increase, and raised is when it began.
	ceiling float64
	raised  time.Time

	failures    int
	lastFailure time.Time
	closedUntil time.Time

	slotTime time.Duration
	// limitTime is the time that slots were there to use.
	limitTime time.Duration
	countedAt time.Time
}

func newServer(upstream configurer.Upstream, kind configurer.Kind) *server {
	limit := float64(min(max(upstream.Slots, smallestLimit), largestLimit))

	return &server{
		upstream:  upstream,
		limit:     limit,
		ratio:     1,
		slow:      1,
		searching: kind == configurer.KindEngine,
	}
}

func (s *server) slots() int {
	return int(s.limit)
}

func (s *server) open(now time.Time) bool {
	return !s.gone && !s.upstream.Leaving && !now.Before(s.closedUntil)
}

// slowness is the relative token time; it returns towards 1 while nothing is measured.
func (s *server) slowness(now time.Time) float64 {
	if s.ratio <= 1 {
		return s.ratio
	}

	return 1 + (s.ratio-1)*math.Exp(-now.Sub(s.ratioAt).Seconds()/slowForget.Seconds())
}

// count adds the slot time since the last change. It is called before inFlight changes.
func (s *server) count(now time.Time) {
	if !s.countedAt.IsZero() && now.After(s.countedAt) {
		passed := now.Sub(s.countedAt)
		s.slotTime += time.Duration(s.inFlight) * passed
		s.limitTime += time.Duration(s.slots()) * passed
	}

	s.countedAt = now
}

// busyShare is the part of the limit over time that was in use; above 1 when
// tier 1 went above the limit.
func (s *server) busyShare() float64 {
	if s.limitTime == 0 {
		return 0
	}

	return float64(s.slotTime) / float64(s.limitTime)
}

func (s *server) add(now time.Time, g *grant, classes []*class) {
	c := g.class
	s.count(now)

	if s.inFlight == 0 || c.settings.Tier > s.lowestTier(classes) {
		s.lowSince = now
	}

	s.inFlight++

	for len(s.running) <= c.index {
		s.running = append(s.running, 0)
	}

	s.running[c.index]++
	c.running++

	if g.lower {
		s.lower++
	}

	if g.exposed {
		s.exposure.add(now, g.granted)
	}
}

func (s *server) remove(now time.Time, g *grant) {
	s.count(now)
	s.inFlight--
	s.running[g.class.index]--
	g.class.running--

	if g.lower {
		s.lower--
	}

	if g.exposed {
		s.exposure.remove(now, g.granted)
	}

	if g.preempted {
		s.vacated++
	}

	if g.extra {
		s.extra--
	}
}

// lowestTier is the lowest tier among the running classes.
func (s *server) lowestTier(classes []*class) int {
	lowest := topTier

	for i, count := range s.running {
		if count > 0 {
			lowest = max(lowest, classes[i].settings.Tier)
		}
	}

	return lowest
}

// strictestGap is the shortest token gap target among the running classes; zero for none.
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

// learnSpeed takes one measure relative to what is usual in the pool.
func (s *server) learnSpeed(now time.Time, sample, usual, weight float64) {
	if sample <= 0 || usual <= 0 {
		return
	}

	s.ratio = s.slowness(now)*(1-weight) + weight*sample/usual
	s.ratioAt = now
}

// learnFailure shrinks and closes a server that failed. Answers granted before the
// last failure tell nothing new: a crash breaks all of them at the same time.
func (s *server) learnFailure(now time.Time, granted time.Time, result dispatcher.Result) {
	if !s.lastFailure.IsZero() && !granted.After(s.lastFailure) {
		return
	}

	s.failures++
	s.lastFailure = now

	if result == dispatcher.ResultSilent && s.failures < silencesToClose {
		return
	}

	s.limit = max(smallestLimit, s.limit/2)
	s.closedUntil = now.Add(min(longestClose, shortestClose<<min(s.failures-1, 6)))
}

// verdict is what one answer says about a server's limit.
type verdict int

const (
	// The smaller of two verdicts is the more careful one.
	verdictLess verdict = iota
	// verdictQueued means that the answer waited inside the engine.
	verdictQueued
	verdictHold
	verdictMore
)

// heedQueue holds the limit while the engine may queue. It queues by priority, so
// that all but the lowest tier that runs pass its queue unseen. So the limit
// rises by a round at a time, and the next round needs an answer of the lowest
// tier that began after the last rise and met no queue. A lowest tier that ends
// nothing for longer than stuck, while higher ones do, is kept waiting inside the engine.
func (s *server) heedQueue(now, granted time.Time, v verdict, tier int, classes []*class, stuck time.Duration) verdict {
	lowest := s.lowestTier(classes)

	switch {
	case tier >= lowest:
		s.lowSince = now
	case now.Sub(s.lowSince) > stuck:
		v = min(v, verdictQueued)
	}

	if v == verdictQueued {
		s.ceiling = s.limit
	}

	if v != verdictMore {
		return v
	}

	if tier >= lowest && granted.After(s.raised) && s.limit+s.growth() > s.ceiling {
		s.ceiling = s.limit + s.round()
		s.raised = now
	}

	if s.limit+s.growth() > s.ceiling {
		return verdictHold
	}

	return v
}

// apply moves the limit: additive increase while full and on time,
// multiplicative decrease once for each set of answers granted before it. Signs
// of a queue in the engine take back what was added to the slots of the
// settings, and no more: a long prompt looks the same.
func (s *server) apply(now, granted time.Time, v verdict) {
	switch {
	case v == verdictMore && s.inFlight >= s.slots():
		s.limit = min(largestLimit, s.limit+s.growth())
	case v == verdictQueued && granted.After(s.lastDecrease):
		s.limit = max(min(s.limit, float64(s.upstream.Slots)), s.limit-1, smallestLimit)
		s.lastDecrease = now
		s.searching = false
	case v == verdictLess && granted.After(s.lastDecrease):
		s.limit = max(smallestLimit, s.limit*decreaseFactor)
		s.lastDecrease = now
		s.searching = false
	}
}

// excluded says whether the request must not go to the server.
func (s *server) excluded(request *Request) bool {
	return len(request.Exclude) > 0 && slices.Contains(request.Exclude, s.upstream.Name)
}

// growth is what one timely answer of a full server adds to its limit: 1 until
// the first sign of too many, as in slow start, then about 1 for each round.
func (s *server) growth() float64 {
	if s.searching {
		return 1
	}

	return 1 / s.limit
}

// round is by how much the limit may rise before an answer has to show that the
// engine does not queue: as much again until the first sign of too many.
func (s *server) round() float64 {
	if s.searching {
		return s.limit
	}

	return max(1, roundShare*s.limit)
}

// steady says whether tier 1 may use the server: it neither straggles nor
// failed since its last whole answer. Without the second, each reopening of a
// silent server would be tried out on counter lookups.
func (s *server) steady() bool {
	return s.failures == 0 && s.slow <= stragglerRatio
}
