package limiter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The use of one limit on one node below: that of the design size, where 76 requests a
// second are spread over 380 pairs of a service and an organisation.
const (
	pairRate   = 0.2
	pairLength = 13900 * time.Millisecond
	pairTokens = 300
	// pairFactor is how many times its use an organisation may send.
	pairFactor = 4
)

// traffic is a fleet in virtual time whose messages are encoded and counted.
type traffic struct {
	nodes   []*node
	names   []string
	pairs   []Key
	random  *rand.Rand
	now     time.Time
	done    []finishing
	bytes   int
	reports int
	refused int
}

type finishing struct {
	at   time.Time
	node *node
	key  Key
}

// Limits implements Source.
func (f *traffic) Limits(key Key) Amounts {
	if key.Class != "" {
		return Amounts{}
	}

	rate := pairFactor * pairRate * float64(len(f.names))

	return Amounts{Requests: rate, Concurrency: float64(int(rate * pairLength.Seconds())), Tokens: rate * pairTokens}
}

func newTraffic(nodes, pairs int) *traffic {
	f := &traffic{random: rand.New(rand.NewPCG(1, 2)), now: start}

	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("node-%03d", i))
	}

	for i, name := range f.names {
		n := &node{name: name, limiter: New(Options{}, f, name, 1<<62+uint64(i)), owner: NewOwner(start, Options{}, f, name)}
		n.limiter.SetNodes(start, f.names, nodes)
		n.owner.SetNodes(start, f.names, nodes)
		f.nodes = append(f.nodes, n)
	}

	for i := range pairs {
		f.pairs = append(f.pairs, Key{Service: fmt.Sprintf("service-%d", i%22), Organisation: fmt.Sprintf("organisation-%04d", i)})
	}

	return f
}

// run lets the fleet work for a time in steps of a quarter of a period.
func (f *traffic) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(250 * time.Millisecond)

		kept := f.done[:0]
		for _, v := range f.done {
			if v.at.After(f.now) {
				kept = append(kept, v)

				continue
			}

			v.node.limiter.Done(f.now, v.key.Service, v.key.Organisation, "chat", pairTokens)
		}

		f.done = kept

		for _, n := range f.nodes {
			f.arrive(n)
		}

		for _, n := range f.nodes {
			n.owner.Sweep(f.now)
			f.exchange(n)
		}
	}
}

func (f *traffic) arrive(n *node) {
	for _, key := range f.pairs {
		if f.random.Float64() >= pairRate/4 {
			continue
		}

		if _, ok := n.limiter.Admit(f.now, key.Service, key.Organisation, "chat"); !ok {
			f.refused++

			continue
		}

		f.done = append(f.done, finishing{f.now.Add(time.Duration(f.random.ExpFloat64() * float64(pairLength))), n, key})
	}
}

// count adds a message between two nodes as JSON-RPC encodes it, once at each end.
func (f *traffic) count(method string, params, result any) {
	request, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 10000, "method": method, "params": params})
	response, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 10000, "result": result})
	f.bytes += 2 * (len(request) + len(response))
}

func (f *traffic) exchange(n *node) {
	for name, keys := range n.owner.Asks(f.now) {
		f.find(name).limiter.Ask(f.now, keys)

		if name != n.name {
			f.count(MethodAsk, askParams{keys}, askResult{})
		}
	}

	for name, demands := range n.limiter.Reports(f.now) {
		shares := make([]Share, len(demands))

		for i, demand := range demands {
			shares[i], _ = f.find(name).owner.Report(f.now, n.name, demand)
			shares[i].Key = demand.Key
		}

		n.limiter.Apply(f.now, shares)

		if name != n.name {
			f.reports += len(demands)
			f.count(MethodReport, reportParams{demands[0].Incarnation, demands[0].Known, demands}, reportResult{shares})
		}
	}
}

func (f *traffic) find(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}

	return nil
}

// TestBytesOfLimits bounds what a limit in use costs a node, sent and received,
// as user and as owner. The bounds are the measured figures and a fifth.
func TestBytesOfLimits(t *testing.T) {
	tests := []struct {
		nodes, pairs int
		most         float64
	}{{9, 16, 90}, {9, 64, 85}, {30, 10, 90}}

	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes, %d pairs", tt.nodes, tt.pairs), func(t *testing.T) {
			f := newTraffic(tt.nodes, tt.pairs)
			f.run(2 * time.Minute)
			f.bytes, f.reports, f.refused = 0, 0, 0

			const measured = 5 * time.Minute

			f.run(measured)

			each := measured.Seconds() * float64(tt.nodes*tt.pairs)
			perPair := float64(f.bytes) / each
			t.Logf("%.1f B/s and %.3f reports a second for each pair of a node, %d requests refused", perPair, float64(f.reports)/each, f.refused)
			assert.Assert(t, perPair <= tt.most, "%.1f B/s", perPair)
		})
	}
}
