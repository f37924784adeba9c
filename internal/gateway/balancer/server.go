package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quincepath.example/quincepath/internal/gateway/estimator"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	// slowdownGain is the weight of one observation in a server's learned slowdown.
	slowdownGain = 0.15
	minSlowdown  = 0.7
	maxSlowdown  = 12.0
	// overdueFactor and overdueSlackMS are the tolerance for a late first event, relative to the expected time and absolute.
	overdueFactor  = 2.0
	overdueSlackMS = 20.0
	// maxOverdueMS limits the delay that is held against a silent server.
	maxOverdueMS = 2000.0
	// trialInterval is the time after which a silent server gets one request again.
	trialInterval = 700 * time.Millisecond
	// slowdownHalfLife is the half-life of a learned slowdown without new observations, so that a
	// server that was avoided as slow gets requests again.
	slowdownHalfLife = 4 * time.Second
	// recentHalfLife is the half-life of the recently sent prompt work.
	recentHalfLife = 1500 * time.Millisecond
	// foreignHalfLife is the half-life of the count of foreign requests without new reports.
	foreignHalfLife = 500 * time.Millisecond
	// meanTokensGain is the weight of one request in the mean memory of requests.
	meanTokensGain = 0.05
	// chunkTokens is the default number of prompt tokens that an engine reads between two decode steps.
	chunkTokens = 2048
	// shortPromptChunks is the prompt length in chunks that doesn't disturb streams on the same engine.
	shortPromptChunks = 0.8
	// lostAfterOvertaken is the number of later requests that must be answered before an earlier one counts as lost.
	lostAfterOvertaken = 3
)

// server is the state of one upstream.
type server struct {
	Upstream
	engine Engine
	// model estimates the performance of the pool's servers.
	model *estimator.Estimator
	// leaving is set when the server announced in a response that it is leaving. The list of upstreams may not show it yet.
	leaving bool
	// restsUntil is when the pause ends that the server asked for with Retry-After.
	restsUntil time.Time
	// running holds the requests that were sent to the server and have not ended.
	running map[string]*runningRequest
	// unanswered holds those of them that were sent after the last answer, and others that dropAnswered has yet to drop.
	unanswered []*runningRequest
	// tokens is the most memory that they may need. A part that several of them share counts once.
	tokens int
	// partUsers counts the running requests by the parts of their prompts.
	partUsers map[string]int
	// backlog is the number of prompt tokens of the requests without a first event.
	backlog float64
	// sensitiveStreams is the total weight of running streams that prefill disturbs, by gap limit.
	sensitiveStreams map[time.Duration]float64
	// cachedParts holds the prompt parts in the server's cache, least recently used first.
	cachedParts  *simplelru.LRU[string, int]
	cachedTokens int
	// reported is the cache as the engine reports it; nil if it doesn't or its last answer is too old.
	reported *reportedCache
	// sentAt is when a request was last sent, answeredAt when one was last answered.
	sentAt, answeredAt time.Time
	// slowdown is the learned ratio of real to predicted time, as of slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// failures is what failed requests say about the server.
	failures failureState
	// foreign is the number of requests at the server that this pool doesn't know of, as of foreignAt: nodes
	// that can't reach the holder choose by themselves.
	foreign   float64
	foreignAt time.Time
	// meanTokens is the mean memory of one request.
	meanTokens float64
	// bucket admits requests at the rate that the server names.
	bucket throttler.Bucket
	// brittle is what is known of the server's brittleness.
	brittle brittleness
	// pace is the estimated pace of the server; nil if the pool keeps none.
	pace *pace
	// sentTokens is the number of prompt tokens ever sent to the server.
	sentTokens float64
	// recentTokens counts the recently sent prompt tokens in excess of shortPromptChunks each, as of recentAt.
	recentTokens float64
	recentAt     time.Time
}

func newServer(upstream Upstream, engine Engine, model *estimator.Estimator, now time.Time) *server {
	s := &server{
		Upstream:         upstream,
		engine:           engine,
		model:            model,
		running:          make(map[string]*runningRequest),
		partUsers:        make(map[string]int),
		sensitiveStreams: make(map[time.Duration]float64),
		slowdown:         1,
		slowdownAt:       now,
		foreignAt:        now,
		failures:         failureState{at: now, byNode: make(map[string]*nodeEjection)},
		recentAt:         now,
	}

	s.cachedParts, _ = simplelru.NewLRU[string, int](maxCachedParts, func(_ string, tokens int) { s.cachedTokens -= tokens })

	return s
}

func decayed(value float64, since, halfLife time.Duration) float64 {
	// Most values are 0, and holders call this thousands of times a second.
	if value == 0 {
		return 0
	}

	return value * math.Exp2(-since.Seconds()/halfLife.Seconds())
}

// slowdownNow returns the learned slowdown, which decays towards 1 without observations.
func (s *server) slowdownNow(now time.Time) float64 {
	if s.pace != nil {
		return s.pace.now(now)
	}

	if s.slowdown <= 1 {
		return s.slowdown
	}

	return 1 + decayed(s.slowdown-1, now.Sub(s.slowdownAt), slowdownHalfLife)
}

func (s *server) failuresNow(now time.Time) float64 {
	return decayed(s.failures.fraction, now.Sub(s.failures.at), failureHalfLife)
}

func (s *server) foreignNow(now time.Time) float64 {
	return decayed(s.foreign, now.Sub(s.foreignAt), foreignHalfLife)
}

// recordLoad updates the count of foreign requests from the load that the server reported.
func (s *server) recordLoad(now time.Time, load Load) {
	s.foreign = max(float64(load.Running+load.Waiting-len(s.running)), 0)
	s.foreignAt = now

	if s.pace != nil {
		s.pace.observeLoad(now, load)
	}
}

func (s *server) recentTokensNow(now time.Time) float64 {
	return decayed(s.recentTokens, now.Sub(s.recentAt), recentHalfLife)
}

// prefillMS returns the time to read the tokens at a server without slowdown.
func (s *server) prefillMS(tokens float64) float64 {
	if s.engine.CacheTokens == 0 {
		return tokens * s.model.Estimates().PlainCallMS
	}

	return tokens / s.model.Estimates().PrefillTokensPerMS
}

// trialDue reports whether the server has had no request for so long that it may be tried again.
func (s *server) trialDue(now time.Time) bool {
	return now.Sub(s.sentAt) > trialInterval
}

// backlogNow returns the prompt backlog that a new request would wait for.
func (s *server) backlogNow(now time.Time) float64 {
	if s.trialDue(now) {
		return 0
	}

	return s.backlog
}

// overdueMS returns how much longer than expected the server has answered nothing. It detects a silent server
// before any of its requests fails.
//
// A single lost request is no evidence: the server may have answered others since. A server without requests
// could never show that it works again, so after trialInterval it gets a request like any other server.
func (s *server) overdueMS(now time.Time) float64 {
	if s.trialDue(now) {
		return 0
	}

	worst := 0.0

	s.dropAnswered()

	for _, r := range s.unanswered {
		worst = max(worst, r.overdueMS(now))
	}

	return min(worst, maxOverdueMS)
}

// dropAnswered removes the requests that don't show whether the server is silent: one that was sent before the last answer may
// be lost alone.
func (s *server) dropAnswered() {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(r *runningRequest) bool {
		return r.answering || r.ended || r.sentAt.Before(s.answeredAt)
	})
}

// additionalTokens returns the memory that the request needs in addition to the running ones. Counted in full
// for each request, prompts that share 4/5 filled an engine with room for three times as many, and went to
// engines that had to read them again.
func (s *server) additionalTokens(request *Request) int {
	tokens := request.tokens()

	for _, part := range request.PromptParts {
		if s.partUsers[part.ID] > 0 {
			tokens -= part.Tokens
		}
	}

	return tokens
}

func (s *server) add(r *runningRequest, now time.Time) {
	s.running[r.request.ID] = r

	// A standby takes no decisions, which would drop them.
	if len(s.unanswered) >= 2*len(s.running) {
		s.dropAnswered()
	}

	s.unanswered = append(s.unanswered, r)
	s.sentAt = now
	added := s.additionalTokens(&r.request)
	s.tokens += added
	s.meanTokens += meanTokensGain * (float64(added) - s.meanTokens)

	for _, part := range r.request.PromptParts {
		s.partUsers[part.ID]++
	}

	s.backlog += r.prefillTokens
	s.sentTokens += r.prefillTokens
	s.recentTokens = s.recentTokensNow(now) + max(r.prefillTokens-shortPromptChunks*chunkTokens, 0)
	s.recentAt = now

	if s.pace != nil {
		s.pace.addStream(r, s, now)
	} else if r.sensitivity > 0 {
		s.sensitiveStreams[r.request.GapLimit] += r.sensitivity * priorityWeight(r.request.Priority)
	}

	if s.engine.CacheTokens > 0 {
		s.addToCache(&r.request)
	}
}

// dropBacklog removes a request's prompt from the backlog.
func (s *server) dropBacklog(r *runningRequest) {
	s.backlog = max(0, s.backlog-r.prefillTokens)
}

func (s *server) recordAnswer(r *runningRequest, now time.Time) {
	if r.answering {
		return
	}

	r.answering = true
	s.answeredAt = now
	s.failures.recordAnswer(now, r.request.Node)
	s.dropBacklog(r)

	ratio := milliseconds(now.Sub(r.sentAt)) / max(r.expectedMS/r.slowdown, 1)
	if s.pace != nil {
		s.pace.observeFirst(now, r, ratio)
	} else {
		s.observeSlowdown(now, ratio)
	}

	s.markOvertaken(r, now)
}

// markOvertaken treats a request as lost after several later ones were answered before it, or after one if it
// is overdue. The prompt of a lost request is not in the backlog.
func (s *server) markOvertaken(answered *runningRequest, now time.Time) {
	for _, r := range s.running {
		if r.answering || !r.sentAt.Before(answered.sentAt) || r.request.Priority > answered.request.Priority {
			continue
		}

		r.overtaken++

		if r.overtaken >= lostAfterOvertaken || r.overdueMS(now) > 0 {
			s.dropBacklog(r)
			r.prefillTokens = 0
		}
	}
}

// observeSlowdown takes one ratio of real to predicted time. Ratios are averaged by their logarithm, so that one
// stuck request doesn't make its server look thirty times as slow.
func (s *server) observeSlowdown(now time.Time, ratio float64) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	average := (1-slowdownGain)*math.Log(s.slowdownNow(now)) + slowdownGain*math.Log(ratio)
	s.slowdown = min(max(math.Exp(average), minSlowdown), maxSlowdown)
	s.slowdownAt = now
}

func (s *server) remove(r *runningRequest, outcome Outcome, now time.Time, mayEject bool) {
	delete(s.running, r.request.ID)
	r.ended = true
	for _, part := range r.request.PromptParts {
		s.partUsers[part.ID]--

		if s.partUsers[part.ID] == 0 {
			delete(s.partUsers, part.ID)
		}
	}

	// Frees the parts that no other request uses.
	s.tokens -= s.additionalTokens(&r.request)

	if !r.answering {
		s.dropBacklog(r)
	}

	if s.pace != nil {
		s.pace.removeStream(r)
	} else if r.sensitivity > 0 {
		s.sensitiveStreams[r.request.GapLimit] -= r.sensitivity * priorityWeight(r.request.Priority)
	}

	if len(s.running) == 0 {
		// Sums of fractions accumulate rounding errors; an idle server has none.
		s.tokens = 0
		s.backlog = 0
		clear(s.sensitiveStreams)
	}

	if outcome == Silent {
		since := now
		if !r.answering {
			since = r.sentAt
		}

		s.failures.recordSilence(now, r.request.Node, since)
	}

	s.recordOutcome(outcome, r.request.Node, now, mayEject)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
