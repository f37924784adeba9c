package balancer

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quincepath.example/quincepath/internal/gateway/estimator"
)

const (
	// slowdownGain is the weight of one observation in a server's learned speed.
	slowdownGain = 0.15
	minSlowdown  = 0.7
	maxSlowdown  = 12.0
	// overdueFactor and overdueSlack, in milliseconds, are what a server may take longer than expected.
	overdueFactor  = 2.0
	overdueSlackMS = 20.0
	// maxOverdueMS bounds the time in milliseconds for which a silent server is held against others.
	maxOverdueMS = 2000.0
	// trialInterval is the time after which a silent server is sent one request again.
	trialInterval = 700 * time.Millisecond
	// slowdownHalfLife is the time in which a learned slowness halves without new observations, so that a
	// server that was avoided as slow gets another chance.
	slowdownHalfLife = 4 * time.Second
	// recentHalfLife is the time constant with which finished long work is forgotten.
	recentHalfLife = 1500 * time.Millisecond
	// foreignHalfLife is the time in which the count of foreign requests halves without news.
	foreignHalfLife = 500 * time.Millisecond
	// meanTokensGain is the weight of one request in the mean memory of requests.
	meanTokensGain = 0.05
	// cacheFraction is the part of an engine's memory that holds prompt parts while requests run.
	cacheFraction = 0.8
	// chunkTokens is the number of prompt tokens that an engine reads between two steps unless it is set otherwise.
	chunkTokens = 2048
	// shortPromptChunks is the prompt work in chunks that no stream beside it notices.
	shortPromptChunks = 0.8
	// lostAfterOvertaken is the number of later requests that must be answered before an earlier one counts as lost.
	lostAfterOvertaken = 3
	// maxCachedParts bounds the remembered parts of one server; with parts of 250 tokens it passes all caches.
	maxCachedParts = 4096
)

// server is what the pool knows of one upstream.
type server struct {
	Upstream
	engine Engine
	// model holds how fast the pool's servers are.
	model *estimator.Estimator
	// leaving says that it told a node so in an answer; the list may not say it yet.
	leaving bool
	// running holds the requests that were sent there and have not ended.
	running map[string]*runningRequest
	// tokens is the memory that they may come to take up; a part that several of them share counts once.
	tokens int
	// partUsers counts the running requests that have a part in their prompts.
	partUsers map[string]int
	// backlog is the prompt work in tokens of those that have no first event.
	backlog float64
	// sensitiveStreams sums the values of running streams by gap limit.
	sensitiveStreams map[time.Duration]float64
	// cachedParts holds what its cache has, the least recently used first.
	cachedParts  *simplelru.LRU[string, int]
	cachedTokens int
	// sentAt is when a request was last sent, answeredAt when one was last answered.
	sentAt, answeredAt time.Time
	// slowdown is the learned ratio of real to predicted time, as of speedAt.
	slowdown   float64
	slowdownAt time.Time
	// failures is the recent share of failed requests, as of failedAt.
	failures float64
	failedAt time.Time
	// ejectedUntil is until when it is left out.
	ejectedUntil time.Time
	// lastEjection is how long it was left out last; 0 after a sound answer.
	lastEjection time.Duration
	// foreign is the number of requests there that this pool doesn't know, as of foreignAt. Nodes that are
	// cut off from the holder send by themselves.
	foreign   float64
	foreignAt time.Time
	// meanTokens is the mean memory of one request.
	meanTokens float64
	// sentTokens is all prompt work that was ever sent there, in tokens.
	sentTokens float64
	// recentTokens is the prompt work sent there lately, in tokens, as of recentAt.
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
		failedAt:         now,
		recentAt:         now,
	}

	s.cachedParts, _ = simplelru.NewLRU[string, int](maxCachedParts, func(_ string, tokens int) { s.cachedTokens -= tokens })

	return s
}

func decayed(value float64, since, halfLife time.Duration) float64 {
	// Most counts are 0, and holders ask for them thousands of times a second.
	if value == 0 {
		return 0
	}

	return value * math.Exp2(-since.Seconds()/halfLife.Seconds())
}

// slowdownNow is the learned speed, drawn towards 1 while nothing is observed.
func (s *server) slowdownNow(now time.Time) float64 {
	if s.slowdown <= 1 {
		return s.slowdown
	}

	return 1 + decayed(s.slowdown-1, now.Sub(s.slowdownAt), slowdownHalfLife)
}

func (s *server) failuresNow(now time.Time) float64 {
	return decayed(s.failures, now.Sub(s.failedAt), failureHalfLife)
}

func (s *server) foreignNow(now time.Time) float64 {
	return decayed(s.foreign, now.Sub(s.foreignAt), foreignHalfLife)
}

// recordLoad takes in the load that the server told of itself in an answer.
func (s *server) recordLoad(now time.Time, load Load) {
	s.foreign = max(float64(load.Running+load.Waiting-len(s.running)), 0)
	s.foreignAt = now
}

func (s *server) recentTokensNow(now time.Time) float64 {
	return decayed(s.recentTokens, now.Sub(s.recentAt), recentHalfLife)
}

// uncachedTokens is what the server would have to read of the prompt: a part is
// found in its cache only if all parts before it are.
func (s *server) uncachedTokens(request *Request) int {
	missing := request.PromptTokens

	for _, part := range request.PromptParts {
		if !s.cachedParts.Contains(part.ID) {
			break
		}

		missing -= part.Tokens
	}

	return max(missing, 1)
}

// prefillTokens is the number of prompt tokens that the server must read for the work; a call of a plain service counts as one.
func (s *server) prefillTokens(request *Request) float64 {
	if s.engine.CacheTokens == 0 {
		return 1
	}

	return float64(s.uncachedTokens(request))
}

// prefillMS is the time in milliseconds for so much work at a server of the usual speed.
func (s *server) prefillMS(reading float64) float64 {
	if s.engine.CacheTokens == 0 {
		return reading * s.model.Estimates().PlainCallMS
	}

	return reading / s.model.Estimates().PrefillTokensPerMS
}

// addToCache notes that the server's cache gets the parts of a prompt.
func (s *server) addToCache(request *Request) {
	for _, part := range request.PromptParts {
		if !s.cachedParts.Contains(part.ID) {
			s.cachedTokens += part.Tokens
		}

		s.cachedParts.Add(part.ID, part.Tokens)
	}

	limit := int(cacheFraction * float64(s.engine.CacheTokens))
	for s.cachedTokens > limit && s.cachedParts.Len() > 0 {
		s.cachedParts.RemoveOldest()
	}
}

// trialDue says that the server was left alone for so long that it may be judged anew.
func (s *server) trialDue(now time.Time) bool {
	return now.Sub(s.sentAt) > trialInterval
}

// backlogNow is the prompt work that goes before a new request.
func (s *server) backlogNow(now time.Time) float64 {
	if s.trialDue(now) {
		return 0
	}

	return s.backlog
}

// overdueMS is how much longer than expected the server has answered nothing, in milliseconds. It
// shows a server that went silent before any of its requests fails.
//
// A single lost request says nothing: the server may have answered others since. A server that is
// left alone for it would never show that it lives, so now and then one request is sent as to any other.
func (s *server) overdueMS(now time.Time) float64 {
	if s.trialDue(now) {
		return 0
	}

	worst := 0.0

	for _, r := range s.running {
		// One that was sent before the last answer may be lost alone.
		if r.answering || r.sentAt.Before(s.answeredAt) {
			continue
		}

		worst = max(worst, r.overdueMS(now))
	}

	return min(worst, maxOverdueMS)
}

// additionalTokens is the memory in tokens that the work takes up in addition to that of the running requests. Counted whole for each
// request, prompts that share four fifths filled an engine that could hold three times as many, and went where they had to be read anew.
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

	if r.sensitivity > 0 {
		s.sensitiveStreams[r.request.GapLimit] += r.sensitivity * priorityWeight(r.request.Priority)
	}

	if s.engine.CacheTokens > 0 {
		s.addToCache(&r.request)
	}
}

// dropBacklog takes a request's prompt out of what waits to be read.
func (s *server) dropBacklog(r *runningRequest) {
	s.backlog = max(0, s.backlog-r.prefillTokens)
}

func (s *server) recordAnswer(r *runningRequest, now time.Time) {
	if r.answering {
		return
	}

	r.answering = true
	s.answeredAt = now
	s.lastEjection = 0
	s.dropBacklog(r)
	s.observeSlowdown(now, milliseconds(now.Sub(r.sentAt))/max(r.expectedMS/r.slowdown, 1))
	s.markOvertaken(r, now)
}

// markOvertaken takes requests for lost that several later ones went before, or one when they are overdue: their prompts
// aren't waiting to be read.
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

// observeSlowdown takes in one ratio of real to predicted time. It is averaged by its logarithm, so that one
// request that was stuck doesn't make its server look thirty times as slow.
func (s *server) observeSlowdown(now time.Time, ratio float64) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	average := (1-slowdownGain)*math.Log(s.slowdownNow(now)) + slowdownGain*math.Log(ratio)
	s.slowdown = min(max(math.Exp(average), minSlowdown), maxSlowdown)
	s.slowdownAt = now
}

func (s *server) remove(r *runningRequest, outcome Outcome, now time.Time, mayEject bool) {
	delete(s.running, r.request.ID)
	for _, part := range r.request.PromptParts {
		s.partUsers[part.ID]--

		if s.partUsers[part.ID] == 0 {
			delete(s.partUsers, part.ID)
		}
	}

	// What no other request holds is free again.
	s.tokens -= s.additionalTokens(&r.request)

	if !r.answering {
		s.dropBacklog(r)
	}

	if r.sensitivity > 0 {
		s.sensitiveStreams[r.request.GapLimit] -= r.sensitivity * priorityWeight(r.request.Priority)
	}

	if len(s.running) == 0 {
		// Sums of fractions drift; an empty server has none.
		s.tokens = 0
		s.backlog = 0
		clear(s.sensitiveStreams)
	}

	s.recordOutcome(outcome, now, mayEject)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
