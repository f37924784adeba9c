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
	// ID is unique across all entries; submitting it again changes nothing.
	ID string
	// Entry is the name of the node that submits the request.
	Entry string
	// Class and Organisation are names in the settings of the service.
	Class        string
	Organisation string
	// Exclude names servers that must not be granted.
	Exclude []string
	// Waited is the time since the request arrived at its entry; it counts against the target.
	Waited time.Duration
	// Queued is the part of Waited that this attempt already spent in the queues of earlier holders; it
	// counts against MaxWait and towards moving up.
	Queued time.Duration
	// NotRepeatable protects the request from preemption, whatever its class allows.
	NotRepeatable bool
	// Spare asks only for a slot that is free now and that no request of its tier or a higher one is
	// waiting for.
	Spare bool
	// Progress is the number of tokens that earlier attempts delivered.
	Progress int
	// Prefixes are hashes of the prompt's prefixes. They only choose between equivalent servers.
	Prefixes []uint64
}

// Report holds the entry's measurements of a finished attempt.
type Report struct {
	Result dispatcher.Result
	// FirstToken is the time from sending the request to the first token or answer byte; zero if none
	// came.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; zero if fewer than two came.
	TokenGap time.Duration
	// Tokens is the number of tokens of this attempt.
	Tokens int
	// Duration is the time from sending the request to the end.
	Duration time.Duration
}

// DecisionKind is the action that a decision asks of the caller.
type DecisionKind int

const (
	// Grant gives the request a slot.
	Grant DecisionKind = iota + 1
	// Refuse ends the request's wait with a code; the request has not run.
	Refuse
	// Preempt asks the entry to cancel a running attempt and then finish its grant.
	Preempt
)

// Decision is one action for the caller to carry out.
type Decision struct {
	Kind DecisionKind
	// RequestID and Entry identify the request.
	RequestID string
	Entry     string
	// GrantID identifies the slot of a Grant or Preempt; it is unique across all holders and their
	// restarts.
	GrantID string
	// Upstream is the name of the granted server.
	Upstream string
	// Priority is passed to the engine, which serves lower values first.
	Priority int
	// Code and RetryAfter are set for a Refuse.
	Code       classifier.Code
	RetryAfter time.Duration
}

// InFlight is one running attempt as reported by its entry.
type InFlight struct {
	GrantID      string
	RequestID    string
	Entry        string
	Upstream     string
	Class        string
	Organisation string
	// NotRepeatable protects the attempt from preemption.
	NotRepeatable bool
	StartedAt     time.Time
}

// Options configure a pool. The zero value of a field means its default.
type Options struct {
	// GrantPrefix starts each grant ID; it identifies the holder and its incarnation.
	GrantPrefix string
	// EnginePriority grants tier 1 slots above the learned limit of a server that runs lower tiers, and
	// relies on the engine to pause these. Without it, running requests of lower tiers are preempted. The
	// settings of a node have their own default.
	EnginePriority bool
	// Oversubscribe is the largest number of such slots per server, at most one for each running request
	// of a lower tier. Default 4.
	Oversubscribe int
	// NoPreemption disables preemption when EnginePriority is off.
	NoPreemption bool
	// Headroom is the number of free slots that only tier 1 may use. Zero learns it from the bursts of
	// tier 1, a negative value disables it.
	Headroom int
	// HeadroomIdleTimeout is how long headroom is kept after the last tier 1 request. Default 30 s.
	HeadroomIdleTimeout time.Duration
	// MaxQueue is the largest number of waiting requests. Default 4,096.
	MaxQueue int
	// TargetFactor bounds the estimated time to the first token (plain services: to the whole answer) of a
	// queued request of tier 2 or 3, as a multiple of its target. RelaxedTargetFactor is the same for
	// lower tiers. A negative value never refuses because of a target. Tier 1 is never refused by an
	// estimate. Default 1 and 4.
	TargetFactor        float64
	RelaxedTargetFactor float64
	// NoPredictiveRefusals disables refusals based on estimates: only reaching MaxWait and a full queue
	// refuse requests.
	NoPredictiveRefusals bool
	// FixedSlots keeps the limit of each server at the slots in its settings and learns nothing.
	FixedSlots bool
	// RebuildTimeout bounds the time after a takeover in which capacity is unknown. Default 1 s.
	RebuildTimeout time.Duration
	// RebuildShare is the part of each server that lower tiers may use during that time. Zero makes them
	// wait: entries answer within milliseconds, and a slot that is granted twice stays so for a whole
	// answer.
	RebuildShare float64
	// CacheHints choose between equivalent servers; nil disables them.
	CacheHints CacheHints
	// PreemptionDelay is the time between requesting a preemption and its slot being free. Default 50 ms.
	PreemptionDelay time.Duration
}

// targetFactor returns the factor of a tier.
func (o *Options) targetFactor(tier int) float64 {
	if tier >= relaxedTier {
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
