package scheduler

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// warmSamples is the number of answers after which a class's estimates may refuse requests.
	warmSamples = 8
	// loadWindow is the time over which the load of a class is averaged.
	loadWindow = 10 * time.Second
	// creditCap bounds, in requests, how much guaranteed service a class can save up or overdraw.
	creditCap = 8
	// fastQuantile is the quantile that stands for an answer without any queueing.
	fastQuantile = 0.05
	// coldSlotTime bounds the guess of a slot time before anything was measured. The
	// target of an overnight class would make it wait very long for its first share.
	coldSlotTime = time.Second
)

// class is what the pool knows of one request class.
type class struct {
	settings configurer.Class
	// index is the place in Pool.classes and in server.running.
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
	// load is the slot time in seconds that arrived in the last loadWindow.
	load decayed

	duration   lengths
	tokens     lengths
	firstToken lengths
	// fast is the measure, first token or plain duration in seconds, of an answer that met no queue.
	fast tracked

	// appointed is until when refused requests were told to come back.
	appointed time.Time

	granted     int
	longestWait time.Duration
}

func newClass(settings configurer.Class, index int) *class {
	return &class{
		settings:   settings,
		index:      index,
		cost:       1,
		load:       decayed{window: loadWindow},
		duration:   newLengths(),
		tokens:     newLengths(),
		firstToken: newLengths(),
		fast:       tracked{quantile: fastQuantile, perSecond: fastPerSecond},
	}
}

// slotTime is the expected time in seconds for which a request holds its slot.
func (c *class) slotTime() float64 {
	if c.duration.samples == 0 {
		return max(min(c.settings.Target, coldSlotTime).Seconds(), 0.001)
	}

	return max(c.duration.mean, 0.001)
}

func (c *class) warm() bool {
	return c.duration.samples >= warmSamples
}

// start is the expected time from sending to what the target is measured at.
func (c *class) start(kind configurer.Kind) time.Duration {
	if kind == configurer.KindPlain {
		return c.duration.high(c.settings.Target / 2)
	}

	return c.firstToken.high(c.settings.Target / 2)
}

// usualStart is the mean of what start bounds.
func (c *class) usualStart(kind configurer.Kind) time.Duration {
	if kind == configurer.KindPlain {
		return time.Duration(c.duration.mean * float64(time.Second))
	}

	return time.Duration(c.firstToken.mean * float64(time.Second))
}

// lengths keeps the histogram of one measure with its mean and 95th percentile at hand.
type lengths struct {
	histogram *hdrhistogram.Histogram
	samples   int
	mean      float64
	p95       float64
}

const (
	largestLength = int64(time.Hour / time.Microsecond)
	// refreshEvery and forgetAfter are numbers of samples. Reading a histogram
	// takes microseconds, so that not each sample does it; a histogram that
	// never forgets would not follow a class whose answers change.
	refreshEvery = 64
	forgetAfter  = 4096
)

func newLengths() lengths {
	return lengths{histogram: hdrhistogram.New(1, largestLength, 2)}
}

// record adds a time.
func (l *lengths) record(value time.Duration) {
	l.add(value.Microseconds(), 1e-6)
}

// count adds a number of tokens.
func (l *lengths) count(value int) {
	l.add(int64(value), 1)
}

func (l *lengths) add(value int64, unit float64) {
	if l.samples > 0 && l.samples%forgetAfter == 0 {
		l.histogram.Reset()
	}

	_ = l.histogram.RecordValue(min(max(value, 1), largestLength))
	l.samples++

	if l.samples%refreshEvery != 0 && (l.samples > refreshEvery || l.samples&(l.samples-1) != 0) {
		return
	}

	l.mean = l.histogram.Mean() * unit
	l.p95 = float64(l.histogram.ValueAtQuantile(95)) * unit
}

// high returns the 95th percentile of a time, or the given guess without samples.
func (l *lengths) high(guess time.Duration) time.Duration {
	if l.samples == 0 {
		return guess
	}

	return time.Duration(l.p95 * float64(time.Second))
}

// decayed is a sum that forgets exponentially.
type decayed struct {
	window time.Duration
	value  float64
	at     time.Time
}

func (d *decayed) add(now time.Time, value float64) {
	d.value = d.read(now) + value
	d.at = now
}

func (d *decayed) read(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}

	return d.value * math.Exp(-now.Sub(d.at).Seconds()/d.window.Seconds())
}

// rate is the sum per second.
func (d *decayed) rate(now time.Time) float64 {
	return d.read(now) / d.window.Seconds()
}

// tracked follows a quantile of a positive measure in constant memory. After the
// first samples the time between them weighs them: a burst of slow answers
// must not pass for the usual in a moment, however many there are.
type tracked struct {
	quantile float64
	// perSecond is the largest relative change in a second, after the first samples.
	perSecond float64
	value     float64
	samples   int
	at        time.Time
}

const (
	// trackStep is the largest relative change with each of the first samples, trackedAtFirst in number.
	trackStep      = 0.02
	trackedAtFirst = 50
	// usualPerSecond suits what is usual now. fastPerSecond suits the measures of
	// an empty server: an hour of overload raises them by less than half.
	usualPerSecond = 0.02
	fastPerSecond  = 0.002
)

func (t *tracked) add(now time.Time, sample float64) {
	if sample <= 0 {
		return
	}

	step := trackStep
	if t.samples >= trackedAtFirst {
		step = t.perSecond * min(max(now.Sub(t.at).Seconds(), 0), 1)
	}

	t.samples++
	t.at = now

	switch {
	case t.value == 0 || (sample < t.value && float64(t.samples)*t.quantile <= 1):
		// So few samples have no better guess at a low quantile than their least.
		t.value = sample
	case sample < t.value:
		t.value *= 1 - step*(1-t.quantile)
	default:
		t.value *= 1 + step*t.quantile
	}
}
