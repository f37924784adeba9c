package scaler_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/scaler"
)

const (
	// modelStep is the time between two plans of a model, modelDay the length of its run.
	modelStep = 250 * time.Millisecond
	modelDay  = 150 * time.Second
	bootTime  = 4 * time.Second
)

// model serves a load with the upstreams that a planner orders. Orders take effect after the boot time, reductions at once.
type model struct {
	planner  *scaler.Planner
	policy   scaler.Policy
	services []cataloguer.Service
	sizes    map[scaler.Pool]scaler.PoolSize
	orders   map[orderKey]int
	// booting holds when each ordered upstream will run.
	booting map[orderKey][]time.Duration
	random  *rand.Rand
	// unavailable is until when a failure domain has no spot upstreams.
	unavailable map[string]time.Duration
	// silent says at which times the demand isn't known.
	silent func(now time.Duration) bool

	arrived, inTime, cost float64
	// least and most are the smallest and the largest number of running upstreams after the first 20 s.
	least, most int
}

type orderKey struct {
	scaler.Pool
	spot bool
}

func newModel(byNeed bool) *model {
	spot := 0.15

	m := &model{
		planner: scaler.New(),
		policy:  scaler.Policy{MinRegular: 0, MaxFraction: 1, MinFraction: 0.75, ByNeed: byNeed},
		services: []cataloguer.Service{{Name: "engines", Scaling: &cataloguer.Scaling{
			Maximum: 60, SpotPrice: &spot, BootTime: bootTime, DomainPrices: map[string]float64{"a": 0.8, "b": 1, "c": 1.25},
		}}},
		sizes: make(map[scaler.Pool]scaler.PoolSize), orders: make(map[orderKey]int), booting: make(map[orderKey][]time.Duration),
		random: rand.New(rand.NewPCG(3, 3)), unavailable: make(map[string]time.Duration), least: 1000,
	}

	for _, domain := range []string{"a", "b", "c"} {
		m.sizes[pool(domain)] = scaler.PoolSize{Regular: 30}
		m.orders[orderKey{Pool: pool(domain)}] = 30
	}

	return m
}

// run serves a load, given in upstreams, over a day from the given time. reclaimAt is when the failure domain a is reclaimed
// for 10 s; negative for never.
func (m *model) run(from, until, reclaimAt time.Duration, load func(now time.Duration) float64) {
	for now := from; now < until; now += modelStep {
		if now == reclaimAt {
			m.unavailable["a"] = now + 10*time.Second
			s := m.sizes[pool("a")]
			m.sizes[pool("a")] = scaler.PoolSize{Regular: s.Regular, Draining: s.Spot}
			m.booting[orderKey{pool("a"), true}] = nil
		}

		m.serve(now, load(now))

		for _, order := range m.planner.Plan(now, m.policy, m.services, m.sizes) {
			m.orders[orderKey{order.Pool, order.Spot}] = order.Count
		}

		for key, count := range m.orders {
			m.apply(now, key, count)
		}
	}
}

// apply lets upstreams of one kind boot or drain.
func (m *model) apply(now time.Duration, key orderKey, count int) {
	s := m.sizes[key.Pool]

	running := &s.Regular
	if key.spot {
		running = &s.Spot
	}

	for len(m.booting[key]) > 0 && m.booting[key][0] <= now {
		m.booting[key] = m.booting[key][1:]
		*running++
	}

	for *running+len(m.booting[key]) < count && (!key.spot || now >= m.unavailable[key.FailureDomain]) {
		m.booting[key] = append(m.booting[key], now+bootTime)
	}

	for *running+len(m.booting[key]) > count && len(m.booting[key]) > 0 {
		m.booting[key] = m.booting[key][:len(m.booting[key])-1]
	}

	*running = min(*running, count)
	m.sizes[key.Pool] = s
}

// serve counts the requests in time: all up to a utilisation of 0.6, nine in ten at 1, and above it what the upstreams do.
func (m *model) serve(now time.Duration, load float64) {
	running := 0

	for p, s := range m.sizes {
		running += s.Regular + s.Spot
		price := m.services[0].Scaling.DomainPrices[p.FailureDomain]
		m.cost += price * (float64(s.Regular) + 0.15*float64(s.Spot)) * modelStep.Seconds()
	}

	if now >= 20*time.Second {
		m.least, m.most = min(m.least, running), max(m.most, running)
	}

	load *= 1 + 0.1*m.random.NormFloat64()
	utilisation := load / float64(running)
	share := 1.0

	switch {
	case utilisation > 1:
		share = 0.9 / utilisation
	case utilisation > 0.6:
		share = 1 - 0.1*(utilisation-0.6)*(utilisation-0.6)/0.16
	}

	m.arrived += load
	m.inTime += load * share

	// 20 requests keep one upstream busy for a second.
	if now%time.Second == 0 && (m.silent == nil || !m.silent(now)) {
		m.planner.Observe(now, "engines", scaler.Demand{
			Work: min(load, float64(running)), Running: running, Late: int(20 * load * (1 - share)), InProgress: int(10 * load),
		})
	}
}

func (m *model) share() float64 { return m.inTime / m.arrived }

func steady(time.Duration) float64 { return 20 }

// burstAt returns a load of 20 upstreams with a burst of a factor for 9 s.
func burstAt(start time.Duration, factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= start && now < start+9*time.Second {
			return 20 * factor
		}

		return 20
	}
}

// Guards against fewer requests in time than with as many upstreams as possible, and against orders that cost as much.
func TestNeededUpstreamsServeAsManyInTime(t *testing.T) {
	tests := map[string]struct {
		load      func(time.Duration) float64
		reclaimAt time.Duration
		// maxCost is the largest cost relative to full provisioning. It includes the start, where regular upstreams cost the
		// same in both.
		maxCost float64
		// maxLoss is the largest difference of the shares of requests in time.
		maxLoss float64
	}{
		"steady low load":           {steady, -1, 0.75, 0.002},
		"burst":                     {burstAt(60*time.Second, 2.8), -1, 0.8, 0.002},
		"burst at the start":        {burstAt(0, 2.8), -1, 0.9, 0.002},
		"burst just after the need": {burstAt(10*time.Second, 2.8), -1, 0.9, 0.002},
		"reclaim":                   {steady, 60 * time.Second, 0.8, 0.002},
		"reclaim in a burst":        {burstAt(60*time.Second, 2), 62 * time.Second, 0.9, 0.002},
		"burst after a reclaim":     {burstAt(60*time.Second, 2), 58 * time.Second, 0.9, 0.002},
		// The margin is that for a burst that doubles the load. A larger one that nobody saw before, together with a reclaim,
		// costs some requests until other upstreams have booted.
		"larger burst after a reclaim": {burstAt(60*time.Second, 2.8), 58 * time.Second, 0.9, 0.002},
		"load beyond all upstreams":    {func(time.Duration) float64 { return 200 }, -1, 1.01, 0},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			full, needed := newModel(false), newModel(true)
			full.run(0, modelDay, test.reclaimAt, test.load)
			needed.run(0, modelDay, test.reclaimAt, test.load)

			t.Logf("in time %.5f of %.5f, cost %.0f of %.0f, upstreams %d to %d of %d to %d",
				needed.share(), full.share(), needed.cost, full.cost, needed.least, needed.most, full.least, full.most)
			assert.Assert(t, needed.share() >= full.share()-test.maxLoss)
			assert.Assert(t, needed.cost <= test.maxCost*full.cost)
		})
	}
}

// Guards against orders that change while holders of pools are silent, for whatever time.
func TestTargetsStayWhileTheDemandIsUnknown(t *testing.T) {
	m := newModel(true)
	m.run(0, 30*time.Second, -1, steady)

	before := m.orders
	m.silent = func(time.Duration) bool { return true }
	m.orders = make(map[orderKey]int)
	m.run(30*time.Second, 2*time.Minute, -1, func(time.Duration) float64 { return 1 })

	assert.DeepEqual(t, m.orders, before)
}

// Guards against a service that keeps its first upstreams forever because nobody can tell the demand, as nodes of an older
// release can't.
func TestUnknownDemandEndsAsWithoutNeed(t *testing.T) {
	m, full := newModel(true), newModel(false)
	m.silent = func(time.Duration) bool { return true }
	m.run(0, time.Minute, -1, steady)
	full.run(0, time.Minute, -1, steady)

	assert.DeepEqual(t, m.orders, full.orders)
}

// Guards against fewer upstreams after the duties pass to another node: at any time of a day with a burst, also while regular
// upstreams are being replaced and while a failure domain is reclaimed. It measures nothing in its first 5 s.
func TestNextPlannerGoesOnWithoutAJump(t *testing.T) {
	for _, change := range []time.Duration{
		3 * time.Second, 5 * time.Second, 12 * time.Second, 30 * time.Second, 62 * time.Second, 64 * time.Second, 75 * time.Second,
	} {
		t.Run(change.String(), func(t *testing.T) {
			const reclaimAt = 58 * time.Second

			m := newModel(true)
			m.run(0, change, reclaimAt, burstAt(60*time.Second, 2))

			state, before := m.planner.State(change), maps.Clone(m.orders)
			m.planner = scaler.New()
			m.planner.Restore(change, state)
			m.silent = func(now time.Duration) bool { return now < change+5*time.Second }
			m.run(change, change+modelStep, reclaimAt, burstAt(60*time.Second, 2))
			assert.DeepEqual(t, m.orders, before)

			m.run(change+modelStep, modelDay, reclaimAt, burstAt(60*time.Second, 2))
			t.Logf("in time %.5f, cost %.0f", m.share(), m.cost)
			assert.Assert(t, m.share() >= 0.998)
		})
	}
}

// Guards against a record that says that regular upstreams were replaced where all upstreams were started anew.
func TestStoredReplacementThatIsNoLongerTrue(t *testing.T) {
	former := newModel(true)
	former.run(0, 30*time.Second, -1, steady)

	m := newModel(true)
	m.planner.Restore(0, former.planner.State(30*time.Second))
	m.run(0, 40*time.Second, -1, steady)
	t.Logf("in time %.5f, least %d", m.share(), m.least)
	assert.Equal(t, m.share(), 1.0)
}

// Guards against a failure domain that is used although cheaper ones suffice, and against one that is spared although the
// others could not do without it.
func TestMostExpensiveFailureDomainIsUsedLast(t *testing.T) {
	m := newModel(true)
	m.run(0, modelDay, -1, steady)

	a, b, c := m.sizes[pool("a")].Spot, m.sizes[pool("b")].Spot, m.sizes[pool("c")].Spot
	assert.Assert(t, a >= b && b >= c && c > 0, "%d, %d, %d", a, b, c)
	assert.Assert(t, b+c >= 57, "%d, %d, %d", a, b, c)
}

// Guards against plans that take long: a thousand upstreams in each of three failure domains.
func BenchmarkPlanByNeed(b *testing.B) {
	m := newModel(true)
	m.services[0].Scaling.Maximum = 3333

	now := time.Duration(0)
	for b.Loop() {
		m.planner.Observe(now, "engines", scaler.Demand{Work: 600, Running: 3000})
		m.planner.Plan(now, m.policy, m.services, m.sizes)

		now += time.Second
	}
}
