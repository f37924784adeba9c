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

// The load of one limit on one node at the design size, where 76 requests a second are
// spread over 380 pairs of a service and an organisation.
const (
	requestRate        = 0.2
	meanAnswerDuration = 13900 * time.Millisecond
	answerTokens       = 300
	// typicalLimitFactor is the ratio of an organisation's limit to its load.
	typicalLimitFactor = 4
)

// fleet simulates nodes in virtual time, and encodes and counts their messages.
type fleet struct {
	nodes    map[string]*node
	names    []string
	keys     []Key
	random   *rand.Rand
	now      time.Time
	running  []runningRequest
	bytes    int
	reports  int
	refused  int
	admitted int
	// limitFactor is the ratio of an organisation's limit to its load.
	limitFactor float64
}

type runningRequest struct {
	endsAt time.Time
	node   *node
	key    Key
}

// Limits implements Source.
func (f *fleet) Limits(key Key) Amounts {
	if key.Class != "" {
		return Amounts{}
	}

	rate := f.limitFactor * requestRate * float64(len(f.names))

	return Amounts{Requests: rate, Concurrency: float64(int(rate * meanAnswerDuration.Seconds())), Tokens: rate * answerTokens}
}

func newFleet(nodes, keys int, limitFactor float64) *fleet {
	f := &fleet{nodes: make(map[string]*node), random: rand.New(rand.NewPCG(1, 2)), now: start, limitFactor: limitFactor}

	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("node-%03d", i))
	}

	for i, name := range f.names {
		n := &node{name: name, limiter: New(Options{}, f, name, 1<<62+uint64(i)), owner: NewOwner(start, Options{}, f, name)}
		n.limiter.SetNodes(start, f.names, nodes)
		n.owner.SetNodes(start, f.names, nodes)
		f.nodes[name] = n
	}

	for i := range keys {
		f.keys = append(f.keys, Key{Service: fmt.Sprintf("service-%d", i%22), Organisation: fmt.Sprintf("organisation-%04d", i)})
	}

	return f
}

// run simulates the fleet for some time, in steps of a quarter of a report period.
func (f *fleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(250 * time.Millisecond)

		f.running = slices.DeleteFunc(f.running, func(request runningRequest) bool {
			ended := !request.endsAt.After(f.now)
			if ended {
				request.node.limiter.Done(f.now, request.key.Service, request.key.Organisation, "chat", answerTokens)
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

func (f *fleet) arrive(n *node) {
	for _, key := range f.keys {
		if f.random.Float64() >= requestRate/4 {
			continue
		}

		if _, ok := n.limiter.Admit(f.now, key.Service, key.Organisation, "chat"); !ok {
			f.refused++

			continue
		}

		f.admitted++
		f.running = append(f.running, runningRequest{f.now.Add(time.Duration(f.random.ExpFloat64() * float64(meanAnswerDuration))), n, key})
	}
}

// countMessage counts a call between two nodes, encoded as JSON-RPC, once for each of
// them.
func (f *fleet) countMessage(method string, params, result any) {
	request, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 10000, "method": method, "params": params})
	response, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 10000, "result": result})
	f.bytes += 2 * (len(request) + len(response))
}

func (f *fleet) exchange(n *node) {
	for name, keys := range n.owner.ReportRequests(f.now) {
		f.nodes[name].limiter.RequestReports(f.now, keys)

		if name != n.name {
			f.countMessage(MethodRequestReports, requestReportsParams{keys}, requestReportsResult{})
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
			f.countMessage(MethodReport, reportParams{demands[0].Incarnation, demands[0].KnownNodes, demands}, reportResult{shares})
		}
	}
}

// TestBytesOfLimits bounds the traffic that a limit in use causes on a node, sent and
// received, as user and as owner. The bounds include a margin of a fifth.
func TestBytesOfLimits(t *testing.T) {
	tests := []struct {
		nodes, keys       int
		maxBytesPerSecond float64
	}{{9, 16, 90}, {9, 64, 85}, {30, 10, 90}}

	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes, %d limits", tt.nodes, tt.keys), func(t *testing.T) {
			f := newFleet(tt.nodes, tt.keys, typicalLimitFactor)
			f.run(2 * time.Minute)
			f.bytes, f.reports, f.refused = 0, 0, 0

			const measured = 5 * time.Minute

			f.run(measured)

			keySeconds := measured.Seconds() * float64(tt.nodes*tt.keys)
			perKey := float64(f.bytes) / keySeconds
			t.Logf("%.1f B/s and %.3f reports a second for each limit of a node, %d requests refused", perKey, float64(f.reports)/keySeconds, f.refused)
			assert.Assert(t, perKey <= tt.maxBytesPerSecond, "%.1f B/s", perKey)
		})
	}
}

// Guards against refusing every fourth request of an organisation that uses a quarter
// of its rate. Its requests reach nine nodes at random, and two reach the same node
// within a second or while an answer's tokens are being paid off. The burst of a node
// was one second's worth of its small share, which is less than one request or one
// answer.
func TestThinlySpreadUseIsNotRefused(t *testing.T) {
	const (
		nodes, keys = 9, 16
		duration    = 5 * time.Minute
		// allowanceSeconds is how many seconds' worth of the limit may be admitted
		// beyond the rate: what all nodes together may save up, and one second of the
		// rate itself.
		allowanceSeconds = 5
	)

	belowLimit := newFleet(nodes, keys, typicalLimitFactor)
	belowLimit.run(duration)
	assert.Assert(t, belowLimit.refused*100 < belowLimit.admitted, "%d refused, %d admitted", belowLimit.refused, belowLimit.admitted)

	// Bursts must not raise the rate admitted over a longer time.
	aboveLimit := newFleet(nodes, keys, 0.25)
	aboveLimit.run(duration)

	maxAdmitted := aboveLimit.Limits(aboveLimit.keys[0]).Requests * (duration.Seconds() + allowanceSeconds) * keys
	assert.Assert(t, aboveLimit.refused > aboveLimit.admitted)
	assert.Assert(t, float64(aboveLimit.admitted) <= maxAdmitted, "%d admitted, %.0f allowed", aboveLimit.admitted, maxAdmitted)
}
