// Package placer chooses upstreams without a shared queue: every node decides
// for itself from load reports that lag. It is the baseline policy that the
// exact queue of a pool holder is measured against.
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

// noUpstreamWait is what a caller is told when no upstream of a service can be chosen.
const noUpstreamWait = 2 * time.Second

// Load is one lagged load report of an upstream.
type Load struct {
	Running int
	Waiting int
}

// Snapshotter gives the settings that are in force.
type Snapshotter interface {
	Snapshot() configurer.Snapshot
}

// Weigher says how much of its usual work an upstream should get, from 0 (none) to 1 (all).
type Weigher interface {
	Weight(now time.Time, service, upstream string) float64
}

// PowerOfTwo picks the less loaded of two random upstreams. It is safe for concurrent use.
type PowerOfTwo struct {
	settings Snapshotter
	// weigher is nil when all upstreams count alike.
	weigher Weigher

	mu sync.Mutex
	// loads holds the last report of each upstream, by address.
	loads map[string]Load
	// sent counts the requests that this node has at each upstream, by address; never negative.
	sent   map[string]int
	random *rand.Rand
}

// NewPowerOfTwo returns the baseline policy with its own random seed.
func NewPowerOfTwo(settings Snapshotter, seed uint64) *PowerOfTwo {
	return &PowerOfTwo{
		settings: settings,
		loads:    make(map[string]Load),
		sent:     make(map[string]int),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetWeigher has stragglers and failing upstreams get less work. Call it before the first request.
func (p *PowerOfTwo) SetWeigher(weigher Weigher) {
	p.weigher = weigher
}

// Report stores a load report.
func (p *PowerOfTwo) Report(address string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.loads[address] = load
}

// Acquire chooses an upstream at once; it never waits.
func (p *PowerOfTwo) Acquire(_ context.Context, ask dispatcher.Ask) (dispatcher.Slot, error) {
	service, ok := p.settings.Snapshot().Services[ask.Service]
	if !ok {
		return dispatcher.Slot{}, classifier.New(classifier.UnknownService, "service %q left the settings tree", ask.Service)
	}

	candidates := p.weighed(service.Name, usable(service, ask.Exclude))
	if len(candidates) == 0 {
		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no upstream of %q can take the request", ask.Service).After(noUpstreamWait)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	chosen := p.choose(candidates)
	if ask.Spare && p.loadOf(chosen) >= chosen.Slots {
		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no upstream of %q is known to have a free slot", ask.Service).After(noUpstreamWait)
	}

	p.sent[chosen.Address]++

	return dispatcher.Slot{ID: ask.RequestID, Upstream: chosen, Priority: service.Classes[ask.Class].Tier}, nil
}

// Release forgets a request that was sent.
func (p *PowerOfTwo) Release(slot dispatcher.Slot, _ dispatcher.Ask, _ dispatcher.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.sent[slot.Upstream.Address]--
}

// weighed leaves out upstreams that should get nothing now, unless none would be left.
func (p *PowerOfTwo) weighed(service string, candidates []configurer.Upstream) []configurer.Upstream {
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

	return max(load.Running+load.Waiting, p.sent[upstream.Address])
}

// usable lists the upstreams that are neither leaving nor excluded, in name order.
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
