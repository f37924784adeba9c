package scheduler

import (
	"math/bits"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// recordReport updates the estimates of the class and the server from a finished attempt.
func (p *Pool) recordReport(now time.Time, g *grant, report Report) {
	switch report.Result {
	case dispatcher.ResultDone:
		g.server.failures = 0
		p.recordAnswerSize(g, report)
	case dispatcher.ResultNotSent, dispatcher.ResultRefused, dispatcher.ResultFailed, dispatcher.ResultSilent:
		g.server.recordFailure(now, g.grantedAt, report.Result)

		if p.options.FixedSlots {
			g.server.limit = float64(g.server.upstream.Slots)
		}

		return
	case dispatcher.ResultSuperseded:
		p.recordSuperseded(now, g, report)

		return
	}

	p.recordTimes(now, g, report)
}

// recordAnswerSize updates the estimates of the class from a complete answer.
func (p *Pool) recordAnswerSize(g *grant, report Report) {
	c := g.class
	c.duration.addDuration(report.Duration)

	if p.service.Kind == configurer.KindPlain {
		return
	}

	c.tokens.addCount(report.Tokens)
	c.cost = max(c.tokens.mean, 1)
	p.quantum = 1

	for _, other := range p.classes {
		p.quantum = max(p.quantum, other.cost)
	}

	difference := min(float64(report.Tokens), maxCostOverrun*g.cost) - g.cost
	p.tiers[g.class.settings.Tier].adjustDeficit(g.request.Organisation, difference, p.quantum)
}

// minGapTokens is the answer length below which the mean token gap is mostly noise.
const minGapTokens = 8

// maxCostOverrun bounds the charge of one answer to its organisation, in estimated costs.
const maxCostOverrun = 4

// recordTimes updates the limit and the relative speed of the server.
func (p *Pool) recordTimes(now time.Time, g *grant, report Report) {
	var change limitChange

	if p.service.Kind == configurer.KindPlain {
		change = p.recordPlainTimes(now, g, report)
	} else {
		change = p.recordEngineTimes(now, g, report)
	}

	if p.service.Kind == configurer.KindEngine {
		change = g.server.limitByEngineQueue(now, g.grantedAt, change, g.class.settings.Tier, p.classes, p.stallTime())
	}

	if !p.options.FixedSlots {
		g.server.adjustLimit(now, g.grantedAt, change)
	}
}

// stallTime returns how long the lowest tier of a server may complete nothing while higher tiers do.
func (p *Pool) stallTime() time.Duration {
	longest := defaultSlotTime.Seconds()
	for _, c := range p.classes {
		longest = max(longest, c.duration.p95)
	}

	return time.Duration(stallFactor * longest * float64(time.Second))
}

func (p *Pool) recordPlainTimes(now time.Time, g *grant, report Report) limitChange {
	if report.Result != dispatcher.ResultDone {
		return limitHold
	}

	measure := report.Duration.Seconds()
	g.server.updateSpeed(now, measure, g.class.duration.mean, plainSpeedWeight)
	g.class.unqueuedTime.add(now, measure)

	return g.class.compareWithTarget(report.Duration)
}

func (p *Pool) recordEngineTimes(now time.Time, g *grant, report Report) limitChange {
	gap := report.TokenGap.Seconds()
	if report.Tokens < minGapTokens {
		gap = 0
	}

	g.server.updateSpeed(now, gap, p.gaps.expected(g.server.inFlight), engineSpeedWeight)
	p.gaps.add(now, gap, g.server.inFlight)

	strictest := g.server.strictestGap(p.classes).Seconds()
	gapChange := compareWithBound(gap, gapMargin*strictest, p.gaps.fastest.value, gapExcess)

	if gapChange == limitDecrease || report.FirstToken <= 0 || g.request.Progress > 0 {
		return min(gapChange, limitHold)
	}

	g.class.firstToken.addDuration(report.FirstToken)

	if !g.promptCached {
		g.class.unqueuedTime.add(now, report.FirstToken.Seconds())
	}

	return min(gapChange, g.class.compareWithTarget(report.FirstToken))
}

// compareWithTarget compares a first token, or the whole time of a plain answer, with the class's own
// target. The first token of another class depends on the length of its prompt and says nothing here.
func (c *class) compareWithTarget(measure time.Duration) limitChange {
	change := compareWithBound(measure.Seconds(), targetMargin*c.settings.Target.Seconds(), c.unqueuedTime.value, targetExcess)
	if change == limitIncrease && measure.Seconds() > queueExcess*c.unqueuedTime.value {
		return limitEngineQueued
	}

	return change
}

// compareWithBound compares a measurement in seconds with its bound, zero for none, and with the
// fastest such measurements. A late answer reduces the limit only if it is also slower than those:
// otherwise concurrency is not the cause, and a lower limit would starve the server without helping.
func compareWithBound(measure, bound, fastest, excess float64) limitChange {
	switch {
	case bound <= 0 || measure <= bound:
		return limitIncrease
	case measure > excess*fastest:
		return limitDecrease
	default:
		return limitHold
	}
}

// tokenGaps tracks the token gaps of all servers in seconds. Tokens slow down as a server fills, so
// there is one median for each power of two of running requests.
type tokenGaps struct {
	fastest   quantileEstimate
	byRunning [10]quantileEstimate
}

func newTokenGaps() tokenGaps {
	g := tokenGaps{fastest: quantileEstimate{quantile: fastQuantile, maxChangePerSecond: fastChangePerSecond}}
	for i := range g.byRunning {
		g.byRunning[i] = quantileEstimate{quantile: 0.5, maxChangePerSecond: medianChangePerSecond}
	}

	return g
}

func (g *tokenGaps) add(now time.Time, gap float64, running int) {
	g.fastest.add(now, gap)
	g.byRunning[g.index(running)].add(now, gap)
}

func (g *tokenGaps) index(running int) int {
	return min(bits.Len(uint(max(running, 1))), len(g.byRunning)) - 1
}

// expected returns the usual gap with the given number of running requests, or zero if unknown. A
// server with fewer running requests is not slower than one with more, so the smallest median of this
// and higher numbers counts; otherwise a straggler that is alone at its number would be compared with
// itself.
func (g *tokenGaps) expected(running int) float64 {
	smallest := 0.0

	for _, m := range g.byRunning[g.index(running):] {
		if m.value > 0 && (smallest == 0 || m.value < smallest) {
			smallest = m.value
		}
	}

	return smallest
}
