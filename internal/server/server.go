// Package server is the network edge of a node: it answers callers and
// operators and joins the decision packages to upstreams, peers and the platform.
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/certifier"
	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/connector"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/drainer"
	"quincepath.example/quincepath/internal/ejector"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/granter"
	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/lister"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/messenger"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/internal/pausedetector"
	"quincepath.example/quincepath/internal/placer"
	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/retrier"
	"quincepath.example/quincepath/internal/timekeeper"
)

const (
	backgroundWorkers = 16
	backgroundQueue   = 4096
)

// Node is one running entry VM process.
type Node struct {
	settings loader.Settings
	logger   zerolog.Logger
	started  time.Time

	// identity names requests of this incarnation.
	identity *identity
	// tree gives the settings tree in force.
	tree *settingsHolder
	// distributor keeps tree up to date from the platform and from peers.
	distributor *distributor.Distributor
	// editor changes the tree in the platform's store; nil without a platform.
	editor *configurer.Editor
	// claims records requests that must run at most once; nil without a platform.
	claims *claimer.Claimer
	// store is the platform's key-value service; nil without a platform.
	store *connector.Client
	// vms knows which VMs the platform's list marks as leaving; nil without a platform.
	vms *vmList

	// pauses measures for how long the process stood still.
	pauses *pausedetector.Detector

	// work ends when the node has drained; runs outlive their callers' connections but not the node.
	work     context.Context
	stopWork context.CancelFunc
	// runners carry requests; background does the polling.
	runners    pond.Pool
	background pond.Pool

	// certificates is nil when the node uses plain TCP.
	certificates *certifier.Certifier
	messages     *messenger.Messenger
	upstream     *forwarder.Client
	// entryClient reaches other nodes at their addresses for callers.
	entryClient *http.Client

	members *members
	// heartbeats is nil while the node has no address for peers.
	heartbeats *heartbeater.Heartbeater
	lister     *lister.Lister
	drain      *drainer.Drainer
	// leaving merges what the platform's list and load reports say of upstreams.
	leaving *drainer.LeavingUpstreams
	// writing counts answers that are on their way to callers.
	writing atomic.Int64
	// router asks the holders of pools; nil under the baseline policy.
	router *granter.Router
	limits *limits
	placer *placer.PowerOfTwo
	// ejector judges upstreams for the placer, which decides while no holder answers.
	ejector  *ejector.Ejector
	retrier  *retrier.Retrier
	dispatch *dispatcher.Dispatcher
	// quarantine keeps requests that crash upstreams from running.
	quarantine *quarantine
	// rateLimits admits requests to upstreams that name rate limits.
	rateLimits *rateLimits
	runs       *runs
	upstreams  *upstreamTable
	// prefixes holds hints about the prompt caches of the engines whose pools this node holds.
	prefixes *prefixer.Table
	meter    *meter.Meter
}

// Run serves until ctx ends and everything in flight is answered.
func Run(ctx context.Context, settings loader.Settings, logger zerolog.Logger) error {
	node, err := newNode(settings, logger)
	if err != nil {
		return err
	}

	return node.run(ctx)
}

func newNode(settings loader.Settings, logger zerolog.Logger) (*Node, error) {
	identity := newIdentity(settings.Node.Name)
	leaving := drainer.NewLeavingUpstreams()
	tree := newSettingsHolder(settings.Snapshot(), leaving)
	work, stopWork := context.WithCancel(context.Background())

	node := &Node{
		settings:   settings,
		logger:     logger.With().Str("node", settings.Node.Name).Logger(),
		started:    time.Now(),
		identity:   identity,
		tree:       tree,
		pauses:     pausedetector.New(timekeeper.SinceBoot, logger),
		work:       work,
		stopWork:   stopWork,
		runners:    pond.NewPool(settings.Node.MaxInFlight, pond.WithNonBlocking(true), pond.WithQueueSize(settings.Node.MaxInFlight)),
		background: pond.NewPool(backgroundWorkers, pond.WithNonBlocking(true), pond.WithQueueSize(backgroundQueue)),
		placer:     placer.NewPowerOfTwo(tree, identity.seed()),
		leaving:    leaving,
		drain: drainer.New(drainer.Options{
			EntryLifetime: settings.Node.EntryLifetime,
			DrainTimeout:  settings.Node.DrainTimeout,
		}),
		ejector:   ejector.New(ejector.Options{}),
		runs:      newRuns(settings.Node.MaxInFlight),
		upstreams: newUpstreamTable(),
		prefixes:  prefixer.NewTable(),
		meter:     meter.New(),
	}

	node.members = node.newMembers()
	node.lister = lister.New(lister.Options{EntryLifetime: settings.Node.EntryLifetime, Seed: identity.seed(), Holders: node})

	if err := node.connect(); err != nil {
		stopWork()

		return nil, err
	}

	node.setPools(configurer.Snapshot{}, tree.Snapshot())
	node.limits = newLimits(tree, identity)
	node.distributor = node.newDistributor()
	node.placer.SetWeigher(node.ejector)
	node.retrier = retrier.New(retrier.Options{NodeCount: node.members.known})
	node.dispatch = dispatcher.New(node.newSlotter(), node.retrier, node)
	node.dispatch.SetHedger(retrier.NewHedger(node.retrier.Budget()))
	node.quarantine = node.newQuarantine()
	node.dispatch.SetQuarantine(node.quarantine)
	node.rateLimits = node.newRateLimits()
	node.dispatch.SetRateLimiter(node.rateLimits)
	node.upstream = forwarder.NewClient(forwarder.Options{BearerKey: settings.Upstreams.BearerKey, RateLimits: node.rateLimits})

	return node, nil
}

// connect makes the parts that reach outside; none of them makes a connection yet.
func (n *Node) connect() error {
	if err := n.loadCertificates(); err != nil {
		return err
	}

	messages, err := n.newMessages()
	if err != nil {
		return err
	}

	n.messages = messages
	n.entryClient = &http.Client{Transport: n.entryTransport()}

	return n.connectPlatform()
}
