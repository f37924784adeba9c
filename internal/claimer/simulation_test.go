package claimer_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	simulatedNodes   = 3
	simulatedCallers = 4
	asksPerCaller    = 5
	simulatedKeys    = 2
	hang             = time.Minute
)

// simulation is one seeded schedule of faults, callers and nodes over one store.
type simulation struct {
	store *keeper.Store
	// wrap lets a test switch a mechanism off; nil leaves the store as it is.
	wrap func(claimer.Store) claimer.Store
	// forwards says that nodes ask a holder, which they needn't agree on, to write for them.
	forwards bool
	// answers is how long answers are kept; 0 means longer than the schedule.
	answers time.Duration
	ctx     context.Context

	mu      sync.Mutex
	random  *rand.Rand
	nodes   []*simulatedNode
	calm    bool
	outages [][2]time.Time
	runs    map[string]int
	notRun  map[string]bool
	ran     map[string]bool

	history history
}

// simulatedNode is one run of a node; a restart makes a new one.
type simulatedNode struct {
	*simulation
	name        string
	incarnation string
	claimer     *claimer.Claimer
	cancel      context.CancelFunc
	dead        atomic.Bool
	// crashAt is the number of the store call at which the node ends, before or after its effect.
	crashAt    int
	crashAfter bool
}

func (s *simulation) chance(percent int) bool {
	return s.number(100) < percent
}

func (s *simulation) number(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.random.IntN(n)
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.number(int(d)))
}

func (s *simulation) start(index, incarnation int) {
	n := &simulatedNode{
		simulation:  s,
		name:        fmt.Sprintf("node-%d", index),
		incarnation: fmt.Sprint(incarnation),
		crashAt:     1 + s.number(30),
		crashAfter:  s.chance(50),
	}
	ctx, cancel := context.WithCancel(s.ctx)
	n.cancel = cancel
	var store claimer.Store = keeper.NewLocal(s.store, n.faults)
	if s.wrap != nil {
		store = s.wrap(store)
	}
	options := claimer.Options{Node: n.name, Incarnation: n.incarnation, Makers: n, SegmentBytes: 600, AnswerTime: s.answers}
	if s.answers > 0 {
		options.SegmentAge, options.TickInterval = s.answers/10, 3*time.Second
	}
	if s.forwards {
		options.Holders, options.Caller = n, n
	}
	n.claimer = claimer.New(ctx, store, options)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[index] = n
}

func (s *simulation) node(index int) *simulatedNode {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.nodes[index]
}

// crash ends the node's process and starts the next one later.
func (n *simulatedNode) crash() {
	if n.dead.Swap(true) {
		return
	}
	n.cancel()
	var index, incarnation int
	_, _ = fmt.Sscanf(n.name, "node-%d", &index)
	_, _ = fmt.Sscan(n.incarnation, &incarnation)
	wait := n.upTo(5 * time.Second)
	go func() {
		time.Sleep(wait)
		n.start(index, incarnation+1)
	}()
}

// faults judges a store call: outages, crashes around it, pauses, lost requests and replies, late effects.
func (n *simulatedNode) faults(_ context.Context, call keeper.Call) keeper.Verdict {
	n.mu.Lock()
	calm, outages := n.calm, n.outages
	n.mu.Unlock()
	near := keeper.Verdict{DelayBefore: time.Millisecond, DelayAfter: time.Millisecond}
	if calm {
		return near
	}
	for i, outage := range outages {
		if now := time.Now(); now.After(outage[0]) && now.Before(outage[1]) {
			if i%2 == 0 {
				return keeper.Verdict{Refuse: errors.New("outage")}
			}
			return keeper.Verdict{LoseRequest: true, DelayAfter: hang}
		}
	}
	if call.Number == n.crashAt {
		if !n.crashAfter {
			n.crash()
			return keeper.Verdict{Refuse: errors.New("crashed")}
		}
		go func() {
			time.Sleep(1500 * time.Microsecond)
			n.crash()
		}()
		return near
	}
	switch n.number(30) {
	case 0:
		return keeper.Verdict{Refuse: errors.New("refused")}
	case 1:
		return keeper.Verdict{LoseRequest: true}
	case 2, 3:
		return keeper.Verdict{LoseReply: true}
	case 4, 5:
		return keeper.Verdict{DelayBefore: n.upTo(5 * time.Second)}
	case 6:
		return keeper.Verdict{DelayAfter: n.upTo(3 * time.Second)}
	case 7:
		time.Sleep(n.upTo(8 * time.Second))
	}

	return near
}

// Alive implements claimer.Makers, and is wrong at times.
func (n *simulatedNode) Alive(node, incarnation string) bool {
	if n.chance(10) {
		return n.chance(50)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.nodes {
		if other.name == node && other.incarnation == incarnation {
			return !other.dead.Load()
		}
	}

	return false
}

// Holder implements claimer.Holders; nodes disagree at times.
func (n *simulatedNode) Holder(shard int) string {
	if n.chance(20) {
		return fmt.Sprintf("node-%d", n.number(simulatedNodes))
	}

	return fmt.Sprintf("node-%d", shard%simulatedNodes)
}

// Call implements claimer.Caller with lost and late messages.
func (n *simulatedNode) Call(ctx context.Context, peer, method string, params, result any) error {
	var index int
	_, _ = fmt.Sscanf(peer, "node-%d", &index)
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	fault := n.number(10)
	replies := make(chan []byte, 1)
	go func() {
		time.Sleep(time.Millisecond)
		if fault == 0 || method != claimer.MethodWrite {
			return
		}
		if fault == 1 {
			time.Sleep(n.upTo(3 * time.Second))
		}
		target := n.node(index)
		reply, err := target.claimer.HandleWrite(context.Background(), n.name, encoded)
		if err != nil || fault == 2 || target.dead.Load() {
			return
		}
		bytes, _ := json.Marshal(reply)
		replies <- bytes
	}()
	select {
	case bytes := <-replies:
		return json.Unmarshal(bytes, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ask is one request of a caller, with all that its entry node does for it.
func (n *simulatedNode) ask(caller, number, key int) {
	name := fmt.Sprintf("key-%d", key)
	request := fmt.Sprintf("%s/%d/%d", n.name, caller, number)
	claim := claimer.Claim{
		Organisation: "salon", Service: "banco", Key: name,
		BodyHash: sha256.Sum256([]byte(name)), RequestID: request,
	}
	begun := n.history.call(name, input{kind: "begin", request: request})
	decision, err := n.claimer.Begin(context.Background(), claim)
	switch {
	case n.dead.Load():
		// The caller sees a broken connection and knows nothing.
		begun.end(output{result: "unavailable"})
		return
	case err != nil:
		n.refused(request, classifier.From(err), begun)
		return
	case decision.Replay != nil && decision.Replay.Dropped:
		begun.end(output{result: "dropped"})
		return
	case decision.Replay != nil:
		begun.end(output{result: "replay", value: string(decision.Replay.Body)})
		return
	}
	begun.end(output{result: "run"})
	n.run(decision.Handle, name, request)
}

func (n *simulatedNode) refused(request string, failure *classifier.Error, begun *pending) {
	if failure.Ran == classifier.RanNo {
		n.mu.Lock()
		n.notRun[request] = true
		n.mu.Unlock()
	}
	if failure.Code == classifier.ClaimUnavailable {
		begun.end(output{result: "unavailable"})
		return
	}
	begun.end(output{result: failure.Code.String()})
}

func (n *simulatedNode) run(handle *claimer.Handle, name, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	n.step()
	if n.dead.Load() {
		return
	}
	if n.chance(25) {
		n.mu.Lock()
		n.notRun[request] = true
		n.mu.Unlock()
		n.finish("void", name, request, func() error { return handle.Void(ctx) })
		return
	}
	n.mu.Lock()
	n.runs[name]++
	n.ran[request] = true
	n.mu.Unlock()
	n.step()
	if n.dead.Load() {
		return
	}
	n.finish("done", name, request, func() error {
		return handle.Finish(ctx, claimer.Result{Ran: classifier.RanYes, Status: 200, Body: []byte(request)})
	})
}

// step passes time between two steps of a run; the node may end in it.
func (n *simulatedNode) step() {
	time.Sleep(n.upTo(time.Second))
	if n.chance(8) {
		n.crash()
	}
}

func (n *simulatedNode) finish(kind, name, request string, end func() error) {
	begun := n.history.call(name, input{kind: kind, request: request})
	if err := end(); err != nil || n.dead.Load() {
		begun.open()
		return
	}
	begun.end(output{result: "ok"})
}

// play runs the schedule of a seed and returns what broke, or nil. It adds what came about to tally.
func play(t *testing.T, seed uint64, wrap func(claimer.Store) claimer.Store, tally map[string]int) error {
	t.Helper()
	var failure error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &simulation{
			store: keeper.NewStore(keeper.StoreOptions{}), wrap: wrap, forwards: seed%2 == 1, ctx: ctx,
			answers: time.Duration(seed/2%2) * 3 * time.Second,
			random:  rand.New(rand.NewPCG(seed, 1)), nodes: make([]*simulatedNode, simulatedNodes),
			runs: map[string]int{}, notRun: map[string]bool{}, ran: map[string]bool{},
		}
		for i := range 2 {
			from := time.Now().Add(s.upTo(15 * time.Second))
			s.outages = append(s.outages, [2]time.Time{from, from.Add(s.upTo(time.Duration(i+1) * 2 * time.Second))})
		}
		for i := range simulatedNodes {
			s.start(i, 1)
		}
		s.callAll()
		s.askAtLast()
		failure = s.judge()
		s.history.count(tally)
		for _, runs := range s.runs {
			tally["sent"] += runs
		}
		time.Sleep(3 * time.Minute)
		cancel()
		time.Sleep(hang)
	})

	return failure
}

func (s *simulation) callAll() {
	var callers sync.WaitGroup
	for caller := range simulatedCallers {
		callers.Go(func() {
			for number := range asksPerCaller {
				time.Sleep(s.upTo(3 * time.Second))
				s.node(s.number(simulatedNodes)).ask(caller, number, s.number(simulatedKeys))
			}
		})
	}
	callers.Wait()
}

// askAtLast asks once more for each key, on a node that knows nothing yet, when all is well again.
func (s *simulation) askAtLast() {
	time.Sleep(time.Minute)
	s.mu.Lock()
	s.calm = true
	s.mu.Unlock()
	s.start(0, 100)
	for key := range simulatedKeys {
		s.node(0).ask(simulatedCallers, key, key)
	}
}

func (s *simulation) judge() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, runs := range s.runs {
		if runs > 1 {
			return errors.Newf("%s ran %d times", key, runs)
		}
	}
	for request := range s.notRun {
		if s.ran[request] {
			return errors.Newf("%s ran although its caller was told not_run", request)
		}
	}

	return s.history.check()
}
