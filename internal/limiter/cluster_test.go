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
	seeder.SetSeed("20260312")
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

// node is one node of a simulated cluster.
type node struct {
	name    string
	limiter *Limiter
	owner   *Owner
	// runningUntil holds the end times of admitted requests.
	runningUntil []time.Time
	// admitted is the number of admitted requests.
	admitted int
	started  time.Time
	// A node does nothing until frozenUntil, while its requests go on at the upstreams.
	frozenUntil time.Time
}

// cluster simulates nodes in virtual time whose messages are lost and delayed.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	limits  Amounts
	options Options
	// loss is the fraction of messages lost in each direction.
	loss  float64
	delay time.Duration
	// unreachable nodes exchange no messages with other nodes.
	unreachable map[string]bool
	// partitions assigns nodes to parts of a partitioned network. Nodes in different
	// parts don't reach each other.
	partitions map[string]int
	// onlyNode is the only node that receives requests; empty for all nodes.
	onlyNode string
	// known is the number of listed nodes; zero for the number of live ones.
	known        int
	nodes        map[string]*node
	scheduled    []scheduledCall
	incarnations uint64
}

type scheduledCall struct {
	at time.Time
	do func()
}

func newCluster(seed uint64, limits Amounts, size int) *cluster {
	c := &cluster{
		now:         start,
		random:      rand.New(rand.NewPCG(seed, 1)),
		limits:      limits,
		unreachable: make(map[string]bool),
		nodes:       make(map[string]*node),
	}

	for i := range size {
		c.add(fmt.Sprintf("n%02d", i))
	}

	for _, name := range c.names() {
		c.setView(name, c.names())
	}

	// Wait until the initial grace period has ended.
	c.advance(c.options.withDefaults().leaseDrainTime())

	return c
}

// advance moves time on without any requests. It keeps the owners running, since they
// would take a gap for a freeze.
func (c *cluster) advance(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); {
		c.now = c.now.Add(second())

		for _, n := range c.nodes {
			n.owner.Sweep(c.now)
		}
	}
}

func (c *cluster) add(name string) {
	c.incarnations++
	source := fixedLimits(c.limits)
	c.nodes[name] = &node{
		name:    name,
		started: c.now,
		limiter: New(c.options, source, name, c.incarnations),
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

func (c *cluster) setView(name string, members []string) {
	if n := c.nodes[name]; n != nil {
		known := max(c.known, len(members))
		n.limiter.SetNodes(c.now, members, known)
		n.owner.SetNodes(c.now, members, known)
	}
}

// announceMembers tells each node of the current members, after a random delay within
// MaxDetectionTime.
func (c *cluster) announceMembers() {
	members := c.names()

	for _, name := range members {
		if n := c.nodes[name]; n.limiter.view.current.live == 0 {
			c.setView(name, members)

			continue
		}

		c.schedule(time.Duration(c.random.Int64N(int64(2*time.Second))), func() { c.setView(name, members) })
	}
}

func (c *cluster) schedule(wait time.Duration, do func()) {
	c.scheduled = append(c.scheduled, scheduledCall{c.now.Add(wait), do})
}

func (c *cluster) ownerName() string {
	for _, name := range c.names() {
		if c.nodes[name].owner.owns(testKey) {
			return name
		}
	}

	return ""
}

// step simulates one tick: scheduled calls, ends of requests, arrivals and reports.
func (c *cluster) step(arrivals func(name string) int, duration func() time.Duration, tokens int) {
	c.now = c.now.Add(tick)
	due := c.scheduled
	c.scheduled = nil

	for _, e := range due {
		if e.at.After(c.now) {
			c.scheduled = append(c.scheduled, e)

			continue
		}

		e.do()
	}

	for _, name := range c.names() {
		n := c.nodes[name]
		if c.now.Before(n.frozenUntil) {
			continue
		}

		n.runningUntil = slices.DeleteFunc(n.runningUntil, func(end time.Time) bool {
			if end.After(c.now) {
				return false
			}

			n.limiter.Done(c.now, testKey.Service, testKey.Organisation, "chat", tokens)

			return true
		})

		for range arrivals(name) {
			if _, ok := n.limiter.Admit(c.now, testKey.Service, testKey.Organisation, "chat"); ok {
				n.admitted++
				n.runningUntil = append(n.runningUntil, c.now.Add(duration()))
			}
		}

		n.owner.Sweep(c.now)
		c.sendReportRequests(n)
		c.exchange(n)
	}
}

// sendReportRequests sends the report requests of a node's owner.
func (c *cluster) sendReportRequests(n *node) {
	for name, keys := range n.owner.ReportRequests(c.now) {
		c.send(n.name, name, func() {
			if target := c.nodes[name]; target != nil && !c.now.Before(target.frozenUntil) {
				target.limiter.RequestReports(c.now, keys)
			}
		})
	}
}

func (c *cluster) exchange(n *node) {
	for owner, demands := range n.limiter.DueReports(c.now) {
		c.send(n.name, owner, func() {
			target := c.nodes[owner]
			if target == nil || c.now.Before(target.frozenUntil) {
				return
			}

			for _, demand := range demands {
				reply, ok := target.owner.Report(c.now, n.name, demand)
				if ok {
					c.send(owner, n.name, func() { c.apply(n, reply) })
				}
			}
		})
	}
}

func (c *cluster) apply(n *node, reply LeaseReply) {
	if !c.now.Before(n.frozenUntil) {
		n.limiter.Apply(c.now, []LeaseReply{reply})
	}
}

func (c *cluster) send(from, to string, do func()) {
	if from == to {
		do()

		return
	}

	if c.random.Float64() < c.loss || c.unreachable[from] || c.unreachable[to] || c.partitions[from] != c.partitions[to] {
		return
	}

	c.schedule(time.Duration(c.random.Int64N(int64(c.delay)+1)), do)
}

// sumAllowed sums the shares in force. Nodes that fell back to an even share because
// their owner is unresponsive are counted in onEvenShare, and only their base share and
// lease are added to sum. For a node that has just started, sum leaves out its base
// share, which it has in addition to the limit.
func (c *cluster) sumAllowed() (sum, total Amounts, onEvenShare int) {
	for _, n := range c.nodes {
		share := n.limiter.Allowed(c.now, testKey)
		total = total.plus(share)

		state := n.limiter.states[testKey]
		options := n.limiter.options
		base := n.limiter.view.baseShare(c.now, c.limits)

		if state.ownerUnresponsive(c.now) {
			onEvenShare++

			share = base.plus(state.leased).atMost(c.limits)
		}

		if c.now.Before(n.started.Add(options.leaseDrainTime())) {
			share = share.minus(base)
		}

		sum = sum.plus(share)
	}

	return sum, total, onEvenShare
}

func (c *cluster) running() int {
	count := 0
	for _, n := range c.nodes {
		for _, end := range n.runningUntil {
			if end.After(c.now) {
				count++
			}
		}
	}

	return count
}
