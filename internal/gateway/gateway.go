// Package gateway runs a node that relays HTTP requests according to the routes
// in the platform's store. It connects the decision packages in its
// subdirectories to listeners, peers and upstreams.
package gateway

import (
	"context"
	"expvar"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/gateway/apportioner"
	"quincepath.example/quincepath/internal/gateway/archiver"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cachetracker"
	"quincepath.example/quincepath/internal/gateway/cachetracker/fetcher"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/follower"
	"quincepath.example/quincepath/internal/gateway/leader"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/internal/gateway/relayer"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/gateway/tunneler"
	"quincepath.example/quincepath/internal/gateway/versioner"
	"quincepath.example/quincepath/internal/headreader"
	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/messenger"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/internal/pausedetector"
	"quincepath.example/quincepath/internal/prober"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/throttler"
	"quincepath.example/quincepath/internal/timekeeper"
)

const (
	// maxKeyAgeFraction is the fraction of the key lifetime for which API keys are accepted without being confirmed
	// again.
	maxKeyAgeFraction = 0.9
	// memoryLimitFraction is the fraction of the VM's memory that is set as the Go runtime's soft memory limit. The
	// rest is for stacks, kernel buffers and unread bytes in sockets.
	memoryLimitFraction = 0.65
	// gcPercent is the value of GOGC. It is below the default because CPU time is spare, while memory is paid for at
	// its peak.
	gcPercent = 40
	// headMemoryFraction is the fraction of the VM's memory that long heads of requests, and as much again long heads of responses, may
	// take.
	headMemoryFraction = 0.04
	// bodyMemoryFraction is the fraction of the VM's memory that request bodies may use.
	bodyMemoryFraction = 0.15
	// megabyte is the number of bytes in the unit of the memory settings.
	megabyte = 1 << 20
	// defaultBodyMemory and defaultHeadMemory are the numbers of bytes that request bodies and each kind of heads may use if the VM's
	// memory isn't set.
	defaultBodyMemory = 64 << 20
	defaultHeadMemory = 16 << 20
	// leavingGrace is how long the node accepts requests after a planned stop begins. Callers cache an entries
	// response for up to three times its TTL.
	leavingGrace = 2800 * time.Millisecond
	// drainFraction is the fraction of the drain timeout after which the node aborts requests that are still running.
	drainFraction = 0.93
	// answerFraction is the fraction of the drain timeout until which it writes their last answers.
	answerFraction = 0.97
	// drainPollInterval is how often a stopping node checks whether it can exit.
	drainPollInterval = 50 * time.Millisecond
	// answerPollInterval is how often it checks whether the last answers have been written.
	answerPollInterval = 10 * time.Millisecond
	// linkMbpsPerCore is the bandwidth in Mbit/s that one core can use: messages of 300 bytes at 40 us each.
	linkMbpsPerCore = 60.0
	// staleCheckInterval is the time between two checks for stale idle connections.
	staleCheckInterval = time.Second
)

// Protocol defines the headers, paths and encodings of the platform on top of HTTP.
type Protocol struct {
	Headers relayer.Headers
	// ReadyPath responds with 200 while the node accepts requests.
	ReadyPath string
	// EntriesPath responds with the addresses of the nodes to use.
	EntriesPath string
	// MaxEntries is the number of addresses that callers take from a response of EntriesPath; 0 means all.
	MaxEntries int
	// EncodeEntries returns the response body of EntriesPath; keep is how long callers may cache it.
	EncodeEntries func(addresses []string, keep time.Duration) ([]byte, error)
	// EngineCache defines the calls of engines about their caches; nil if there are none.
	EngineCache fetcher.Protocol
}

// Store is the part of the platform's store that a node uses.
type Store interface {
	follower.Store
	follower.NodeLister
	quarantiner.Recorder
	// RecordFirstNode records the node as the first one that the deployment ever had. It returns false if one is
	// already recorded.
	RecordFirstNode(ctx context.Context, name string) (bool, error)
	// RecordRateLimits records the rate limits that upstreams named, RemoveRateLimits removes those of the given upstreams.
	// Both are safe to repeat, and may handle only the first entries.
	RecordRateLimits(ctx context.Context, limits []throttler.Limit) error
	RemoveRateLimits(ctx context.Context, upstreams []string) error
}

// DutyBackends are the clients for the duties, which one node at a time performs for all nodes. The platform's is used only if
// the settings enable duties.
type DutyBackends struct {
	// Store also keeps the software versions of upstreams. Without one, streams that no node has a record of can't be resumed.
	Store    fencer.Store
	Platform leader.Platform
	// Archive keeps records of streams. Without one, streams of services with several software versions can't be resumed once all nodes
	// have ended.
	Archive archiver.Store
	// Quarantines renews quarantines. Without one, prompt parts in quarantine aren't tried again.
	Quarantines quarantiner.Store
}

// Node is one running gateway.
type Node struct {
	// settings are the settings at startup; current also includes what was reloaded since.
	settings loader.Settings
	current  atomic.Pointer[loader.Settings]
	protocol Protocol
	logger   zerolog.Logger

	catalog  *cataloguer.Catalog
	table    atomic.Pointer[router.Table]
	follower *follower.Follower
	broker   *broker.Broker
	// caches asks engines about their caches; nil if that is off.
	caches   *cachetracker.Tracker
	dialer   *dialer.Dialer
	relayer  *relayer.Relayer
	acceptor *acceptor.Acceptor
	// tunnels carries connections to upstreams for other nodes.
	tunnels *tunneler.Tunneler
	budget  *budgeter.Budgeter
	// apportioner computes this node's share of the extra attempts that all nodes share.
	apportioner *apportioner.Apportioner
	// quarantine blocks requests that crash upstreams.
	quarantine *quarantiner.Quarantiner
	// pins remembers which software version began each resumable stream.
	pins  *pinner.Pinner
	meter *meter.Meter
	// pauses measures for how long the process stood still.
	pauses *pausedetector.Detector
	// tallier counts usage by organisation; leader performs the platform's duties, nil if there are none.
	tallier *tallier.Tallier
	leader  *leader.Leader
	// attempts counts failed attempts by result.
	attempts *expvar.Map
	// useDelays are the times from the receipt of a version of the configuration until it decides about requests.
	useDelays meter.Histogram

	messages *messenger.Messenger
	prober   *prober.Prober
	// roster caches currentRoster.
	roster     atomic.Pointer[roster]
	heartbeats *heartbeater.Heartbeater
	// peerServers are the goroutines that use the node's peer address.
	peerServers sync.WaitGroup
	// applied is the registry that was last applied, members the nodes that the prober knows to be listed. Only applyState
	// uses them.
	applied cataloguer.Registry
	members cataloguer.Index[cataloguer.Node]
	// memberNames are the names of members.
	memberNames []string
	// store records the first node of the deployment; registrySeen is set once a registry was received. Only
	// applyState uses them.
	store        Store
	registrySeen bool
	// leavingAt is when the planned stop began, by the catalog's clock; 0 before that.
	leavingAt atomic.Int64
}

// Run serves requests until ctx is cancelled, then returns when the planned stop has finished.
func Run(ctx context.Context, settings loader.Settings, store Store, duties DutyBackends, protocol Protocol, logger zerolog.Logger) error {
	node := newNode(settings, store, duties, protocol, logger)
	node.addLeader(duties)

	return node.run(ctx)
}

func newNode(settings loader.Settings, store Store, duties DutyBackends, protocol Protocol, logger zerolog.Logger) *Node {
	bodyMemory, headMemory := int64(defaultBodyMemory), int64(defaultHeadMemory)

	debug.SetGCPercent(gcPercent)

	if limit := settings.Gateway.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(limit * megabyte * memoryLimitFraction))
		bodyMemory = int64(limit * megabyte * bodyMemoryFraction)
		headMemory = int64(limit * megabyte * headMemoryFraction)
	}

	n := &Node{
		settings: settings,
		protocol: protocol,
		store:    store,
		logger:   logger,
		catalog:  cataloguer.New(timekeeper.SinceBoot),
		dialer:   dialer.New(maxConnections(settings.Gateway.Descriptors)),
		meter:    meter.New(),
		attempts: new(expvar.Map),
		pauses:   pausedetector.New(timekeeper.SinceBoot, logger),
	}

	n.current.Store(&settings)
	n.dialer.SetLogger(logger)
	n.dialer.Paused = n.pauses.Paused
	n.dialer.HeadMemory = headreader.NewMemory(headMemory)
	n.tunnels = n.newTunneler()
	n.apportioner = apportioner.New(apportioner.Options{
		Self:       settings.Node.PeerListen,
		MaxListAge: settings.Gateway.RetryWindow,
		Retention:  budgeter.Retention(settings.Gateway.RetryWindow),
		Now:        n.catalog.Now,
	})
	n.acceptor = acceptor.New(maxConnections(settings.Gateway.Descriptors), n.callerTimeouts, headreader.NewMemory(headMemory))
	n.acceptor.OnRefusal = n.recordRefusal
	n.prober = n.newProber()
	n.messages = messenger.New(messenger.Options{
		Self:       settings.Node.PeerListen,
		Credential: settings.Peers.Credential,
		// The name of a peer is its address.
		Joined: func(name string) (string, bool) { return name, true },
		Logger: logger,
		Paused: n.pauses.Paused,
	})

	n.budget = budgeter.New(budgeter.Options{
		Ratio:  settings.Gateway.RetryRatio,
		Extra:  settings.Gateway.RetryExtra,
		Window: settings.Gateway.RetryWindow,
		Share:  n.apportioner.Share,
		Now:    n.catalog.Now,
		Self:   settings.Node.PeerListen,
		Live:   n.liveNodes,
		Peers:  n.messages,
		Logger: logger,
	})
	n.messages.Handle(budgeter.MethodBorrow, n.budget.HandleBorrow)

	n.broker = broker.New(broker.Options{
		Self:       settings.Node.PeerListen,
		Live:       n.strongNodes,
		Leaving:    n.leavingNodes,
		LimitShare: n.limitShare,
		Now:        n.catalog.Now,
		Peers:      n.messages,
		Logger:     logger,
		Scheduling: schedulingOptions(settings.Gateway.Scheduling),

		SpreadHolders: settings.Gateway.Scheduling.SpreadHolders,
		Capacity:      n.nodeCapacity,
	})
	n.messages.HandleInline(broker.MethodChoose, n.broker.HandleChoose)
	n.messages.Handle(broker.MethodReport, n.broker.HandleReport)
	n.messages.Handle(broker.MethodUtilisation, n.broker.HandleUtilisation)

	if settings.Gateway.Scheduling.CacheTracking && protocol.EngineCache != nil {
		n.caches = cachetracker.New(&fetcher.Fetcher{Exchanger: n.dialer, Protocol: protocol.EngineCache}, logger)
	}

	var (
		recorder follower.VersionStore
		reader   pinner.VersionStore
	)

	if duties.Store != nil {
		versions := versioner.New(duties.Store)
		recorder, reader = versions, versions
	}

	var lister follower.NodeLister
	if settings.Gateway.StartWithoutSeeds {
		lister = store
	}

	n.follower = follower.New(follower.Options{
		Catalog:       n.catalog,
		Store:         store,
		Peers:         n.messages,
		Self:          n.selfEntry(),
		Seeds:         func() []string { return n.current.Load().Gateway.Seeds },
		LiveNodes:     n.liveNodes,
		AbsentNodes:   n.absentNodes,
		DepartedNodes: n.departedNodes,
		Versions:      recorder,
		NodeLister:    lister,
		Paused:        n.pauses.Paused,
		Logger:        logger,
	})
	n.messages.Handle(follower.MethodPull, n.follower.HandlePull)
	n.messages.Handle(follower.MethodChanged, n.follower.HandleChanged)
	n.messages.Handle(follower.MethodAnnounce, n.follower.HandleAnnounce)
	n.messages.Handle(follower.MethodInvite, n.follower.HandleInvite)
	n.messages.Handle(follower.MethodReadStore, n.follower.HandleReadStore)

	n.quarantine = quarantiner.New(quarantiner.Options{
		Self:                  settings.Node.PeerListen,
		Live:                  n.liveNodes,
		CoordinatorCandidates: n.strongNodes,
		Peers:                 n.messages,
		IsDown:                n.isDown,
		Recorder:              store,
		Store:                 duties.Quarantines,
		Logger:                logger,
	})
	n.messages.Handle(quarantiner.MethodReport, n.quarantine.HandleReport)
	n.messages.Handle(quarantiner.MethodQueryAnswered, n.quarantine.HandleQueryAnswered)
	n.messages.Handle(quarantiner.MethodQuarantine, n.quarantine.HandleQuarantine)
	n.messages.Handle(quarantiner.MethodRelease, n.quarantine.HandleRelease)

	n.tallier = n.newTallier()
	n.messages.Handle(tallier.MethodCollect, n.tallier.HandleCollect)

	n.pins = n.newPinner(reader, duties.Archive)
	n.messages.Handle(pinner.MethodRecord, n.pins.HandleRecord)
	n.messages.Handle(pinner.MethodFind, n.pins.HandleFind)
	n.messages.Handle(pinner.MethodArchive, n.pins.HandleArchive)
	n.messages.Handle(pinner.MethodFindArchived, n.pins.HandleFindArchived)

	n.relayer = relayer.New(relayer.Options{
		Headers:        protocol.Headers,
		Catalog:        n.catalog,
		Table:          n.table.Load,
		Chooser:        n.broker,
		Dialer:         n.dialer,
		RetryBudget:    n.budget,
		Quarantine:     n.quarantine,
		Usage:          n.tallier,
		Pins:           n.pins,
		MaxKeyAge:      n.maxKeyAge,
		LeavingFor:     n.leavingFor,
		LeavingGrace:   leavingGrace,
		Paused:         n.pauses.Paused,
		MaxBodyMemory:  bodyMemory,
		Meter:          n.meter,
		FailedAttempts: n.attempts,
		Logger:         logger,
	})

	return n
}

func (n *Node) selfEntry() cataloguer.Node {
	return cataloguer.Node{
		Name:          n.settings.Node.PeerListen,
		Address:       n.settings.Node.Advertise,
		FailureDomain: n.settings.Node.FailureDomain,
		Capacity:      capacity(n.settings.Gateway),
	}
}

func schedulingOptions(settings loader.Scheduling) balancer.Options {
	return balancer.Options{
		ServerPace:    settings.ServerPace,
		WorkAdmission: settings.WorkAdmission,
		CacheTracking: settings.CacheTracking,
	}
}

// capacity returns a node's capacity in cores, limited by the scarcer of CPU and network link. One core can handle about
// linkMbpsPerCore.
func capacity(settings loader.Gateway) float64 {
	if settings.LinkMbps == 0 {
		return settings.Cores
	}

	return min(settings.Cores, settings.LinkMbps/linkMbpsPerCore)
}

// leavingFor returns how long ago the planned stop began; 0 before that.
func (n *Node) leavingFor() time.Duration {
	at := n.leavingAt.Load()
	if at == 0 {
		return 0
	}

	return max(n.catalog.Now()-time.Duration(at), 1)
}

// run serves requests until ctx is cancelled, then drains the node.
func (n *Node) run(ctx context.Context) error {
	// Deferred calls run in reverse order: work is stopped first.
	defer n.peerServers.Wait()

	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()

	if err := n.joinFleet(work); err != nil {
		return err
	}

	n.applyChanges(work)

	go n.pauses.Run(work)
	go n.follower.Run(work)
	go n.broker.Run(work)
	go n.quarantine.Run(work)
	go n.pins.Run(work)
	go n.closeStaleConnections(work)
	go n.dialer.Run(work)
	go n.watchRetryBudgets(work)
	go n.storeRateLimits(work)
	go n.watchReload(work)

	if n.caches != nil {
		go n.broker.TrackCaches(work, n.caches)
	}

	if n.leader != nil {
		go n.leader.Run(work)
	}

	servers, failed, err := n.startServers(ctx)
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

	n.drain(servers)

	return nil
}

// applyChanges puts each new state of the catalog in force from now on.
func (n *Node) applyChanges(ctx context.Context) {
	n.catalog.OnChange(func(state *cataloguer.State) { n.applyState(ctx, state) })
}

// applyState puts a state of the catalog in force: members, quarantines, upstreams, and the routes last, so that no route is in force
// before its upstreams.
func (n *Node) applyState(ctx context.Context, state *cataloguer.State) {
	if !state.Registry.Nodes.Equal(&n.members) {
		n.members = state.Registry.Nodes
		n.updateMembers(&n.members)
	}

	n.apportioner.Update(n.memberNames, state.RegistryFreshness)

	// Routes without upstreams would reject every request.
	if !state.IsComplete() {
		return
	}

	if !n.registrySeen {
		n.registrySeen = true
		n.recordFirstNode(ctx, state)
	}

	delta := state.Registry.DeltaFrom(&n.applied)
	n.forgetRestartedUpstreams(&n.applied, &delta)
	n.applied = state.Registry

	// The quarantine comes first: a node that has just started must not accept a request before it knows which ones are
	// quarantined.
	n.quarantine.Update(listedUpstreams{state.Registry.Upstreams}, state.Registry.Quarantined.List(), state.StoreReturns)
	n.relayer.UpdateUpstreams(&state.Registry.Upstreams)
	n.broker.Update(state)

	if !delta.Upstreams.IsEmpty() {
		n.pins.UpdateVersions(&state.Registry.Upstreams)
	}

	if former := n.table.Load(); former == nil || former.Version < state.Configuration.Version {
		table := router.New(state.Configuration, state.ConfigurationFreshness)
		if former != nil {
			table.Succeed(former, n.catalog.Now())
		}

		n.table.Store(table)
		n.acceptor.Refresh()

		delay := n.catalog.Now() - state.ReceivedAt
		n.useDelays.Record(delay)
		n.logger.Info().Int64("version", state.Configuration.Version).Dur("delay_ms", delay).Msg("configuration_used")
	}
}
