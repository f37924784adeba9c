// Package placer implements power-of-two-choices load balancing. There is no
// shared queue: each node chooses upstreams on its own from load reports that
// lag. It is the baseline that the exact queue of a pool holder is compared with.
package placer

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// noUpstreamRetryAfter is the Retry-After of a request that no upstream of its service can take.
const noUpstreamRetryAfter = 2 * time.Second

// Load is the load that an upstream reported last; it lags behind the true load.
type Load struct {
	Running int
	Waiting int
}

// Snapshotter returns the settings that are in force.
type Snapshotter interface {
	Snapshot() configurer.Snapshot
}

// Weigher returns the share of its usual load that an upstream should get, from 0 (none) to 1 (all).
type Weigher interface {
	Weight(now time.Time, service, upstream string) float64
}

// PowerOfTwo chooses the less loaded of two random upstreams. It is safe for concurrent use.
type PowerOfTwo struct {
	settings Snapshotter
	// weigher is nil if all upstreams have the same weight.
	weigher Weigher

	mu sync.Mutex
	// loads is the latest report of each upstream, by address.
	loads map[string]Load
	// inFlight is the number of requests that this node has in flight at each upstream, by address; never negative.
	inFlight map[string]int
	random   *rand.Rand
}

// NewPowerOfTwo returns a PowerOfTwo whose random choices are seeded with seed.
func NewPowerOfTwo(settings Snapshotter, seed uint64) *PowerOfTwo {
	return &PowerOfTwo{
		settings: settings,
		loads:    make(map[string]Load),
		inFlight: make(map[string]int),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetWeigher makes Acquire skip upstreams of weight 0, such as stragglers and failing
// ones. Call it before the first request.
func (p *PowerOfTwo) SetWeigher(weigher Weigher) {
	p.weigher = weigher
}

// Report stores the load report of an upstream.
func (p *PowerOfTwo) Report(address string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.loads[address] = load
}

// Acquire implements dispatcher.SlotGranter. It chooses an upstream at once and never waits.
func (p *PowerOfTwo) Acquire(_ context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	service, ok := p.settings.Snapshot().Services[ask.Service]
	if !ok {
		return dispatcher.Slot{}, classifier.New(classifier.UnknownService, "service %q left the settings tree", ask.Service)
	}

	candidates := p.withoutZeroWeight(service.Name, usable(service, ask.Exclude))
	if len(candidates) == 0 {
		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no upstream of %q can take the request", ask.Service).After(noUpstreamRetryAfter)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	chosen := p.choose(candidates)
	if ask.Spare && p.loadOf(chosen) >= chosen.Slots {
		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no upstream of %q is known to have a free slot", ask.Service).After(noUpstreamRetryAfter)
	}

	p.inFlight[chosen.Address]++

	return dispatcher.Slot{ID: ask.RequestID, Upstream: chosen, Priority: service.Classes[ask.Class].Tier}, nil
}

// Release implements dispatcher.SlotGranter. It ends the count of a request as in flight.
func (p *PowerOfTwo) Release(slot dispatcher.Slot, _ dispatcher.SlotRequest, _ dispatcher.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.inFlight[slot.Upstream.Address]--
}

// withoutZeroWeight returns the candidates whose weight is above 0, or all of them if there are none.
func (p *PowerOfTwo) withoutZeroWeight(service string, candidates []configurer.Upstream) []configurer.Upstream {
	if p.weigher == nil {
		return candidates
	}

	now := time.Now()
	kept := make([]configurer.Upstream, 0, len(candidates))

	for _, upstream := range candidates {
		if p.weigher.Weight(now, service, upstream.Name) > 0 {
			kept = append(kept, upstream)
		}
	}

	if len(kept) == 0 {
		return candidates
	}

	return kept
}

func (p *PowerOfTwo) choose(candidates []configurer.Upstream) configurer.Upstream {
	first := candidates[p.random.IntN(len(candidates))]
	second := candidates[p.random.IntN(len(candidates))]

	if p.loadOf(second) < p.loadOf(first) {
		return second
	}

	return first
}

func (p *PowerOfTwo) loadOf(upstream configurer.Upstream) int {
	load := p.loads[upstream.Address]

	return max(load.Running+load.Waiting, p.inFlight[upstream.Address])
}

// usable returns the upstreams that are neither leaving nor excluded, sorted by name.
func usable(service configurer.Service, exclude []string) []configurer.Upstream {
	candidates := make([]configurer.Upstream, 0, len(service.Upstreams))

	for name, upstream := range service.Upstreams {
		if upstream.Leaving || slices.Contains(exclude, name) {
			continue
		}

		candidates = append(candidates, upstream)
	}

	slices.SortFunc(candidates, func(a, b configurer.Upstream) int { return strings.Compare(a.Name, b.Name) })

	return candidates
}
