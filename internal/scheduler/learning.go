package scheduler

import (
	"math/bits"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// learn takes what a finished attempt tells about its class and its server.
func (p *Pool) learn(now time.Time, g *grant, report Report) {
	switch report.Result {
	case dispatcher.ResultDone:
		g.server.failures = 0
		p.learnLengths(g, report)
	case dispatcher.ResultNotSent, dispatcher.ResultRefused, dispatcher.ResultFailed, dispatcher.ResultSilent:
		g.server.learnFailure(now, g.granted, report.Result)

		if p.options.FixedSlots {
			g.server.limit = float64(g.server.upstream.Slots)
		}

		return
	case dispatcher.ResultSuperseded:
		p.learnSuperseded(now, g, report)

		return
	}

	p.learnTimes(now, g, report)
}

// learnLengths takes a whole answer into the estimates of its class.
func (p *Pool) learnLengths(g *grant, report Report) {
	c := g.class
	c.duration.record(report.Duration)

	if p.service.Kind == configurer.KindPlain {
		return
	}

	c.tokens.count(report.Tokens)
	c.cost = max(c.tokens.mean, 1)
	p.quantum = 1

	for _, other := range p.classes {
		p.quantum = max(p.quantum, other.cost)
	}

	difference := min(float64(report.Tokens), largestOverrun*g.cost) - g.cost
	p.tiers[g.class.settings.Tier].correct(g.request.Organisation, difference, p.quantum)
}

// fewTokens is the length below which the mean gap of an answer is mostly noise.
const fewTokens = 8

// largestOverrun bounds, in estimated costs, what one answer charges to its organisation.
const largestOverrun = 4

// learnTimes moves the limit and the relative speed of the server.
func (p *Pool) learnTimes(now time.Time, g *grant, report Report) {
	var v verdict

	if p.service.Kind == configurer.KindPlain {
		v = p.judgePlain(now, g, report)
	} else {
		v = p.judgeEngine(now, g, report)
	}

	if p.service.Kind == configurer.KindEngine {
		v = g.server.heedQueue(now, g.granted, v, g.class.settings.Tier, p.classes, p.stuck())
	}

	if !p.options.FixedSlots {
		g.server.apply(now, g.granted, v)
	}
}

// stuck is how long the lowest tier of a server may end nothing while higher ones do.
func (p *Pool) stuck() time.Duration {
	longest := coldSlotTime.Seconds()
	for _, c := range p.classes {
		longest = max(longest, c.duration.p95)
	}

	return time.Duration(stuckAfter * longest * float64(time.Second))
}

func (p *Pool) judgePlain(now time.Time, g *grant, report Report) verdict {
	if report.Result != dispatcher.ResultDone {
		return verdictHold
	}

	measure := report.Duration.Seconds()
	g.server.learnSpeed(now, measure, g.class.duration.mean, plainWeight)
	g.class.fast.add(now, measure)

	return g.class.judge(report.Duration)
}

func (p *Pool) judgeEngine(now time.Time, g *grant, report Report) verdict {
	gap := report.TokenGap.Seconds()
	if report.Tokens < fewTokens {
		gap = 0
	}

	g.server.learnSpeed(now, gap, p.gaps.expected(g.server.inFlight), slowWeight)
	p.gaps.add(now, gap, g.server.inFlight)

	strictest := g.server.strictestGap(p.classes).Seconds()
	gapVerdict := judge(gap, gapMargin*strictest, p.gaps.fastest.value, gapExcess)

	if gapVerdict == verdictLess || report.FirstToken <= 0 || g.request.Progress > 0 {
		return min(gapVerdict, verdictHold)
	}

	g.class.firstToken.record(report.FirstToken)

	if !g.cached {
		g.class.fast.add(now, report.FirstToken.Seconds())
	}

	return min(gapVerdict, g.class.judge(report.FirstToken))
}

// judge compares a first token, or the whole time of a plain answer, with the
// class's own target. The first token of another class says nothing here: it
// depends on the length of its prompt.
func (c *class) judge(measure time.Duration) verdict {
	v := judge(measure.Seconds(), startMargin*c.settings.Target.Seconds(), c.fast.value, firstExcess)
	if v == verdictMore && measure.Seconds() > queueExcess*c.fast.value {
		return verdictQueued
	}

	return v
}

// judge compares a measure in seconds with its bound, zero for none, and with
// the fastest such measures. A late answer asks for fewer at once only if it is
// also slower than those: else company is not the cause, and shrinking would
// starve the server without helping.
func judge(measure, bound, fastest, excess float64) verdict {
	switch {
	case bound <= 0 || measure <= bound:
		return verdictMore
	case measure > excess*fastest:
		return verdictLess
	default:
		return verdictHold
	}
}

// gaps follows the token gaps of all servers in seconds. Tokens slow down as a
// server fills, so that a median is kept for each power of two of requests at once.
type gaps struct {
	fastest tracked
	medians [10]tracked
}

func newGaps() gaps {
	g := gaps{fastest: tracked{quantile: fastQuantile, perSecond: fastPerSecond}}
	for i := range g.medians {
		g.medians[i] = tracked{quantile: 0.5, perSecond: usualPerSecond}
	}

	return g
}

func (g *gaps) add(now time.Time, gap float64, running int) {
	g.fastest.add(now, gap)
	g.medians[g.index(running)].add(now, gap)
}

func (g *gaps) index(running int) int {
	return min(bits.Len(uint(max(running, 1))), len(g.medians)) - 1
}

// expected is the usual gap with as many running, or zero when unknown. A
// server with fewer running is not slower than one with more: this keeps a
// straggler that is alone at its number from being compared with itself.
func (g *gaps) expected(running int) float64 {
	smallest := 0.0

	for _, m := range g.medians[g.index(running):] {
		if m.value > 0 && (smallest == 0 || m.value < smallest) {
			smallest = m.value
		}
	}

	return smallest
}
