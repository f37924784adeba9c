package supporter

import (
	"context"
	"sync"
)

// Gate holds callers back while it is shut. The zero value is open.
type Gate struct {
	mu   sync.Mutex
	open chan struct{}
}

// Set shuts or opens the gate; opening lets all callers through.
func (g *Gate) Set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut == (g.open != nil) {
		return
	}
	if shut {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
	g.open = nil
}

// Pass returns once the gate is open, or with the context's error.
func (g *Gate) Pass(ctx context.Context) error {
	for {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		if open == nil {
			return ctx.Err()
		}
		select {
		case <-open:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
