package scaler_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/scaler"
)

// market is a platform that carries out orders at once, within the limits, unless there are no spot upstreams.
type market struct {
	planner  *scaler.Planner
	policy   scaler.Policy
	services []cataloguer.Service
	standing map[scaler.Pool]scaler.PoolSize
	dry      bool
}

func newMarket(policy scaler.Policy, regular int) *market {
	spot := 0.15
	m := &market{
		planner: scaler.New(),
		policy:  policy,
		services: []cataloguer.Service{{Name: "engines", Scaling: &cataloguer.Scaling{
			Minimum: 1, Maximum: 60, SpotPrice: &spot, DomainPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
		}}, {Name: "calls"}},
		standing: make(map[scaler.Pool]scaler.PoolSize),
	}

	for _, domain := range []string{"a", "b", "c"} {
		m.standing[pool(domain)] = scaler.PoolSize{Regular: regular}
	}

	return m
}

func pool(domain string) scaler.Pool {
	return scaler.Pool{Service: "engines", FailureDomain: domain}
}

// step carries out one plan. It returns the least number that stood in all pools together.
func (m *market) step(t *testing.T) int {
	t.Helper()

	for _, order := range m.planner.Plan(m.policy, m.services, m.standing) {
		s := m.standing[order.Pool]

		switch {
		case !order.Spot:
			s.Regular = order.Count
		case !m.dry:
			s.Spot = order.Count
		}

		assert.Assert(t, s.Regular+s.Spot <= 60, "%s: %+v", order.FailureDomain, s)
		s.Draining = 0
		m.standing[order.Pool] = s
	}

	return m.total()
}

func (m *market) total() int {
	total := 0
	for _, s := range m.standing {
		total += s.Regular + s.Spot
	}

	return total
}

// Guards against a moment with fewer upstreams than before while regular ones are replaced by spot ones.
func TestReplacementKeepsWhatStands(t *testing.T) {
	m := newMarket(scaler.Policy{MinRegular: 1, MaxFraction: 1, MinFraction: 0.5}, 30)

	for range 6 {
		assert.Assert(t, m.step(t) >= 90)
	}

	for _, s := range m.standing {
		assert.Equal(t, s, scaler.PoolSize{Regular: 1, Spot: 59})
	}
}

// Load: the spot upstreams of two of three failure domains are taken away at once, and no others are to be had. Guards
// against a service that stays without them for as long.
func TestRegularUpstreamsReplaceReclaimedOnes(t *testing.T) {
	m := newMarket(scaler.Policy{MinRegular: 1, MaxFraction: 1, MinFraction: 0.5}, 30)

	for range 6 {
		m.step(t)
	}

	m.dry = true
	m.standing[pool("b")] = scaler.PoolSize{Regular: 1, Draining: 59}
	m.step(t)
	assert.Equal(t, m.total(), 121)
	assert.Equal(t, m.standing[pool("b")].Regular, 1)

	m.standing[pool("a")] = scaler.PoolSize{Regular: 1, Draining: 59}
	m.step(t)
	assert.Equal(t, m.total(), 90)
	// The cheapest failure domain takes them.
	assert.Equal(t, m.standing[pool("a")].Regular, 29)

	m.dry = false
	for range 4 {
		assert.Assert(t, m.step(t) >= 90)
	}

	for _, s := range m.standing {
		assert.Equal(t, s, scaler.PoolSize{Regular: 1, Spot: 59})
	}
}

// Guards against a holder that has just taken over and gives up what stands.
func TestNewPlannerStartsFromWhatStands(t *testing.T) {
	for regular := range 61 {
		t.Run(fmt.Sprint(regular), func(t *testing.T) {
			m := newMarket(scaler.Policy{MinRegular: 1, MaxFraction: 1, MinFraction: 0.5}, regular)
			before := m.total()

			for range 6 {
				assert.Assert(t, m.step(t) >= min(before, 90), "%+v", m.standing)
			}
		})
	}
}

func TestServicesThatCantBeScaledAreLeftAlone(t *testing.T) {
	upstreams := []cataloguer.Upstream{{Service: "calls", FailureDomain: "a"}, {Service: "engines", FailureDomain: "a", Spot: true}}
	m := newMarket(scaler.Policy{}, 0)
	assert.DeepEqual(t, scaler.CountUpstreams(m.services, upstreams), map[scaler.Pool]scaler.PoolSize{pool("a"): {Spot: 1}})
}
