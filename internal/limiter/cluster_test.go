package limiter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"quincepath.example/quincepath/internal/seeder"
)

var (
	start   = time.Date(2026, time.March, 12, 8, 0, 0, 0, time.UTC)
	testKey = Key{Service: "assistente", Organisation: "catania"}
)

func TestMain(m *testing.M) {
	seeder.Fix("20260312")
	os.Exit(m.Run())
}

type fixedLimits Amounts

func (f fixedLimits) Limits(key Key) Amounts {
	if key != testKey {
		return Amounts{}
	}

	return Amounts(f)
}

const tick = 50 * time.Millisecond

// node is one node of a cluster in virtual time.
type node struct {
	name    string
	limiter *Limiter
	owner   *Owner
	// running holds the ends of admitted requests.
	running []time.Time
	// admitted counts requests let in.
	admitted int
	started  time.Time
	// frozen nodes do nothing until then; what they sent to upstreams runs on.
	frozen time.Time
}

// cluster runs nodes that exchange reports with losses and delays.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	limits  Amounts
	options Options
	// loss is the share of messages lost each way.
	loss  float64
	delay time.Duration
	// cut nodes reach no other node.
	cut map[string]bool
	// sides are the parts of a cut network; nodes of different sides don't reach each other.
	sides map[string]int
	// only names the node that requests come to; empty means all.
	only string
	// known is the number of nodes that are listed; zero means those that a view names.
	known int
	nodes map[string]*node
	later []event
	lives uint64
}

type event struct {
	at time.Time
	do func()
}

func newCluster(seed uint64, limits Amounts, size int) *cluster {
	c := &cluster{
		now:    start,
		random: rand.New(rand.NewPCG(seed, 1)),
		limits: limits,
		cut:    make(map[string]bool),
		nodes:  make(map[string]*node),
	}

	for i := range size {
		c.add(fmt.Sprintf("n%02d", i))
	}

	for _, name := range c.names() {
		c.view(name, c.names())
	}

	// Past the first grace.
	c.pass(c.options.withDefaults().lapse())

	return c
}

// pass lets time pass in which nobody sends; owners that don't run would take it for a freeze.
func (c *cluster) pass(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); {
		c.now = c.now.Add(second())

		for _, n := range c.nodes {
			n.owner.Sweep(c.now)
		}
	}
}

func (c *cluster) add(name string) {
	c.lives++
	source := fixedLimits(c.limits)
	c.nodes[name] = &node{
		name:    name,
		started: c.now,
		limiter: New(c.options, source, name, c.lives),
		owner:   NewOwner(c.now, c.options, source, name),
	}
}

func (c *cluster) names() []string {
	var names []string
	for name := range c.nodes {
		names = append(names, name)
	}

	slices.Sort(names)

	return names
}

func (c *cluster) view(name string, members []string) {
	if n := c.nodes[name]; n != nil {
		known := max(c.known, len(members))
		n.limiter.SetNodes(c.now, members, known)
		n.owner.SetNodes(c.now, members, known)
	}
}

// changed lets each node learn of the present members at its own time within MaxDetectionTime.
func (c *cluster) changed() {
	members := c.names()

	for _, name := range members {
		if n := c.nodes[name]; n.limiter.view.current.live == 0 {
			c.view(name, members)

			continue
		}

		c.after(time.Duration(c.random.Int64N(int64(2*time.Second))), func() { c.view(name, members) })
	}
}

func (c *cluster) after(wait time.Duration, do func()) {
	c.later = append(c.later, event{c.now.Add(wait), do})
}

func (c *cluster) ownerName() string {
	for _, name := range c.names() {
		if c.nodes[name].owner.owns(testKey) {
			return name
		}
	}

	return ""
}

// step moves one tick on: due events, ends of requests, arrivals, reports.
func (c *cluster) step(arrivals func(name string) int, length func() time.Duration, tokens int) {
	c.now = c.now.Add(tick)
	due := c.later
	c.later = nil

	for _, e := range due {
		if e.at.After(c.now) {
			c.later = append(c.later, e)

			continue
		}

		e.do()
	}

	for _, name := range c.names() {
		n := c.nodes[name]
		if c.now.Before(n.frozen) {
			continue
		}

		n.running = slices.DeleteFunc(n.running, func(end time.Time) bool {
			if end.After(c.now) {
				return false
			}

			n.limiter.Done(c.now, testKey.Service, testKey.Organisation, "chat", tokens)

			return true
		})

		for range arrivals(name) {
			if _, ok := n.limiter.Admit(c.now, testKey.Service, testKey.Organisation, "chat"); ok {
				n.admitted++
				n.running = append(n.running, c.now.Add(length()))
			}
		}

		n.owner.Sweep(c.now)
		c.ask(n)
		c.exchange(n)
	}
}

// ask sends a node's questions as an owner.
func (c *cluster) ask(n *node) {
	for name, keys := range n.owner.ReportRequests(c.now) {
		c.send(n.name, name, func() {
			if target := c.nodes[name]; target != nil && !c.now.Before(target.frozen) {
				target.limiter.RequestReports(c.now, keys)
			}
		})
	}
}

func (c *cluster) exchange(n *node) {
	for owner, demands := range n.limiter.DueReports(c.now) {
		c.send(n.name, owner, func() {
			target := c.nodes[owner]
			if target == nil || c.now.Before(target.frozen) {
				return
			}

			for _, demand := range demands {
				share, ok := target.owner.Report(c.now, n.name, demand)
				if ok {
					c.send(owner, n.name, func() { c.apply(n, share) })
				}
			}
		})
	}
}

func (c *cluster) apply(n *node, share LeaseReply) {
	if !c.now.Before(n.frozen) {
		n.limiter.Apply(c.now, []LeaseReply{share})
	}
}

func (c *cluster) send(from, to string, do func()) {
	if from == to {
		do()

		return
	}

	if c.random.Float64() < c.loss || c.cut[from] || c.cut[to] || c.sides[from] != c.sides[to] {
		return
	}

	c.after(time.Duration(c.random.Int64N(int64(c.delay)+1)), do)
}

// allowed sums the shares in force. Nodes that go on with an even part, since their owner
// is silent, count as alone and stand in the sum with base share and lease.
// A node that just started stands without the base share that it has on top.
func (c *cluster) allowed() (sum, total Amounts, alone int) {
	for _, n := range c.nodes {
		share := n.limiter.Allowed(c.now, testKey)
		total = total.plus(share)

		e := n.limiter.entries[testKey]
		options := n.limiter.options
		base := n.limiter.view.base(c.now, c.limits)

		if e.ownerSilent(c.now) {
			alone++

			share = base.plus(e.lent).atMost(c.limits)
		}

		if c.now.Before(n.started.Add(options.lapse())) {
			share = share.minus(base)
		}

		sum = sum.plus(share)
	}

	return sum, total, alone
}

func (c *cluster) running() int {
	count := 0
	for _, n := range c.nodes {
		for _, end := range n.running {
			if end.After(c.now) {
				count++
			}
		}
	}

	return count
}
