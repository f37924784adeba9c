package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/chooser"
)

// Guards against running more requests at once than the limit (7 for a limit of 6 in a
// process test). Messages between the owner and the other nodes are lost while probes
// still succeed, or all nodes of a partition lose contact and detect it at different
// times. The owner leased all of the limit to itself, while the nodes that it couldn't
// reach used an even share of the same limit, and requests that outlived an expired
// lease weren't counted.
func TestConcurrencyHoldsThroughCuts(t *testing.T) {
	faults := map[string]func(c *cluster){
		"messages are lost, probes succeed": func(c *cluster) { c.unreachable[c.ownerName()] = true },
		"the owner is cut off alone":        func(c *cluster) { c.partition(func(name string) bool { return name == c.ownerName() }) },
		"the network is partitioned":        func(c *cluster) { c.partition(func(name string) bool { return name < "n01" }) },
		"the owner is frozen":               func(c *cluster) { c.freeze(c.ownerName(), 20*time.Second) },
		"the owner is frozen for long":      func(c *cluster) { c.freeze(c.ownerName(), 2*time.Minute) },
		"the owner crashes":                 func(c *cluster) { c.crash(c.ownerName()) },
		"a node with a lease crashes":       func(c *cluster) { c.crash(c.leastPreferredOwner()) },
		"a node with a lease is frozen":     func(c *cluster) { c.freeze(c.leastPreferredOwner(), 20*time.Second) },
		"the owner crashes, messages of a node with a lease are lost": func(c *cluster) {
			c.unreachable[c.leastPreferredOwner()] = true
			c.crash(c.ownerName())
		},
		"the owner is frozen, then its messages are lost": func(c *cluster) {
			c.unreachable[c.ownerName()] = true
			c.freeze(c.ownerName(), 50*time.Second)
		},
		"the owner crashes, a node with a lease is frozen": func(c *cluster) {
			c.freeze(c.leastPreferredOwner(), 30*time.Second)
			c.crash(c.ownerName())
		},
	}

	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			checkThroughFault(t, 3, 6, fault)
			checkThroughFault(t, 9, 90, fault)
		})
	}
}

// checkThroughFault sends more requests than the limit to all nodes before, during and
// after a fault, and logs which part of the limit was in use.
func checkThroughFault(t *testing.T, nodes int, limit float64, fault func(c *cluster)) {
	t.Helper()

	const seeds = 6

	var (
		before float64
		after  [15]float64
	)

	for seed := range uint64(seeds) {
		c := newCluster(seed, Amounts{Concurrency: limit}, nodes)
		c.known = nodes
		c.delay = 20 * time.Millisecond
		c.onlyNode = [...]string{"", c.leastPreferredOwner(), c.ownerName()}[seed%3]
		c.checkConcurrency(t, 15*time.Second)
		c.onlyNode = ""
		before += c.checkConcurrency(t, 10*time.Second) / seeds

		fault(c)

		for i := range after {
			after[i] += c.checkConcurrency(t, 10*time.Second) / seeds
		}

		c.heal()
		c.checkConcurrency(t, time.Minute)
	}

	t.Logf("%d nodes: %.2f of the limit in use before the fault, then %.2f by windows of 10 s", nodes, before, after)
	assert.Assert(t, before > 0.9, "too little of the limit is in use for the test to show that it holds")
}

// TestConcurrencyHoldsThroughAnything combines the faults above at random.
func TestConcurrencyHoldsThroughAnything(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(rt, "nodes")
		c := newCluster(rapid.Uint64().Draw(rt, "seed"), Amounts{Concurrency: float64(rapid.IntRange(1, 20).Draw(rt, "limit"))}, size)
		c.known = size
		c.delay = time.Duration(rapid.IntRange(0, 1000).Draw(rt, "delay_ms")) * time.Millisecond
		c.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")

		for range rapid.IntRange(1, 6).Draw(rt, "phases") {
			name := fmt.Sprintf("n%02d", rapid.IntRange(0, size-1).Draw(rt, "node"))

			c.onlyNode = rapid.SampledFrom([]string{"", "", "n00", "n01"}).Draw(rt, "only")

			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				c.unreachable[name] = true
			case 1:
				c.partition(func(other string) bool { return other <= name })
			case 2:
				c.freeze(name, time.Duration(rapid.IntRange(1, 200).Draw(rt, "seconds"))*time.Second)
			case 3:
				c.crash(name)
			case 4:
				c.restart(name)
			default:
				c.heal()
			}

			c.checkConcurrency(rt, time.Duration(rapid.IntRange(1, 150).Draw(rt, "seconds"))*time.Second)
		}
	})
}

// Guards against leasing a limit twice after a freeze, or while a node is added to the
// list. An owner resumes after a pause before it learns that it was replaced, or a node
// that divides by fewer nodes, and so has a larger base share, reports to a new owner.
// The owner relied on its outdated leases, or took that report as complete.
func TestOwnerWaitsForReportsAfterFreezeOrNodeChange(t *testing.T) {
	options := Options{}.withDefaults()
	demand := Demand{Key: testKey, Incarnation: 1, KnownNodes: 1, Wanted: Amounts{Concurrency: 5}}
	report := func(o *Owner, now time.Time) (LeaseReply, bool) {
		demand.Sequence++

		return o.Report(now, "a", demand)
	}

	for _, known := range []int{1, 2} {
		o := NewOwner(start, options, fixedLimits{Concurrency: 90}, "a")
		o.SetNodes(start, []string{"a"}, known)

		reply, ok := report(o, start)
		assert.Assert(t, ok)
		assert.Equal(t, reply.Leased.Concurrency > 0, known == demand.KnownNodes)

		resumed := start.Add(options.MaxDetectionTime + time.Second)
		_, ok = report(o, resumed)
		assert.Assert(t, !ok, "after a freeze, the owner must wait until it knows that it still is the owner")

		_, ok = report(o, resumed.Add(options.MaxDetectionTime))
		assert.Assert(t, ok)
	}
}

// maxAnswerDuration bounds the requests of the tests above, within what
// Options.MaxRunAfterLease allows.
const maxAnswerDuration = 25 * time.Second

// checkConcurrency sends more requests than the limit to all nodes for some time and
// checks how many run at once. It returns the mean fraction of the limit that was in
// use.
func (c *cluster) checkConcurrency(t assert.TestingT, duration time.Duration) float64 {
	limit := int(c.limits.Concurrency)
	sum, ticks := 0, 0

	for end := c.now.Add(duration); c.now.Before(end); {
		c.step(c.arrivals, func() time.Duration {
			return time.Duration(c.random.Int64N(int64(maxAnswerDuration)))
		}, 0)

		running := c.running()
		assert.Assert(t, running <= limit, "%d requests run at a limit of %d after %s", running, limit, c.now.Sub(start))

		sum += running
		ticks++
	}

	return float64(sum) / float64(ticks*limit)
}

func (c *cluster) arrivals(name string) int {
	if c.onlyNode != "" && c.onlyNode != name {
		return 0
	}

	return c.random.IntN(4)
}

// detectMembers updates the view of each node with the nodes that it reaches, each
// after a random delay within maxDetectionTime.
func (c *cluster) detectMembers() {
	for _, name := range c.names() {
		c.schedule(time.Duration(c.random.Int64N(int64(maxDetectionTime))), func() { c.updateView(name) })
	}
}

// maxDetectionTime is the longest time that nodes take to learn which nodes respond.
const maxDetectionTime = 8 * time.Second

// updateView updates a node's view. A frozen node is updated some time after it
// resumes.
func (c *cluster) updateView(name string) {
	n := c.nodes[name]
	if n == nil {
		return
	}

	if remaining := n.frozenUntil.Sub(c.now); remaining > 0 {
		c.schedule(remaining+time.Duration(c.random.Int64N(int64(maxDetectionTime))), func() { c.updateView(name) })

		return
	}

	var live []string

	for _, other := range c.names() {
		if c.partitions[other] == c.partitions[name] && !c.now.Before(c.nodes[other].frozenUntil) {
			live = append(live, other)
		}
	}

	c.setView(name, live)
}

func (c *cluster) partition(isolated func(name string) bool) {
	c.partitions = make(map[string]int)

	for _, name := range c.names() {
		if isolated(name) {
			c.partitions[name] = 1
		}
	}

	c.detectMembers()
}

func (c *cluster) heal() {
	c.unreachable = make(map[string]bool)
	c.partition(func(string) bool { return false })
}

func (c *cluster) freeze(name string, duration time.Duration) {
	if n := c.nodes[name]; n != nil {
		n.frozenUntil = c.now.Add(duration)
		c.detectMembers()
		c.schedule(duration, c.detectMembers)
	}
}

func (c *cluster) crash(name string) {
	if len(c.nodes) > 1 {
		delete(c.nodes, name)
		c.detectMembers()
	}
}

// restart replaces a node by a new one of the same name, which starts with the last
// view of the others.
func (c *cluster) restart(name string) {
	c.add(name)
	c.updateView(name)
	c.detectMembers()
}

// leastPreferredOwner returns the node that would be the last to own the limit.
func (c *cluster) leastPreferredOwner() string {
	names := c.names()
	chosen := chooser.New(names).ChooseN(testKey.ownerKey(), len(names))

	return chosen[len(chosen)-1]
}
