// Package gateway runs a node that relays HTTP requests by the routes in the
// platform's store. It joins the decision packages below it to listeners, peers
// and upstreams.
package gateway

import (
	"context"
	"expvar"
	"math"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/gateway/apportioner"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/follower"
	"quincepath.example/quincepath/internal/gateway/leader"
	"quincepath.example/quincepath/internal/gateway/relayer"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/messenger"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/internal/prober"
	"quincepath.example/quincepath/internal/quarantiner"
)

const (
	// keyMargin is the part of a key's lifetime after which it is not honoured without a newer proof.
	keyMargin = 0.9
	// memoryPart is the part of the VM's memory that the runtime may fill before it collects harder.
	// The rest is for stacks, buffers of the system and bytes that wait unread in sockets.
	memoryPart = 0.65
	// collectPercent is how much the heap may grow between collections. The processor is idle, while
	// memory is paid for at its peak.
	collectPercent = 40
	// bodyPart is the part of the memory that request bodies may take.
	bodyPart = 0.15
	// megabyte is the unit of the settings for memory, in bytes.
	megabyte = 1 << 20
	// defaultBodyMemory is used where the VM's memory isn't set.
	defaultBodyMemory = 64 << 20
	// lastRequests is how long after the begin of a planned stop requests are still taken. Callers keep
	// an entries answer up to three times as long as it says.
	lastRequests = 2800 * time.Millisecond
	// stopPart is the part of the drain time after which the node ends what still runs.
	stopPart = 0.93
	// stopTick is how often a stopping node looks whether it may end.
	stopTick = 50 * time.Millisecond
	// linkPerCore is the bandwidth in Mbit/s that a node with one core can use: messages of 300 bytes at 40 us each.
	linkPerCore = 60.0
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
)

// Protocol is what the gateway speaks to callers, upstreams and the platform beside HTTP itself.
type Protocol struct {
	Headers relayer.Headers
	// ReadyPath answers 200 while the node takes requests.
	ReadyPath string
	// EntriesPath answers which nodes to use.
	EntriesPath string
	// EncodeEntries makes the answer of EntriesPath.
	EncodeEntries func(addresses []string, keep time.Duration) ([]byte, error)
}

// Store is the platform's store, as a node uses it.
type Store interface {
	follower.Store
	quarantiner.Recorder
	// RecordFirstNode records the node as the first one that the deployment ever had; false if there was one before.
	RecordFirstNode(ctx context.Context, name string) (bool, error)
}

// DutyBackends are the parts for what one node at a time does for all; they are used only where the settings name duties.
type DutyBackends struct {
	Store    fencer.Store
	Platform leader.Platform
}

// Node is one running gateway.
type Node struct {
	// settings are those of the start; current are the same with what was reloaded since.
	settings loader.Settings
	current  atomic.Pointer[loader.Settings]
	protocol Protocol
	logger   zerolog.Logger

	catalog  *cataloguer.Catalog
	table    atomic.Pointer[router.Table]
	follower *follower.Follower
	broker   *broker.Broker
	dialer   *dialer.Dialer
	relayer  *relayer.Relayer
	acceptor *acceptor.Acceptor
	budget   *budgeter.Budgeter
	// apportioner tells this node's part of the extra attempts that all nodes share.
	apportioner *apportioner.Apportioner
	// quarantine keeps requests that crash upstreams from running.
	quarantine *quarantiner.Quarantiner
	meter      *meter.Meter
	// tallier counts the usage of organisations; leader carries out the platform's duties, nil if there are none.
	tallier *tallier.Tallier
	leader  *leader.Leader
	// attempts counts failed attempts by their result.
	attempts *expvar.Map

	messages   *messenger.Messenger
	prober     *prober.Prober
	heartbeats *heartbeater.Heartbeater
	// starts holds when each listed upstream was born; only followCatalog uses it.
	starts map[string]int64
	// store records the first node of the deployment; started says that a registry was seen. Only followCatalog uses them.
	store   Store
	started bool
	// leavingAt is when the planned stop began, by the catalog's clock; 0 before.
	leavingAt atomic.Int64
}

// Run serves until ctx ends and the planned stop is over.
func Run(ctx context.Context, settings loader.Settings, store Store, duties DutyBackends, protocol Protocol, logger zerolog.Logger) error {
	node := newNode(settings, store, protocol, logger)
	node.addDuties(duties)

	return node.run(ctx)
}

func newNode(settings loader.Settings, store Store, protocol Protocol, logger zerolog.Logger) *Node {
	bodyMemory := int64(defaultBodyMemory)

	debug.SetGCPercent(collectPercent)

	if limit := settings.Gateway.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(limit * megabyte * memoryPart))
		bodyMemory = int64(limit * megabyte * bodyPart)
	}

	n := &Node{
		settings: settings,
		protocol: protocol,
		store:    store,
		logger:   logger,
		catalog:  cataloguer.New(sinceBoot),
		dialer:   dialer.New(mostConnections(settings.Gateway.Descriptors)),
		meter:    meter.New(),
		attempts: new(expvar.Map),
	}

	n.current.Store(&settings)
	n.apportioner = apportioner.New(apportioner.Options{
		Self:       settings.Node.PeerListen,
		MaxListAge: settings.Gateway.RetryWindow,
		Retention:  budgeter.Retention(settings.Gateway.RetryWindow),
		Now:        n.catalog.Now,
	})
	n.acceptor = acceptor.New(mostConnections(settings.Gateway.Descriptors), n.callerTimes)
	n.prober = n.newProber()
	n.messages = messenger.New(messenger.Options{
		Self:       settings.Node.PeerListen,
		Credential: settings.Peers.Credential,
		// Peers are named by their address.
		Joined: func(name string) (string, bool) { return name, true },
		Logger: logger,
	})

	n.budget = budgeter.New(budgeter.Options{
		Ratio:  settings.Gateway.RetryRatio,
		Extra:  settings.Gateway.RetryExtra,
		Window: settings.Gateway.RetryWindow,
		Share:  func() float64 { return n.apportioner.Share(n.catalog.RegistryAge()) },
		Now:    n.catalog.Now,
		Self:   settings.Node.PeerListen,
		Live:   n.live,
		Peers:  n.messages,
		Logger: logger,
	})
	n.messages.Handle(budgeter.MethodBorrow, n.budget.HandleBorrow)

	n.broker = broker.New(broker.Options{
		Self:   settings.Node.PeerListen,
		Live:   n.holders,
		Peers:  n.messages,
		Logger: logger,
	})
	n.messages.Handle(broker.MethodChoose, n.broker.HandleChoose)
	n.messages.Handle(broker.MethodReport, n.broker.HandleReport)

	n.follower = follower.New(follower.Options{
		Catalog:       n.catalog,
		Store:         store,
		Peers:         n.messages,
		Self:          n.self(),
		Seeds:         func() []string { return n.current.Load().Gateway.Seeds },
		LiveNodes:     n.live,
		DepartedNodes: n.gone,
		Logger:        logger,
	})
	n.messages.Handle(follower.MethodPull, n.follower.HandlePull)
	n.messages.Handle(follower.MethodChanged, n.follower.HandleChanged)
	n.messages.Handle(follower.MethodAnnounce, n.follower.HandleAnnounce)
	n.messages.Handle(follower.MethodReadStore, n.follower.HandleReadStore)

	n.quarantine = quarantiner.New(quarantiner.Options{
		Self:                  settings.Node.PeerListen,
		Live:                  n.live,
		CoordinatorCandidates: n.holders,
		Peers:                 n.messages,
		IsDown:                n.isDown,
		Recorder:              store,
		Logger:                logger,
	})
	n.messages.Handle(quarantiner.MethodReport, n.quarantine.HandleReport)
	n.messages.Handle(quarantiner.MethodQueryAnswered, n.quarantine.HandleQueryAnswered)
	n.messages.Handle(quarantiner.MethodQuarantine, n.quarantine.HandleQuarantine)

	n.tallier = n.newTallier()
	n.messages.Handle(tallier.MethodCollect, n.tallier.HandleCollect)

	n.relayer = relayer.New(relayer.Options{
		Headers:        protocol.Headers,
		Catalog:        n.catalog,
		Table:          n.table.Load,
		Chooser:        n.broker,
		Dialer:         n.dialer,
		RetryBudget:    n.budget,
		Quarantine:     n.quarantine,
		Usage:          n.tallier,
		MaxKeyAge:      n.keyFreshness,
		LeavingFor:     n.leaving,
		LeavingGrace:   lastRequests,
		MaxBodyMemory:  bodyMemory,
		Meter:          n.meter,
		FailedAttempts: n.attempts,
		Logger:         logger,
	})

	return n
}

// sinceBoot is a clock that goes on while the VM is suspended and that nobody sets.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without the clock nothing can be shown to be fresh; a time in the far future makes all of it old.
		return math.MaxInt64 / 2
	}

	return time.Duration(now.Nano())
}

func (n *Node) self() cataloguer.Node {
	return cataloguer.Node{
		Name:          n.settings.Node.PeerListen,
		Address:       n.settings.Node.Advertise,
		FailureDomain: n.settings.Node.FailureDomain,
		Capacity:      capacity(n.settings.Gateway),
	}
}

// capacity compares VMs by the scarcer of processor and link. A core keeps up with some linkPerCore.
func capacity(settings loader.Gateway) float64 {
	if settings.LinkMbps == 0 {
		return settings.Cores
	}

	return min(settings.Cores, settings.LinkMbps/linkPerCore)
}

// leaving is how long ago the planned stop began; 0 before.
func (n *Node) leaving() time.Duration {
	at := n.leavingAt.Load()
	if at == 0 {
		return 0
	}

	return max(n.catalog.Now()-time.Duration(at), 1)
}

// run serves until ctx ends, then carries out the planned stop.
func (n *Node) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()

	if err := n.joinFleet(work); err != nil {
		return err
	}

	go n.follower.Run(work)
	go n.broker.Run(work)
	go n.quarantine.Run(work)
	go n.followCatalog(work)
	go n.sweep(work)
	go n.watchRetries(work)
	go n.watchReload(work)

	if n.leader != nil {
		go n.leader.Run(work)
	}

	servers, failed, err := n.listen(ctx)
	if err != nil {
		return err
	}

	n.logger.Info().
		Str("node", n.settings.Node.Name).
		Str("address", n.settings.Node.Listen).
		Str("peer", n.settings.Node.PeerListen).
		Msg("node_started")

	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}

	n.stop(servers)

	return nil
}

// followCatalog puts each new state in force.
func (n *Node) followCatalog(ctx context.Context) {
	for {
		changed := n.catalog.Changed()
		n.apply(ctx, n.catalog.State())

		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) apply(ctx context.Context, state *cataloguer.State) {
	n.listMembers(state.Registry.Nodes)

	// Routes without upstreams would only refuse.
	if !state.HasConfiguration() || state.Registry.Revision == 0 {
		return
	}

	if !n.started {
		n.started = true
		n.becomeFirst(ctx, state.Registry.Nodes)
	}

	n.forgetRestarted(state.Registry.Upstreams)
	// A node that just started takes no request before it knows which ones must not run.
	n.updateQuarantine(state.Registry)
	n.relayer.UpdateUpstreams(state.Registry.Upstreams)
	n.broker.Update(state)

	if table := n.table.Load(); table == nil || table.Version < state.Configuration.Version {
		n.table.Store(router.New(state.Configuration))
	}
}
