package prober_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prober"
)

const (
	tickPeriod = 100 * time.Millisecond
	// headerBytes is the size of the IP and UDP headers.
	headerBytes = 28
	credential  = "test credential"
	// processStart is the incarnation of the first process of each node.
	processStart = 1_764_698_186_000
)

// testingT is the part of testing.TB that rapid.T has too.
type testingT interface {
	assert.TestingT
	Helper()
}

// event is the arrival of a datagram, a tick or a step of a test.
type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// node is one process on the network.
type node struct {
	vm     prober.VM
	prober *prober.Prober
	// run counts the starts; ticks of an earlier process are ignored.
	run    int
	down   bool
	frozen bool
	// backlog has the events that arrived while frozen, like the buffer of a socket.
	backlog  []func()
	digest   prober.Digest
	digests  map[string]prober.Digest
	sent     traffic
	received traffic
}

type traffic struct {
	messages int
	bytes    int
	largest  int
}

func (c *traffic) add(size int) {
	c.messages++
	c.bytes += size
	c.largest = max(c.largest, size)
}

// network connects nodes in memory, in virtual time.
type network struct {
	t      testingT
	now    time.Time
	start  time.Time
	queue  events
	number int
	random *rand.Rand
	codec  *prober.Codec
	nodes  []*node
	byName map[string]*node
	loss   float64
	// cut reports whether datagrams from one node to another are lost.
	cut func(from, to *node) bool
	// options can be changed by a test before nodes start.
	options prober.Options
}

func newNetwork(t testingT, size, domains int, seed uint64) *network {
	codec, err := prober.NewCodec(credential)
	assert.NilError(t, err)

	start := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	w := &network{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, seed)),
		codec: codec, byName: make(map[string]*node),
	}

	for i := range size {
		n := &node{digests: make(map[string]prober.Digest), vm: prober.VM{
			Name:          fmt.Sprintf("entry-%03d", i),
			Address:       fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			PeerAddress:   fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			FailureDomain: fmt.Sprintf("domain-%02d", i%domains),
		}}
		w.nodes = append(w.nodes, n)
		w.byName[n.vm.Name] = n
	}

	return w
}

func (w *network) list() []prober.VM {
	list := make([]prober.VM, 0, len(w.nodes))
	for _, n := range w.nodes {
		list = append(list, n.vm)
	}

	return list
}

// startAll starts all nodes within a second, each with the list of all.
func (w *network) startAll() {
	list := w.list()
	for _, n := range w.nodes {
		w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { w.startNode(n, processStart, list) })
	}
}

func (w *network) startNode(n *node, incarnation int64, list []prober.VM) {
	n.run++
	n.down = false
	n.frozen = false
	n.backlog = nil

	options := w.options
	options.Self = n.vm
	options.Incarnation = incarnation
	options.Seed = w.random.Uint64()
	options.LocalDigest = func() prober.Digest { return n.digest }
	options.OnDigest = func(from string, d prober.Digest) { n.digests[from] = d }
	n.prober = prober.New(options)
	n.prober.SetListedNodes(w.now, list)
	w.tick(n, n.run)
}

func (w *network) tick(n *node, run int) {
	if n.run != run || n.down {
		return
	}

	w.deliver(n, func() { w.send(n, n.prober.Tick(w.now)) })
	w.after(tickPeriod, func() { w.tick(n, run) })
}

// deliver runs an event at a node, or queues it while the node is frozen.
func (w *network) deliver(n *node, run func()) {
	if !n.frozen {
		run()

		return
	}

	// Limits the backlog, like the buffer of a socket.
	if len(n.backlog) < 100 {
		n.backlog = append(n.backlog, run)
	}
}

func (w *network) resume(n *node) {
	n.frozen = false
	waiting := n.backlog
	n.backlog = nil

	for _, run := range waiting {
		run()
	}
}

func (w *network) send(from *node, messages []prober.Message) {
	for _, m := range messages {
		datagram, err := w.codec.Encode(m.To, m.Packet)
		assert.NilError(w.t, err)

		size := len(datagram) + headerBytes
		from.sent.add(size)

		to := w.byName[m.To]
		if to == nil || w.random.Float64() < w.loss || w.cut != nil && w.cut(from, to) {
			continue
		}

		// One-way latency of 1.5 ms plus up to 1 ms, so that datagrams are reordered.
		latency := 1500*time.Microsecond + time.Duration(w.random.Int64N(int64(time.Millisecond)))
		w.after(latency, func() { w.receive(to, datagram, size) })
	}
}

func (w *network) receive(to *node, datagram []byte, size int) {
	if to.down || to.prober == nil {
		return
	}

	w.deliver(to, func() {
		to.received.add(size)

		packet, err := w.codec.Decode(to.vm.Name, datagram)
		assert.NilError(w.t, err)
		w.send(to, to.prober.Receive(w.now, packet))
	})
}

func (w *network) after(wait time.Duration, run func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.now.Add(wait), number: w.number, run: run})
}

// run advances the virtual time.
func (w *network) run(length time.Duration) {
	w.runUntil(length, func() bool { return false })
}

// runUntil advances the virtual time until the condition holds, which is checked ten times a second, and returns the time taken.
func (w *network) runUntil(limit time.Duration, holds func() bool) time.Duration {
	start := w.now
	end := start.Add(limit)
	next := start

	for w.queue.Len() > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()

		if w.now.Before(next) {
			continue
		}

		next = w.now.Add(tickPeriod)

		if holds() {
			return w.now.Sub(start)
		}
	}

	w.now = end

	return limit
}

func (w *network) state(at, of *node) prober.Member {
	m, _ := at.prober.Member(of.vm.Name)

	return m
}

// running returns the nodes that run and are not frozen.
func (w *network) running() []*node {
	var up []*node

	for _, n := range w.nodes {
		if !n.down && !n.frozen && n.prober != nil {
			up = append(up, n)
		}
	}

	return up
}

// allSee reports whether all other running nodes see the node in the state.
func (w *network) allSee(of *node, state prober.State) bool {
	for _, n := range w.running() {
		if n != of && w.state(n, of).State != state {
			return false
		}
	}

	return true
}

// converged reports whether each running node sees exactly the running nodes as live.
func (w *network) converged() bool {
	up := w.running()
	if len(up) == 0 {
		return false
	}

	for _, n := range up {
		if n.prober.Count(prober.Live)+1 != len(up) || len(liveOnly(n.prober.Live(w.now))) != len(up) {
			return false
		}
	}

	return true
}

func liveOnly(members []prober.Member) []prober.Member {
	var live []prober.Member

	for _, m := range members {
		if m.State == prober.Live {
			live = append(live, m)
		}
	}

	return live
}

func (w *network) counters() prober.Counters {
	var sum prober.Counters

	for _, n := range w.nodes {
		if n.prober == nil {
			continue
		}

		c := n.prober.Counters()
		sum.Suspicions += c.Suspicions
		sum.Deaths += c.Deaths
		sum.Refutations += c.Refutations
		sum.Freezes += c.Freezes
		sum.SelfDoubts += c.SelfDoubts
		sum.ProbesSent += c.ProbesSent
		sum.ProbesFailed += c.ProbesFailed
		sum.ReplaysDropped += c.ReplaysDropped
		sum.OutdatedDropped += c.OutdatedDropped
	}

	return sum
}
