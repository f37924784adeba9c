package balancer

import (
	"math"
	"time"
)

const (
	// maxPriorities is the number of priorities whose work is measured separately. Less urgent ones count with the last.
	maxPriorities = 8
	// generationFraction is the least part of its speed in reading prompts that an engine achieves with full slots.
	generationFraction = 0.5
	// modelledInterval is the time between updates of what the servers can do by their estimated speed.
	modelledInterval = 100 * time.Millisecond
	// minClassFraction is the least fraction of the pool's rate that a class is assumed to get, however much work more
	// urgent classes send: their recent work may have been a burst.
	minClassFraction = 0.05
)

// workDemand measures the work of a pool's requests, in prompt tokens. A generated token counts as the number of prompt tokens
// that an engine could read in the time that it takes, see Pool.workAt. A call of a plain service counts as 1.
type workDemand struct {
	// running is the work of the requests at servers.
	running float64
	// granted is the work of the requests that got an upstream by priority, decayed with grantHalfLife, as of grantedAt.
	granted   [maxPriorities]float64
	grantedAt time.Time
	// residenceSeconds is the mean time that a request spends at a server, weighted by its work; 0 before the first has ended.
	// The work at the servers divided by this time is the work that they complete in a second (Little's law).
	residenceSeconds, meanWork float64
	// ended is the number of requests in these means, up to 1/residenceGain.
	ended float64
}

func (d *workDemand) recordStart(now time.Time, priority int, work float64) {
	factor := decayed(1, now.Sub(d.grantedAt), grantHalfLife)
	for i := range d.granted {
		d.granted[i] *= factor
	}

	d.granted[measuredPriority(priority)] += work
	d.grantedAt = now
	d.running += work
}

func (d *workDemand) recordResidence(work, seconds float64) {
	if work == 0 {
		return
	}

	// The first requests count alike, so that the very first doesn't decide for seconds.
	d.ended = min(d.ended+1, 1/residenceGain)
	d.meanWork += (work - d.meanWork) / d.ended
	d.residenceSeconds += min(work/d.meanWork/d.ended, 1) * (seconds - d.residenceSeconds)
}

// rates returns the work a second that requests got a server for, and the part of it of requests more urgent than the
// priority.
func (d *workDemand) rates(now time.Time, priority int) (all, urgent float64) {
	factor := decayed(1, now.Sub(d.grantedAt), grantHalfLife) * math.Ln2 / grantHalfLife.Seconds()

	for i, granted := range d.granted {
		all += granted * factor

		if i < measuredPriority(priority) {
			urgent += granted * factor
		}
	}

	return all, urgent
}

func measuredPriority(priority int) int {
	return min(max(priority, 0), maxPriorities-1)
}

// workAt returns the work of a request at a server that has to read the given number of prompt tokens. A step of an engine with
// all slots in use generates a token for each of them, so that a token costs the prompt tokens that could be read in its part of
// the step.
func (p *Pool) workAt(s *server, request *Request, prefillTokens float64) float64 {
	if p.engine.CacheTokens == 0 {
		return 1
	}

	return prefillTokens + float64(request.expectedOutput())*p.generationWork(s)
}

// generationWork returns the work of generating a token at a server.
func (p *Pool) generationWork(s *server) float64 {
	estimates := p.model.Estimates()

	return estimates.StepMS * estimates.PrefillTokensPerMS / float64(max(s.Slots, 1))
}

// correctCharge charges the organisation for the tokens that a stream had instead of those that its caller expected. Otherwise
// an organisation with too low hints would get more than its share.
func (p *Pool) correctCharge(r *runningRequest) {
	if r.work == 0 || r.generatedTokens == 0 {
		return
	}

	if s, ok := p.admission.tier(r.request.Priority).shares[r.request.Organisation]; ok {
		s.finish += float64(r.generatedTokens-r.request.expectedOutput()) * p.generationWork(r.server) / s.weight
	}
}

// expectedOutput returns the number of tokens that the request is expected to generate.
func (r *Request) expectedOutput() int {
	if r.LengthHint <= 0 {
		return r.OutputTokens
	}

	if r.OutputTokens <= 0 {
		return r.LengthHint
	}

	return min(r.LengthHint, r.OutputTokens)
}

// classRate returns the work a second for which requests of a priority and less urgent ones can get servers.
func (p *Pool) classRate(now time.Time, priority int) float64 {
	granted, urgent := p.demand.work.rates(now, priority)

	// The work that runs says nothing of the part of the slots that are free.
	rate := max(granted, p.modelledRate(now))
	if p.demand.work.residenceSeconds > 0 {
		rate = max(granted, p.modelledRate(now)*(1-float64(p.demand.running)/max(p.admission.slots, 1)))
		rate = max(rate, p.demand.work.running/max(p.demand.work.residenceSeconds, minResidenceSeconds))
	}

	return max(rate-urgent, minClassFraction*rate, 1)
}

// modelledRate returns a lower bound of the work a second that the pool's servers can do by the estimates of their speed. It is
// updated every modelledInterval.
func (p *Pool) modelledRate(now time.Time) float64 {
	if now.Sub(p.admission.modelledAt) < modelledInterval {
		return p.admission.modelled
	}

	estimates := p.model.Estimates()

	perSecond := 1000 * generationFraction * estimates.PrefillTokensPerMS
	if p.engine.CacheTokens == 0 {
		perSecond = 1000 / max(estimates.PlainCallMS, 1)
	}

	servers, slots, slowdowns, anyRequest := 0.0, 0.0, 0.0, Request{}

	for _, s := range p.servers {
		slowdowns += s.slowdownNow(now)
		slots += float64(s.Slots)

		switch {
		case !s.usable(now, &anyRequest):
		case p.engine.CacheTokens == 0:
			servers += float64(max(s.Slots, 1)) / s.slowdownNow(now)
		default:
			servers += 1 / s.slowdownNow(now)
		}
	}

	p.admission.modelledAt, p.admission.modelled = now, servers*perSecond
	p.admission.slots = slots
	p.admission.slowdown = slowdowns / float64(max(len(p.servers), 1))

	return p.admission.modelled
}
