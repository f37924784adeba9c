// Package broker asks for the upstream of each request and tells what became of it.
package broker

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// Broker keeps one pool for each service. It is safe for concurrent use.
type Broker struct {
	mu    sync.RWMutex
	pools map[string]*balancer.Pool
}

// New returns a broker without services.
func New() *Broker {
	return &Broker{pools: make(map[string]*balancer.Pool)}
}

// Update takes in the services and upstreams of a state.
func (b *Broker) Update(state *cataloguer.State) {
	upstreams := make(map[string][]balancer.Upstream)

	for _, upstream := range state.Registry.Upstreams {
		upstreams[upstream.Service] = append(upstreams[upstream.Service], balancer.Upstream{
			ID:       upstream.ID,
			Address:  upstream.Address,
			Slots:    upstream.Slots,
			Draining: upstream.Draining,
		})
	}

	now := time.Now()

	for _, service := range state.Configuration.Services {
		engine := balancer.Engine{}
		if service.Engine != nil {
			engine = balancer.Engine{CacheTokens: service.Engine.CacheTokens, EventTokens: service.Engine.EventTokens}
		}

		b.pool(service.Name).SetUpstreams(now, upstreams[service.Name], engine)
	}

	b.dropOthers(state.Configuration.Services)
}

func (b *Broker) dropOthers(services []cataloguer.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for name := range b.pools {
		if !slices.ContainsFunc(services, func(s cataloguer.Service) bool { return s.Name == name }) {
			delete(b.pools, name)
		}
	}
}

func (b *Broker) pool(service string) *balancer.Pool {
	b.mu.RLock()
	pool, ok := b.pools[service]
	b.mu.RUnlock()

	if ok {
		return pool
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	if pool, ok := b.pools[service]; ok {
		return pool
	}

	pool = balancer.NewPool()
	b.pools[service] = pool

	return pool
}

// Choose implements relayer.Chooser.
func (b *Broker) Choose(_ context.Context, service string, work balancer.Work) (balancer.Choice, bool) {
	return b.pool(service).Choose(time.Now(), work)
}

// First implements relayer.Chooser.
func (b *Broker) First(service, id string) {
	b.pool(service).First(time.Now(), id)
}

// End implements relayer.Chooser.
func (b *Broker) End(service, id string, outcome balancer.Outcome) {
	b.pool(service).End(time.Now(), id, outcome)
}
