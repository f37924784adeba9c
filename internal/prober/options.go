package prober

import (
	"math"
	"time"
)

// Options are the parameters of a Prober; zero values are replaced by those of DefaultOptions.
type Options struct {
	// Self describes this node; its Leaving is ignored.
	Self VM
	// Incarnation is the start time of the process in Unix milliseconds, so that it grows with each restart.
	// If the clock went backwards, peers report the incarnation that they know and the node exceeds it.
	Incarnation int64
	// Seed makes the random choice of peers reproducible.
	Seed uint64

	// Period is the interval between rounds of probes.
	Period time.Duration
	// ProbesPerPeriod is the number of peers probed in one round.
	ProbesPerPeriod int
	// AckTimeout is how long a direct probe waits for its ack before indirect probes are sent.
	AckTimeout time.Duration
	// IndirectTimeout is how long the indirect probes may take after that.
	IndirectTimeout time.Duration
	// IndirectProbes is the number of peers asked to probe an unresponsive target.
	IndirectProbes int
	// MinSuspicionTimeout is the shortest time allowed for a refutation among up to 10 nodes; it grows with the logarithm of the node count.
	MinSuspicionTimeout time.Duration
	// FreezeThreshold is the time without any event after which the node assumes that its own process was paused.
	FreezeThreshold time.Duration
	// DeadProbePeriod is the interval between probes of dead nodes that are still listed.
	DeadProbePeriod time.Duration
	// DeadRetention is how long a dead node that is not listed is kept.
	DeadRetention time.Duration
	// SuppressTime is how long Live omits a node that returned twice within PenaltyHalfLife; it doubles with each return up to MaxSuppressTime.
	SuppressTime    time.Duration
	MaxSuppressTime time.Duration
	PenaltyHalfLife time.Duration
	// AddressAnnounceTime is how long after its start a node includes its addresses in each packet.
	AddressAnnounceTime time.Duration
	// UpdatesPerPacket limits the updates in a packet; one with addresses counts as three.
	UpdatesPerPacket int
	// RetransmitMultiplier times the logarithm of the node count limits how often an update is sent.
	RetransmitMultiplier int

	// LocalDigest returns the digest to send; if nil, an empty one is sent. It is called without locks held.
	LocalDigest func() Digest
	// OnDigest is called with the digest of each accepted packet, without locks held; it may be nil.
	OnDigest func(from string, digest Digest)
	// OnStateChange is called with each member whose state changed, without locks held; it may be nil.
	OnStateChange func(member Member)
}

// DefaultOptions returns the default parameters; TestProber_Figures and TestProber_LossFigures measure their effect.
func DefaultOptions() Options {
	return Options{
		Period:               500 * time.Millisecond,
		ProbesPerPeriod:      1,
		AckTimeout:           150 * time.Millisecond,
		IndirectTimeout:      300 * time.Millisecond,
		IndirectProbes:       3,
		MinSuspicionTimeout:  time.Second,
		FreezeThreshold:      time.Second,
		DeadProbePeriod:      5 * time.Second,
		DeadRetention:        time.Minute,
		SuppressTime:         4 * time.Second,
		MaxSuppressTime:      time.Minute,
		PenaltyHalfLife:      5 * time.Minute,
		AddressAnnounceTime:  30 * time.Second,
		UpdatesPerPacket:     12,
		RetransmitMultiplier: 4,
	}
}

func (o Options) withDefaults() Options {
	defaults := DefaultOptions()
	for _, d := range []struct{ value, fallback *time.Duration }{
		{&o.Period, &defaults.Period},
		{&o.AckTimeout, &defaults.AckTimeout},
		{&o.IndirectTimeout, &defaults.IndirectTimeout},
		{&o.MinSuspicionTimeout, &defaults.MinSuspicionTimeout},
		{&o.FreezeThreshold, &defaults.FreezeThreshold},
		{&o.DeadProbePeriod, &defaults.DeadProbePeriod},
		{&o.DeadRetention, &defaults.DeadRetention},
		{&o.SuppressTime, &defaults.SuppressTime},
		{&o.MaxSuppressTime, &defaults.MaxSuppressTime},
		{&o.PenaltyHalfLife, &defaults.PenaltyHalfLife},
		{&o.AddressAnnounceTime, &defaults.AddressAnnounceTime},
	} {
		if *d.value <= 0 {
			*d.value = *d.fallback
		}
	}

	for _, d := range []struct{ value, fallback *int }{
		{&o.ProbesPerPeriod, &defaults.ProbesPerPeriod},
		{&o.IndirectProbes, &defaults.IndirectProbes},
		{&o.UpdatesPerPacket, &defaults.UpdatesPerPacket},
		{&o.RetransmitMultiplier, &defaults.RetransmitMultiplier},
	} {
		if *d.value <= 0 {
			*d.value = *d.fallback
		}
	}

	return o
}

// minSuspicionTimeout is the shortest time until a suspect is considered dead among n nodes.
// A suspicion takes O(log n) rounds to reach the suspect, and so does the refutation on its way back.
func (o Options) minSuspicionTimeout(n int) time.Duration {
	return time.Duration(float64(o.MinSuspicionTimeout) * max(1, math.Log10(float64(max(n, 1)))))
}

// maxTransmissions is how often an update is sent among n nodes.
func (o Options) maxTransmissions(n int) int {
	return int(math.Ceil(float64(o.RetransmitMultiplier) * math.Log10(float64(n)+1)))
}
