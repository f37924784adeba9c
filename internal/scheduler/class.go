package scheduler

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// minEstimateSamples is the number of answers after which a class's estimates may refuse requests.
	minEstimateSamples = 8
	// loadWindow is the time constant of a class's load average.
	loadWindow = 10 * time.Second
	// maxCreditRequests bounds the credit and debt of a class's guaranteed share, in requests.
	maxCreditRequests = 8
	// fastQuantile estimates the time of an answer that met no queue.
	fastQuantile = 0.05
	// defaultSlotTime bounds the assumed slot time of a class without samples. With its target alone, a
	// class with an overnight target would wait very long for its first guaranteed slot.
	defaultSlotTime = time.Second
)

// class is the state of one request class.
type class struct {
	settings configurer.Class
	// index is the position in Pool.classes and in server.running.
	index int
	// waiting counts queued requests by effective tier; total is their sum.
	waiting [lowestTier + 1]int
	total   int
	// running is the number of grants.
	running int
	// credit is the slot time in seconds that the class is owed for its guaranteed share.
	credit float64
	// cost is the estimated cost of a request for deficit round robin: tokens, or 1 for plain services.
	cost float64
	// load is the slot time in seconds that arrived within loadWindow.
	load decayingSum

	duration   histogramSummary
	tokens     histogramSummary
	firstToken histogramSummary
	// unqueuedTime estimates, in seconds, the first token (plain services: the duration) of an answer that
	// met no queue.
	unqueuedTime quantileEstimate

	// nextRetrySlot is the time up to which retry times are allocated to refused requests.
	nextRetrySlot time.Time

	granted     int
	longestWait time.Duration
}

func newClass(settings configurer.Class, index int) *class {
	return &class{
		settings:     settings,
		index:        index,
		cost:         1,
		load:         decayingSum{window: loadWindow},
		duration:     newHistogramSummary(),
		tokens:       newHistogramSummary(),
		firstToken:   newHistogramSummary(),
		unqueuedTime: quantileEstimate{quantile: fastQuantile, maxChangePerSecond: fastChangePerSecond},
	}
}

// slotTime returns the expected time in seconds for which a request holds its slot.
func (c *class) slotTime() float64 {
	if c.duration.samples == 0 {
		return max(min(c.settings.Target, defaultSlotTime).Seconds(), 0.001)
	}

	return max(c.duration.mean, 0.001)
}

func (c *class) hasEstimates() bool {
	return c.duration.samples >= minEstimateSamples
}

// startP95 returns the 95th percentile of the time from sending to the event that the target is
// measured at.
func (c *class) startP95(kind configurer.Kind) time.Duration {
	if kind == configurer.KindPlain {
		return c.duration.p95Or(c.settings.Target / 2)
	}

	return c.firstToken.p95Or(c.settings.Target / 2)
}

// startMean returns the mean of the time that startP95 estimates.
func (c *class) startMean(kind configurer.Kind) time.Duration {
	if kind == configurer.KindPlain {
		return time.Duration(c.duration.mean * float64(time.Second))
	}

	return time.Duration(c.firstToken.mean * float64(time.Second))
}

// histogramSummary is the histogram of one measurement with a cached mean and 95th percentile.
type histogramSummary struct {
	histogram *hdrhistogram.Histogram
	samples   int
	mean      float64
	p95       float64
}

const (
	maxHistogramValue = int64(time.Hour / time.Microsecond)
	// summaryInterval and histogramResetSamples are numbers of samples. Reading a histogram takes
	// microseconds, so the summary isn't updated for every sample. Without a reset the histogram would not
	// follow a class whose answers change.
	summaryInterval       = 64
	histogramResetSamples = 4096
)

func newHistogramSummary() histogramSummary {
	return histogramSummary{histogram: hdrhistogram.New(1, maxHistogramValue, 2)}
}

func (h *histogramSummary) addDuration(value time.Duration) {
	h.add(value.Microseconds(), 1e-6)
}

func (h *histogramSummary) addCount(value int) {
	h.add(int64(value), 1)
}

func (h *histogramSummary) add(value int64, unit float64) {
	if h.samples > 0 && h.samples%histogramResetSamples == 0 {
		h.histogram.Reset()
	}

	_ = h.histogram.RecordValue(min(max(value, 1), maxHistogramValue))
	h.samples++

	if h.samples%summaryInterval != 0 && (h.samples > summaryInterval || h.samples&(h.samples-1) != 0) {
		return
	}

	h.mean = h.histogram.Mean() * unit
	h.p95 = float64(h.histogram.ValueAtQuantile(95)) * unit
}

// p95Or returns the 95th percentile of a time, or the fallback if there are no samples.
func (h *histogramSummary) p95Or(fallback time.Duration) time.Duration {
	if h.samples == 0 {
		return fallback
	}

	return time.Duration(h.p95 * float64(time.Second))
}

// decayingSum is a sum with exponential decay.
type decayingSum struct {
	window time.Duration
	value  float64
	at     time.Time
}

func (d *decayingSum) add(now time.Time, value float64) {
	d.value = d.read(now) + value
	d.at = now
}

func (d *decayingSum) read(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}

	return d.value * math.Exp(-now.Sub(d.at).Seconds()/d.window.Seconds())
}

// rate returns the sum per second.
func (d *decayingSum) rate(now time.Time) float64 {
	return d.read(now) / d.window.Seconds()
}

// quantileEstimate tracks a quantile of a positive measurement in constant memory. After the first
// samples, the weight of a sample is the time since the previous one: a burst of slow answers must not
// become the normal value at once, however many there are.
type quantileEstimate struct {
	quantile float64
	// maxChangePerSecond is the largest relative change per second after the first samples.
	maxChangePerSecond float64
	value              float64
	samples            int
	at                 time.Time
}

const (
	// initialQuantileStep is the largest relative change for each of the first initialQuantileSamples
	// samples.
	initialQuantileStep    = 0.02
	initialQuantileSamples = 50
	// medianChangePerSecond follows current values. fastChangePerSecond is for values of an empty server:
	// an hour of overload raises them by less than half.
	medianChangePerSecond = 0.02
	fastChangePerSecond   = 0.002
)

func (e *quantileEstimate) add(now time.Time, sample float64) {
	if sample <= 0 {
		return
	}

	step := initialQuantileStep
	if e.samples >= initialQuantileSamples {
		step = e.maxChangePerSecond * min(max(now.Sub(e.at).Seconds(), 0), 1)
	}

	e.samples++
	e.at = now

	switch {
	case e.value == 0 || (sample < e.value && float64(e.samples)*e.quantile <= 1):
		// With so few samples the minimum is the best estimate of a low quantile.
		e.value = sample
	case sample < e.value:
		e.value *= 1 - step*(1-e.quantile)
	default:
		e.value *= 1 + step*e.quantile
	}
}
