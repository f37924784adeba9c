// Package server is the network edge of a node: it answers callers and
// operators and joins the decision packages to upstreams, peers and the platform.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/messenger"
	"quincepath.example/quincepath/internal/placer"
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
	tree     *settingsHolder
	// work ends when the node has drained; runs outlive their callers' connections but not the node.
	work     context.Context
	stopWork context.CancelFunc
	// runners carry requests; background does the polling.
	runners    pond.Pool
	background pond.Pool
	upstream   *forwarder.Client
	placer     *placer.PowerOfTwo
	dispatch   *dispatcher.Dispatcher
	messages   *messenger.Messenger
	// entryClient reaches other nodes at their addresses for callers.
	entryClient *http.Client
	runs        *runs
}

// Run serves until ctx ends and everything in flight is answered.
func Run(ctx context.Context, settings loader.Settings, logger zerolog.Logger) error {
	return newNode(settings, logger).run(ctx)
}

func newNode(settings loader.Settings, logger zerolog.Logger) *Node {
	identity := newIdentity(settings.Node.Name)
	tree := newSettingsHolder(settings.Snapshot())
	work, stopWork := context.WithCancel(context.Background())

	node := &Node{
		settings:    settings,
		logger:      logger.With().Str("node", settings.Node.Name).Logger(),
		started:     time.Now(),
		identity:    identity,
		tree:        tree,
		work:        work,
		stopWork:    stopWork,
		runners:     pond.NewPool(settings.Node.MaxInFlight, pond.WithNonBlocking(true), pond.WithQueueSize(settings.Node.MaxInFlight)),
		background:  pond.NewPool(backgroundWorkers, pond.WithNonBlocking(true), pond.WithQueueSize(backgroundQueue)),
		upstream:    forwarder.NewClient(forwarder.Options{BearerKey: settings.Upstreams.BearerKey}),
		placer:      placer.NewPowerOfTwo(tree, identity.seed()),
		messages:    newMessages(settings, logger),
		entryClient: &http.Client{},
		runs:        newRuns(settings.Node.MaxInFlight),
	}

	node.dispatch = dispatcher.New(node.placer, simpleJudge{}, node)

	return node
}

func (n *Node) run(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.settings.Node.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}

	server := &http.Server{
		Handler:           n.callerRoutes(),
		ReadHeaderTimeout: n.settings.Node.HeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}

	defer n.stopWork()

	if err := n.listenPeers(ctx); err != nil {
		return err
	}

	go n.pollLoads(n.work)

	failed := make(chan error, 1)

	go func() { failed <- server.Serve(listener) }()

	n.logger.Info().Str("address", listener.Addr().String()).Msg("node_started")

	select {
	case err := <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}

	return n.stop(server)
}

func (n *Node) stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Node.DrainTimeout)
	defer cancel()

	err := server.Shutdown(ctx)
	n.runners.StopAndWait()
	n.stopWork()
	n.background.StopAndWait()
	n.upstream.Close()
	n.logger.Info().Msg("node_stopped")

	return errors.Wrap(err, "shut down")
}

// AttemptEnded logs one attempt.
func (n *Node) AttemptEnded(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, next dispatcher.Next) {
	event := n.logger.Info()
	if outcome.Result != dispatcher.ResultDone {
		event = n.logger.Warn().AnErr("cause", outcome.Err)
	}

	event.Str("request_id", request.ID).
		Str("class", request.Class.Name).
		Str("organisation", request.Organisation.Name).
		Str("upstream", attempt.Slot.Upstream.Name).
		Int("attempt", attempt.Number).
		Str("result", outcome.Result.String()).
		Int("tokens", outcome.Tokens).
		Dur("first_token_ms", outcome.FirstToken).
		Dur("duration_ms", outcome.Duration).
		Str("retry_reason", next.Reason).
		Msg("attempt_ended")
}
