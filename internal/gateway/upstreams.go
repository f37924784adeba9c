package gateway

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// listedUpstreams are the upstreams of a registry as the quarantine needs them.
type listedUpstreams struct {
	index cataloguer.Index[cataloguer.Upstream]
}

// Upstream implements quarantiner.Upstreams.
func (l listedUpstreams) Upstream(id string) (quarantiner.Upstream, bool) {
	upstream, ok := l.index.Get(id)

	return quarantiner.Upstream{
		Instance: quarantiner.Instance{Upstream: upstream.ID, Born: upstream.Born},
		Draining: upstream.Draining,
	}, ok
}

func (n *Node) isDown(ctx context.Context, upstream, address string) (down, silent bool, err error) {
	return n.dialer.IsDown(ctx, dialer.Upstream{ID: upstream, Address: address})
}

// forgetRestartedUpstreams discards the state of upstreams that restarted under the same ID since the former registry.
// Only watchCatalog calls it.
func (n *Node) forgetRestartedUpstreams(former *cataloguer.Registry, delta *cataloguer.RegistryDelta) {
	restarted := make(map[string]bool)

	for _, upstream := range delta.Upstreams.Put {
		if previous, known := former.Upstreams.Get(upstream.ID); known && previous.Born != upstream.Born {
			n.logger.Info().Str("upstream", upstream.ID).Int64("born", upstream.Born).Int64("former", previous.Born).Msg("upstream_restarted")
			n.relayer.ForgetUpstream(upstream.ID)

			restarted[upstream.ID] = true
		}
	}

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

		n.dialer.CloseStale(n.catalog.State().Registry.Upstreams.Contains)
	}
}
