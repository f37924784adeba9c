package quarantiner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
)

// fleet is several nodes in one process, with the upstreams that they know and a store.
type fleet struct {
	// storeReturns counts the returns of the store from copies.
	storeReturns int64
	t            *testing.T

	mu    sync.Mutex
	nodes map[string]*node
	// alive are the upstreams that accept connections.
	alive map[string]bool
	// dark are the upstreams that neither accept nor refuse connections.
	dark map[string]bool
	// unknownUntil is when the nodes can tell again which upstreams accept connections.
	unknownUntil time.Time
	// stored is what the store holds; while storeDown is true, writes to the store fail.
	stored    map[quarantiner.Key]quarantiner.Quarantine
	storeDown bool
	// answering are the requests of which part of the answer has arrived whenever an upstream crashes.
	answering map[quarantiner.Key]bool
	// frozen are nodes that take messages and do nothing, cutOff those that reach no other node and that no other reaches. Both
	// hold the time since when. After outageDetection the other nodes don't count them as live any more.
	frozen, cutOff map[string]time.Time
	// logs is what all nodes logged.
	logs bytes.Buffer
}

// outageDetection is how long after a node became silent the others know.
const outageDetection = 1500 * time.Millisecond

type node struct {
	*quarantiner.Quarantiner

	stop context.CancelFunc
}

func newFleet(t *testing.T, nodes int) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node), alive: make(map[string]bool), dark: make(map[string]bool), stored: make(map[quarantiner.Key]quarantiner.Quarantine), answering: make(map[quarantiner.Key]bool), frozen: make(map[string]time.Time), cutOff: make(map[string]time.Time)}

	for i := range nodes {
		f.start(fmt.Sprint("n", i))
	}

	return f
}

func (f *fleet) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var names []string
	for name := range f.nodes {
		if !isDetected(f.frozen, name) && !isDetected(f.cutOff, name) {
			names = append(names, name)
		}
	}

	slices.Sort(names)

	return names
}

func isDetected(silent map[string]time.Time, name string) bool {
	since, ok := silent[name]

	return ok && time.Since(since) > outageDetection
}

// isSilent reports whether a node is frozen or cut off.
func (f *fleet) isSilent(silent map[string]time.Time, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	_, ok := silent[name]

	return ok
}

func (f *fleet) node(name string) (*node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	n, ok := f.nodes[name]
	if !ok {
		return nil, errors.New("no such node")
	}

	return n, nil
}

// peers carries messages as JSON.
type peers struct {
	*fleet
	self string
}

func (p peers) Call(ctx context.Context, peer, method string, params, result any) error {
	n, err := p.node(peer)
	if err != nil {
		return err
	}

	if p.isSilent(p.cutOff, peer) || p.isSilent(p.cutOff, p.self) || p.isSilent(p.frozen, p.self) {
		<-ctx.Done()

		return ctx.Err()
	}

	if p.isSilent(p.frozen, peer) {
		if result == nil {
			return nil
		}

		<-ctx.Done()

		return ctx.Err()
	}

	handlers := map[string]func(context.Context, string, json.RawMessage) (any, error){
		quarantiner.MethodReport:        n.HandleReport,
		quarantiner.MethodQueryAnswered: n.HandleQueryAnswered,
		quarantiner.MethodQuarantine:    n.HandleQuarantine,
		quarantiner.MethodRelease:       n.HandleRelease,
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return ctx.Err()
	}

	answer, err := handlers[method](ctx, p.self, data)
	if err != nil || result == nil {
		return err
	}

	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}

	return json.Unmarshal(data, result)
}

func (p peers) Notify(ctx context.Context, peer, method string, params any) error {
	return p.Call(ctx, peer, method, params, nil)
}

// Record implements quarantiner.Recorder.
func (f *fleet) Record(_ context.Context, entries []quarantiner.Quarantine) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeDown {
		return errors.New("away")
	}

	for _, entry := range entries {
		f.stored[entry.Key] = entry
	}

	return nil
}

// Release implements quarantiner.Recorder.
func (f *fleet) Release(_ context.Context, keys []quarantiner.Key) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, key := range keys {
		delete(f.stored, key)
	}

	return nil
}

// Get implements quarantiner.Store.
func (f *fleet) Get(_ context.Context, name string) (storer.KeyValue, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeDown {
		return storer.KeyValue{}, 0, errors.New("away")
	}

	for key, entry := range f.stored {
		if key.String() == name {
			value, err := json.Marshal(entry)

			// The time of the last change serves as its revision.
			return storer.KeyValue{Key: name, Value: value, ModRevision: entry.Since}, 0, err
		}
	}

	return storer.KeyValue{Key: name}, 0, nil
}

// Txn implements quarantiner.Store.
func (f *fleet) Txn(_ context.Context, t storer.Txn) (storer.TxnResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeDown {
		return storer.TxnResult{}, errors.New("away")
	}

	var renewed quarantiner.Quarantine
	if err := json.Unmarshal(t.Success[0].Value, &renewed); err != nil {
		return storer.TxnResult{}, err
	}

	if f.stored[renewed.Key].Since != t.Compares[0].Number {
		return storer.TxnResult{}, nil
	}

	f.stored[renewed.Key] = renewed

	return storer.TxnResult{Succeeded: true}, nil
}

// lockedWriter writes to the log of a fleet.
type lockedWriter struct {
	fleet *fleet
}

// Write implements io.Writer.
func (w *lockedWriter) Write(line []byte) (int, error) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()

	return w.fleet.logs.Write(line)
}

// start starts a node and gives it what the store holds.
func (f *fleet) start(name string) {
	q := quarantiner.New(quarantiner.Options{
		Self: name, Live: f.live, CoordinatorCandidates: f.live, Peers: peers{fleet: f, self: name},
		IsDown: func(_ context.Context, upstream, _ string) (down, silent bool, err error) {
			f.mu.Lock()
			defer f.mu.Unlock()

			if time.Now().Before(f.unknownUntil) {
				return false, false, errors.New("not known")
			}

			return !f.alive[upstream] || f.dark[upstream], f.dark[upstream], nil
		},
		Recorder: f, Store: f, Logger: zerolog.New(&lockedWriter{fleet: f}),
	})

	ctx, stop := context.WithCancel(f.t.Context())

	f.mu.Lock()
	f.nodes[name] = &node{Quarantiner: q, stop: stop}
	f.mu.Unlock()
	f.list()

	go q.Run(ctx)
}

func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.nodes[name].stop()
	delete(f.nodes, name)
}

// list updates all nodes with the listed upstreams and quarantines.
func (f *fleet) list() {
	f.mu.Lock()

	var upstreams []quarantiner.Upstream

	for id := range f.alive {
		if f.alive[id] {
			upstreams = append(upstreams, quarantiner.Upstream{Instance: quarantiner.Instance{Upstream: id}})
		}
	}

	var stored []quarantiner.Quarantine
	for _, entry := range f.stored {
		stored = append(stored, entry)
	}

	nodes := f.nodes
	f.mu.Unlock()

	for _, n := range nodes {
		n.Update(quarantiner.List(upstreams), stored, f.storeReturns)
	}
}

func (f *fleet) add(upstreams ...string) {
	f.mu.Lock()
	for _, id := range upstreams {
		f.alive[id] = true
	}
	f.mu.Unlock()
	f.list()
}

// crash stops an upstream that runs the requests. They are distributed over the nodes in turn.
func (f *fleet) crash(upstream string, keys ...quarantiner.Key) {
	f.mu.Lock()
	f.alive[upstream] = false
	f.mu.Unlock()

	names := f.live()
	for i, key := range keys {
		f.nodes[names[i%len(names)]].Broke(brokenRun(key, upstream, f.answering[key]))
	}

	time.Sleep(time.Second)
}

// crashThree crashes three upstreams one after the other while they run the culprit.
func (f *fleet) crashThree() {
	f.add("a", "b", "c")

	for _, upstream := range []string{"a", "b", "c"} {
		f.crash(upstream, key("culprit"))
	}
}

// recorded is the number of quarantines that the store holds.
func (f *fleet) recorded() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.stored)
}

// held returns the number of nodes at which the request must not run.
func (f *fleet) held(key quarantiner.Key) int {
	count := 0

	for _, name := range f.live() {
		if _, mayRun := f.nodes[name].Check(quarantiner.Traits{Content: key}, quarantiner.Key{}); !mayRun {
			count++
		}
	}

	return count
}

// brokenRun is a run of a request without prompt parts.
func brokenRun(key quarantiner.Key, upstream string, answering bool) quarantiner.Run {
	return quarantiner.Run{
		Traits: quarantiner.Traits{Content: key}, Service: "desk", Upstream: upstream, Address: upstream, SentAt: time.Now(), Answering: answering,
	}
}

func key(name string) quarantiner.Key {
	return quarantiner.KeyOf("salon", "POST", "shop.example", "/"+name, nil)
}

func TestRequestThatCrashesThreeUpstreamsIsQuarantinedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		f.add("a", "b", "c")

		f.crash("a", key("culprit"), key("x"))
		f.crash("b", key("y"), key("culprit"))
		assert.Equal(t, f.held(key("culprit")), 0)

		f.crash("c", key("z"), key("y"), key("culprit"))
		assert.Equal(t, f.held(key("culprit")), 5)

		for _, name := range []string{"x", "y", "z"} {
			assert.Equal(t, f.held(key(name)), 0)
		}
	})
}

// Guards against quarantining a long stream that resumes on another upstream after each crash and so runs in several of
// them.
func TestRequestBesideTheCulpritIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.add("a", "b", "c", "d")

		f.crash("a", key("culprit"), key("long"))
		f.crash("b", key("long"), key("culprit"))
		f.crash("c", key("culprit"), key("long"))
		// No crash tells the two apart yet.
		assert.Equal(t, f.held(key("culprit")), 0)
		assert.Equal(t, f.held(key("long")), 0)

		f.crash("d", key("culprit"))
		assert.Equal(t, f.held(key("culprit")), 3)
		assert.Equal(t, f.held(key("long")), 0)

		f.add("e")
		f.crash("e", key("long"))
		assert.Equal(t, f.held(key("long")), 0)
	})
}

// Guards against quarantining a long stream that ran in three crashes when two culprits crash upstreams in turn: neither
// culprit ran in all three.
func TestRequestBesideTwoCulpritsIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.add("a", "b", "c", "d", "e")
		f.answering[key("long")] = true

		f.crash("a", key("first"), key("long"))
		f.crash("b", key("long"), key("second"))
		f.crash("c", key("first"), key("long"))
		assert.Equal(t, f.held(key("long")), 0)

		f.crash("d", key("second"))
		f.crash("e", key("first"))
		assert.Equal(t, f.held(key("first")), 3)
		assert.Equal(t, f.held(key("long")), 0)
	})
}

// Guards against quarantining the request that was being answered, instead of the one that was waiting, if both ran in
// the same crashes up to the last.
func TestOfTwoThatNothingPartsTheOneThatWaitedIsBlamed(t *testing.T) {
	for i := range 8 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			culprit, long := key(fmt.Sprint("culprit", i)), key(fmt.Sprint("long", i))
			f.answering[long] = true

			for _, upstream := range []string{"a", "b", "c", "d", "e"} {
				f.add(upstream)
				f.crash(upstream, long, culprit)
			}

			assert.Equal(t, f.held(culprit), 3)
			assert.Equal(t, f.held(long), 0)
		})
	}
}

// Guards against never quarantining a request that crashes upstreams in the middle of its answers.
func TestCulpritThatIsBeingAnsweredIsQuarantinedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.answering[key("culprit")] = true

		f.crashThree()
		assert.Equal(t, f.held(key("culprit")), 0)
		f.add("d")
		f.crash("d", key("culprit"))
		assert.Equal(t, f.held(key("culprit")), 3)
	})
}

// Guards against quarantining a popular request that runs wherever an upstream crashes but is also answered.
func TestRequestThatIsAnsweredElsewhereIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.add("a", "b", "c", "d", "e", "f")

		for _, upstream := range []string{"a", "b", "c", "d", "e", "f"} {
			f.crash(upstream, key("popular"))
			f.nodes["n3"].Answered(quarantiner.Traits{Content: key("popular")}, "desk")
			time.Sleep(time.Second)
		}

		assert.Equal(t, f.held(key("popular")), 0)
	})
}

// Guards against failing to quarantine the culprit because a popular request ran in the same crashes.
func TestPopularRequestDoesNotShieldTheCulprit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.add("a", "b", "c")

		for _, upstream := range []string{"a", "b", "c"} {
			f.crash(upstream, key("popular"), key("culprit"))
			f.nodes["n2"].Answered(quarantiner.Traits{Content: key("popular")}, "desk")
		}

		time.Sleep(time.Second)
		assert.Equal(t, f.held(key("culprit")), 4)
		assert.Equal(t, f.held(key("popular")), 0)
	})
}

// Guards against counting upstreams as crashed that break off single requests or are drained.
func TestUpstreamsThatLiveOnOrLeaveDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.add("a", "b", "c")

		for range 4 {
			for _, upstream := range []string{"a", "b", "c"} {
				f.nodes["n0"].Broke(brokenRun(key("unlucky"), upstream, false))
				time.Sleep(time.Second)
			}
		}

		for _, n := range f.nodes {
			n.Update(quarantiner.List([]quarantiner.Upstream{
				{Instance: quarantiner.Instance{Upstream: "a"}, Draining: true},
				{Instance: quarantiner.Instance{Upstream: "b"}, Draining: true},
				{Instance: quarantiner.Instance{Upstream: "c"}, Draining: true},
			}), nil, 0)
		}

		time.Sleep(20 * time.Second)

		for _, upstream := range []string{"a", "b", "c"} {
			f.crash(upstream, key("unlucky"))
		}

		assert.Equal(t, f.held(key("unlucky")), 0)
	})
}

// Guards against not checking an upstream again that broke off an answer, survived, and crashes soon after.
func TestCrashSoonAfterABrokenAnswerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.add("a", "b", "c")

		for _, upstream := range []string{"a", "b", "c"} {
			f.nodes["n0"].Broke(brokenRun(key("unlucky"), upstream, false))
			time.Sleep(2 * time.Second)
			f.crash(upstream, key("culprit"))
			time.Sleep(time.Second)
		}

		assert.Equal(t, f.held(key("culprit")), 2)
		assert.Equal(t, f.held(key("unlucky")), 0)
	})
}

// Guards against treating an upstream that restarts at once as one that did not crash.
func TestUpstreamThatReturnsAtOnceCountsAsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.add("a", "b", "c")

		for _, upstream := range []string{"a", "b", "c"} {
			// Its address accepts connections throughout.
			f.nodes["n0"].Broke(brokenRun(key("culprit"), upstream, false))
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			delete(f.alive, upstream)
			f.mu.Unlock()
			f.list()
			time.Sleep(time.Second)
		}

		assert.Equal(t, f.held(key("culprit")), 2)
	})
}

// Guards against counting the second crash of an upstream that keeps its id over restarts as its first.
func TestCrashesOfOneUpstreamCountEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)

		for range 3 {
			f.add("only")
			f.crash("only", key("culprit"), key("culprit"))
			time.Sleep(5 * time.Second)
		}

		assert.Equal(t, f.held(key("culprit")), 3)
	})
}

// Guards against a node that starts while the store is unavailable and lets the quarantined request run.
func TestNodeThatStartsWhileTheStoreIsAwayLearnsOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.storeDown = true
		f.crashThree()

		f.start("late")
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.held(key("culprit")), 4)

		f.mu.Lock()
		f.storeDown = false
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.recorded(), 1)
	})
}

// Guards against losing quarantines when all nodes are replaced by new ones.
func TestQuarantineOutlastsAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.crashThree()

		for _, name := range f.live() {
			f.kill(name)
		}

		f.start("new")
		assert.Equal(t, f.held(key("culprit")), 1)
	})
}

// Guards against losing the count of crashes with the coordinators that hold it.
func TestCountOutlastsTheJudges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		f.add("a", "b", "c")
		// All crashes are seen by n0 and n1.
		broke := func(upstream string) {
			f.mu.Lock()
			f.alive[upstream] = false
			f.mu.Unlock()
			f.nodes["n0"].Broke(brokenRun(key("culprit"), upstream, false))
			f.nodes["n1"].Broke(brokenRun(key("culprit"), upstream, false))
			time.Sleep(time.Second)
		}

		broke("a")
		broke("b")

		for _, name := range []string{"n2", "n3", "n4", "n5"} {
			f.kill(name)
		}

		f.start("n6")
		f.start("n7")
		time.Sleep(time.Second)
		broke("c")
		assert.Equal(t, f.held(key("culprit")), 4)
	})
}

func TestQuarantineEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.crashThree()

		f.list()
		verdict, mayRun := f.nodes["n0"].Check(quarantiner.Traits{Content: key("culprit")}, quarantiner.Key{})
		left := verdict.Remaining
		assert.Assert(t, !mayRun && left > 50*time.Minute && left <= time.Hour, left)

		time.Sleep(time.Hour + 2*time.Minute)
		assert.Equal(t, f.held(key("culprit")), 0)
		assert.Equal(t, f.recorded(), 0)
	})
}

// Guards against a quarantine that operators cannot lift by removing it from the store.
func TestQuarantineThatTheStoreListsNoMoreIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.crashThree()

		f.list()
		f.mu.Lock()
		clear(f.stored)
		f.mu.Unlock()
		f.list()
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.held(key("culprit")), 0)
		assert.Equal(t, f.recorded(), 0)
	})
}

// Guards against unbounded memory use when crashes continue.
func TestMemoryOfCrashesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)

		for i := range 100 {
			var keys []quarantiner.Key
			for j := range 100 {
				keys = append(keys, key(fmt.Sprint(i, "-", j)))
			}

			f.crash(fmt.Sprint("u", i), keys...)
		}

		for _, n := range f.nodes {
			counters := n.Counters()
			assert.Assert(t, counters.DetectorEntries <= 8192 && counters.TrackedRequests <= 2048, "%+v", counters)
		}

		// The latest crashes still count.
		f.crashThree()
		assert.Equal(t, f.held(key("culprit")), 2)
	})
}

// Guards against counting an upstream as crashed that was silent to a request, or broke one off, lived on and was then drained: its
// leaving is planned.
func TestUpstreamThatLivesOnAndIsDrainedSoonDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)

		for _, upstream := range []string{"a", "b", "c", "d", "e"} {
			f.add(upstream)
			f.nodes["n0"].Broke(brokenRun(key("unlucky"), upstream, false))
			time.Sleep(2 * time.Second)

			for _, n := range f.nodes {
				n.Update(quarantiner.List([]quarantiner.Upstream{{Instance: quarantiner.Instance{Upstream: upstream}, Draining: true}}), nil, 0)
			}

			time.Sleep(time.Second)
			f.mu.Lock()
			delete(f.alive, upstream)
			f.mu.Unlock()
			f.list()
			time.Sleep(time.Second)
		}

		assert.Equal(t, f.held(key("unlucky")), 0)
	})
}

// Guards against a request in quarantine though an upstream answered it, because the node that knows was silent for a second or so
// while it was asked.
func TestSilentWitnessIsAskedAgain(t *testing.T) {
	for _, silence := range []time.Duration{400 * time.Millisecond, time.Second, 1400 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				f.add("a", "b", "c")
				time.Sleep(time.Second)

				coordinators := quarantiner.CoordinatorsOf(f.nodes["n0"].Quarantiner)
				// Node n0 reports the crashes.
				others := slices.DeleteFunc(f.live(), func(name string) bool { return name == "n0" || slices.Contains(coordinators, name) })
				witness := others[0]

				f.crash("a", key("unlucky"))
				f.crash("b", key("unlucky"))
				f.nodes[witness].Answered(quarantiner.Traits{Content: key("unlucky")}, "desk")

				f.mu.Lock()
				f.frozen[witness] = time.Now()
				f.mu.Unlock()
				time.AfterFunc(silence, func() {
					f.mu.Lock()
					defer f.mu.Unlock()

					delete(f.frozen, witness)
				})

				f.crash("c", key("unlucky"))
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.held(key("unlucky")), 0)
			})
		})
	}
}

// Guards against an upstream that counts as crashed because it was silent for a second or so, and took no connection meanwhile, when
// it was checked.
func TestUpstreamThatIsDarkForASecondDoesNotCount(t *testing.T) {
	for name, dark := range map[string]time.Duration{"sound": 1500 * time.Millisecond, "crashed": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				upstreams := []string{"a", "b", "c", "d", "e"}
				f.add(upstreams...)

				for _, upstream := range upstreams {
					f.mu.Lock()
					f.dark[upstream] = true
					f.mu.Unlock()
					time.AfterFunc(dark, func() {
						f.mu.Lock()
						defer f.mu.Unlock()

						delete(f.dark, upstream)
					})
					// An answer that ended with its connection, and a request that finds the upstream dark.
					f.nodes["n0"].AnsweredUntilClose(brokenRun(key("ended"), upstream, true))
					f.nodes["n0"].Unreachable(upstream)
					time.Sleep(3 * time.Second)
				}

				want := 0
				if name == "crashed" {
					want = 2
				}

				assert.Equal(t, f.held(key("ended")), want)
			})
		})
	}
}

// Guards against a crash that never counts because the nodes couldn't tell at first whether the upstream was gone, and against requests
// that count as crashing upstreams that live.
func TestCrashThatIsNotKnownAtFirstCounts(t *testing.T) {
	for name, c := range map[string]struct {
		alive, dark bool
		want        int
	}{
		"crashed":       {want: 2},
		"alive":         {alive: true},
		"silent before": {alive: true, dark: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				upstreams := []string{"a", "b", "c"}
				f.add(upstreams...)

				for _, upstream := range upstreams {
					f.mu.Lock()
					f.alive[upstream], f.dark[upstream] = c.alive, c.dark
					f.unknownUntil = time.Now().Add(1500 * time.Millisecond)
					f.mu.Unlock()
					time.AfterFunc(2500*time.Millisecond, func() {
						f.mu.Lock()
						defer f.mu.Unlock()

						delete(f.dark, upstream)
					})

					f.nodes["n0"].Broke(brokenRun(key("culprit"), upstream, false))
					time.Sleep(time.Second)
					assert.Equal(t, f.held(key("culprit")), 0)
					time.Sleep(4 * time.Second)
				}

				assert.Equal(t, f.held(key("culprit")), c.want)
			})
		})
	}
}
