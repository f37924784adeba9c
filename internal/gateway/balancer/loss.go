package balancer

import (
	"math"
	"time"
)

const (
	// chunkLoss is the loss that a chunk of prompt work causes to requests yet to come. At a quarter of it requests left
	// the engines of their sessions for those that answer sooner: 10% more was read, and 3% less of all was worth something.
	chunkLoss = 0.2
	// slopeLoss keeps load even where no target is in danger.
	slopeLoss = 0.05
	// failureLoss is the loss of an attempt that fails: what it is worth and a repetition.
	failureLoss = 1.5
	// stallChunks is the recent prompt work in chunks beside which a sensitive stream surely stalls: what engines that are
	// always reading get in some 1.5 s.
	stallChunks = 32.0
	// firstStreamLoss draws sensitive streams together, so that servers without any are left for long prompts.
	firstStreamLoss = 0.1
	// fullBatchLoss is the loss of waiting at a server whose batch is full.
	fullBatchLoss = 2.0
	// networkMS is the time of the way to a server and back, in milliseconds.
	networkMS = 3.0
)

// priorityWeight is how much a request of a priority counts against others: half for each rank.
func priorityWeight(priority int) float64 {
	return 4 * math.Exp2(-float64(min(max(priority, 0), 9)))
}

// expectedMS is the predicted time to the first event in milliseconds.
func (p *Pool) expectedMS(now time.Time, s *server, request *Request) float64 {
	if s.engine.CacheTokens == 0 {
		rounds := (float64(len(s.running)) + s.foreignNow(now)) / float64(max(s.Slots, 1))

		return networkMS + s.prefillMS(1)*s.slowdownNow(now)*(1+max(0, rounds-0.5))
	}

	return networkMS + s.slowdownNow(now)*(s.prefillMS(s.backlogNow(now)+s.prefillTokens(request))+p.eventGapMS())
}

// loss is the expected loss of sending the work to the server.
func (p *Pool) loss(now time.Time, s *server, request *Request) float64 {
	worth := priorityWeight(request.Priority)
	expected := p.expectedMS(now, s, request) + s.overdueMS(now)
	target := max(milliseconds(request.Target), 1)

	loss := worth * (missProbability(expected/target) + slopeLoss*expected/target)
	loss += worth * failureLoss * s.failuresNow(now)

	if running := float64(len(s.running)) + s.foreignNow(now); running >= float64(s.Slots) {
		loss += worth * fullBatchLoss * (running - float64(s.Slots) + 1) / float64(max(s.Slots, 1))
	}

	if s.engine.CacheTokens == 0 {
		return loss
	}

	return loss + p.interferenceLoss(now, s, request)
}

// interferenceLoss is the loss through prompts that are read beside streams, and the price of the work.
func (p *Pool) interferenceLoss(now time.Time, s *server, request *Request) float64 {
	reading := s.prefillTokens(request)
	loss := chunkLoss * reading / chunkTokens * s.slowdownNow(now)

	for limit, streams := range s.sensitiveStreams {
		before := missProbability(p.prefillGapMS(now, s, s.backlog) / milliseconds(limit))
		after := missProbability(p.prefillGapMS(now, s, s.backlog+reading) / milliseconds(limit))
		loss += streams * (after - before)
	}

	own := p.sensitivity(request)
	if own == 0 {
		return loss
	}

	loss += priorityWeight(request.Priority) * own * min(1, s.recentTokensNow(now)*s.slowdownNow(now)/(stallChunks*chunkTokens))

	if len(s.sensitiveStreams) == 0 {
		loss += firstStreamLoss * own
	}

	return loss
}

// eventGapMS is the time between two events in milliseconds while no prompts are read.
func (p *Pool) eventGapMS() float64 {
	return p.model.Estimates().StepMS * float64(max(p.engine.EventTokens, 1))
}

// prefillGapMS is the longest pause between events in milliseconds while a backlog of prompt tokens is read.
func (p *Pool) prefillGapMS(now time.Time, s *server, backlog float64) float64 {
	calm := p.eventGapMS()

	return s.slowdownNow(now) * (calm + min(s.prefillMS(backlog), max(p.model.Estimates().PrefillGapMS-calm, 0)))
}

// sensitivity is how much a stream suffers from prompts read beside it: from 0 where its gap
// limit is three times the pause while a prompt is read, to 1 at half of that.
func (p *Pool) sensitivity(request *Request) float64 {
	if request.GapLimit == 0 || p.engine.EventTokens == 0 {
		return 0
	}

	ratio := milliseconds(request.GapLimit) / p.model.Estimates().PrefillGapMS

	return min(max((3-ratio)/1.5, 0), 1)
}

// missProbability is the chance to miss a limit when the prediction is the given part of it.
func missProbability(ratio float64) float64 {
	const begin, end = 0.5, 1.1

	x := min(max((ratio-begin)/(end-begin), 0), 1)

	return x * x * (3 - 2*x)
}
