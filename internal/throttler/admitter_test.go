package throttler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	upstreamName = "http://10.0.0.1:80"
	// detectionTime is how long nodes take to notice that one is down or on another side.
	detectionTime = 2 * time.Second
	// admitWindow, admitFactor and admitSlack are the users' bound: in each window at most admitFactor times what the limit
	// allows, plus admitSlack requests.
	admitWindow = 4 * time.Second
	admitFactor = 1.5
	admitSlack  = 5
)

// admitNode is a node of an admitFleet.
type admitNode struct {
	*throttler.Admitter

	name   string
	cancel context.CancelFunc
	down   bool
	side   int
	// pauses counts the times when the process stood still.
	pauses int
	// seenDown and seenSide are what the others believe.
	seenDown bool
	seenSide int
}

// admitFleet connects admitters whose requests go to one upstream.
type admitFleet struct {
	ctx   context.Context
	rate  float64
	start time.Time

	mu       sync.Mutex
	nodes    []*admitNode
	arrivals []time.Time
}

func newAdmitFleet(ctx context.Context, count int, rate float64) *admitFleet {
	f := &admitFleet{ctx: ctx, rate: rate, start: time.Now()}

	for i := range count {
		n := &admitNode{name: fmt.Sprint("n", i)}
		f.nodes = append(f.nodes, n)
		f.run(n)
	}

	return f
}

// run starts the process of a node. It knows the limit only if the store has it.
func (f *admitFleet) run(n *admitNode) {
	ctx, cancel := context.WithCancel(f.ctx)
	admitter := throttler.NewAdmitter(throttler.AdmitterOptions{
		Self: n.name, Live: func() []string { return f.liveSeenBy(n) }, Leaving: func() []string { return nil },
		Known: func() int { return len(f.nodes) }, Now: func() time.Duration { return time.Since(f.start) },
		Peers: admitLink{f, n}, Logger: zerolog.Nop(),
	})

	f.mu.Lock()
	n.Admitter, n.cancel, n.down = admitter, cancel, false
	f.mu.Unlock()

	go admitter.Run(ctx)
	go func() {
		if sleeper.Sleep(ctx, detectionTime) {
			f.mu.Lock()
			n.seenDown = false
			f.mu.Unlock()
		}
	}()
}

// stop ends the process of a node, which the others notice later.
func (f *admitFleet) stop(n *admitNode) {
	f.mu.Lock()
	n.down = true
	f.mu.Unlock()
	n.cancel()

	go func() {
		time.Sleep(detectionTime)

		f.mu.Lock()
		n.seenDown = n.down
		f.mu.Unlock()
	}()
}

// pause makes the process of a node stand still, which the others notice if it lasts.
func (f *admitFleet) pause(n *admitNode) {
	f.mu.Lock()
	n.down = true
	n.pauses++
	pause := n.pauses
	f.mu.Unlock()

	go func() {
		time.Sleep(detectionTime)

		f.mu.Lock()
		defer f.mu.Unlock()

		n.seenDown = n.down && n.pauses == pause
	}()
}

// resume ends the pause of a node. The others notice at once.
func (f *admitFleet) resume(n *admitNode) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n.down, n.seenDown = false, false
}

func (f *admitFleet) move(n *admitNode, side int) {
	f.mu.Lock()
	n.side = side
	f.mu.Unlock()

	go func() {
		time.Sleep(detectionTime)

		f.mu.Lock()
		n.seenSide = side
		f.mu.Unlock()
	}()
}

func (f *admitFleet) liveSeenBy(n *admitNode) []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var live []string

	for _, other := range f.nodes {
		if other == n || !other.seenDown && other.seenSide == n.seenSide {
			live = append(live, other.name)
		}
	}

	return live
}

// admitLink connects one node to the fleet.
type admitLink struct {
	fleet *admitFleet
	self  *admitNode
}

func (l admitLink) Call(ctx context.Context, peer, method string, params, result any) error {
	l.fleet.mu.Lock()

	i := slices.IndexFunc(l.fleet.nodes, func(n *admitNode) bool { return n.name == peer })
	node, silent := l.fleet.nodes[i].Admitter, l.fleet.nodes[i].down || l.fleet.nodes[i].side != l.self.side
	l.fleet.mu.Unlock()

	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	if !sleeper.Sleep(ctx, time.Millisecond) {
		return ctx.Err()
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	handle := map[string]func(context.Context, string, json.RawMessage) (any, error){
		throttler.MethodAdmit: node.HandleAdmit, throttler.MethodCount: node.HandleCount, throttler.MethodLimit: node.HandleLimit,
	}[method]

	answer, err := handle(ctx, l.self.name, data)
	if err != nil || result == nil {
		return err
	}

	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}

	return json.Unmarshal(data, result)
}

func (l admitLink) Notify(ctx context.Context, peer, method string, params any) error {
	return l.Call(ctx, peer, method, params, nil)
}

// send sends a request of a node once it is admitted, or gives up after the given number of waits.
func (f *admitFleet) send(n *admitNode, tries int) {
	for range tries {
		f.mu.Lock()
		admitter, down := n.Admitter, n.down
		f.mu.Unlock()

		if down {
			return
		}

		known := admitter.Version(upstreamName)

		wait, admitted := admitter.Admit(f.ctx, upstreamName)
		if !admitted {
			time.Sleep(wait)

			continue
		}

		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		admitter.Observe(upstreamName, f.rate, true, known)

		return
	}
}

// load sends requests through all nodes for the given time.
func (f *admitFleet) load(d time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))

	var pending sync.WaitGroup

	for end := time.Now().Add(d); time.Now().Before(end); {
		n := f.nodes[random.IntN(len(f.nodes))]
		pending.Go(func() { f.send(n, 2) })
		time.Sleep(time.Duration(random.ExpFloat64() / (5*f.rate + 5) * float64(time.Second)))
	}

	pending.Wait()
}

func (f *admitFleet) countSince(from time.Time) (total, worst int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	kept := slices.DeleteFunc(slices.Clone(f.arrivals), func(at time.Time) bool { return at.Before(from) })
	for i, first := range kept {
		end, _ := slices.BinarySearchFunc(kept, first.Add(admitWindow), time.Time.Compare)
		worst = max(worst, end-i)
	}

	return len(kept), worst
}

// admitScenarios are faults during which a limit must hold.
var admitScenarios = map[string]func(f *admitFleet){
	"none": func(f *admitFleet) { f.load(20 * time.Second) },
	"nodes restart in turn": func(f *admitFleet) {
		for _, n := range f.nodes[:min(len(f.nodes), 9)] {
			f.stop(n)
			f.load(time.Second)
			f.run(n)
			f.load(time.Second)
		}
	},
	// A node that has stood still decides on, with what it knew before.
	"nodes stand still in turn": func(f *admitFleet) {
		for i, n := range f.nodes {
			f.pause(n)
			f.load([]time.Duration{1500 * time.Millisecond, 5 * time.Second}[i%2])
			f.resume(n)
			f.load(time.Second)
		}
	},
	"all nodes restart": func(f *admitFleet) {
		limit, _ := f.nodes[0].Table().Get(upstreamName)

		for _, n := range f.nodes {
			f.stop(n)
		}

		for _, n := range f.nodes {
			f.run(n)
			n.Table().Merge(limit)
		}

		f.load(15 * time.Second)
	},
	"a half is cut off": func(f *admitFleet) {
		for _, n := range f.nodes[:len(f.nodes)/2] {
			f.move(n, 1)
		}

		f.load(10 * time.Second)

		for _, n := range f.nodes {
			f.move(n, 0)
		}

		f.load(10 * time.Second)
	},
}

// admitNodeCounts returns the sizes of the fleets. Those above six nodes take minutes and are run by hand, with
// QUINCEPATH_LIMIT_NODES set to a size.
func admitNodeCounts() []int {
	if count, err := strconv.Atoi(os.Getenv("QUINCEPATH_LIMIT_NODES")); err == nil {
		return []int{count}
	}

	return []int{1, 6}
}

// Guards against nodes of the own interface that together admit more than an upstream's limit, or less than it offers.
func TestAdmittersKeepALimitTogether(t *testing.T) {
	for name, scenario := range admitScenarios {
		for _, count := range admitNodeCounts() {
			for _, rate := range []float64{0.4, 5, 40} {
				t.Run(fmt.Sprint(name, "/", count, "/", rate), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(context.Background())
						defer cancel()

						f := newAdmitFleet(ctx, count, rate)
						time.Sleep(8 * time.Second)

						f.load(3 * time.Second)

						from := time.Now()
						scenario(f)

						allowed := int(admitFactor*rate*admitWindow.Seconds() + admitSlack)
						_, worst := f.countSince(from)
						assert.Assert(t, worst <= allowed, "%d requests in a window, %d are allowed", worst, allowed)

						f.load(8 * time.Second)

						from = time.Now()
						f.load(20 * time.Second)

						total, worst := f.countSince(from)
						t.Logf("%d requests of %.0f, %d in the worst window", total, rate*20, worst)
						assert.Assert(t, worst <= allowed)
						assert.Assert(t, float64(total) >= 0.75*rate*20-1, "%d requests of %.0f", total, rate*20)
						cancel()
						synctest.Wait()
					})
				})
			}
		}
	}
}
