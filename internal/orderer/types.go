// Package orderer reconciles engines with the desired state in the settings tree: models, adapters and role.
//
// One node at a time sends orders to the engines of a service. It holds a lease in the platform's store and a fencing
// number that increases monotonically. A lease can expire while its holder is paused, and the holder may then act as if it
// still had it. Three mechanisms guard against that: the holder checks its own clock before each order; an engine that
// checks fencing numbers refuses the orders of earlier holders; and for engines that ignore the number, orders are desired
// states, which a later holder reads back and corrects after it has waited for the longest pause that is allowed for.
// Serving requests doesn't depend on this package.
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

// ErrFenced means that an engine refused an order because it has seen a higher fencing number.
var ErrFenced = errors.New("the engine refused the fencing number")

// Kind is the kind of an order: what it changes and how.
type Kind string

// Kinds of orders, with their names in the engines' interface.
const (
	LoadModel     Kind = "load_model"
	UnloadModel   Kind = "unload_model"
	LoadAdapter   Kind = "load_adapter"
	UnloadAdapter Kind = "unload_adapter"
	SetRole       Kind = "set_role"
)

// Order is an idempotent change of an engine's state.
type Order struct {
	Kind Kind
	// Name is the name of the model, adapter or role.
	Name string
}

func (o Order) isLoad() bool {
	return o.Kind == LoadModel || o.Kind == LoadAdapter
}

func (o Order) isUnload() bool {
	return o.Kind == UnloadModel || o.Kind == UnloadAdapter
}

// State is the state that an engine reports: what it has loaded, and its role.
type State struct {
	Models   []string
	Adapters []string
	Role     string
	// HighestFencing is the highest fencing number that the engine has seen; 0 if it doesn't report it.
	HighestFencing int64
}

// Engines reads the states of engines and sends them orders.
type Engines interface {
	State(ctx context.Context, upstream configurer.Upstream) (State, error)
	// ActiveRequests returns the number of requests that run or wait at the engine, from all nodes.
	ActiveRequests(ctx context.Context, upstream configurer.Upstream) (int, error)
	// Send returns ErrFenced if the engine refused the order for its fencing number. After any other error the order may
	// or may not take effect, now or later.
	Send(ctx context.Context, upstream configurer.Upstream, order Order, fencingNumber int64) error
}

// Settings returns services from the settings tree in force.
type Settings interface {
	Service(name string) (configurer.Service, bool)
}

// Candidates reports whether this node is the one that should send orders to a service's engines. It only avoids
// contention: correctness doesn't depend on there being one candidate.
type Candidates interface {
	IsCandidate(service string) bool
}

// Counters are counters of orderers. Several orderers may share them.
type Counters struct {
	// Sent counts orders sent, RefusedByFencing those of them that an engine refused for the fencing number.
	Sent             atomic.Int64
	RefusedByFencing atomic.Int64
	// SendFailed counts orders that failed or got no response. ReadBackMismatches counts orders that were accepted but not
	// reflected in the engine's state, and loads that timed out.
	SendFailed         atomic.Int64
	ReadBackMismatches atomic.Int64
	// NotSent counts orders that were due but not sent: the lease had ended, or the loads could not be recorded.
	NotSent atomic.Int64
	// LoadsDeferred counts how often a load was deferred by the limits for the weight store.
	LoadsDeferred atomic.Int64
	// CrashingDeferred counts how often an order was deferred because it crashes engines.
	CrashingDeferred atomic.Int64
	// UnloadsDeferred counts how often an unload was deferred: it would have removed the last copy, or another engine was
	// unloading before it loads.
	UnloadsDeferred atomic.Int64
	// ServicesHeld is the number of services for which a term is held now.
	ServicesHeld atomic.Int64
	// TermsAcquired counts terms acquired, TermsLost those that ended before they were released.
	TermsAcquired atomic.Int64
	TermsLost     atomic.Int64
}

// Options configures an Orderer. A zero duration or rate means its default.
type Options struct {
	Service string
	// Node and Incarnation identify this run of this node; no two runs have both in common.
	Node        string
	Incarnation string

	Store      fencer.Store
	Engines    Engines
	Settings   Settings
	Candidates Candidates
	Counters   *Counters

	// CallTimeout is the timeout of one call to the store or to an engine; 2 s by default.
	CallTimeout time.Duration
	// ReconcileInterval is the time between two rounds of reconciliation; 2 s by default.
	ReconcileInterval time.Duration
	// MaxReadsPerSecond is the maximum rate of reads of engines' states. It lengthens ReconcileInterval for services with
	// many engines; 4 by default.
	MaxReadsPerSecond float64
}

// Defaults of the settings that the settings tree may leave out.
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

// ordersWithDefaults returns a service's settings for orders, with defaults in place of zeros.
func ordersWithDefaults(service configurer.Service) configurer.Orders {
	bounds := service.Orders

	if bounds.Lease == 0 {
		bounds.Lease = DefaultLease
	}

	// The store supports only whole seconds.
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

// Map returns the values of the counters by their published names.
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
