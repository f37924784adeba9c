package broker

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// mutePeers takes all messages and answers no request for an upstream.
type mutePeers struct {
	mu sync.Mutex
	// asked are the nodes that were asked for an upstream, ended those that were told that a request was abandoned.
	asked, ended []string
}

func (p *mutePeers) Call(ctx context.Context, peer, method string, params, _ any) error {
	p.mu.Lock()

	if method == MethodChoose {
		p.asked = append(p.asked, peer)
		p.mu.Unlock()
		<-ctx.Done()

		return ctx.Err()
	}
	defer p.mu.Unlock()

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	var batch reportParams
	if err := json.Unmarshal(data, &batch); err != nil {
		return err
	}

	for _, r := range batch.Reports {
		if r.End != nil && *r.End == balancer.Abandoned {
			p.ended = append(p.ended, peer)
		}
	}

	return nil
}

func (p *mutePeers) Notify(ctx context.Context, peer, method string, params any) error {
	return p.Call(ctx, peer, method, params, nil)
}

// Guards against places that stay taken at a holder whose grant was lost, because the request was refused elsewhere.
func TestHolderThatDidNotAnswerHearsOfARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, peers := time.Now(), &mutePeers{}
		b := New(Options{
			Self: "n", Live: func() []string { return []string{"h1", "h2", "h3", "h4", "n"} }, Leaving: func() []string { return nil },
			LimitShare: func() float64 { return 1 }, Now: func() time.Duration { return time.Since(start) }, Peers: peers, Logger: zerolog.Nop(),
		})

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		go b.Run(ctx)

		// This node knows no upstreams, so its own decision is a refusal.
		_, ok := b.Choose(t.Context(), "s", balancer.Request{ID: "a", TimeLimit: time.Minute})
		assert.Assert(t, !ok)

		time.Sleep(time.Second)
		peers.mu.Lock()
		defer peers.mu.Unlock()

		assert.Assert(t, len(peers.asked) > 0)

		for _, holder := range peers.asked {
			assert.Assert(t, slices.Contains(peers.ended, holder), "%s may keep a place", holder)
		}
	})
}
