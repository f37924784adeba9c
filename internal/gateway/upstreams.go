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

// forgetRestarted drops what is known of upstreams that started again under their id. Only followCatalog calls it.
func (n *Node) forgetRestarted(upstreams []cataloguer.Upstream) {
	starts := make(map[string]int64, len(upstreams))
	restarted := make(map[string]bool)

	for _, upstream := range upstreams {
		starts[upstream.ID] = upstream.Born

		if former, known := n.starts[upstream.ID]; known && former != upstream.Born {
			n.logger.Info().Str("upstream", upstream.ID).Int64("born", upstream.Born).Int64("former", former).Msg("upstream_restarted")
			n.relayer.ForgetUpstream(upstream.ID)

			restarted[upstream.ID] = true
		}
	}

	n.starts = starts

	// One that went away without a word leaves its connections open, and each would cost a request its time.
	if len(restarted) > 0 {
		n.dialer.CloseStale(func(id string) bool { return !restarted[id] })
	}
}

// sweep closes connections that are of no more use.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
