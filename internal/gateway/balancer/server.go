package balancer

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quincepath.example/quincepath/internal/gateway/estimator"
)

const (
	// speedGain is the weight of one observation in a server's learned speed.
	speedGain = 0.15
	minSpeed  = 0.7
	maxSpeed  = 12.0
	// overdueFactor and overdueSlack, in milliseconds, are what a server may take longer than expected.
	overdueFactor = 2.0
	overdueSlack  = 20.0
	// mostOverdue bounds the time in milliseconds for which a silent server is held against others.
	mostOverdue = 2000.0
	// trialInterval is the time after which a silent server is sent one request again.
	trialInterval = 700 * time.Millisecond
	// speedRecovery is the time in which a learned slowness halves without new observations, so that a
	// server that was avoided as slow gets another chance.
	speedRecovery = 4 * time.Second
	// recentTime is the time constant with which finished long work is forgotten.
	recentTime = 1500 * time.Millisecond
	// foreignTime is the time in which the count of foreign requests halves without news.
	foreignTime = 500 * time.Millisecond
	// meanGain is the weight of one request in the mean memory of requests.
	meanGain = 0.05
	// cachePart is the part of an engine's memory that holds prompt parts while requests run.
	cachePart = 0.8
	// chunkTokens is the number of prompt tokens that an engine reads between two steps unless it is set otherwise.
	chunkTokens = 2048
	// shortReading is the prompt work in chunks that no stream beside it notices.
	shortReading = 0.8
	// overtakers is the number of later requests that must be answered before an earlier one counts as lost.
	overtakers = 3
	// maxParts bounds the remembered parts of one server; with parts of 250 tokens it passes all caches.
	maxParts = 4096
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
	running map[string]*sent
	// tokens is the memory that they may come to take up; a part that several of them share counts once.
	tokens int
	// sharers counts the running requests that have a part in their prompts.
	sharers map[string]int
	// backlog is the prompt work in tokens of those that have no first event.
	backlog float64
	// sensitive sums the values of running streams by gap limit.
	sensitive map[time.Duration]float64
	// parts holds what its cache has, the least recently used first.
	parts        *simplelru.LRU[string, int]
	cachedTokens int
	// sentAt is when a request was last sent, answeredAt when one was last answered.
	sentAt, answeredAt time.Time
	// speed is the learned ratio of real to predicted time, as of speedAt.
	speed   float64
	speedAt time.Time
	// failures is the recent share of failed requests, as of failedAt.
	failures float64
	failedAt time.Time
	// ejectedUntil is until when it is left out.
	ejectedUntil time.Time
	// ejectedFor is how long it was left out last; 0 after a sound answer.
	ejectedFor time.Duration
	// foreign is the number of requests there that this pool doesn't know, as of foreignAt. Nodes that are
	// cut off from the holder send by themselves.
	foreign   float64
	foreignAt time.Time
	// meanTokens is the mean memory of one request.
	meanTokens float64
	// given is all prompt work that was ever sent there, in tokens.
	given float64
	// recent is the prompt work sent there lately, in tokens, as of recentAt.
	recent   float64
	recentAt time.Time
}

func newServer(upstream Upstream, engine Engine, model *estimator.Estimator, now time.Time) *server {
	s := &server{
		Upstream:  upstream,
		engine:    engine,
		model:     model,
		running:   make(map[string]*sent),
		sharers:   make(map[string]int),
		sensitive: make(map[time.Duration]float64),
		speed:     1,
		speedAt:   now,
		foreignAt: now,
		failedAt:  now,
		recentAt:  now,
	}

	s.parts, _ = simplelru.NewLRU[string, int](maxParts, func(_ string, tokens int) { s.cachedTokens -= tokens })

	return s
}

func decayed(value float64, since, halfLife time.Duration) float64 {
	// Most counts are 0, and holders ask for them thousands of times a second.
	if value == 0 {
		return 0
	}

	return value * math.Exp2(-since.Seconds()/halfLife.Seconds())
}

// speedNow is the learned speed, drawn towards 1 while nothing is observed.
func (s *server) speedNow(now time.Time) float64 {
	if s.speed <= 1 {
		return s.speed
	}

	return 1 + decayed(s.speed-1, now.Sub(s.speedAt), speedRecovery)
}

func (s *server) failuresNow(now time.Time) float64 {
	return decayed(s.failures, now.Sub(s.failedAt), failureRecovery)
}

func (s *server) foreignNow(now time.Time) float64 {
	return decayed(s.foreign, now.Sub(s.foreignAt), foreignTime)
}

// tell takes in the load that the server told of itself in an answer.
func (s *server) tell(now time.Time, load Load) {
	s.foreign = max(float64(load.Running+load.Waiting-len(s.running)), 0)
	s.foreignAt = now
}

func (s *server) recentNow(now time.Time) float64 {
	return decayed(s.recent, now.Sub(s.recentAt), recentTime)
}

// missingTokens is what the server would have to read of the prompt: a part is
// found in its cache only if all parts before it are.
func (s *server) missingTokens(work *Request) int {
	missing := work.PromptTokens

	for _, part := range work.PromptParts {
		if !s.parts.Contains(part.ID) {
			break
		}

		missing -= part.Tokens
	}

	return max(missing, 1)
}

// reading is the number of prompt tokens that the server must read for the work; a call of a plain service counts as one.
func (s *server) reading(work *Request) float64 {
	if s.engine.CacheTokens == 0 {
		return 1
	}

	return float64(s.missingTokens(work))
}

// readingTime is the time in milliseconds for so much work at a server of the usual speed.
func (s *server) readingTime(reading float64) float64 {
	if s.engine.CacheTokens == 0 {
		return reading * s.model.Estimates().PlainCallMS
	}

	return reading / s.model.Estimates().PrefillTokensPerMS
}

// remember notes that the server's cache gets the parts of a prompt.
func (s *server) remember(work *Request) {
	for _, part := range work.PromptParts {
		if !s.parts.Contains(part.ID) {
			s.cachedTokens += part.Tokens
		}

		s.parts.Add(part.ID, part.Tokens)
	}

	limit := int(cachePart * float64(s.engine.CacheTokens))
	for s.cachedTokens > limit && s.parts.Len() > 0 {
		s.parts.RemoveOldest()
	}
}

// trialDue says that the server was left alone for so long that it may be judged anew.
func (s *server) trialDue(now time.Time) bool {
	return now.Sub(s.sentAt) > trialInterval
}

// waitingWork is the prompt work that goes before a new request.
func (s *server) waitingWork(now time.Time) float64 {
	if s.trialDue(now) {
		return 0
	}

	return s.backlog
}

// overdue is how much longer than expected the server has answered nothing, in milliseconds. It
// shows a server that went silent before any of its requests fails.
//
// A single lost request says nothing: the server may have answered others since. A server that is
// left alone for it would never show that it lives, so now and then one request is sent as to any other.
func (s *server) overdue(now time.Time) float64 {
	if s.trialDue(now) {
		return 0
	}

	worst := 0.0

	for _, r := range s.running {
		// One that was sent before the last answer may be lost alone.
		if r.answering || r.at.Before(s.answeredAt) {
			continue
		}

		worst = max(worst, r.overdue(now))
	}

	return min(worst, mostOverdue)
}

// added is the memory in tokens that the work takes up in addition to that of the running requests. Counted whole for each
// request, prompts that share four fifths filled an engine that could hold three times as many, and went where they had to be read anew.
func (s *server) added(work *Request) int {
	tokens := work.tokens()

	for _, part := range work.PromptParts {
		if s.sharers[part.ID] > 0 {
			tokens -= part.Tokens
		}
	}

	return tokens
}

func (s *server) add(r *sent, now time.Time) {
	s.running[r.work.ID] = r
	s.sentAt = now
	added := s.added(&r.work)
	s.tokens += added
	s.meanTokens += meanGain * (float64(added) - s.meanTokens)

	for _, part := range r.work.PromptParts {
		s.sharers[part.ID]++
	}

	s.backlog += r.reading
	s.given += r.reading
	s.recent = s.recentNow(now) + max(r.reading-shortReading*chunkTokens, 0)
	s.recentAt = now

	if r.sensitivity > 0 {
		s.sensitive[r.work.GapLimit] += r.sensitivity * value(r.work.Priority)
	}

	if s.engine.CacheTokens > 0 {
		s.remember(&r.work)
	}
}

// dropBacklog takes a request's prompt out of what waits to be read.
func (s *server) dropBacklog(r *sent) {
	s.backlog = max(0, s.backlog-r.reading)
}

func (s *server) answered(r *sent, now time.Time) {
	if r.answering {
		return
	}

	r.answering = true
	s.answeredAt = now
	s.ejectedFor = 0
	s.dropBacklog(r)
	s.learn(now, milliseconds(now.Sub(r.at))/max(r.expected/r.speed, 1))
	s.overtake(r, now)
}

// overtake takes requests for lost that several later ones went before, or one when they are overdue: their prompts
// aren't waiting to be read.
func (s *server) overtake(answered *sent, now time.Time) {
	for _, r := range s.running {
		if r.answering || !r.at.Before(answered.at) || r.work.Priority > answered.work.Priority {
			continue
		}

		r.overtaken++

		if r.overtaken >= overtakers || r.overdue(now) > 0 {
			s.dropBacklog(r)
			r.reading = 0
		}
	}
}

// learn takes in one ratio of real to predicted time. It is averaged by its logarithm, so that one
// request that was stuck doesn't make its server look thirty times as slow.
func (s *server) learn(now time.Time, ratio float64) {
	ratio = min(max(ratio, minSpeed), maxSpeed)
	average := (1-speedGain)*math.Log(s.speedNow(now)) + speedGain*math.Log(ratio)
	s.speed = min(max(math.Exp(average), minSpeed), maxSpeed)
	s.speedAt = now
}

func (s *server) remove(r *sent, outcome Outcome, now time.Time, mayEject bool) {
	delete(s.running, r.work.ID)
	for _, part := range r.work.PromptParts {
		s.sharers[part.ID]--

		if s.sharers[part.ID] == 0 {
			delete(s.sharers, part.ID)
		}
	}

	// What no other request holds is free again.
	s.tokens -= s.added(&r.work)

	if !r.answering {
		s.dropBacklog(r)
	}

	if r.sensitivity > 0 {
		s.sensitive[r.work.GapLimit] -= r.sensitivity * value(r.work.Priority)
	}

	if len(s.running) == 0 {
		// Sums of fractions drift; an empty server has none.
		s.tokens = 0
		s.backlog = 0
		clear(s.sensitive)
	}

	s.judge(outcome, now, mayEject)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
