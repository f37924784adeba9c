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
	// collectInterval is the time between two questions to all nodes. What a node counted since the last one is lost with it.
	// It is longer where more than collectRate nodes would be asked in a second.
	collectInterval = time.Second
	collectRate     = 200
	// collectTimeout bounds the answer of a node.
	collectTimeout = 300 * time.Millisecond
	// collectWorkers is the number of nodes that are asked at once.
	collectWorkers = 32
	// leastPause is the shortest time between two rounds.
	leastPause = 50 * time.Millisecond
)

// reportUsage collects and reports usage until ctx ends or the term is over.
func (l *Leader) reportUsage(ctx context.Context, t *tenure) {
	for ctx.Err() == nil && !t.Ended() {
		l.usageRound(ctx, t)

		pause := max(collectInterval, time.Duration(len(l.options.Nodes()))*time.Second/collectRate)
		if left, known := l.usage.UntilSettled(); known {
			pause = max(min(pause, left), leastPause)
		}

		sleeper.Sleep(ctx, pause)
	}
}

func (l *Leader) usageRound(ctx context.Context, t *tenure) {
	if !l.usage.Loaded() {
		if err := l.withStore(ctx, l.usage.Load); err != nil {
			l.options.Logger.Warn().Err(err).Msg("usage_not_read")
		}
	}

	nodes := l.options.Nodes()
	l.collect(ctx, nodes)
	l.usage.UpdateTime(len(nodes))
	l.usage.CloseWindows()

	if err := l.withStore(ctx, l.usage.Save); err != nil {
		l.options.Logger.Warn().Err(err).Msg("usage_not_kept")
	}

	for _, report := range l.usage.PendingReports() {
		err := l.call(ctx, t, func(ctx context.Context) error {
			return l.options.Platform.ReportUsage(ctx, t.authority, report.Window, report.Counts)
		})
		if err != nil {
			if !errors.Is(err, errNotYet) {
				l.options.Logger.Warn().Err(err).Int64("window", report.Window).Msg("usage_not_reported")
			}

			return
		}

		l.usage.MarkReported(report.Window)
		l.options.Logger.Info().Int64("window", report.Window).Int("organisations", len(report.Counts)).
			Int64("number", t.Number).Msg("usage_reported")
	}
}

func (l *Leader) withStore(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	return do(ctx)
}

// collect asks all nodes for what they counted.
func (l *Leader) collect(ctx context.Context, nodes []string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	questions := pond.NewPool(collectWorkers, pond.WithContext(ctx)).NewGroup()

	for _, node := range nodes {
		questions.Submit(func() { l.ask(ctx, node) })
	}

	// An error only says that ctx has ended.
	_ = questions.Wait()
}

func (l *Leader) ask(ctx context.Context, node string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()

	asked := l.options.Now()

	var answer tallier.CollectResult

	if err := l.options.Peers.Call(ctx, node, tallier.MethodCollect, l.usage.CollectParams(node), &answer); err != nil {
		l.options.Logger.Debug().Err(err).Str("peer", node).Msg("usage_not_collected")

		return
	}

	l.usage.AddResult(node, asked, answer)
}
