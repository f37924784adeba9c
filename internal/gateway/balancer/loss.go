package balancer

import (
	"math"
	"time"
)

const (
	// workPrice is the loss that a chunk of prompt work causes to requests yet to come. At a quarter of it requests left
	// the engines of their sessions for those that answer sooner: 10% more was read, and 3% less of all was worth something.
	workPrice = 0.2
	// slopePrice keeps load even where no target is in danger.
	slopePrice = 0.05
	// failurePrice is the loss of an attempt that fails: what it is worth and a repetition.
	failurePrice = 1.5
	// longWork is the recent prompt work in chunks beside which a sensitive stream surely stalls: what engines that are
	// always reading get in some 1.5 s.
	longWork = 32.0
	// gatherPrice draws sensitive streams together, so that servers without any are left for long prompts.
	gatherPrice = 0.1
	// fullPrice is the loss of waiting at a server whose batch is full.
	fullPrice = 2.0
	// networkTime is the time of the way to a server and back, in milliseconds.
	networkTime = 3.0
)

// value is how much a request of a priority counts against others: half for each rank.
func value(priority int) float64 {
	return 4 * math.Exp2(-float64(min(max(priority, 0), 9)))
}

// expected is the predicted time to the first event in milliseconds.
func (p *Pool) expected(now time.Time, s *server, work *Request) float64 {
	if s.engine.CacheTokens == 0 {
		rounds := (float64(len(s.running)) + s.foreignNow(now)) / float64(max(s.Slots, 1))

		return networkTime + s.readingTime(1)*s.speedNow(now)*(1+max(0, rounds-0.5))
	}

	return networkTime + s.speedNow(now)*(s.readingTime(s.waitingWork(now)+s.reading(work))+p.eventTime())
}

// loss is the expected loss of sending the work to the server.
func (p *Pool) loss(now time.Time, s *server, work *Request) float64 {
	worth := value(work.Priority)
	expected := p.expected(now, s, work) + s.overdue(now)
	target := max(milliseconds(work.Target), 1)

	loss := worth * (late(expected/target) + slopePrice*expected/target)
	loss += worth * failurePrice * s.failuresNow(now)

	if running := float64(len(s.running)) + s.foreignNow(now); running >= float64(s.Slots) {
		loss += worth * fullPrice * (running - float64(s.Slots) + 1) / float64(max(s.Slots, 1))
	}

	if s.engine.CacheTokens == 0 {
		return loss
	}

	return loss + p.disturbance(now, s, work)
}

// disturbance is the loss through prompts that are read beside streams, and the price of the work.
func (p *Pool) disturbance(now time.Time, s *server, work *Request) float64 {
	reading := s.reading(work)
	loss := workPrice * reading / chunkTokens * s.speedNow(now)

	for limit, streams := range s.sensitive {
		before := late(p.gap(now, s, s.backlog) / milliseconds(limit))
		after := late(p.gap(now, s, s.backlog+reading) / milliseconds(limit))
		loss += streams * (after - before)
	}

	own := p.sensitivity(work)
	if own == 0 {
		return loss
	}

	loss += value(work.Priority) * own * min(1, s.recentNow(now)*s.speedNow(now)/(longWork*chunkTokens))

	if len(s.sensitive) == 0 {
		loss += gatherPrice * own
	}

	return loss
}

// eventTime is the time between two events in milliseconds while no prompts are read.
func (p *Pool) eventTime() float64 {
	return p.model.Estimates().StepMS * float64(max(p.engine.EventTokens, 1))
}

// gap is the longest pause between events in milliseconds while a backlog of prompt tokens is read.
func (p *Pool) gap(now time.Time, s *server, backlog float64) float64 {
	calm := p.eventTime()

	return s.speedNow(now) * (calm + min(s.readingTime(backlog), max(p.model.Estimates().PrefillGapMS-calm, 0)))
}

// sensitivity is how much a stream suffers from prompts read beside it: from 0 where its gap
// limit is three times the pause while a prompt is read, to 1 at half of that.
func (p *Pool) sensitivity(work *Request) float64 {
	if work.GapLimit == 0 || p.engine.EventTokens == 0 {
		return 0
	}

	ratio := milliseconds(work.GapLimit) / p.model.Estimates().PrefillGapMS

	return min(max((3-ratio)/1.5, 0), 1)
}

// late is the chance to miss a limit when the prediction is the given part of it.
func late(ratio float64) float64 {
	const begin, end = 0.5, 1.1

	x := min(max((ratio-begin)/(end-begin), 0), 1)

	return x * x * (3 - 2*x)
}
