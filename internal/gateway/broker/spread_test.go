package broker

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// scriptedPeers answers requests for an upstream, and counts messages by node.
type scriptedPeers struct {
	mu sync.Mutex
	// asked counts requests for an upstream, reported the messages with reports.
	asked, reported map[string]int
	silent, late    map[string]bool
}

func newScriptedPeers() *scriptedPeers {
	return &scriptedPeers{asked: map[string]int{}, reported: map[string]int{}, silent: map[string]bool{}, late: map[string]bool{}}
}

func (p *scriptedPeers) Call(ctx context.Context, peer, _ string, _, result any) error {
	p.mu.Lock()
	p.asked[peer]++
	silent, late := p.silent[peer], p.late[peer]
	p.mu.Unlock()

	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	answer, ok := result.(*chooseResult)
	if !ok {
		return errors.New("no result")
	}

	*answer = chooseResult{Choice: balancer.Choice{Upstream: "u"}, Late: late}

	return nil
}

func (p *scriptedPeers) Notify(_ context.Context, peer, _ string, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.reported[peer]++

	return nil
}

func (p *scriptedPeers) set(marked map[string]bool, peer string, value bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	marked[peer] = value
}

// askFor sends a request every 100 ms, and returns how many went to the holder and the standby.
func (p *scriptedPeers) askFor(t *testing.T, b *Broker, duration time.Duration, pool []string) (holder, standby int) {
	t.Helper()
	p.mu.Lock()
	clear(p.asked)
	p.mu.Unlock()

	for i := range int(duration / (100 * time.Millisecond)) {
		next := time.Now().Add(100 * time.Millisecond)
		_, _ = b.Choose(t.Context(), "s", balancer.Request{ID: fmt.Sprint(time.Now().UnixNano(), i), TimeLimit: time.Second})

		time.Sleep(time.Until(next))
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	return p.asked[pool[0]], p.asked[pool[1]]
}

// withScript runs a node that asks the holder and the standby of a pool, which are given in this order.
func withScript(t *testing.T, spread bool, run func(t *testing.T, b *Broker, peers *scriptedPeers, holders []string)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		start, peers := time.Now(), newScriptedPeers()
		live := []string{"h1", "h2"}
		b := New(Options{
			Self: "n", Live: func() []string { return live }, Leaving: func() []string { return nil },
			LimitShare: func() float64 { return 1 }, Now: func() time.Duration { return time.Since(start) }, Peers: peers, Logger: zerolog.Nop(),
			SpreadHolders: spread, Capacity: func(string) float64 { return 1 },
		})

		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)

		run(t, b, peers, chooser.New(live).ChooseN("s/0", 2))
		cancel()
		synctest.Wait()
	})
}

// Guards against a starved holder that each node asks again every 400 ms, which costs a request 50 ms each time and has two nodes
// decide in turns; and against a holder that is avoided for seconds although its standby doesn't answer either.
func TestSilentHolderIsAvoidedWhileTheStandbyAnswers(t *testing.T) {
	for _, spread := range []bool{false, true} {
		withScript(t, spread, func(t *testing.T, b *Broker, peers *scriptedPeers, holders []string) {
			peers.set(peers.silent, holders[0], true)

			asked, _ := peers.askFor(t, b, 5*time.Second, holders)
			if spread {
				assert.Assert(t, asked <= 4, "asked %d times", asked)
			} else {
				assert.Assert(t, asked >= 9, "asked %d times", asked)
			}

			// Neither answers from now on, then both do.
			peers.set(peers.silent, holders[1], true)
			_, _ = peers.askFor(t, b, time.Second, holders)
			peers.set(peers.silent, holders[0], false)
			peers.set(peers.silent, holders[1], false)
			_, _ = peers.askFor(t, b, 500*time.Millisecond, holders)
			asked, _ = peers.askFor(t, b, time.Second, holders)
			assert.Equal(t, asked, 10)
		})
	}
}

// Guards against a holder that is asked until it fails to answer although it knows that it runs late, and against two late nodes that
// hand over to each other.
func TestLateHolderHandsOver(t *testing.T) {
	withScript(t, true, func(t *testing.T, b *Broker, peers *scriptedPeers, holders []string) {
		peers.set(peers.late, holders[0], true)

		holder, standby := peers.askFor(t, b, 2*time.Second, holders)
		assert.Assert(t, holder <= 3 && standby >= 17, "%d and %d", holder, standby)
		assert.Equal(t, b.HolderCounters().HandedOver, int64(standby))

		peers.set(peers.late, holders[1], true)
		_, _ = peers.askFor(t, b, time.Second, holders)
		holder, standby = peers.askFor(t, b, 2*time.Second, holders)
		assert.Assert(t, holder >= 17, "%d and %d", holder, standby)

		peers.set(peers.late, holders[0], false)
		peers.set(peers.late, holders[1], false)
		_, _ = peers.askFor(t, b, 2*time.Second, holders)
		holder, standby = peers.askFor(t, b, time.Second, holders)
		assert.Assert(t, holder == 10 && standby == 0, "%d and %d", holder, standby)
	})
}

// Without the setting, nothing that a holder says about itself changes who is asked.
func TestLateHolderIsAskedWithoutTheSetting(t *testing.T) {
	withScript(t, false, func(t *testing.T, b *Broker, peers *scriptedPeers, holders []string) {
		peers.set(peers.late, holders[0], true)

		holder, standby := peers.askFor(t, b, time.Second, holders)
		assert.Assert(t, holder == 10 && standby == 0, "%d and %d", holder, standby)
	})
}

// Guards against a node that says that it runs late after one pause, and against one that doesn't while it gets a third of the
// processor time that it needs.
func TestLatenessNeedsTwoLateRuns(t *testing.T) {
	now := time.Now()
	l := lateness{}

	run := func(gap time.Duration) bool {
		now = now.Add(gap)

		return l.recordRun(now, grantInterval)
	}

	for _, gap := range []time.Duration{time.Second, 50, 60, 2 * time.Second, 50, 50, 50} {
		if gap < time.Second {
			gap *= time.Millisecond
		}

		assert.Assert(t, !run(gap))
		assert.Assert(t, !l.isLate(now))
	}

	assert.Assert(t, !run(150*time.Millisecond))
	assert.Assert(t, run(150*time.Millisecond))
	assert.Assert(t, !run(150*time.Millisecond), "it is late already")
	assert.Assert(t, l.isLate(now.Add(lateTime-1)))
	assert.Assert(t, !l.isLate(now.Add(lateTime)))
}

// Guards against one message for each report to the standby: it needs them no sooner than it may be asked.
func TestStandbyGetsFewerMessages(t *testing.T) {
	withScript(t, false, func(t *testing.T, b *Broker, peers *scriptedPeers, holders []string) {
		const requests = 100

		served := balancer.Served

		for i := range requests {
			id := fmt.Sprint("r", i)
			_, ok := b.Choose(t.Context(), "s", balancer.Request{ID: id, TimeLimit: time.Minute})
			assert.Assert(t, ok)
			time.Sleep(10 * time.Millisecond)
			b.RecordFirstEvent(id, nil)
			time.Sleep(10 * time.Millisecond)
			b.RecordEnd(id, served)
		}

		time.Sleep(time.Second)
		peers.mu.Lock()
		defer peers.mu.Unlock()

		assert.Equal(t, peers.reported[holders[0]], 2*requests)
		assert.Assert(t, peers.reported[holders[1]] <= requests/2, "%d messages", peers.reported[holders[1]])
	})
}

// Guards against a standby that decides and hears 50 ms late that a request has ended, so that its servers look busy.
func TestStandbyThatDecidesHearsAtOnce(t *testing.T) {
	withScript(t, false, func(t *testing.T, b *Broker, peers *scriptedPeers, holders []string) {
		peers.set(peers.silent, holders[0], true)

		_, ok := b.Choose(t.Context(), "s", balancer.Request{ID: "r", TimeLimit: time.Minute})
		assert.Assert(t, ok)
		time.Sleep(100 * time.Millisecond)
		peers.mu.Lock()
		before := peers.reported[holders[1]]
		peers.mu.Unlock()

		b.RecordEnd("r", balancer.Served)
		time.Sleep(10 * time.Millisecond)
		peers.mu.Lock()
		defer peers.mu.Unlock()

		assert.Equal(t, peers.reported[holders[1]], before+1)
	})
}

// Guards against pools that are held by few nodes although many could, and by weak nodes as often as by strong ones: 78 nodes of
// 0.144 to 0.8 cores, of which the nodes with 0.6 (0.3) of the strongest's capacity may hold pools.
func TestPoolsAreHeldInProportionToCapacity(t *testing.T) {
	const nodes = 78

	capacities := make(map[string]float64)
	capacityOf := func(node string) float64 { return capacities[node] }

	var (
		listing cataloguer.Listing
		names   []string
	)

	for i := range nodes {
		name := fmt.Sprintf("10.0.0.%d:7000", i)
		// Few nodes are strong.
		capacities[name] = 0.144 + (0.8-0.144)*math.Pow(float64(i)/(nodes-1), 5)
		names = append(names, name)
		listing.Nodes = append(listing.Nodes, cataloguer.Node{Name: name, Capacity: capacities[name]})
	}

	for i := range 30 {
		for upstream := range 90 {
			listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("u", i, "-", upstream), Service: fmt.Sprint("s", i)})
		}
	}

	state := &cataloguer.State{Registry: cataloguer.NewRegistry(listing)}
	for i := range 30 {
		state.Configuration.Services = append(state.Configuration.Services, cataloguer.Service{Name: fmt.Sprint("s", i)})
	}

	// heldBy returns the number of pools by holder.
	heldBy := func(strong []string, spread bool) map[string]int {
		start := time.Now()
		b := New(Options{
			Self: "n", Live: func() []string { return strong }, Leaving: func() []string { return nil }, LimitShare: func() float64 { return 1 },
			Now: func() time.Duration { return time.Since(start) }, Peers: newScriptedPeers(), Logger: zerolog.Nop(),
			SpreadHolders: spread, Capacity: capacityOf,
		})
		b.Update(state)

		held := make(map[string]int)
		for _, stats := range b.Stats(start) {
			held[stats.Holder]++
		}

		return held
	}

	nodesByName := state.Registry.Nodes
	strong, _ := cataloguer.SplitByCapacity(names, &nodesByName)
	wider, _ := cataloguer.SplitForSpreading(names, &nodesByName)
	before, after := heldBy(strong, false), heldBy(wider, true)

	assert.Assert(t, len(after) >= 2*len(before), "%d holders, before %d", len(after), len(before))

	mostBefore, mostAfter := 0.0, 0.0
	for node, held := range before {
		mostBefore = max(mostBefore, float64(held)/capacities[node])
	}

	for node, held := range after {
		mostAfter = max(mostAfter, float64(held)/capacities[node])
	}

	t.Logf("%d holders with up to %.1f pools per core, before %d with up to %.1f", len(after), mostAfter, len(before), mostBefore)
	assert.Assert(t, mostAfter < 0.7*mostBefore, "%.1f pools per core, before %.1f", mostAfter, mostBefore)
}
