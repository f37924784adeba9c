package scaler

import (
	"math"
	"time"
)

const (
	// currentHalfLife averages the measurements of a second, which vary with the few long prompts in each.
	currentHalfLife = 800 * time.Millisecond
	// trendHalfLife is that of the average to which the current one is compared for the trend.
	trendHalfLife = 3 * time.Second
	// meanHalfLife is that of the load apart from bursts, which last for some 10 s.
	meanHalfLife = 30 * time.Second
	// peakHalfLife is how long the peak takes to fall by half, so that a second burst within a minute finds what the first
	// one needed.
	peakHalfLife = 60 * time.Second
	// burstFactor is the ratio of a burst's load to the mean for which upstreams are kept.
	burstFactor = 2.0
	// pressureFraction is the fraction of the requests in progress that may be late or refused, as a few always are: a
	// crash makes some late, and more upstreams don't help these.
	pressureFraction = 0.03
	// minPressure is the number of late or refused requests up to which they count as chance.
	minPressure = 3
	// maxDemandAge is how long a measurement is used. After that the demand is unknown.
	maxDemandAge = 3 * time.Second
	// minMeasurements is the number of measurements after which the first ones count as the demand.
	minMeasurements = 3
)

// Demand is the measured work of a service.
type Demand struct {
	// Work is the work of all requests, in upstreams that it keeps fully busy.
	Work float64 `json:"work"`
	// Running is the number of upstreams that accept requests.
	Running int `json:"running"`
	// Queued, Late and Refused count the requests that wait, those without an answer after their latency target, and those
	// refused in the last second.
	Queued  int `json:"queued"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	// InProgress is the approximate number of requests at upstreams.
	InProgress int `json:"in_progress"`
}

// isPressing reports whether callers get less than they need, so that the measured work says too little.
func (d *Demand) isPressing() bool {
	return float64(d.Late+d.Refused) > max(minPressure, pressureFraction*float64(d.InProgress))
}

// load tracks the work of a service over time. All values are in upstreams.
type load struct {
	// Mean is the load apart from bursts, Peak the highest load lately.
	Mean float64 `json:"mean"`
	Peak float64 `json:"peak"`
	// Measurements counts the measurements, up to minMeasurements.
	Measurements int `json:"measurements"`

	// current and trend are averages over about one and four seconds.
	current, trend float64
	// at is when the last measurement was made; measured is false before the first one of this planner.
	at       time.Duration
	measured bool
	// pressing is set while callers get less than they need.
	pressing bool
	last     Demand
}

// observe takes a measurement.
func (l *load) observe(now time.Duration, demand Demand) {
	elapsed := now - l.at

	if !l.isFresh(now) {
		// Nothing is known of the time before. Mean and Peak remain as they were.
		l.current, l.trend = demand.Work, demand.Work
		elapsed = time.Second
	}

	if l.Measurements < minMeasurements {
		l.Measurements++
		l.Mean += (demand.Work - l.Mean) / float64(l.Measurements)
	} else {
		l.Mean = averaged(l.Mean, demand.Work, elapsed, meanHalfLife)
	}

	l.current = averaged(l.current, demand.Work, elapsed, currentHalfLife)
	l.trend = averaged(l.trend, demand.Work, elapsed, trendHalfLife)
	l.Peak = max(l.current, averaged(l.Peak, 0, elapsed, peakHalfLife))
	l.at, l.measured, l.pressing, l.last = now, true, demand.isPressing(), demand
}

func averaged(average, value float64, elapsed, halfLife time.Duration) float64 {
	return value + (average-value)*math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

// isFresh reports whether the load was measured lately.
func (l *load) isFresh(now time.Duration) bool {
	return l.measured && now-l.at <= maxDemandAge
}

// isKnown reports whether enough was measured, by this planner or by one before it.
func (l *load) isKnown() bool {
	return l.Measurements >= minMeasurements
}

// forecast returns the load after the given time if it goes on to rise as it does. It never falls below the current load.
func (l *load) forecast(ahead time.Duration) float64 {
	lag := (trendHalfLife - currentHalfLife).Seconds() / math.Ln2
	slope := (l.current - l.trend) / lag

	return l.current + max(slope, 0)*ahead.Seconds()
}

// burst returns the load that upstreams must be there for: what is forecast, what was seen lately, or a burst on the mean.
func (l *load) burst(ahead time.Duration) float64 {
	return max(burstFactor*l.Mean, l.Peak, l.forecast(ahead))
}
