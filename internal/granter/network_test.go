package granter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/scheduler"
	"quincepath.example/quincepath/pkg/classifier"
)

const latency = 1500 * time.Microsecond

var errLost = errors.New("the message was lost")

// network connects nodes by simulated messages with a latency, in virtual time.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*node
	settings settings
	// down nodes receive no messages; frozen nodes answer none until they thaw.
	down map[string]bool
	// cut nodes receive no messages either, but are still listed as live.
	cut    map[string]bool
	frozen map[string]chan struct{}
	// loss is the fraction of messages that are lost.
	loss   float64
	random *rand.Rand
	// hidden nodes are missing from partialMembers.
	hidden map[string]bool
	// dropped contains the methods whose messages are always lost.
	dropped map[string]bool
	// messages and bytes are the numbers sent, by method.
	messages, bytes map[string]int
	// running is the current number of attempts at each upstream, peak the largest one.
	running, peak map[string]int
	// failures is the number of failed requests, by result code.
	failures map[classifier.Code]int
}

type handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

type node struct {
	name   string
	net    *network
	holder *Holder
	router *Router
	// notRepeatable is set if the node's requests are not repeatable.
	notRepeatable bool
}

func service(servers, slots int) configurer.Service {
	s := configurer.Service{
		Name: "assistente",
		Kind: configurer.KindEngine,
		Classes: map[string]configurer.Class{
			"counter": {Name: "counter", Tier: 1, Target: 300 * time.Millisecond, MaxWait: 5 * time.Second, Repeatable: true},
			"chat":    {Name: "chat", Tier: 2, Target: 5 * time.Second, MaxWait: time.Minute, Repeatable: true},
		},
		Organisations: map[string]configurer.Organisation{"a": {Weight: 1}},
		Upstreams:     make(map[string]configurer.Upstream),
	}

	for i := range servers {
		name := fmt.Sprintf("e%02d", i+1)
		s.Upstreams[name] = configurer.Upstream{Name: name, Slots: slots}
	}

	return s
}

type settings struct{ snapshot configurer.Snapshot }

func (s settings) Snapshot() configurer.Snapshot { return s.snapshot }

// firstServer is a fallback that grants every slot on the first server.
type firstServer struct{}

func (firstServer) Acquire(context.Context, dispatcher.SlotRequest) (dispatcher.Slot, error) {
	return dispatcher.Slot{ID: "x", Upstream: configurer.Upstream{Name: "e01"}, Priority: 1}, nil
}

func (firstServer) Release(dispatcher.Slot, dispatcher.SlotRequest, dispatcher.Outcome) {}

func newNetwork(ctx context.Context, nodes int, s configurer.Service, options Options) *network {
	n := &network{
		nodes: map[string]*node{}, down: map[string]bool{}, hidden: map[string]bool{}, cut: map[string]bool{}, frozen: map[string]chan struct{}{},
		random: rand.New(rand.NewPCG(1, 1)), dropped: map[string]bool{}, messages: map[string]int{}, bytes: map[string]int{},
		running: map[string]int{}, peak: map[string]int{}, failures: map[classifier.Code]int{},
	}

	for i := range nodes {
		n.start(ctx, fmt.Sprintf("n%d", i+1), s, options)
	}

	return n
}

func (n *network) start(ctx context.Context, name string, s configurer.Service, options Options) *node {
	options.Node = name
	options.Incarnation = "1"
	tree := settings{configurer.Snapshot{Revision: 1, Services: map[string]configurer.Service{s.Name: s}}}
	n.settings = tree
	node := &node{name: name, net: n}
	node.holder = NewHolder(ctx, tree, n, node, options)
	node.router = NewRouter(ctx, node.holder, firstServer{}, tree, n, node, options)
	n.nodes[name] = node

	return node
}

// Live implements Members.
func (n *network) Live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()

	var live []string

	for i := range n.nodes {
		if !n.down[i] || n.frozen[i] != nil {
			live = append(live, i)
		}
	}

	// Map iteration order is random.
	for i := range live {
		for j := i; j > 0 && live[j] < live[j-1]; j-- {
			live[j], live[j-1] = live[j-1], live[j]
		}
	}

	return live
}

func (n *network) holderNode() *node {
	return n.nodes[newPlacement(n.settings).holder(n.Live(), "assistente")]
}

// nonHolder returns a live node that is not the holder.
func (n *network) nonHolder() *node {
	for _, name := range n.Live() {
		if name != n.holderNode().name {
			return n.nodes[name]
		}
	}

	return nil
}

// deliver simulates one message from a node to another, and reports whether it arrived.
func (n *network) deliver(from, to, method string) (chan struct{}, bool) {
	time.Sleep(latency)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.messages[method]++
	lost := n.nodes[to] == nil || n.down[from] || n.down[to] || n.cut[to] || n.dropped[method] || n.random.Float64() < n.loss

	return n.frozen[to], !lost
}

func (n *network) handle(ctx context.Context, from, to, method string, params any) (any, error) {
	frozen, arrived := n.deliver(from, to, method)
	if !arrived {
		<-ctx.Done()

		return nil, errLost
	}

	if frozen != nil {
		<-frozen
	}

	node := n.nodes[to]
	handlers := map[string]handler{
		MethodAsk:      node.holder.HandleAsk,
		MethodRelease:  node.holder.HandleRelease,
		MethodDecided:  node.router.HandleDecided,
		MethodInFlight: node.router.HandleInFlight,
	}

	encoded, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}

	n.mu.Lock()
	n.bytes[method] += len(encoded)
	n.mu.Unlock()

	return handlers[method](ctx, from, encoded)
}

// Call implements Caller. As on a real network, the message is delivered even if the caller gives up.
func (n *node) Call(ctx context.Context, peer, method string, params, result any) error {
	answered := make(chan error, 1)

	var answer any

	go func() {
		var err error

		answer, err = n.net.handle(ctx, n.name, peer, method, params)
		if err == nil {
			if _, arrived := n.net.deliver(peer, n.name, method+" answer"); !arrived {
				<-ctx.Done()

				err = errLost
			}
		}

		answered <- err
	}()

	select {
	case err := <-answered:
		if err != nil {
			return err
		}

		encoded, err := json.Marshal(answer)
		if err != nil {
			return err
		}

		n.net.mu.Lock()
		n.net.bytes[method+" answer"] += len(encoded)
		n.net.mu.Unlock()

		return json.Unmarshal(encoded, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Notify implements Caller.
func (n *node) Notify(ctx context.Context, peer, method string, params any) error {
	_, err := n.net.handle(ctx, n.name, peer, method, params)

	return err
}

// run sends one request through a node and returns how long it waited for its slot.
func (n *node) run(ctx context.Context, class string, duration time.Duration) (time.Duration, error) {
	started := time.Now()
	ask := dispatcher.SlotRequest{RequestID: "r", Service: "assistente", Class: class, Organisation: "a", Repeatable: !n.notRepeatable}

	slot, err := n.router.Acquire(ctx, ask)
	waited := time.Since(started)

	if err != nil {
		return waited, err
	}

	n.net.addRunning(slot.Upstream.Name, 1)

	tokens := 1 + int(duration/(10*time.Millisecond))
	outcome := dispatcher.Outcome{Result: dispatcher.ResultDone, FirstToken: min(timeToFirstToken, duration), Duration: duration, Tokens: tokens}

	select {
	case <-time.After(duration):
	case <-ctx.Done():
		outcome.Result = dispatcher.ResultCallerGone
	case <-slot.Preempted:
		outcome.Result = dispatcher.ResultPreempted
	}

	n.net.addRunning(slot.Upstream.Name, -1)
	n.router.Release(slot, ask, outcome)

	return waited, nil
}

func (n *network) addRunning(upstream string, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.running[upstream] += change
	n.peak[upstream] = max(n.peak[upstream], n.running[upstream])
}

// recordFailure counts a failed request by its result code.
func (n *network) recordFailure(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.failures[classifier.From(err).Code]++
}

// takeFailures returns how many requests failed with the result code since the last call.
func (n *network) takeFailures(code classifier.Code) int {
	n.mu.Lock()
	defer n.mu.Unlock()

	count := n.failures[code]
	n.failures[code] = 0

	return count
}

// runningAttempts returns copies of the current and the largest numbers of attempts, by upstream.
func (n *network) runningAttempts() (running, most map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return maps.Clone(n.running), maps.Clone(n.peak)
}

// openRequests returns the number of pending slot requests and attempts of all nodes.
func (n *network) openRequests() int {
	count := 0

	for _, node := range n.nodes {
		node.router.mu.Lock()
		count += len(node.router.pending) + len(node.router.attempts)
		node.router.mu.Unlock()
	}

	return count
}

// slotsInUse returns the number of slots in use according to the pools of all nodes.
func (n *network) slotsInUse() int {
	sum := 0

	for _, node := range n.nodes {
		for _, stats := range node.holder.Stats() {
			for _, count := range stats.InFlight {
				sum += count
			}
		}
	}

	return sum
}

func fixedSlotOptions() Options {
	return Options{Pool: scheduler.Options{FixedSlots: true, Headroom: -1, NoPredictiveRefusals: true, NoPreemption: true}}
}
