package leader

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

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
		if err := l.withStoreTimeout(ctx, l.usage.Load); err != nil {
			l.options.Logger.Warn().Err(err).Msg("usage_not_read")
		}
	}

	nodes := l.options.Nodes()
	l.collectFromAll(ctx, nodes)
	l.usage.UpdateTime(len(nodes))
	l.usage.CloseWindows()

	if err := l.withStoreTimeout(ctx, l.usage.Save); err != nil {
		l.options.Logger.Warn().Err(err).Msg("usage_not_kept")
	}

	for _, report := range l.usage.PendingReports() {
		err := l.call(ctx, t, func(ctx context.Context) error {
			return l.options.Platform.ReportUsage(ctx, t.authority, report.Window, report.Counts)
		})
		if err != nil {
			if !errors.Is(err, errCallNotAllowed) {
				l.options.Logger.Warn().Err(err).Int64("window", report.Window).Msg("usage_not_reported")
			}

			return
		}

		l.usage.MarkReported(report.Window)
		l.options.Logger.Info().Int64("window", report.Window).Int("organisations", len(report.Counts)).
			Int64("number", t.Number).Msg("usage_reported")
	}
}

func (l *Leader) withStoreTimeout(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	return do(ctx)
}

// collectFromAll collects the counts of all nodes.
func (l *Leader) collectFromAll(ctx context.Context, nodes []string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	requests := pond.NewPool(collectWorkers, pond.WithContext(ctx)).NewGroup()

	for _, node := range nodes {
		requests.Submit(func() { l.collectFrom(ctx, node) })
	}

	// The only possible error is that ctx is done.
	_ = requests.Wait()
}

func (l *Leader) collectFrom(ctx context.Context, node string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()

	askedAt := l.options.Now()

	var result tallier.CollectResult

	if err := l.options.Peers.Call(ctx, node, tallier.MethodCollect, l.usage.CollectParams(node), &result); err != nil {
		l.options.Logger.Debug().Err(err).Str("peer", node).Msg("usage_not_collected")

		return
	}

	l.usage.AddResult(node, askedAt, result)
}
