package relayer

import (
	"context"
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/throttler"
)

// Chooser chooses upstreams and tracks the requests sent to them.
type Chooser interface {
	// Choose returns an upstream of the service, or false if none can accept the request.
	Choose(ctx context.Context, service string, request balancer.Request) (balancer.Choice, bool)
	// RecordFirstEvent records that a response started, with the load that the upstream reported, or nil.
	RecordFirstEvent(id string, load *balancer.Load)
	// RecordLoad records the load that the upstream reported in a response that isn't a stream. It is called before RecordEnd.
	RecordLoad(id string, load balancer.Load)
	// RecordGaps records the gaps between the events of a complete stream. It is called before RecordEnd.
	RecordGaps(id string, pauses balancer.EventGaps)
	RecordEnd(id string, outcome balancer.Outcome)
	// MarkLeaving records that the request's upstream announced its shutdown. It is called before RecordEnd.
	MarkLeaving(id string)
	// MarkResting records that the request's upstream asked for a pause. It is called before RecordEnd.
	MarkResting(id string, rest time.Duration)
	// RecordRateLimit records what a response to the request says of its upstream's rate limit: the requests per second that
	// it names, if it names one. It returns the limit and whether it changed. It is called before RecordEnd.
	RecordRateLimit(id string, rate float64, named bool) (throttler.Limit, bool)
	// RecordBrittle records whether a response to the request says that its upstream is brittle, and how many requests that
	// can reject in a second. It returns whether that changed. It is called before RecordEnd.
	RecordBrittle(id string, rejections int, named bool) bool
	// MayUse reports whether a choice complies with the rate limit of its upstream.
	MayUse(choice balancer.Choice) bool
}

// Quarantine blocks requests that crash upstreams.
type Quarantine interface {
	// Check reports whether a request may run. One that was admitted as a trial passes the verdict's Trial when it is checked again.
	Check(traits quarantiner.Traits, trial quarantiner.Key) (quarantiner.Verdict, bool)
	// ReturnTrial gives back a trial that reached no upstream.
	ReturnTrial(trial quarantiner.Key)
	// IsSuspected reports whether requests with one of the prompt parts probably crash upstreams. brokeAt is when this one broke off.
	IsSuspected(parts []quarantiner.Part, brokeAt []time.Time) bool
	// Answered records that an upstream responded to the request completely, and successfully.
	Answered(traits quarantiner.Traits, service string)
	// AnsweredUntilClose records the same of a response that ended with its connection, which a crash may have ended.
	AnsweredUntilClose(run quarantiner.Run)
	// Alive records that an upstream sent something, Unreachable that it took no connection.
	Alive(upstream string)
	Unreachable(upstream string)
	// Failed records that an upstream responded to the request with an error.
	Failed(traits quarantiner.Traits)
	// Survived records that an upstream has been responding to the request for survivalTime.
	Survived(traits quarantiner.Traits, service string)
	// Broke records that the connection failed while the upstream may have been running the request.
	Broke(run quarantiner.Run)
}

// Usage counts started requests by organisation.
type Usage interface {
	// Count counts a request that started running the given time ago.
	Count(organisation string, ago time.Duration)
}

// Pins remembers for all nodes which software version began each resumable stream.
type Pins interface {
	// Record records what began a stream. The time limit is that of the request that delivers it.
	Record(key pinner.Key, origin pinner.Origin, timeLimit time.Duration)
	// Find returns what began a stream, as far as nodes know.
	Find(ctx context.Context, key pinner.Key) (pinner.Origin, pinner.Finding)
	// Archived returns what began a stream by the records that outlast all nodes.
	Archived(ctx context.Context, key pinner.Key) (pinner.Origin, pinner.Finding)
	// Sole returns what began any stream of a service, if its upstreams had only one software version all the while.
	Sole(ctx context.Context, service string) (pinner.Origin, pinner.Finding)
	// MayBeNew reports whether upstreams of a version that this node doesn't list may be known to other nodes first.
	MayBeNew(origin pinner.Origin) bool
}

// Options configure a Relayer. All fields are required, except Paused.
type Options struct {
	Headers Headers
	Catalog *cataloguer.Catalog
	// Table returns the routes in force, nil before the first configuration.
	Table       func() *router.Table
	Chooser     Chooser
	Dialer      *dialer.Dialer
	RetryBudget *budgeter.Budgeter
	// Quarantine identifies requests by their content.
	Quarantine Quarantine
	Usage      Usage
	Pins       Pins
	// MaxKeyAge returns the maximum age of the configuration at which its API keys are still accepted.
	MaxKeyAge func() time.Duration
	// LeavingFor returns how long ago the node's graceful shutdown started, or zero if it hasn't.
	LeavingFor func() time.Duration
	// LeavingGrace is how long after the start of a graceful shutdown requests are still accepted.
	LeavingGrace time.Duration
	// Paused returns for how long the process has stood still in all. Silences of upstreams don't count that time. nil means never.
	Paused func() time.Duration
	// MaxBodyMemory limits the bytes of all request bodies, buffered responses and events in memory.
	MaxBodyMemory int64
	// Meter counts requests by route; FailedAttempts counts failed attempts by result.
	Meter          *meter.Meter
	FailedAttempts *expvar.Map
	Logger         zerolog.Logger
}
