// Package orderer brings engines into the state that the settings tree desires:
// models, adapters and role.
//
// One node at a time orders the engines of a service, under a lease of the
// platform and with a fencing number that only grows. A lease can end while its
// holder is paused, and the holder may then act as if it still had it. Three
// things guard against that: the holder looks at its own clock before each
// order; an engine that checks the number refuses the orders of earlier
// holders; and, for engines that ignore it, orders are desired states that a
// later holder reads back and corrects, after it has waited out the longest
// pause allowed for. Nothing of serving depends on any of it.
package orderer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/storer"
)

// ErrFenced means that an engine has seen a higher fencing number.
var ErrFenced = errors.New("the engine refused the fencing number")

// Kind names what an order changes.
type Kind string

// Kinds of orders, in the words of the engines.
const (
	LoadModel     Kind = "load_model"
	UnloadModel   Kind = "unload_model"
	LoadAdapter   Kind = "load_adapter"
	UnloadAdapter Kind = "unload_adapter"
	SetRole       Kind = "set_role"
)

// Order is one idempotent change of an engine's state.
type Order struct {
	Kind Kind
	// Name is the model, the adapter or the role.
	Name string
}

func (o Order) loads() bool {
	return o.Kind == LoadModel || o.Kind == LoadAdapter
}

func (o Order) unloads() bool {
	return o.Kind == UnloadModel || o.Kind == UnloadAdapter
}

// State is what an engine says that it holds.
type State struct {
	Models   []string
	Adapters []string
	Role     string
	// HighestFencing is the highest fencing number that the engine has seen; 0 when it does not tell.
	HighestFencing int64
}

// Engines reads engines and sends them orders.
type Engines interface {
	State(ctx context.Context, upstream configurer.Upstream) (State, error)
	// ActiveRequests returns the number of requests that run or wait at the engine, all nodes' together.
	ActiveRequests(ctx context.Context, upstream configurer.Upstream) (int, error)
	// Send returns ErrFenced for an order that the engine refused for its number.
	// Any other error leaves open whether the order takes effect, now or later.
	Send(ctx context.Context, upstream configurer.Upstream, order Order, number int64) error
}

// Settings gives the service as the settings tree in force has it.
type Settings interface {
	Service(name string) (configurer.Service, bool)
}

// Candidates says whether this node is the one that should order a service's
// engines. It only avoids contention: two candidates break nothing.
type Candidates interface {
	IsCandidate(service string) bool
}

// Counters count what orderers do. They may be shared.
type Counters struct {
	// Sent counts orders that left, RefusedByFencing those of them that an engine refused for the number.
	Sent             atomic.Int64
	RefusedByFencing atomic.Int64
	// SendFailed counts orders without a good answer; ReadBackDiffered those that the engine's state did not show.
	SendFailed         atomic.Int64
	ReadBackMismatches atomic.Int64
	// NotSent counts orders that were due when the lease had ended.
	NotSent atomic.Int64
	// LoadsDeferred counts looks at a load that the weight store's limits held back.
	LoadsDeferred atomic.Int64
	// CrashingDeferred counts looks at an order that was held back since engines went down under it.
	CrashingDeferred atomic.Int64
	// UnloadsDeferred counts looks at an unload that would have removed the last copy.
	UnloadsDeferred atomic.Int64
	// ServicesHeld is the number of services that are ordered now.
	ServicesHeld atomic.Int64
	// TermsAcquired counts fencing numbers taken, TermsLost leases that ended before they were given up.
	TermsAcquired atomic.Int64
	TermsLost     atomic.Int64
}

// Options are the parts and fixed settings of an Orderer. A zero duration or rate means its default.
type Options struct {
	Service string
	// Node and Incarnation name this run of this node; no two runs share both.
	Node        string
	Incarnation string

	Store      fencer.Store
	Engines    Engines
	Settings   Settings
	Candidates Candidates
	Counters   *Counters

	// CallTimeout bounds one call of the store or of an engine; 2 s by default.
	CallTimeout time.Duration
	// ReconcileInterval is the time between two looks at all engines; 2 s by default.
	ReconcileInterval time.Duration
	// MaxReadsPerSecond stretches ReconcileInterval for services with many engines; 4 by default.
	MaxReadsPerSecond float64
}

// Defaults of what the settings tree may leave out.
const (
	DefaultLease          = 10 * time.Second
	DefaultLongestPause   = 30 * time.Second
	DefaultLoadTimeout    = 5 * time.Minute
	DefaultLoadsPerMinute = 6
	DefaultLoadsAtOnce    = 2

	defaultCallTimeout       = 2 * time.Second
	defaultReconcileInterval = 2 * time.Second
	defaultMaxReadsPerSecond = 4
)

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}

	if o.ReconcileInterval == 0 {
		o.ReconcileInterval = defaultReconcileInterval
	}

	if o.MaxReadsPerSecond == 0 {
		o.MaxReadsPerSecond = defaultMaxReadsPerSecond
	}

	return o
}

// boundsOf returns the bounds of a service's orders with the defaults in place of zeros.
func boundsOf(service configurer.Service) configurer.Orders {
	bounds := service.Orders

	if bounds.Lease == 0 {
		bounds.Lease = DefaultLease
	}

	// The store counts whole seconds.
	bounds.Lease = time.Duration(storer.LeaseSeconds(bounds.Lease)) * time.Second

	if bounds.LongestPause == 0 {
		bounds.LongestPause = DefaultLongestPause
	}

	if bounds.LoadTimeout == 0 {
		bounds.LoadTimeout = DefaultLoadTimeout
	}

	if bounds.LoadsPerMinute == 0 {
		bounds.LoadsPerMinute = DefaultLoadsPerMinute
	}

	if bounds.LoadsAtOnce == 0 {
		bounds.LoadsAtOnce = DefaultLoadsAtOnce
	}

	return bounds
}

// Map returns the counters by their names.
func (c *Counters) Map() map[string]int64 {
	return map[string]int64{
		"orders_sent":                c.Sent.Load(),
		"orders_refused_by_fencing":  c.RefusedByFencing.Load(),
		"orders_failed":              c.SendFailed.Load(),
		"orders_not_sent_lease_over": c.NotSent.Load(),
		"read_backs_differed":        c.ReadBackMismatches.Load(),
		"loads_held_back":            c.LoadsDeferred.Load(),
		"crashing_held_back":         c.CrashingDeferred.Load(),
		"unloads_held_back":          c.UnloadsDeferred.Load(),
		"services_held":              c.ServicesHeld.Load(),
		"terms_taken":                c.TermsAcquired.Load(),
		"terms_lost":                 c.TermsLost.Load(),
	}
}
