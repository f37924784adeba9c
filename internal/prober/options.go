package prober

import (
	"math"
	"time"
)

// Options are the fixed parameters of a Prober; zero values take the defaults of DefaultOptions.
type Options struct {
	// Self names this node; Leaving is ignored.
	Self VM
	// Incarnation is the start time of the process in milliseconds, so that it grows with each restart.
	// A clock that went back is mended by the peers, who tell the incarnation that they know.
	Incarnation int64
	// Seed makes the choice of peers repeatable.
	Seed uint64

	// Period is the time between two rounds of probes.
	Period time.Duration
	// ProbesPerPeriod is the number of peers probed in one round.
	ProbesPerPeriod int
	// AckTimeout is how long a direct probe waits before others are asked.
	AckTimeout time.Duration
	// IndirectTimeout is how long the indirect probes may then take.
	IndirectTimeout time.Duration
	// IndirectProbes is the number of peers asked.
	IndirectProbes int
	// MinSuspicionTimeout is the shortest time for a refutation in a fleet of up to 10 nodes; it grows by the logarithm.
	MinSuspicionTimeout time.Duration
	// FreezeThreshold is the delay of an own tick after which the node doubts itself.
	FreezeThreshold time.Duration
	// DeadProbePeriod is the time between two probes of dead nodes that the list still names.
	DeadProbePeriod time.Duration
	// DeadRetention is how long a dead node that no list names is remembered.
	DeadRetention time.Duration
	// SuppressTime keeps a node that returned twice within PenaltyHalfLife out of Live; it doubles with each return up to HoldMax.
	SuppressTime    time.Duration
	MaxSuppressTime time.Duration
	PenaltyHalfLife time.Duration
	// AddressAnnounceTime is how long after its start a node tells its addresses in each packet.
	AddressAnnounceTime time.Duration
	// UpdatesPerPacket bounds the news in a packet; one with addresses counts as three.
	UpdatesPerPacket int
	// RetransmitMultiplier times the logarithm of the node count bounds how often one piece of news is sent.
	RetransmitMultiplier int

	// LocalDigest returns the digest to send; nil sends an empty one. It is called without locks.
	LocalDigest func() Digest
	// OnDigest receives the digest of each packet accepted; nil ignores it. It is called without locks.
	OnDigest func(from string, digest Digest)
	// OnStateChange receives each member whose state changed; nil ignores it. It is called without locks.
	OnStateChange func(member Member)
}

// DefaultOptions returns the parameters that the measurements in the tests argue for.
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

// suspicionTime is the shortest time until a suspect counts as dead among n nodes.
// News needs a number of rounds that grows with the logarithm of n to reach the suspect and return.
func (o Options) suspicionTime(n int) time.Duration {
	return time.Duration(float64(o.MinSuspicionTimeout) * max(1, math.Log10(float64(max(n, 1)))))
}

// transmissions is how often one piece of news is sent among n nodes.
func (o Options) transmissions(n int) int {
	return int(math.Ceil(float64(o.RetransmitMultiplier) * math.Log10(float64(n)+1)))
}
