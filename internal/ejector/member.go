package ejector

import (
	"math"
	"time"
)

// maxDoublings limits how often the duration of an ejection is doubled, so that it does not overflow.
const maxDoublings = 16

type memberState int

const (
	stateHealthy memberState = iota
	stateEjected
	stateProbation
)

type signalKind int

const (
	signalFirstToken signalKind = iota
	signalTokenGap
	signalCount
)

// member is one upstream of a pool.
type member struct {
	state memberState
	// stateSince is the time at which the member entered its state.
	stateSince time.Time
	// ejectedUntil is the end of the last ejection.
	ejectedUntil time.Time
	// ejectedAsSlow is true if the reason for the last ejection was slowness rather than failures.
	ejectedAsSlow bool
	// ejections is the number of ejections since the weight was last 1.
	ejections           int
	consecutiveFailures int
	// latencies holds the statistics of each class by its name.
	latencies map[string]*[signalCount]decayingLogMean
}

func newMember() *member {
	return &member{latencies: make(map[string]*[signalCount]decayingLogMean)}
}

func (m *member) latenciesOf(name string) *[signalCount]decayingLogMean {
	latencies := m.latencies[name]
	if latencies == nil {
		latencies = new([signalCount]decayingLogMean)
		m.latencies[name] = latencies
	}

	return latencies
}

// advance updates the state to now and reports whether the member became healthy.
func (m *member) advance(now time.Time, options Options) bool {
	if m.state == stateEjected && !now.Before(m.ejectedUntil) {
		m.startProbation(m.ejectedUntil)
	}

	if m.state != stateProbation || now.Before(m.stateSince.Add(options.Probation)) {
		return false
	}

	m.state = stateHealthy
	m.stateSince = now
	m.ejections = 0

	return true
}

// startProbation discards earlier samples, because they would cause another ejection immediately.
func (m *member) startProbation(now time.Time) {
	m.state = stateProbation
	m.stateSince = now
	m.consecutiveFailures = 0
	clear(m.latencies)
}

func (m *member) eject(now time.Time, options Options, asSlow bool) {
	duration := options.MinEjection << min(m.ejections, maxDoublings)

	m.state = stateEjected
	m.stateSince = now
	m.ejectedUntil = now.Add(min(duration, options.MaxEjection))
	m.ejectedAsSlow = asSlow
	m.ejections++
	clear(m.latencies)
}

func (m *member) weight(now time.Time, options Options) float64 {
	switch m.state {
	case stateEjected:
		return 0
	case stateProbation:
		progress := float64(now.Sub(m.stateSince)) / float64(options.Probation)

		return options.InitialWeight + (1-options.InitialWeight)*max(progress, 0)
	default:
		return 1
	}
}

// requiredWeight returns the total weight of samples that is required to compare the member.
func (m *member) requiredWeight(options Options) float64 {
	if m.state == stateProbation {
		return probationSampleFraction * options.MinSampleWeight
	}

	return options.MinSampleWeight
}

// decayingLogMean is an exponentially decaying mean of logarithms. Logarithms prevent one long prompt from outweighing many
// ordinary ones.
type decayingLogMean struct {
	weight    float64
	sum       float64
	updatedAt time.Time
}

func (s *decayingLogMean) add(now time.Time, value, halfLife time.Duration) {
	if value <= 0 {
		return
	}

	decay := s.decay(now, halfLife)
	s.weight = s.weight*decay + 1
	s.sum = s.sum*decay + math.Log(value.Seconds())
	s.updatedAt = now
}

// meanAndWeight returns the mean and its weight, in new samples.
func (s *decayingLogMean) meanAndWeight(now time.Time, halfLife time.Duration) (mean, weight float64) {
	if s.weight == 0 {
		return 0, 0
	}

	return s.sum / s.weight, s.weight * s.decay(now, halfLife)
}

func (s *decayingLogMean) decay(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(now.Sub(s.updatedAt), 0)) / float64(halfLife))
}
