package broker

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

const (
	// MethodUtilisation asks a holder for the utilisation of its pools.
	MethodUtilisation = "pool.utilisation"
	// utilisationTimeout limits a call of MethodUtilisation.
	utilisationTimeout = 300 * time.Millisecond
	// utilisationWorkers is the number of holders that are asked concurrently.
	utilisationWorkers = 16
	// refusalRetention is how long refusals are kept for the next call. A node that becomes the holder of a pool doesn't
	// tell of those that it made on its own long before.
	refusalRetention = 3 * time.Second
)

type utilisationParams struct {
	Pools []string `json:"p"`
}

// utilisationResult holds the utilisation of the pools that the node has known for long enough, by name.
type utilisationResult struct {
	Pools map[string]balancer.Utilisation `json:"u"`
}

// refusalCounter counts the requests that this node refused as the holder of pools. The zero value is ready for use. It is
// safe for concurrent use.
type refusalCounter struct {
	mu       sync.Mutex
	refusals map[string]refusals
}

// refusals are the refusals of one pool.
type refusals struct {
	count  int
	lastAt time.Time
}

func (c *refusalCounter) record(pool string, refused bool) {
	if !refused {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.refusals == nil {
		c.refusals = make(map[string]refusals)
	}

	c.refusals[pool] = refusals{count: c.refusals[pool].count + 1, lastAt: time.Now()}
}

// take returns the number of requests that were refused since the last call, or 0 if the last one was refused longer ago
// than refusalRetention.
func (c *refusalCounter) take(pool string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	taken := c.refusals[pool]
	delete(c.refusals, pool)

	if time.Since(taken.lastAt) > refusalRetention {
		return 0
	}

	return taken.count
}

// HandleUtilisation handles MethodUtilisation.
func (b *Broker) HandleUtilisation(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request utilisationParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}

	return b.measureOwn(request.Pools), nil
}

// measureOwn returns the utilisation of the pools that this node receives all reports of. Others are left out.
func (b *Broker) measureOwn(pools []string) utilisationResult {
	result := utilisationResult{Pools: make(map[string]balancer.Utilisation, len(pools))}

	for _, name := range pools {
		if !b.isReady(name) {
			continue
		}

		if u, known := b.pool(name).Utilisation(time.Now()); known {
			u.Refused = b.refusals.take(name)
			result.Pools[name] = u
		}
	}

	return result
}

// Utilisation asks the holders for the utilisation of the pools of the given services, and the standbys for that of pools
// whose holders don't know it. A service is left out unless all of its pools are known. Late and refused requests count only
// in pools that are busy. It takes at most twice utilisationTimeout, and some more where there are more holders than workers.
func (b *Broker) Utilisation(ctx context.Context, services []string) map[string]balancer.Utilisation {
	pools := make(map[string]string)

	b.mu.Lock()
	for _, service := range services {
		if known, ok := b.services[service]; ok {
			for partition := range known.partitions {
				pools[poolName(service, partition)] = service
			}
		}
	}
	b.mu.Unlock()

	measured := make(map[string]balancer.Utilisation, len(pools))
	for rank := range holdersPerPool {
		b.measure(ctx, rank, pools, measured)
	}

	sums := make(map[string]balancer.Utilisation)
	unknown := make(map[string]bool)

	for name, service := range pools {
		u, ok := measured[name]
		unknown[service] = unknown[service] || !ok

		if !u.IsBusy() {
			// These are late for other reasons, such as a crash of their server or node, and need no more servers.
			u.Late, u.Refused = 0, 0
		}

		sums[service] = addUtilisation(sums[service], u)
	}

	for service := range unknown {
		if unknown[service] {
			delete(sums, service)
		}
	}

	return sums
}

// measure adds the utilisation of the pools that aren't measured yet. It asks the nodes of a rank: 0 for the holders, 1 for
// the standbys.
func (b *Broker) measure(ctx context.Context, rank int, pools map[string]string, measured map[string]balancer.Utilisation) {
	byNode := make(map[string][]string)

	for name := range pools {
		if _, ok := measured[name]; ok {
			continue
		}

		if holders := b.holdersOf(name); rank < len(holders) {
			byNode[holders[rank]] = append(byNode[holders[rank]], name)
		}
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	var mu sync.Mutex

	calls := pond.NewPool(utilisationWorkers, pond.WithContext(ctx)).NewGroup()

	for node, names := range byNode {
		calls.Submit(func() {
			result := b.askUtilisation(ctx, node, names)

			mu.Lock()
			defer mu.Unlock()

			for _, name := range names {
				if u, ok := result.Pools[name]; ok {
					measured[name] = u
				}
			}
		})
	}

	// The only possible error is that ctx is done.
	_ = calls.Wait()
}

func (b *Broker) askUtilisation(ctx context.Context, node string, pools []string) utilisationResult {
	if node == b.options.Self {
		return b.measureOwn(pools)
	}

	ctx, cancel := context.WithTimeout(ctx, utilisationTimeout)
	defer cancel()

	var result utilisationResult

	if err := b.options.Peers.Call(ctx, node, MethodUtilisation, utilisationParams{Pools: pools}, &result); err != nil {
		b.options.Logger.Debug().Err(err).Str("peer", node).Msg("utilisation_not_told")

		return utilisationResult{}
	}

	return result
}

func addUtilisation(a, b balancer.Utilisation) balancer.Utilisation {
	return balancer.Utilisation{
		Servers:     a.Servers + b.Servers,
		PrefillLoad: a.PrefillLoad + b.PrefillLoad,
		SlotLoad:    a.SlotLoad + b.SlotLoad,
		MemoryLoad:  a.MemoryLoad + b.MemoryLoad,
		InProgress:  a.InProgress + b.InProgress,
		Queued:      a.Queued + b.Queued,
		Late:        a.Late + b.Late,
		Refused:     a.Refused + b.Refused,
	}
}
