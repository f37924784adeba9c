package server

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"

	"quincepath.example/quincepath/internal/placer"
)

const (
	loadInterval = time.Second
	loadTimeout  = 800 * time.Millisecond
)

// loadReport is what an upstream publishes about itself; it lags.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// pollLoads asks every upstream for its load until ctx ends.
func (n *Node) pollLoads(ctx context.Context) {
	client := resty.New().SetTimeout(loadTimeout)
	if key := n.settings.Upstreams.BearerKey; key != "" {
		client.SetAuthToken(key)
	}

	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()

	for {
		n.pollOnce(ctx, client)

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) pollOnce(ctx context.Context, client *resty.Client) {
	for _, service := range n.tree.Snapshot().Services {
		for _, upstream := range service.Upstreams {
			// A pool that is full skips this round; the next comes in a second.
			_ = n.background.Go(func() { n.pollUpstream(ctx, client, upstream.Address) })
		}
	}
}

func (n *Node) pollUpstream(ctx context.Context, client *resty.Client, address string) {
	var report loadReport

	response, err := client.R().SetContext(ctx).SetResult(&report).Get(address + "/load")
	if err != nil || response.IsError() {
		return
	}

	n.placer.Report(address, placer.Load{Running: report.Running, Waiting: report.Waiting})
}
