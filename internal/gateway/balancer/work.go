package balancer

import (
	"math"
	"time"
)

const (
	// maxPriorities is the number of priorities whose work is measured separately. Less urgent ones count with the last.
	maxPriorities = 8
	// generationFraction is the part of an engine that works on prompts while streams run, as an estimate before any request
	// has ended.
	generationFraction = 0.5
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

	if d.residenceSeconds == 0 {
		d.residenceSeconds, d.meanWork = seconds, work

		return
	}

	d.meanWork += residenceGain * (work - d.meanWork)
	d.residenceSeconds += min(residenceGain*work/d.meanWork, 1) * (seconds - d.residenceSeconds)
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

	estimates := p.model.Estimates()

	return prefillTokens + float64(request.expectedOutput())*estimates.StepMS*estimates.PrefillTokensPerMS/float64(max(s.Slots, 1))
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

	rate := granted
	if p.demand.work.residenceSeconds > 0 {
		rate = max(rate, p.demand.work.running/max(p.demand.work.residenceSeconds, minResidenceSeconds))
	} else {
		rate = max(rate, p.modelledRate(now))
	}

	return max(rate-urgent, minClassFraction*rate, 1)
}

// modelledRate returns the work a second that the pool's servers can do by the estimates of their speed. It is used before any
// request has ended.
func (p *Pool) modelledRate(now time.Time) float64 {
	estimates := p.model.Estimates()
	rate, anyRequest := 0.0, Request{}

	for _, s := range p.servers {
		if !s.usable(now, &anyRequest) {
			continue
		}

		perSecond := generationFraction * estimates.PrefillTokensPerMS
		if p.engine.CacheTokens == 0 {
			perSecond = float64(max(s.Slots, 1)) / max(estimates.PlainCallMS, 1)
		}

		rate += 1000 * perSecond / s.slowdownNow(now)
	}

	return rate
}
