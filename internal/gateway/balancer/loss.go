package balancer

import (
	"math"
	"time"
)

const (
	// chunkLoss is the loss that a chunk of prefill work causes to later requests. At a quarter of this value, requests
	// left the engines with their sessions for faster ones: 10% more tokens were read, and 3% less value was served.
	chunkLoss = 0.2
	// slopeLoss balances the load even where no target is at risk.
	slopeLoss = 0.05
	// failureLoss is the loss of a failed attempt: the value of the request and a retry.
	failureLoss = 1.5
	// stallChunks is the recent prompt work in chunks at which a sensitive stream is certain to stall: what an engine
	// that prefills continuously gets in about 1.5 s.
	stallChunks = 32.0
	// firstStreamLoss groups sensitive streams on few servers, which leaves the others for long prompts.
	firstStreamLoss = 0.1
	// fullBatchLoss is the loss of waiting at a server whose batch is full.
	fullBatchLoss = 2.0
	// networkMS is the round-trip time to a server.
	networkMS = 3.0
)

// priorityWeight returns the weight of a request in the loss. It halves with each priority.
func priorityWeight(priority int) float64 {
	return 4 * math.Exp2(-float64(min(max(priority, 0), 9)))
}

// expectedMS returns the predicted time to the first event.
func (p *Pool) expectedMS(now time.Time, s *server, request *Request) float64 {
	if s.engine.CacheTokens == 0 {
		rounds := (float64(len(s.running)) + s.foreignNow(now)) / float64(max(s.Slots, 1))

		return networkMS + s.prefillMS(1)*s.slowdownNow(now)*(1+max(0, rounds-0.5))
	}

	return networkMS + s.slowdownNow(now)*(s.prefillMS(s.backlogNow(now)+s.prefillTokens(request))+p.eventGapMS())
}

// loss returns the expected loss of sending the request to the server.
func (p *Pool) loss(now time.Time, s *server, request *Request) float64 {
	weight := priorityWeight(request.Priority)
	expected := p.expectedMS(now, s, request) + s.overdueMS(now)
	target := max(milliseconds(request.Target), 1)

	loss := weight * (missProbability(expected/target) + slopeLoss*expected/target)
	loss += weight * failureLoss * s.failuresNow(now)

	if running := float64(len(s.running)) + s.foreignNow(now); running >= float64(s.Slots) {
		loss += weight * fullBatchLoss * (running - float64(s.Slots) + 1) / float64(max(s.Slots, 1))
	}

	if s.engine.CacheTokens == 0 {
		return loss
	}

	return loss + p.interferenceLoss(now, s, request)
}

// interferenceLoss returns the loss from prefill that delays streams, and the cost of the prefill work itself.
func (p *Pool) interferenceLoss(now time.Time, s *server, request *Request) float64 {
	prefillTokens := s.prefillTokens(request)
	loss := chunkLoss * prefillTokens / chunkTokens * s.slowdownNow(now)

	for limit, streamWeight := range s.sensitiveStreams {
		before := missProbability(p.prefillGapMS(now, s, s.backlog) / milliseconds(limit))
		after := missProbability(p.prefillGapMS(now, s, s.backlog+prefillTokens) / milliseconds(limit))
		loss += streamWeight * (after - before)
	}

	sensitivity := p.sensitivity(request)
	if sensitivity == 0 {
		return loss
	}

	loss += priorityWeight(request.Priority) * sensitivity * min(1, s.recentTokensNow(now)*s.slowdownNow(now)/(stallChunks*chunkTokens))

	if len(s.sensitiveStreams) == 0 {
		loss += firstStreamLoss * sensitivity
	}

	return loss
}

// eventGapMS returns the time between two events while the engine prefills nothing.
func (p *Pool) eventGapMS() float64 {
	return p.model.Estimates().StepMS * float64(max(p.engine.EventTokens, 1))
}

// prefillGapMS returns the longest gap between events while a backlog of prompt tokens is read.
func (p *Pool) prefillGapMS(now time.Time, s *server, backlog float64) float64 {
	idleGapMS := p.eventGapMS()

	return s.slowdownNow(now) * (idleGapMS + min(s.prefillMS(backlog), max(p.model.Estimates().PrefillGapMS-idleGapMS, 0)))
}

// sensitivity returns how much prefill on the same engine disturbs a stream: 0 if its gap limit is at least 3
// times the gap during prefill, 1 if it is at most 1.5 times that gap.
func (p *Pool) sensitivity(request *Request) float64 {
	if request.GapLimit == 0 || p.engine.EventTokens == 0 {
		return 0
	}

	ratio := milliseconds(request.GapLimit) / p.model.Estimates().PrefillGapMS

	return min(max((3-ratio)/1.5, 0), 1)
}

// missProbability returns the probability of exceeding a limit, given the ratio of the prediction to the limit.
func missProbability(ratio float64) float64 {
	const begin, end = 0.5, 1.1

	x := min(max((ratio-begin)/(end-begin), 0), 1)

	return x * x * (3 - 2*x)
}
