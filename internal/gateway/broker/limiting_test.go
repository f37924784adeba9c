package broker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window an upstream gets at most limitFactor times
	// what its limit allows, plus limitSlack requests. It holds from limitSettlingTime after the limit was named.
	limitWindow       = 4 * time.Second
	limitFactor       = 1.5
	limitSlack        = 5
	limitSettlingTime = 3 * time.Second
	// detectionTime is how long a node takes to notice that another one is down or up again, at most.
	detectionTime = 3 * time.Second
	// notifyTimeout is how long a notification to a node that doesn't answer takes.
	notifyTimeout = time.Second
	// storeDelay is how long a change in the store takes to reach all nodes.
	storeDelay = 200 * time.Millisecond
	// limitWorkTime is how long an upstream works on a request.
	limitWorkTime = 20 * time.Millisecond
)

// limitedUpstream names a rate limit and records the arrivals.
type limitedUpstream struct {
	rate     float64
	arrivals []time.Time
}

// limitNode is a node of a limitFleet.
type limitNode struct {
	*broker.Broker

	name   string
	cancel context.CancelFunc
	// down is set while the process doesn't run, frozen while it stands still.
	down, frozen bool
	// side is the side of a cut on which the node is.
	side int
	// changedAt is when the node last went down, came up or changed sides. Other nodes notice up to detectionTime later.
	changedAt time.Time
	// formerSide and wasUp are what others believe until then.
	formerSide int
	wasUp      bool
	// isRouting is set once the node knows the registry.
	isRouting bool
	leaving   bool
}

// limitFleet is a fleet of brokers with upstreams that name rate limits, a store and callers.
type limitFleet struct {
	ctx    context.Context
	random *rand.Rand
	// sendOne sends a request through a node.
	sendOne func(n *limitNode) bool

	mu        sync.Mutex
	nodes     []*limitNode
	upstreams []*limitedUpstream
	// listing is what the store lists.
	listing   cataloguer.Listing
	storeAway bool
	sent      int
	// refusals counts the refused requests, waits holds the waits that they were told.
	refusals int
	waits    []float64
}

// lockedSource is a random source for callers and faults at once.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.source.Uint64()
}

func newLimitFleet(ctx context.Context, seed uint64, nodes, upstreams int) *limitFleet {
	f := &limitFleet{ctx: ctx, random: rand.New(&lockedSource{source: rand.NewPCG(seed, 1)})}
	f.sendOne = f.send
	f.listing.Revision = 1

	for i := range upstreams {
		f.upstreams = append(f.upstreams, &limitedUpstream{})
		f.listing.Upstreams = append(f.listing.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("u", i), Born: 1, Service: service, Slots: 1000})
	}

	for range nodes {
		f.addNode()
	}

	return f
}

// addNode adds a node to the list and starts it.
func (f *limitFleet) addNode() {
	n := &limitNode{name: fmt.Sprint("n", len(f.nodes))}

	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.listing.Nodes = append(f.listing.Nodes, cataloguer.Node{Name: n.name})
	f.mu.Unlock()

	f.start(n)
}

// start starts a process that knows nothing but what the store holds.
func (f *limitFleet) start(n *limitNode) {
	ctx, cancel := context.WithCancel(f.ctx)
	options := nodeOptions(n.name, func() []string { return f.liveSeenBy(n) }, limitLink{f, n})
	options.Leaving = func() []string { return f.leaving(n) }
	options.LimitShare = func() float64 { return throttler.Share(len(f.liveSeenBy(n)), len(f.listed())) }
	node := broker.New(options)

	f.mu.Lock()
	n.Broker, n.cancel, n.isRouting, n.leaving, n.frozen = node, cancel, false, false, false
	f.mu.Unlock()
	f.change(n, func() { n.down = false })

	go node.Run(ctx)
	go f.followStore(ctx, n, node)
}

// stop ends the process of a node.
func (f *limitFleet) stop(n *limitNode) {
	f.change(n, func() { n.down = true })
	n.cancel()
}

// change applies a change that other nodes notice late.
func (f *limitFleet) change(n *limitNode, apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if time.Since(n.changedAt) >= detectionTime {
		n.wasUp, n.formerSide = !n.down && !n.frozen, n.side
	}

	apply()

	n.changedAt = time.Now()
}

// leaving returns the leaving nodes that a node reaches.
func (f *limitFleet) leaving(n *limitNode) []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var names []string

	for _, other := range f.nodes {
		if other != n && other.leaving && !other.down && !other.frozen && other.side == n.side {
			names = append(names, other.name)
		}
	}

	return names
}

func (f *limitFleet) listed() []cataloguer.Node {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.listing.Nodes
}

// liveSeenBy returns the nodes that the node considers live. It notices each change after a time of its own.
func (f *limitFleet) liveSeenBy(n *limitNode) []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var live []string

	for i, other := range f.nodes {
		up, side := !other.down && !other.frozen, other.side
		noticed := time.Duration((i*7+len(n.name)*3+int(n.name[len(n.name)-1]))%10+1) * detectionTime / 10

		if time.Since(other.changedAt) < noticed || time.Since(n.changedAt) < noticed && n.side != n.formerSide {
			up, side = other.wasUp, n.side
		}

		if !other.leaving && (other == n || up && side == n.side) {
			live = append(live, other.name)
		}
	}

	return live
}

// followStore writes limits to the store and reads it.
func (f *limitFleet) followStore(ctx context.Context, n *limitNode, node *broker.Broker) {
	for sleeper.Sleep(ctx, storeDelay) {
		f.mu.Lock()
		away, listing := f.storeAway, f.listing
		frozen := n.frozen
		f.mu.Unlock()

		if away || frozen {
			continue
		}

		node.Update(serviceState(listing))

		put, remove := node.UnstoredLimits()

		f.mu.Lock()
		n.isRouting = true

		limits := slices.DeleteFunc(slices.Clone(f.listing.Limits), func(l throttler.Limit) bool {
			return slices.Contains(remove, l.Upstream) || slices.ContainsFunc(put, func(p throttler.Limit) bool { return p.Upstream == l.Upstream })
		})
		f.listing.Limits = slices.Concat(limits, put)
		f.mu.Unlock()
	}
}

// limitLink connects one node to the fleet.
type limitLink struct {
	fleet *limitFleet
	self  *limitNode
}

func (l limitLink) Call(ctx context.Context, peer, method string, params, result any) error {
	f := l.fleet

	f.mu.Lock()

	var (
		node   *broker.Broker
		silent = true
	)

	for _, other := range f.nodes {
		if other.name == peer {
			node = other.Broker
			silent = other.down || other.frozen || l.self.frozen || other.side != l.self.side
		}
	}
	f.mu.Unlock()

	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	return deliver(ctx, node, l.self.name, method, params, result)
}

func (l limitLink) Notify(ctx context.Context, peer, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()

	return l.Call(ctx, peer, method, params, nil)
}

// send sends a request through a node and reports whether an upstream got it.
func (f *limitFleet) send(n *limitNode) bool {
	f.mu.Lock()
	f.sent++
	id, node := fmt.Sprint("r", f.sent), n.Broker
	serves := !n.down && !n.frozen && n.isRouting
	f.mu.Unlock()

	if !serves {
		return false
	}

	request := balancer.Request{ID: id, TimeLimit: 2 * time.Second, Target: 300 * time.Millisecond}

	choice, ok := node.Choose(f.ctx, service, request)
	if !ok {
		f.mu.Lock()
		f.refusals++
		f.waits = append(f.waits, choice.LimitWaitMS)
		f.mu.Unlock()

		return false
	}

	if !node.MayUse(choice) {
		node.RecordEnd(id, balancer.Abandoned)

		return false
	}

	f.mu.Lock()

	var upstream *limitedUpstream

	for i, u := range f.listing.Upstreams {
		if u.ID == choice.Upstream {
			upstream = f.upstreams[i]
		}
	}

	upstream.arrivals = append(upstream.arrivals, time.Now())
	f.mu.Unlock()

	time.Sleep(limitWorkTime)

	f.mu.Lock()
	rate, gone := upstream.rate, n.Broker != node || n.down
	f.mu.Unlock()

	if !gone {
		node.RecordRateLimit(id, rate, rate > 0)
		node.RecordEnd(id, balancer.Served)
	}

	return true
}

// run sends the given number of requests a second, spread over the nodes, for the given time.
func (f *limitFleet) run(perSecond float64, d time.Duration) {
	var pending sync.WaitGroup

	for end := time.Now().Add(d); time.Now().Before(end); {
		f.mu.Lock()
		n := f.nodes[f.random.IntN(len(f.nodes))]
		pause := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		f.mu.Unlock()

		pending.Go(func() { f.sendOne(n) })
		time.Sleep(pause)
	}

	pending.Wait()
}

func (f *limitFleet) setRate(upstream int, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.upstreams[upstream].rate = rate
}

func (f *limitFleet) count(upstream int) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.upstreams[upstream].arrivals)
}

// worstWindow returns the largest number of arrivals at an upstream in a window that begins at from or later.
func (f *limitFleet) worstWindow(upstream int, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	worst := 0

	arrivals := f.upstreams[upstream].arrivals
	for i, begin := range arrivals {
		if begin.Before(from) {
			continue
		}

		end, _ := slices.BinarySearchFunc(arrivals, begin.Add(limitWindow), time.Time.Compare)
		worst = max(worst, end-i)
	}

	return worst
}

// holder returns the node that holds the pool by the belief of most nodes.
func (f *limitFleet) holder() *limitNode {
	votes := make(map[string]int)

	for _, n := range f.nodes {
		if !n.down && !n.frozen {
			votes[n.Stats(time.Now())[service+"/0"].Holder]++
		}
	}

	best := f.nodes[0]

	for _, n := range f.nodes {
		if votes[n.name] > votes[best.name] {
			best = n
		}
	}

	return best
}

func withLimitFleet(t *testing.T, seed uint64, nodes, upstreams int, run func(*testing.T, *limitFleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		f := newLimitFleet(ctx, seed, nodes, upstreams)
		// Wait until all nodes know each other and the holders have warmed up.
		time.Sleep(detectionTime + 8*time.Second)
		run(t, f)
		cancel()
		synctest.Wait()
	})
}

func allowedInWindow(rate float64) int {
	return int(limitFactor*rate*limitWindow.Seconds() + limitSlack)
}

// Guards against nodes that keep a rate limit each by itself, and against limits of which a part is left.
func TestUpstreamGetsTheRateThatItNames(t *testing.T) {
	for _, nodes := range []int{1, 6, 65, 370} {
		for _, rate := range []float64{0.3, 4.6, 30} {
			if nodes == 370 && rate == 4.6 {
				// The two others take a quarter of a minute each.
				continue
			}

			t.Run(fmt.Sprint(nodes, "/", rate), func(t *testing.T) {
				t.Parallel()
				withLimitFleet(t, 1, nodes, 2, func(t *testing.T, f *limitFleet) {
					f.setRate(0, rate)
					f.setRate(1, rate)

					named := time.Now()
					f.run(4*rate+20, limitSettlingTime)

					before := f.count(0)

					const span = 30 * time.Second

					f.run(4*rate+20, span)

					got, offered := f.count(0)-before, rate*span.Seconds()
					worst := f.worstWindow(0, named.Add(limitSettlingTime))
					t.Logf("%d requests of %.0f, %d in the worst window", got, offered, worst)
					assert.Assert(t, worst <= allowedInWindow(rate), "%d requests in a window, %d are allowed", worst, allowedInWindow(rate))
					assert.Assert(t, float64(got) >= 0.9*offered-1, "%d requests, %.0f are offered", got, offered)
				})
			})
		}
	}
}

// limitScenarios are faults during which a rate limit must hold. Each takes some 20 seconds.
var limitScenarios = map[string]func(f *limitFleet, perSecond float64){
	"the holder is killed": func(f *limitFleet, perSecond float64) {
		holder := f.holder()
		f.stop(holder)
		f.run(perSecond, time.Second)
		f.start(holder)
		f.run(perSecond, 15*time.Second)
	},
	"the holder leaves": func(f *limitFleet, perSecond float64) {
		holder := f.holder()
		f.mu.Lock()
		holder.leaving = true
		f.mu.Unlock()
		f.run(perSecond, 4*time.Second)
		f.stop(holder)
		f.start(holder)
		f.run(perSecond, 12*time.Second)
	},
	"the holder stands still": func(f *limitFleet, perSecond float64) {
		holder := f.holder()
		f.change(holder, func() { holder.frozen = true })
		f.run(perSecond, 5*time.Second)
		f.change(holder, func() { holder.frozen = false })
		f.run(perSecond, 12*time.Second)
	},
	"nodes restart in turn": func(f *limitFleet, perSecond float64) {
		for _, n := range slices.Clone(f.nodes[:min(len(f.nodes), 9)]) {
			f.stop(n)
			f.run(perSecond, time.Second)
			f.start(n)
			f.run(perSecond, time.Second)
		}
	},
	"all nodes restart": func(f *limitFleet, perSecond float64) {
		for _, n := range f.nodes {
			f.stop(n)
		}

		time.Sleep(500 * time.Millisecond)

		for _, n := range f.nodes {
			f.start(n)
		}

		f.run(perSecond, 15*time.Second)
	},
	"the nodes double": func(f *limitFleet, perSecond float64) {
		for range len(f.nodes) {
			f.addNode()
		}

		f.run(perSecond, 15*time.Second)
	},
	"a third is cut off": func(f *limitFleet, perSecond float64) { cut(f, perSecond, len(f.nodes)/3) },
	"a half is cut off":  func(f *limitFleet, perSecond float64) { cut(f, perSecond, len(f.nodes)/2) },
	"the store is away, and nodes restart": func(f *limitFleet, perSecond float64) {
		f.mu.Lock()
		f.storeAway = true
		f.mu.Unlock()

		holder := f.holder()
		f.stop(holder)
		f.run(perSecond, 8*time.Second)

		next := f.holder()
		f.stop(next)
		f.start(holder)
		f.run(perSecond, 8*time.Second)

		f.mu.Lock()
		f.storeAway = false
		f.mu.Unlock()

		f.start(next)
		f.run(perSecond, 6*time.Second)
	},
}

// cut separates the holder and some other nodes from the rest, and joins them again.
func cut(f *limitFleet, perSecond float64, count int) {
	holder := f.holder()
	side := []*limitNode{holder}

	for _, n := range f.nodes {
		if n != holder && len(side) < max(count, 1) {
			side = append(side, n)
		}
	}

	for _, n := range side {
		f.change(n, func() { n.side = 1 })
	}

	f.run(perSecond, 10*time.Second)

	for _, n := range side {
		f.change(n, func() { n.side = 0 })
	}

	f.run(perSecond, 10*time.Second)
}

// Guards against a rate limit that holds only while all nodes are sound: with two nodes that decide at once, or one that
// has forgotten what was sent, or the limit, an upstream gets a multiple of what it takes.
func TestRateLimitHoldsThroughFaults(t *testing.T) {
	for name, scenario := range limitScenarios {
		for _, nodes := range []int{6, 9, 65} {
			for _, rate := range []float64{0.5, 2, 20} {
				if nodes == 65 && rate == 2 {
					continue
				}

				t.Run(fmt.Sprint(name, "/", nodes, "/", rate), func(t *testing.T) {
					t.Parallel()
					withLimitFleet(t, 1, nodes, 2, func(t *testing.T, f *limitFleet) {
						perSecond := 3*rate + 20
						f.setRate(0, rate)
						f.setRate(1, rate)

						named := time.Now()
						f.run(perSecond, limitSettlingTime+time.Second)
						before := f.count(0)
						scenario(f, perSecond)

						worst := f.worstWindow(0, named.Add(limitSettlingTime))
						t.Logf("%d requests in the worst window, %d in all", worst, f.count(0)-before)
						assert.Assert(t, worst <= allowedInWindow(rate), "%d requests in a window, %d are allowed", worst, allowedInWindow(rate))

						// The limit is used again once the nodes are well.
						before = f.count(0)
						f.run(perSecond, 12*time.Second)
						f.run(perSecond, 10*time.Second)
						assert.Assert(t, float64(f.count(0)-before) >= 0.5*rate*22-1, "%d requests in 22 s after the fault", f.count(0)-before)
					})
				})
			}
		}
	}
}

// randomFault applies a fault that is chosen at random.
func (f *limitFleet) randomFault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if f.random.IntN(3) == 0 {
		n = f.holder()
	}

	f.mu.Lock()
	down, frozen, leaving := n.down, n.frozen, n.leaving
	f.mu.Unlock()

	switch kind := f.random.IntN(8); {
	case down:
		f.start(n)
	case frozen:
		f.change(n, func() { n.frozen = false })
	case leaving:
		f.stop(n)
	case kind == 0:
		f.stop(n)
	case kind == 1:
		f.change(n, func() { n.frozen = true })
	case kind == 2:
		f.mu.Lock()
		n.leaving = true
		f.mu.Unlock()
	case kind == 3:
		f.addNode()
	case kind == 4:
		f.mu.Lock()
		f.storeAway = !f.storeAway
		f.mu.Unlock()
	case kind == 5:
		f.cutOrHeal()
	}
}

// cutOrHeal cuts a random side off, or ends a cut.
func (f *limitFleet) cutOrHeal() {
	isCut := slices.ContainsFunc(f.nodes, func(n *limitNode) bool { return n.side != 0 })

	for _, n := range slices.Clone(f.nodes) {
		if n.side != 0 || !isCut && f.random.IntN(3) == 0 {
			f.change(n, func() { n.side = 1 - n.side })
		}
	}
}

// Guards against a series of faults through which nodes send an upstream more than the rate that it names.
func TestRateLimitHoldsOnRandomDays(t *testing.T) {
	for seed := range uint64(randomLimitDays()) {
		rate := []float64{0.5, 3, 25}[seed%3]

		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			withLimitFleet(t, seed, 6+int(seed%5), 2, func(t *testing.T, f *limitFleet) {
				f.setRate(0, rate)
				f.setRate(1, rate)

				named := time.Now()
				f.run(3*rate+20, limitSettlingTime+time.Second)

				var callers sync.WaitGroup

				callers.Go(func() { f.run(3*rate+20, 60*time.Second) })

				for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
					time.Sleep(time.Duration(f.random.IntN(3000)+50) * time.Millisecond)
					f.randomFault()
				}

				callers.Wait()

				for upstream := range f.upstreams {
					worst := f.worstWindow(upstream, named.Add(limitSettlingTime))
					t.Logf("%d requests in the worst window, %d in all", worst, f.count(upstream))
					assert.Check(t, worst <= allowedInWindow(rate), "%d requests in a window, %d are allowed", worst, allowedInWindow(rate))
				}
			})
		})
	}
}

// randomLimitDays returns the number of random days: 6, or the value of QUINCEPATH_LIMIT_DAYS.
func randomLimitDays() int {
	if days, err := strconv.Atoi(os.Getenv("QUINCEPATH_LIMIT_DAYS")); err == nil {
		return days
	}

	return 6
}

// Guards against a limit that nodes don't follow when it changes or ends, or when its upstream starts anew.
func TestChangedRateIsFollowed(t *testing.T) {
	withLimitFleet(t, 1, 9, 1, func(t *testing.T, f *limitFleet) {
		got := func(perSecond float64, d time.Duration) float64 {
			before := f.count(0)
			f.run(perSecond, d)

			return float64(f.count(0)-before) / d.Seconds()
		}

		f.setRate(0, 10)
		f.run(60, limitSettlingTime)
		assert.Assert(t, got(60, 10*time.Second) > 9)

		f.setRate(0, 2)
		f.run(60, limitSettlingTime)
		assert.Assert(t, got(60, 10*time.Second) < 2.5)

		f.setRate(0, 20)
		f.run(60, limitSettlingTime)
		assert.Assert(t, got(60, 10*time.Second) > 17)

		f.setRate(0, 0)
		f.run(60, limitSettlingTime)
		assert.Assert(t, got(60, 10*time.Second) > 50)

		f.setRate(0, 0.2)
		f.run(60, limitSettlingTime)

		// The server starts anew.
		f.mu.Lock()
		f.listing.Upstreams = slices.Clone(f.listing.Upstreams)
		f.listing.Upstreams[0].Born = 7
		f.upstreams[0].rate = 0
		f.mu.Unlock()

		time.Sleep(2 * storeDelay)
		assert.Assert(t, got(60, 10*time.Second) > 50)
	})
}

// Guards against callers that are told to come back before the limits admit them, or are not told when.
func TestRefusedRequestIsToldWhenTheLimitsAdmitIt(t *testing.T) {
	withLimitFleet(t, 1, 6, 2, func(t *testing.T, f *limitFleet) {
		f.setRate(0, 0.25)
		f.setRate(1, 0.25)
		f.run(40, limitSettlingTime)

		f.mu.Lock()
		f.refusals, f.waits = 0, nil
		f.mu.Unlock()

		f.run(40, 10*time.Second)

		for _, wait := range f.waits {
			assert.Assert(t, wait > 0)
			// Each upstream admits a request every four seconds. Only requests that get one within 300 ms wait; this one goes
			// after them.
			assert.Assert(t, wait <= 4300, "%v ms", wait)
		}

		assert.Assert(t, len(f.waits) > 300)

		// After the longest wait that was told, a request is admitted.
		time.Sleep(4 * time.Second)
		assert.Assert(t, f.send(f.nodes[0]))
	})
}

// Guards against a node that uses a choice by a holder which doesn't know of the limit.
func TestChoiceWithoutTheLimitIsNotUsed(t *testing.T) {
	withLimitFleet(t, 1, 3, 1, func(t *testing.T, f *limitFleet) {
		n := f.nodes[0]
		choice, ok := n.Choose(f.ctx, service, balancer.Request{ID: "a", TimeLimit: time.Second})
		assert.Assert(t, ok && choice.Limit == nil)

		_, changed := n.RecordRateLimit("a", 2, true)
		assert.Assert(t, changed)
		assert.Assert(t, !n.MayUse(choice))
		n.RecordEnd("a", balancer.Served)
		time.Sleep(time.Second)

		choice, ok = n.Choose(f.ctx, service, balancer.Request{ID: "b", TimeLimit: time.Second})
		assert.Assert(t, ok && choice.Limit.PerSecond == 2)
		assert.Assert(t, n.MayUse(choice))

		// The reply was lost, and the node asks again.
		choice, ok = n.Choose(f.ctx, service, balancer.Request{ID: "b", TimeLimit: time.Second})
		assert.Assert(t, ok && choice.Limit != nil && n.MayUse(choice))

		// A frozen node would send what was admitted long ago.
		time.Sleep(1100 * time.Millisecond)
		assert.Assert(t, !n.MayUse(choice))
		assert.DeepEqual(t, n.LimitCounters(), throttler.Counters{Active: 1, Named: 1, Changed: 1, Declined: 1, Expired: 1})
	})
}
