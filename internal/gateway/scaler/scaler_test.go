package scaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/scaler"
)

// fakePlatform applies orders immediately. If noSpot is true, spot orders have no effect.
type fakePlatform struct {
	planner  *scaler.Planner
	policy   scaler.Policy
	services []cataloguer.Service
	sizes    map[scaler.Pool]scaler.PoolSize
	noSpot   bool
}

func newFakePlatform(policy scaler.Policy, regular int) *fakePlatform {
	spot := 0.15
	p := &fakePlatform{
		planner: scaler.New(),
		policy:  policy,
		services: []cataloguer.Service{{Name: "engines", Scaling: &cataloguer.Scaling{
			Minimum: 1, Maximum: 60, SpotPrice: &spot, DomainPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
		}}, {Name: "calls"}},
		sizes: make(map[scaler.Pool]scaler.PoolSize),
	}

	for _, domain := range []string{"a", "b", "c"} {
		p.sizes[pool(domain)] = scaler.PoolSize{Regular: regular}
	}

	return p
}

func pool(domain string) scaler.Pool {
	return scaler.Pool{Service: "engines", FailureDomain: domain}
}

// applyPlan applies the orders of one plan and returns the total number of upstreams after it.
func (p *fakePlatform) applyPlan(t *testing.T) int {
	t.Helper()

	for _, order := range p.planner.Plan(0, p.policy, p.services, p.sizes) {
		s := p.sizes[order.Pool]

		switch {
		case !order.Spot:
			s.Regular = order.Count
		case !p.noSpot:
			s.Spot = order.Count
		}

		assert.Assert(t, s.Regular+s.Spot <= 60, "%s: %+v", order.FailureDomain, s)
		s.Draining = 0
		p.sizes[order.Pool] = s
	}

	return p.total()
}

func (p *fakePlatform) total() int {
	total := 0
	for _, s := range p.sizes {
		total += s.Regular + s.Spot
	}

	return total
}

// Guards against fewer upstreams than before while regular ones are replaced by spot ones.
func TestReplacementKeepsWhatStands(t *testing.T) {
	p := newFakePlatform(scaler.Policy{MinRegular: 1, MaxFraction: 1, MinFraction: 0.5}, 30)

	for range 6 {
		assert.Assert(t, p.applyPlan(t) >= 90)
	}

	for _, s := range p.sizes {
		assert.Equal(t, s, scaler.PoolSize{Regular: 1, Spot: 59})
	}
}

// Guards against a service that stays below its minimum while no spot upstreams are available, after those of two of three
// failure domains are reclaimed.
func TestRegularUpstreamsReplaceReclaimedOnes(t *testing.T) {
	p := newFakePlatform(scaler.Policy{MinRegular: 1, MaxFraction: 1, MinFraction: 0.5}, 30)

	for range 6 {
		p.applyPlan(t)
	}

	p.noSpot = true
	p.sizes[pool("b")] = scaler.PoolSize{Regular: 1, Draining: 59}
	p.applyPlan(t)
	assert.Equal(t, p.total(), 121)
	assert.Equal(t, p.sizes[pool("b")].Regular, 1)

	p.sizes[pool("a")] = scaler.PoolSize{Regular: 1, Draining: 59}
	p.applyPlan(t)
	assert.Equal(t, p.total(), 90)
	// The replacements are ordered in the cheapest failure domain.
	assert.Equal(t, p.sizes[pool("a")].Regular, 29)

	p.noSpot = false
	for range 4 {
		assert.Assert(t, p.applyPlan(t) >= 90)
	}

	for _, s := range p.sizes {
		assert.Equal(t, s, scaler.PoolSize{Regular: 1, Spot: 59})
	}
}

// Guards against a new holder that scales down running upstreams after it takes over.
func TestNewPlannerStartsFromWhatStands(t *testing.T) {
	for regular := range 61 {
		t.Run(fmt.Sprint(regular), func(t *testing.T) {
			p := newFakePlatform(scaler.Policy{MinRegular: 1, MaxFraction: 1, MinFraction: 0.5}, regular)
			before := p.total()

			for range 6 {
				assert.Assert(t, p.applyPlan(t) >= min(before, 90), "%+v", p.sizes)
			}
		})
	}
}

func TestUnscaledServicesAreIgnored(t *testing.T) {
	upstreams := []cataloguer.Upstream{{ID: "c", Service: "calls", FailureDomain: "a"}, {ID: "e", Service: "engines", FailureDomain: "a", Spot: true}}
	registry := cataloguer.NewRegistry(cataloguer.Listing{Upstreams: upstreams})
	p := newFakePlatform(scaler.Policy{}, 0)
	assert.DeepEqual(t, scaler.CountUpstreams(p.services, &registry.Upstreams), map[scaler.Pool]scaler.PoolSize{pool("a"): {Spot: 1}})
}
