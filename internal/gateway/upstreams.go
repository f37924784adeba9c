package gateway

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

func (n *Node) updateQuarantine(registry cataloguer.Registry) {
	upstreams := make([]quarantiner.Upstream, 0, len(registry.Upstreams))
	for _, u := range registry.Upstreams {
		upstreams = append(upstreams, quarantiner.Upstream{
			Instance: quarantiner.Instance{Upstream: u.ID, Born: u.Born},
			Draining: u.Draining,
		})
	}

	n.quarantine.Update(upstreams, registry.Quarantined)
}

func (n *Node) isDown(ctx context.Context, upstream, address string) bool {
	return n.dialer.IsDown(ctx, dialer.Upstream{ID: upstream, Address: address})
}

// forgetRestartedUpstreams discards the state of upstreams that restarted under the same ID. Only watchCatalog calls it.
func (n *Node) forgetRestartedUpstreams(upstreams []cataloguer.Upstream) {
	startTimes := make(map[string]int64, len(upstreams))
	restarted := make(map[string]bool)

	for _, upstream := range upstreams {
		startTimes[upstream.ID] = upstream.Born

		if previous, known := n.startTimes[upstream.ID]; known && previous != upstream.Born {
			n.logger.Info().Str("upstream", upstream.ID).Int64("born", upstream.Born).Int64("former", previous).Msg("upstream_restarted")
			n.relayer.ForgetUpstream(upstream.ID)

			restarted[upstream.ID] = true
		}
	}

	n.startTimes = startTimes

	// An upstream that went away without closing its connections leaves them open here, and each would delay a request.
	if len(restarted) > 0 {
		n.dialer.CloseStale(func(id string) bool { return !restarted[id] })
	}
}

// closeStaleConnections closes idle connections that have expired or whose upstream is no longer listed, until ctx is
// cancelled.
func (n *Node) closeStaleConnections(ctx context.Context) {
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		listed := make(map[string]bool)
		for _, upstream := range n.catalog.State().Registry.Upstreams {
			listed[upstream.ID] = true
		}

		n.dialer.CloseStale(func(id string) bool { return listed[id] })
	}
}
