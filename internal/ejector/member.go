package ejector

import (
	"math"
	"time"
)

// maxDoublings bounds how often the length of an ejection is doubled, so that it can't overflow.
const maxDoublings = 16

type memberState int

const (
	stateHealthy memberState = iota
	stateEjected
	stateProbation
)

type signalKind int

const (
	signalFirst signalKind = iota
	signalGap
	signalCount
)

// member is one upstream of a pool.
type member struct {
	state memberState
	// since is when the state began.
	since time.Time
	// until is the end of an ejection.
	until time.Time
	// slow says that the last ejection was for slowness rather than failures.
	slow bool
	// strikes counts ejections since the member last had its full share.
	strikes int
	// failures counts failures in a row.
	failures int
	times    map[string]*[signalCount]signal
}

func newMember() *member {
	return &member{times: make(map[string]*[signalCount]signal)}
}

func (m *member) class(name string) *[signalCount]signal {
	times := m.times[name]
	if times == nil {
		times = new([signalCount]signal)
		m.times[name] = times
	}

	return times
}

// refresh moves the state on with time and says whether the member got its full share back.
func (m *member) refresh(now time.Time, options Options) bool {
	if m.state == stateEjected && !now.Before(m.until) {
		m.admit(m.until)
	}

	if m.state != stateProbation || now.Before(m.since.Add(options.Probation)) {
		return false
	}

	m.state = stateHealthy
	m.since = now
	m.strikes = 0

	return true
}

// admit starts probation. Samples from before are dropped: they would eject the member again at once.
func (m *member) admit(now time.Time) {
	m.state = stateProbation
	m.since = now
	m.failures = 0
	clear(m.times)
}

func (m *member) eject(now time.Time, options Options, slow bool) {
	length := options.MinEjection << min(m.strikes, maxDoublings)

	m.state = stateEjected
	m.since = now
	m.until = now.Add(min(length, options.MaxEjection))
	m.slow = slow
	m.strikes++
	clear(m.times)
}

func (m *member) weight(now time.Time, options Options) float64 {
	switch m.state {
	case stateEjected:
		return 0
	case stateProbation:
		grown := float64(now.Sub(m.since)) / float64(options.Probation)

		return options.InitialWeight + (1-options.InitialWeight)*max(grown, 0)
	default:
		return 1
	}
}

// needed is the weight of samples that it takes to judge the member.
func (m *member) needed(options Options) float64 {
	if m.state == stateProbation {
		return probationSampleShare * options.MinSampleWeight
	}

	return options.MinSampleWeight
}

// signal is a mean of logarithms in which old samples fade. The logarithm keeps
// one long prompt from outweighing many ordinary ones.
type signal struct {
	weight float64
	sum    float64
	at     time.Time
}

func (s *signal) add(now time.Time, value, halfLife time.Duration) {
	if value <= 0 {
		return
	}

	fade := s.fade(now, halfLife)
	s.weight = s.weight*fade + 1
	s.sum = s.sum*fade + math.Log(value.Seconds())
	s.at = now
}

// read returns the mean and how many fresh samples it is worth.
func (s *signal) read(now time.Time, halfLife time.Duration) (mean, weight float64) {
	if s.weight == 0 {
		return 0, 0
	}

	return s.sum / s.weight, s.weight * s.fade(now, halfLife)
}

func (s *signal) fade(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(now.Sub(s.at), 0)) / float64(halfLife))
}
