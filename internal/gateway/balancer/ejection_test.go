package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// failingPool is an overloaded pool in which some engines fail their requests.
type failingPool struct {
	*simulation

	// fails reports whether an upstream fails its next request.
	fails func(upstream string) bool
	// nodes is the number of nodes that send requests in turn.
	nodes int
	// starts is set if upstreams begin a response before they fail the request.
	starts bool
	// sent and failed count the requests by upstream, after the first second.
	sent, failed map[string]int
}

// settle places a request, or ends it shortly after it is sent if the upstream fails it.
func (f *failingPool) settle(now time.Time, id, upstream string) {
	late := now.Sub(start) > time.Second
	if late {
		f.sent[upstream]++
	}

	if !f.fails(upstream) {
		f.place(now, id, false)

		return
	}

	if late {
		f.failed[upstream]++
	}

	if f.starts {
		f.pool.RecordFirstEvent(now.Add(4*time.Millisecond), id, nil)
	}

	f.pool.RecordEnd(now.Add(5*time.Millisecond), id, balancer.Failed)
}

// run sends twice the load that the engines can take, for 5 seconds.
func (f *failingPool) run(engines int) {
	for i := range 500 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		f.settleGrants(now)

		for j := range engines {
			id := fmt.Sprintf("n%d.%d", i, j)

			if choice, decision := f.pool.Acquire(now, fmt.Sprint("node", (i*engines+j)%f.nodes), notes(id, fmt.Sprint("s", (i*7+j)%200))); decision == balancer.Granted {
				f.settle(now, id, choice.Upstream)
			}
		}
	}
}

func (f *failingPool) settleGrants(now time.Time) {
	f.endDue(now)

	for _, g := range f.pool.GrantQueued(now) {
		if !g.Refused {
			f.settle(now, g.ID, g.Choice.Upstream)
		}
	}
}

func newFailingPool(p *balancer.Pool, fails func(upstream string) bool) *failingPool {
	return &failingPool{
		simulation: &simulation{pool: p, placed: map[string]bool{}, asked: map[string]time.Time{}},
		fails:      fails, nodes: 1, sent: map[string]int{}, failed: map[string]int{},
	}
}

// Under overload, the empty slots of an engine that fails every request at once must not attract the queued
// requests while all other engines are full.
func TestFailingEngineDrawsNothingUnderOverload(t *testing.T) {
	f := newFailingPool(engines(10, 12), func(upstream string) bool { return upstream == "a" })
	f.run(10)

	// One trial every 2 seconds, and as many again while the ejection time grows.
	assert.Assert(t, f.failed["a"] <= 8, "%d requests failed", f.failed["a"])
	assert.Assert(t, f.sent["b"] > 10)
}

// Guards against an engine that draws a request of each of many nodes again and again.
func TestFailingEngineDrawsLittleFromManyNodes(t *testing.T) {
	for _, starts := range []bool{false, true} {
		f := newFailingPool(engines(10, 12), func(upstream string) bool { return upstream == "a" })
		f.nodes, f.starts = 30, starts
		f.run(10)

		// One trial every 2 seconds and as many again while the ejection time grows, or one after each of the shortest ejections
		// where responses begin: 4 s in 300 ms.
		limit := 8
		if starts {
			limit = 4000/300 + 1
		}

		assert.Check(t, f.failed["a"] <= limit, "starts %t: %d requests failed", starts, f.failed["a"])
		assert.Check(t, f.sent["b"] > 10)
	}
}

// When all engines fail half of their requests under overload, they must not all be ejected.
func TestEnginesThatAllFailHalfAreUsed(t *testing.T) {
	turn := 0
	f := newFailingPool(engines(10, 12), func(string) bool {
		turn++

		return turn%2 == 0
	})
	f.run(10)

	total, used := 0, 0

	for _, sent := range f.sent {
		total += sent

		if sent > 0 {
			used++
		}
	}

	assert.Assert(t, used == 10 && total > 400, "%d requests at %d engines", total, used)
}

// call returns a request of a plain service.
func call(id string) balancer.Request {
	return balancer.Request{ID: id, Target: time.Second, TimeLimit: 5 * time.Second}
}

const (
	// sendInterval is the time between two requests, answerSteps how many of these intervals a response takes.
	sendInterval = 8 * time.Millisecond
	answerSteps  = 6
	// hangSteps is the number of intervals after which a connect that hangs fails.
	hangSteps = 50
)

// partitionedPool is a pool of sound servers that some nodes can't reach. All nodes send the same number of requests.
type partitionedPool struct {
	pool  *balancer.Pool
	nodes int
	// reaches reports whether a node reaches the server at a time.
	reaches func(node int, server string, now time.Time) bool
	// failSteps is the number of intervals after which a connect fails.
	failSteps int
	step      int
	// events are the functions to call by step.
	events map[int][]func(now time.Time)
	// asked holds the requests that wait or run by ID.
	asked map[string]*askedRequest
	// sent, served and failed count requests by node, failed attempts included.
	sent, served, failed map[int]int
}

// askedRequest is a request of a node, with the number of its attempts.
type askedRequest struct {
	balancer.Request

	node, attempts int
}

func newPartitionedPool(nodes, failSteps int, reaches func(node int, server string, now time.Time) bool) *partitionedPool {
	return &partitionedPool{
		pool: newPool(8, 6, balancer.Engine{}), nodes: nodes, reaches: reaches, failSteps: failSteps,
		events: map[int][]func(now time.Time){}, asked: map[string]*askedRequest{},
		sent: map[int]int{}, served: map[int]int{}, failed: map[int]int{},
	}
}

// run sends requests until the given time.
func (p *partitionedPool) run(to time.Duration) {
	for ; time.Duration(p.step)*sendInterval < to; p.step++ {
		now := at(time.Duration(p.step) * sendInterval)

		for _, event := range p.events[p.step] {
			event(now)
		}

		delete(p.events, p.step)

		for _, g := range p.pool.GrantQueued(now) {
			if r := p.asked[g.ID]; !g.Refused {
				p.begin(now, r, g.Choice.Upstream)
			}
		}

		r := &askedRequest{node: p.step % p.nodes}
		p.sent[r.node]++
		p.ask(now, r)
	}
}

// ask asks for a server, at most three times for a request.
func (p *partitionedPool) ask(now time.Time, r *askedRequest) {
	if r.attempts == 3 {
		return
	}

	r.attempts++
	excluded := r.Excluded
	r.Request = call(fmt.Sprint(p.step, ".", r.node, ".", r.attempts))
	r.Excluded = excluded
	p.asked[r.ID] = r

	if choice, decision := p.pool.Acquire(now, fmt.Sprint("node", r.node), r.Request); decision == balancer.Granted {
		p.begin(now, r, choice.Upstream)
	}
}

func (p *partitionedPool) begin(now time.Time, r *askedRequest, server string) {
	id := r.ID

	if p.reaches(r.node, server, now) {
		p.served[r.node]++
		p.events[p.step+answerSteps] = append(p.events[p.step+answerSteps], func(now time.Time) {
			p.pool.RecordEnd(now, id, balancer.Served)
		})

		return
	}

	p.failed[r.node]++
	p.events[p.step+p.failSteps] = append(p.events[p.step+p.failSteps], func(now time.Time) {
		p.pool.RecordEnd(now, id, balancer.Unreachable)

		r.Excluded = append(r.Excluded, server)
		p.ask(now, r)
	})
}

// Guards against nodes that lost their paths to sound servers and eject these for the nodes that reach them.
func TestNodesThatReachServersKeepThem(t *testing.T) {
	for _, fleet := range []struct{ nodes, cutOff, failSteps int }{
		{3, 1, 1}, {3, 2, 1}, {9, 3, 1}, {9, 6, 1}, {30, 20, 1}, {30, 25, 1},
		{3, 1, hangSteps}, {3, 2, hangSteps}, {9, 6, hangSteps}, {30, 20, hangSteps},
	} {
		p := newPartitionedPool(fleet.nodes, fleet.failSteps, func(node int, _ string, now time.Time) bool {
			return node >= fleet.cutOff || now.Before(at(time.Second)) || now.After(at(11*time.Second))
		})
		// The bounds hold from 3 s after the cut began.
		p.run(4 * time.Second)
		clear(p.sent)
		clear(p.served)
		p.run(7 * time.Second)

		// Another node takes over, which has heard no reports.
		p.pool = newPool(8, 6, balancer.Engine{})
		p.run(11 * time.Second)

		sent, served := 0, 0
		for node := fleet.cutOff; node < fleet.nodes; node++ {
			sent += p.sent[node]
			served += p.served[node]
		}

		assert.Check(t, float64(served) >= 0.95*float64(sent), "%+v: nodes in touch serve %d of %d", fleet, served, sent)

		// All nodes use the servers again 2 s after the cut.
		p.run(13 * time.Second)
		clear(p.sent)
		clear(p.served)
		p.run(15 * time.Second)

		sent, served = 0, 0
		for node := range fleet.nodes {
			sent += p.sent[node]
			served += p.served[node]
		}

		assert.Check(t, float64(served) >= 0.95*float64(sent), "%+v: all nodes serve %d of %d after the cut", fleet, served, sent)
	}
}

// Guards against an upstream that gets nothing of any node because one node's requests end there without a response.
func TestFailuresOfOneNodeEjectNothingForOthers(t *testing.T) {
	for _, outcome := range []balancer.Outcome{balancer.Failed, balancer.Unreachable} {
		p := newPool(3, 6, balancer.Engine{})

		for i := range 30 {
			id := fmt.Sprint("one", i)

			if _, decision := p.Acquire(at(0), "one", call(id)); decision == balancer.Granted {
				p.RecordEnd(at(time.Duration(i)*time.Millisecond), id, outcome)
			}
		}

		for i, others := range [][]string{{"b", "c"}, {"a", "c"}, {"a", "b"}} {
			work := call(fmt.Sprint("other", i))
			work.Excluded = others
			_, decision := p.Acquire(at(50*time.Millisecond), "other", work)
			assert.Check(t, decision == balancer.Granted, "%v: without %v", outcome, others)
		}
	}
}

// Guards against many nodes that each keep trying a server that is down.
func TestServerThatIsDownIsEjectedForAllNodes(t *testing.T) {
	p := newPartitionedPool(30, 1, func(_ int, server string, _ time.Time) bool { return server != "a" })
	p.run(10 * time.Second)

	failed := 0
	for _, count := range p.failed {
		failed += count
	}

	// One of each node, then one trial every 2 seconds, and as many again while the ejection time grows.
	assert.Assert(t, failed <= p.nodes+8, "%d requests failed", failed)

	for node := range p.nodes {
		assert.Assert(t, p.served[node] >= p.sent[node]-1, "node %d serves %d of %d", node, p.served[node], p.sent[node])
	}
}
