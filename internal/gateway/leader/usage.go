package leader

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// collectInterval is the time between two collections from all nodes. What a node counted since the last one is lost if
	// the node fails. The interval is extended so that at most maxNodesPerSecond nodes are asked per second.
	collectInterval   = time.Second
	maxNodesPerSecond = 200
	// collectTimeout is the timeout of a collection from one node.
	collectTimeout = 300 * time.Millisecond
	// collectWorkers is the number of nodes that are asked concurrently.
	collectWorkers = 32
	// minPause is the minimum time between two collections.
	minPause = 50 * time.Millisecond
)

// reportUsage collects and reports usage until ctx is done or the term has ended.
func (l *Leader) reportUsage(ctx context.Context, t *activeTerm) {
	for ctx.Err() == nil && !t.Ended() {
		l.collectAndReport(ctx, t)

		pause := max(collectInterval, time.Duration(len(l.options.Nodes()))*time.Second/maxNodesPerSecond)
		if left, known := l.usage.UntilSettled(); known {
			pause = max(min(pause, left), minPause)
		}

		sleeper.Sleep(ctx, pause)
	}
}

func (l *Leader) collectAndReport(ctx context.Context, t *activeTerm) {
	if !l.usage.Loaded() {
		l.loadUsage(ctx, t)
	}

	nodes := l.options.Nodes()
	l.collectFromAll(ctx, t, nodes)
	t.hasAsked.Store(true)
	l.usage.UpdateTime(len(nodes))

	for _, report := range l.usage.CloseWindows() {
		l.describe(l.options.Logger.Info(), t, report).Msg("usage_window_closed")
	}

	err := l.withStoreTimeout(ctx, func(ctx context.Context) error { return l.usage.Save(ctx, t.Guard, t.Era) })
	if err != nil {
		l.options.Logger.Warn().Err(err).Msg("usage_not_kept")
	}

	l.collectFromAll(ctx, t, l.usage.HandOut(l.options.Self, nodes))

	for _, report := range l.usage.PendingReports() {
		err := l.call(ctx, t, func(ctx context.Context) error {
			return l.options.Platform.ReportUsage(ctx, t.authority, report.Window, report.Counts)
		})
		if err != nil {
			if !errors.Is(err, errCallNotAllowed) {
				l.describe(l.options.Logger.Warn().Err(err), t, report).Msg("usage_not_reported")
			}

			return
		}

		l.usage.MarkReported(report.Window)
		l.describe(l.options.Logger.Info(), t, report).Msg("usage_reported")
	}
}

// loadUsage reads the account.
func (l *Leader) loadUsage(ctx context.Context, t *activeTerm) {
	var loaded collector.LoadResult

	err := l.withStoreTimeout(ctx, func(ctx context.Context) (err error) {
		loaded, err = l.usage.Load(ctx)

		return err
	})
	if err != nil {
		l.options.Logger.Warn().Err(err).Msg("usage_not_read")

		return
	}

	event := l.options.Logger.Info()
	if loaded.IsLost {
		event = l.options.Logger.Warn()
	}

	event.Int64("store_era", loaded.Position.Era).Int64("store_revision", loaded.Position.Revision).
		Int64("account_era", loaded.Version.Era).Int64("writes", loaded.Version.Writes).
		Int64("known_era", loaded.Known.Era).Int64("known_writes", loaded.Known.Writes).Bool("lost", loaded.IsLost).
		Int64("next_window", loaded.NextWindow).Int64("number", t.Number).Msg("usage_read")
}

// describe adds to an event what tells two reports of a window apart: the counts, who closed it, and the account that has it.
func (l *Leader) describe(event *zerolog.Event, t *activeTerm, report collector.Report) *zerolog.Event {
	position := l.usage.Position()

	return event.Int64("window", report.Window).Int("organisations", len(report.Counts)).Int64("requests", report.Requests()).
		Str("counts_hash", report.Fingerprint()).Str("closed_by", report.ClosedBy).Bool("withheld", report.Withheld).Int64("store_era", position.Era).
		Int64("store_revision", position.Revision).Int64("number", t.Number)
}

func (l *Leader) withStoreTimeout(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	return do(ctx)
}

// collectFromAll collects the counts of all nodes.
func (l *Leader) collectFromAll(ctx context.Context, t *activeTerm, nodes []string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	requests := pond.NewPool(collectWorkers, pond.WithContext(ctx)).NewGroup()

	for _, node := range nodes {
		requests.Submit(func() { l.collectFrom(ctx, t, node) })
	}

	// The only possible error is that ctx is done.
	_ = requests.Wait()
}

func (l *Leader) collectFrom(ctx context.Context, t *activeTerm, node string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()

	askedAt := l.options.Now()

	params := l.usage.CollectParams(node)
	params.Term = tallier.Term{Number: t.Number, Incarnation: l.options.Incarnation}

	var result tallier.CollectResult

	if err := l.options.Peers.Call(ctx, node, tallier.MethodCollect, params, &result); err != nil {
		l.options.Logger.Debug().Err(err).Str("peer", node).Msg("usage_not_collected")

		return
	}

	l.endIfNumberIsUsed(t, node, result.Term)
	l.usage.AddResult(node, askedAt, result)
}

// endIfNumberIsUsed ends a term if a node knows another one whose number isn't lower: the store has lost that one. The next term of this
// process gets a higher number.
func (l *Leader) endIfNumberIsUsed(t *activeTerm, node string, known tallier.Term) {
	if known.Number < t.Number || known.Incarnation == l.options.Incarnation {
		return
	}

	for floor := l.floor.Load(); floor < known.Number && !l.floor.CompareAndSwap(floor, known.Number); {
		floor = l.floor.Load()
	}

	if !t.Ended() {
		l.options.Logger.Warn().Int64("number", t.Number).Int64("known_number", known.Number).Str("peer", node).Msg("fencing_number_used")
	}

	t.End()
}
