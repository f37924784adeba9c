package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/chooser"
)

// Symptom: an organisation runs more requests at once than its limit (7 for 6 in a process test).
// Sequence: messages between the owner of the limit and the other nodes are lost, while
// probes still pass, or all nodes of a side are cut off and learn of it at different times.
// Cause: the owner lends the whole pool to itself, and the nodes that it doesn't hear take an
// even part of the same limit; what runs on from a lapsed lease is counted by nobody.
func TestConcurrencyHoldsThroughCuts(t *testing.T) {
	faults := map[string]func(c *cluster){
		"messages lost, probes pass":   func(c *cluster) { c.cut[c.ownerName()] = true },
		"the owner alone on its side":  func(c *cluster) { c.split(func(name string) bool { return name == c.ownerName() }) },
		"the network falls in two":     func(c *cluster) { c.split(func(name string) bool { return name < "n01" }) },
		"the owner is frozen":          func(c *cluster) { c.freeze(c.ownerName(), 20*time.Second) },
		"the owner is frozen for long": func(c *cluster) { c.freeze(c.ownerName(), 2*time.Minute) },
		"the owner crashes":            func(c *cluster) { c.crash(c.ownerName()) },
		"a borrower crashes":           func(c *cluster) { c.crash(c.other()) },
		"a borrower is frozen":         func(c *cluster) { c.freeze(c.other(), 20*time.Second) },
		"owner crashes, messages of a borrower are lost": func(c *cluster) {
			c.cut[c.other()] = true
			c.crash(c.ownerName())
		},
		"the owner is frozen, then its messages are lost": func(c *cluster) {
			c.cut[c.ownerName()] = true
			c.freeze(c.ownerName(), 50*time.Second)
		},
		"owner crashes, borrower freezes": func(c *cluster) {
			c.freeze(c.other(), 30*time.Second)
			c.crash(c.ownerName())
		},
	}

	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			holdThrough(t, 3, 6, fault)
			holdThrough(t, 9, 90, fault)
		})
	}
}

// holdThrough lets all nodes send more than the limit before, during and after a
// fault, and logs what part of the limit was in use.
func holdThrough(t *testing.T, nodes int, limit float64, fault func(c *cluster)) {
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
		c.only = [...]string{"", c.other(), c.ownerName()}[seed%3]
		c.hold(t, 15*time.Second)
		c.only = ""
		before += c.hold(t, 10*time.Second) / seeds

		fault(c)

		for i := range after {
			after[i] += c.hold(t, 10*time.Second) / seeds
		}

		c.heal()
		c.hold(t, time.Minute)
	}

	t.Logf("%d nodes: %.2f of the limit in use before, then by 10 s %.2f", nodes, before, after)
	assert.Assert(t, before > 0.9, "the limit holds only because callers are refused")
}

// TestConcurrencyHoldsThroughAnything mixes the faults above at random.
func TestConcurrencyHoldsThroughAnything(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(rt, "nodes")
		c := newCluster(rapid.Uint64().Draw(rt, "seed"), Amounts{Concurrency: float64(rapid.IntRange(1, 20).Draw(rt, "limit"))}, size)
		c.known = size
		c.delay = time.Duration(rapid.IntRange(0, 1000).Draw(rt, "delay_ms")) * time.Millisecond
		c.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")

		for range rapid.IntRange(1, 6).Draw(rt, "phases") {
			name := fmt.Sprintf("n%02d", rapid.IntRange(0, size-1).Draw(rt, "node"))

			c.only = rapid.SampledFrom([]string{"", "", "n00", "n01"}).Draw(rt, "only")

			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				c.cut[name] = true
			case 1:
				c.split(func(other string) bool { return other <= name })
			case 2:
				c.freeze(name, time.Duration(rapid.IntRange(1, 200).Draw(rt, "seconds"))*time.Second)
			case 3:
				c.crash(name)
			case 4:
				c.restart(name)
			default:
				c.heal()
			}

			c.hold(rt, time.Duration(rapid.IntRange(1, 150).Draw(rt, "seconds"))*time.Second)
		}
	})
}

// Symptom: a limit is lent twice after a freeze, or while a node is added to the list.
// Sequence: an owner goes on after a pause before it hears that it was replaced; or a
// node that divides by fewer nodes, so has a larger base share, reports to a new owner.
// Cause: the owner goes by its old books, or takes the report for all there is to know.
func TestOwnerWaitsForWhatItDoesNotKnow(t *testing.T) {
	options := Options{}.withDefaults()
	demand := Demand{Key: testKey, Incarnation: 1, KnownNodes: 1, Wanted: Amounts{Concurrency: 5}}
	report := func(o *Owner, now time.Time) (LeaseReply, bool) {
		demand.Sequence++

		return o.Report(now, "a", demand)
	}

	for _, known := range []int{1, 2} {
		o := NewOwner(start, options, fixedLimits{Concurrency: 90}, "a")
		o.SetNodes(start, []string{"a"}, known)

		share, ok := report(o, start)
		assert.Assert(t, ok)
		assert.Equal(t, share.Leased.Concurrency > 0, known == demand.KnownNodes)

		frozen := start.Add(options.MaxDetectionTime + time.Second)
		_, ok = report(o, frozen)
		assert.Assert(t, !ok, "it doesn't know yet whether it still is the owner")

		_, ok = report(o, frozen.Add(options.MaxDetectionTime))
		assert.Assert(t, ok)
	}
}

// longestAnswer bounds the requests of the tests above; it is what Options.MaxRunAfterLease allows for.
const longestAnswer = 25 * time.Second

// hold lets all nodes send more than the limit for a time and checks what runs at
// once. It returns the mean part of the limit that was in use.
func (c *cluster) hold(t assert.TestingT, length time.Duration) float64 {
	most := int(c.limits.Concurrency)
	sum, ticks := 0, 0

	for end := c.now.Add(length); c.now.Before(end); {
		c.step(c.arrivals, func() time.Duration {
			return time.Duration(c.random.Int64N(int64(longestAnswer)))
		}, 0)

		running := c.running()
		assert.Assert(t, running <= most, "%d of %d run at %s", running, most, c.now.Sub(start))

		sum += running
		ticks++
	}

	return float64(sum) / float64(ticks*most)
}

func (c *cluster) arrivals(name string) int {
	if c.only != "" && c.only != name {
		return 0
	}

	return c.random.IntN(4)
}

// learn lets each node see those that it reaches, each at its own time within what detection takes.
func (c *cluster) learn() {
	for _, name := range c.names() {
		c.after(time.Duration(c.random.Int64N(int64(detection))), func() { c.look(name) })
	}
}

// detection is how long nodes take at most to learn who answers.
const detection = 8 * time.Second

// look renews a node's view; a frozen one does so some time after it goes on.
func (c *cluster) look(name string) {
	n := c.nodes[name]
	if n == nil {
		return
	}

	if wait := n.frozen.Sub(c.now); wait > 0 {
		c.after(wait+time.Duration(c.random.Int64N(int64(detection))), func() { c.look(name) })

		return
	}

	var live []string

	for _, other := range c.names() {
		if c.sides[other] == c.sides[name] && !c.now.Before(c.nodes[other].frozen) {
			live = append(live, other)
		}
	}

	c.view(name, live)
}

func (c *cluster) split(first func(name string) bool) {
	c.sides = make(map[string]int)

	for _, name := range c.names() {
		if first(name) {
			c.sides[name] = 1
		}
	}

	c.learn()
}

func (c *cluster) heal() {
	c.cut = make(map[string]bool)
	c.split(func(string) bool { return false })
}

func (c *cluster) freeze(name string, length time.Duration) {
	if n := c.nodes[name]; n != nil {
		n.frozen = c.now.Add(length)
		c.learn()
		c.after(length, c.learn)
	}
}

func (c *cluster) crash(name string) {
	if len(c.nodes) > 1 {
		delete(c.nodes, name)
		c.learn()
	}
}

// restart replaces a node under its name; it sees at first what the others saw last.
func (c *cluster) restart(name string) {
	c.add(name)
	c.look(name)
	c.learn()
}

// other is the last node that would own the limit.
func (c *cluster) other() string {
	names := c.names()
	chosen := chooser.New(names).ChooseN(testKey.text(), len(names))

	return chosen[len(chosen)-1]
}
