package limiter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// usualFactor is how many times its use an organisation may send.
	usualFactor = 4
)

// traffic is a fleet in virtual time whose messages are encoded and counted.
type traffic struct {
	nodes   map[string]*node
	names   []string
	pairs   []Key
	random  *rand.Rand
	now     time.Time
	done    []finishing
	bytes   int
	reports int
	refused int
	taken   int
	// factor is how many times its use an organisation may send.
	factor float64
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

	rate := f.factor * pairRate * float64(len(f.names))

	return Amounts{Requests: rate, Concurrency: float64(int(rate * pairLength.Seconds())), Tokens: rate * pairTokens}
}

func newTraffic(nodes, pairs int, factor float64) *traffic {
	f := &traffic{nodes: make(map[string]*node), random: rand.New(rand.NewPCG(1, 2)), now: start, factor: factor}

	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("node-%03d", i))
	}

	for i, name := range f.names {
		n := &node{name: name, limiter: New(Options{}, f, name, 1<<62+uint64(i)), owner: NewOwner(start, Options{}, f, name)}
		n.limiter.SetNodes(start, f.names, nodes)
		n.owner.SetNodes(start, f.names, nodes)
		f.nodes[name] = n
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

		f.done = slices.DeleteFunc(f.done, func(v finishing) bool {
			ended := !v.at.After(f.now)
			if ended {
				v.node.limiter.Done(f.now, v.key.Service, v.key.Organisation, "chat", pairTokens)
			}

			return ended
		})

		for _, name := range f.names {
			f.arrive(f.nodes[name])
			f.nodes[name].owner.Sweep(f.now)
			f.exchange(f.nodes[name])
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

		f.taken++
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
	for name, keys := range n.owner.ReportRequests(f.now) {
		f.nodes[name].limiter.RequestReports(f.now, keys)

		if name != n.name {
			f.count(MethodRequestReports, askParams{keys}, askResult{})
		}
	}

	for name, demands := range n.limiter.DueReports(f.now) {
		shares := make([]LeaseReply, len(demands))

		for i, demand := range demands {
			shares[i], _ = f.nodes[name].owner.Report(f.now, n.name, demand)
			shares[i].Key = demand.Key
		}

		n.limiter.Apply(f.now, shares)

		if name != n.name {
			f.reports += len(demands)
			f.count(MethodReport, reportParams{demands[0].Incarnation, demands[0].KnownNodes, demands}, reportResult{shares})
		}
	}
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
			f := newTraffic(tt.nodes, tt.pairs, usualFactor)
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

// Symptom: an organisation that uses a quarter of its rate is told at every fourth request that a limit is reached.
// Sequence: its requests come to nine nodes, at random; two come to one node within a second, or while an answer's tokens are paid off.
// Cause: a node saved up one second's worth of its small share, which is less than one more request, or than one answer.
func TestThinlySpreadUseIsNotRefused(t *testing.T) {
	const (
		nodes, pairs = 9, 16
		length       = 5 * time.Minute
		// savedSeconds are worth of the limit that all nodes together may save up, and one of the rate itself.
		savedSeconds = 5
	)

	thin := newTraffic(nodes, pairs, usualFactor)
	thin.run(length)
	assert.Assert(t, thin.refused*100 < thin.taken, "%d refused, %d taken", thin.refused, thin.taken)

	// What is saved up must not let more through for long.
	full := newTraffic(nodes, pairs, 0.25)
	full.run(length)

	most := full.Limits(full.pairs[0]).Requests * (length.Seconds() + savedSeconds) * pairs
	assert.Assert(t, full.refused > full.taken)
	assert.Assert(t, float64(full.taken) <= most, "%d taken, %.0f allowed", full.taken, most)
}
