package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// MaxServers is the largest number of servers in one pool.
const MaxServers = 32

// Request asks for one slot.
type Request struct {
	// ID is unique among the asks of all entries; submitting it again changes nothing.
	ID string
	// Entry is the name of the node that asks.
	Entry string
	// Class and Organisation are names in the settings of the service.
	Class        string
	Organisation string
	// Exclude names servers that must not be granted.
	Exclude []string
	// Waited is the time since the request arrived at its entry; it counts against the target.
	Waited time.Duration
	// Queued is the part of Waited that this attempt already spent in the queues of
	// earlier holders; it counts against MaxWait and towards moving up.
	Queued time.Duration
	// NotRepeatable keeps the request from being preempted, whatever its class says.
	NotRepeatable bool
	// Spare asks only for a slot that is free now and nobody of its tier or above waits for.
	Spare bool
	// Progress is the number of tokens that earlier attempts delivered.
	Progress int
	// Prefixes are hashes of the prompt's prefixes. They choose between servers
	// that are as good as each other, and nothing else.
	Prefixes []uint64
}

// Report is what the entry measured of a finished attempt.
type Report struct {
	Result dispatcher.Result
	// FirstToken is the time from sending to the first token or answer byte; zero if none came.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; zero if fewer than two came.
	TokenGap time.Duration
	// Tokens is the number of tokens of this attempt.
	Tokens int
	// Duration is the time from sending to the end.
	Duration time.Duration
}

// DecisionKind says what a decision asks of the driver.
type DecisionKind int

const (
	// Grant gives the request a slot.
	Grant DecisionKind = iota + 1
	// Refuse ends the request's wait with a code; it has not run.
	Refuse
	// Preempt asks the entry to cancel a running attempt and then finish its grant.
	Preempt
)

// Decision is one thing for the driver to carry out.
type Decision struct {
	Kind DecisionKind
	// RequestID and Entry name the ask.
	RequestID string
	Entry     string
	// GrantID names the slot of a Grant or Preempt; unique in the life of all holders.
	GrantID string
	// Upstream is the name of the granted server.
	Upstream string
	// Priority is what the engine is told: lower is served first.
	Priority int
	// Code and RetryAfter belong to a Refuse.
	Code       classifier.Code
	RetryAfter time.Duration
}

// InFlight is one running attempt as its entry knows it.
type InFlight struct {
	GrantID      string
	RequestID    string
	Entry        string
	Upstream     string
	Class        string
	Organisation string
	// NotRepeatable keeps the attempt from being preempted.
	NotRepeatable bool
	// StartedAt is the time at which the attempt began.
	StartedAt time.Time
}

// Options select the policy of a pool. The zero value of a field means its default.
type Options struct {
	// GrantPrefix starts each grant id; it names the holder and its incarnation.
	GrantPrefix string
	// EnginePriority grants tier 1 slots above the learned limit of a server that
	// runs lower tiers, and leaves it to the engine to set these aside. Without it, a
	// running lower tier is preempted. The default of a node stands in its settings.
	EnginePriority bool
	// Oversubscribe is the number of such slots a server, at most one for each lower answer. Default 4.
	Oversubscribe int
	// NoPreemption turns preemption off as well.
	NoPreemption bool
	// Headroom is the number of slots that only tier 1 may use. Zero means
	// learned from the bursts of tier 1, below zero means none.
	Headroom int
	// HeadroomIdleTimeout is how long after its last request tier 1 keeps the headroom. Default 30 s.
	HeadroomIdleTimeout time.Duration
	// MaxQueue is the largest number of waiting requests. Default 4,096.
	MaxQueue int
	// TargetFactor times its target is the latest estimated first token (plain services: answer)
	// at which a request of tier 2 or 3 is still queued, and RelaxedTargetFactor the same for
	// lower tiers; below zero never gives up on a target. Tier 1 never is by an
	// estimate. Default 1 and 4.
	TargetFactor        float64
	RelaxedTargetFactor float64
	// NoPredictiveRefusals turns giving up by estimates off: only MaxWait itself and the queue's length refuse.
	NoPredictiveRefusals bool
	// FixedSlots keeps each server at the slots of its settings, with nothing learned.
	FixedSlots bool
	// RebuildTimeout bounds the time after a takeover in which capacity is unknown. Default 1 s.
	RebuildTimeout time.Duration
	// RebuildShare is the part of each server that lower tiers may use during that
	// time. Zero means that they wait; entries answer within milliseconds, and a
	// slot given twice stays so for a whole answer.
	RebuildShare float64
	// CacheHints choose between servers that are as good as each other; nil means none.
	CacheHints CacheHints
	// PreemptionDelay is the time that a cancel takes until its slot is free. Default 50 ms.
	PreemptionDelay time.Duration
}

// lateFactor is the factor that holds for a tier.
func (o *Options) lateFactor(tier int) float64 {
	if tier >= patientTier {
		return o.RelaxedTargetFactor
	}

	return o.TargetFactor
}

func (o Options) withDefaults() Options {
	if o.HeadroomIdleTimeout == 0 {
		o.HeadroomIdleTimeout = 30 * time.Second
	}

	if o.Oversubscribe == 0 {
		o.Oversubscribe = 4
	}

	if o.MaxQueue == 0 {
		o.MaxQueue = 4096
	}

	if o.TargetFactor == 0 {
		o.TargetFactor = 1
	}

	if o.RelaxedTargetFactor == 0 {
		o.RelaxedTargetFactor = 4
	}

	if o.RebuildTimeout == 0 {
		o.RebuildTimeout = time.Second
	}

	if o.PreemptionDelay == 0 {
		o.PreemptionDelay = 50 * time.Millisecond
	}

	return o
}
