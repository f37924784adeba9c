package budgeter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/apportioner"
	"quincepath.example/quincepath/internal/gateway/budgeter"
)

const (
	ratio = 0.2
	extra = 58
	// randomRuns is the number of runs with random faults, randomEvents the number of faults in each.
	randomRuns   = 40
	randomEvents = 30
	window       = 10 * time.Second
	lateArrival  = 5 * time.Second
	// step is the time step of the simulation.
	step = 20 * time.Millisecond
	// settlingTime is the time after which nodes that were started together use their shares.
	settlingTime = 30 * time.Second
	// maxViewLag is the maximum age of a connected node's view of the store.
	maxViewLag = 1300 * time.Millisecond
)

var errUnreachable = errors.New("the peer doesn't answer")

// fleet simulates nodes that share a budget, in virtual time.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	extra  float64
	nodes  []*node
	// listed holds the nodes listed in the store, in the order in which they were added.
	listed []listing
	// storeDown is set while no node reaches the store.
	storeDown bool

	// failing is set while upstreams fail; silent while they don't even answer, and may receive an attempt late.
	failing, silent bool
	// thawAt is when all unanswered attempts arrive; 0 if each arrives after a random delay.
	thawAt time.Duration
	// retries is the number of extra attempts that a failed request makes.
	retries int

	events []event
	// sent holds the times of the requests of callers, extras the times at which extra attempts arrived.
	sent, extras []time.Duration
}

type listing struct {
	name string
	at   time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

// node is one node of the fleet. Each start creates a new process without any state.
type node struct {
	fleet *fleet
	name  string
	// rate is the number of requests per second.
	rate    float64
	budget  *budgeter.Budgeter
	shares  *apportioner.Apportioner
	viewAt  time.Duration
	startAt time.Duration
	// down, cut and frozen say that the process is not running, reaches only callers and upstreams, or is suspended.
	down, cut, frozen bool
	// listed is set once the node is listed in the store. known is the number of listed nodes that it knows.
	listed bool
	known  int
	// waiting is the number of requests that arrived while the node was frozen.
	waiting     int
	incarnation int
}

func newFleet(seed uint64, nodes int, rate float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 31)), now: time.Hour, extra: extra, retries: 1}

	for range nodes {
		f.join(rate)
	}

	f.nodes[0].shares.SetFirstNode()

	return f
}

func (f *fleet) join(rate float64) {
	n := &node{fleet: f, name: fmt.Sprint("n", len(f.nodes)), rate: rate}
	f.nodes = append(f.nodes, n)
	n.start()
}

// start starts a new process of the node, without any state.
func (n *node) start() {
	f := n.fleet
	n.incarnation++
	n.down, n.frozen, n.waiting, n.known, n.viewAt, n.startAt = false, false, 0, 0, -1, f.now
	clock := func() time.Duration { return f.now }
	shares := apportioner.New(apportioner.Options{Self: n.name, MaxListAge: window, Retention: budgeter.Retention(window), Now: clock})
	n.shares = shares
	// The list that the node reads first may be empty.
	n.shares.Update(nil, n)
	n.budget = budgeter.New(budgeter.Options{
		Ratio: ratio, Extra: f.extra, Window: window, Now: clock,
		Share: shares.Share,
		Peers: f, Self: n.name, Live: f.live, Logger: zerolog.Nop(),
	})
}

// Age implements apportioner.Freshness.
func (n *node) Age() (time.Duration, bool) { return n.fleet.now - n.viewAt, n.viewAt >= 0 }

// stop ends the node's process.
func (n *node) stop() {
	n.down = true
	n.incarnation++
}

func (f *fleet) live() []string {
	var names []string

	for _, n := range f.nodes {
		if !n.down {
			names = append(names, n.name)
		}
	}

	return names
}

// Call implements budgeter.Peers.
func (f *fleet) Call(ctx context.Context, peer, method string, params, result any) error {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == peer })

	n := f.nodes[i]
	if n.down || n.cut || n.frozen || method != budgeter.MethodBorrow {
		return errUnreachable
	}

	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}

	answer, err := n.budget.HandleBorrow(ctx, "", sent)
	if err != nil {
		return err
	}

	got, err := json.Marshal(answer)
	if err != nil {
		return err
	}

	return json.Unmarshal(got, result)
}

func (f *fleet) after(wait time.Duration, run func()) {
	f.events = append(f.events, event{at: f.now + wait, run: run})
}

// run advances the simulation by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step

		for _, n := range f.nodes {
			n.step()
		}

		due := f.events
		f.events = nil

		for _, e := range due {
			if e.at <= f.now {
				e.run()
			} else {
				f.events = append(f.events, e)
			}
		}
	}
}

func (n *node) step() {
	f := n.fleet

	for count := n.rate * step.Seconds(); count > 0; count-- {
		if f.random.Float64() < count {
			n.request()
		}
	}

	if n.down || n.frozen {
		return
	}

	n.budget.MarkRunning()

	for ; n.waiting > 0; n.waiting-- {
		n.serve()
	}

	if n.cut || f.storeDown {
		return
	}

	if !n.listed {
		n.listed = true
		f.listed = append(f.listed, listing{name: n.name, at: f.now})
	}

	// The view lags behind by a random time, but never goes back.
	viewAt := max(f.now-time.Duration(f.random.Int64N(int64(maxViewLag))), n.viewAt, n.startAt)
	n.viewAt = viewAt

	known := n.known
	for n.known < len(f.listed) && f.listed[n.known].at <= viewAt {
		n.known++
	}

	if n.known == known {
		return
	}

	var names []string
	for _, l := range f.listed[:n.known] {
		names = append(names, l.name)
	}

	n.shares.Update(names, n)
}

// request handles a request of a caller. If the node is down, the caller sends it again to another node.
func (n *node) request() {
	f := n.fleet
	f.sent = append(f.sent, f.now)

	switch {
	case n.frozen:
		n.waiting++
	case !n.down:
		n.serve()
	default:
		others := f.live()
		if len(others) == 0 {
			return
		}

		name := others[f.random.IntN(len(others))]
		f.after(step, f.nodes[slices.IndexFunc(f.nodes, func(o *node) bool { return o.name == name })].request)
	}
}

func (n *node) serve() {
	n.budget.CountRequest("desk")

	if n.fleet.failing {
		n.retry(n.fleet.retries, true)
	}
}

// retry sends a request once more after a failure. arrived says whether all earlier attempts have certainly arrived.
func (n *node) retry(left int, arrived bool) {
	f, incarnation := n.fleet, n.incarnation
	if left == 0 {
		return
	}

	f.after(step, func() {
		if n.incarnation != incarnation {
			return
		}

		permit, ok := n.budget.Acquire(context.Background(), "desk")
		if !ok {
			return
		}

		n.send(permit, left, arrived && !f.silent)
	})
}

func (n *node) send(permit *budgeter.Permit, left int, arrived bool) {
	f, incarnation := n.fleet, n.incarnation

	if n.frozen {
		// The attempt continues when the node does.
		f.after(step, func() {
			if n.incarnation == incarnation {
				n.send(permit, left, arrived)
			}
		})

		return
	}

	if !permit.Usable() {
		permit.Cancel()

		return
	}

	if arrived {
		f.extras = append(f.extras, f.now)
		permit.Complete(true)
	} else {
		wait := time.Duration(f.random.Int64N(int64(lateArrival)))
		if f.thawAt > f.now {
			wait = f.thawAt - f.now
		}

		f.after(wait, func() { f.extras = append(f.extras, f.now) })
		f.after(900*time.Millisecond, func() { permit.Complete(false) })
	}

	if f.failing {
		n.retry(left-1, arrived)
	}
}

// windowUsage is the number of extra attempts in a window and the number allowed in it.
type windowUsage struct {
	extras  int
	allowed float64
}

func (u windowUsage) String() string {
	return fmt.Sprintf("%d extra attempts, %.1f allowed", u.extras, u.allowed)
}

// worstWindow returns the window whose extra attempts come closest to the limit or exceed it most. The limit follows from the
// requests in that window, in the one before it or in the one that starts half a window earlier, whichever has most.
func (f *fleet) worstWindow() windowUsage {
	var worst windowUsage

	slices.Sort(f.sent)
	slices.Sort(f.extras)

	for i, begin := range f.extras {
		usage := f.usageFrom(begin)
		if i == 0 || float64(usage.extras)-usage.allowed > float64(worst.extras)-worst.allowed {
			worst = usage
		}
	}

	return worst
}

// usageFrom returns the usage of the window that starts at the given time. The recorded times must be sorted.
func (f *fleet) usageFrom(begin time.Duration) windowUsage {
	count := func(times []time.Duration, begin time.Duration) int {
		from, _ := slices.BinarySearch(times, begin)
		to, _ := slices.BinarySearch(times, begin+window)

		return to - from
	}
	requests := max(count(f.sent, begin), count(f.sent, begin-window/2), count(f.sent, begin-window))

	return windowUsage{extras: count(f.extras, begin), allowed: ratio*float64(requests) + f.extra}
}

// The limits of the nodes must not add up to more than what all of them together may send.
func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	cases := map[string]struct {
		nodes    int
		rate     float64
		scenario func(*fleet)
	}{
		"6 nodes, 1 a second":    {6, 1, steady},
		"9 nodes, 1 a second":    {9, 1, steady},
		"9 nodes, 5 a second":    {9, 5, steady},
		"9 nodes, 10 a second":   {9, 10, steady},
		"9 nodes, 40 a second":   {9, 40, steady},
		"65 nodes, 15 a second":  {65, 15, steady},
		"370 nodes, 1 a second":  {370, 1, steady},
		"short failure":          {9, 10, func(f *fleet) { f.fail(5 * time.Second) }},
		"several short failures": {9, 10, func(f *fleet) { f.fail(3 * time.Second); f.run(4 * time.Second); f.fail(3 * time.Second) }},
		"two retries":            {9, 10, func(f *fleet) { f.retries = 2; steady(f) }},
		"no answers":             {9, 10, func(f *fleet) { f.silent = true; steady(f) }},
		"no answers, retries":    {9, 10, func(f *fleet) { f.silent = true; f.retries = 2; steady(f) }},
		"burst before":           {9, 5, func(f *fleet) { f.surge(20, 2*time.Second); f.fail(20 * time.Second) }},
		"burst in failure":       {9, 5, func(f *fleet) { f.fail(5 * time.Second); f.failing = true; f.surge(20, 2*time.Second); steady(f) }},
		"traffic ends":           {9, 40, func(f *fleet) { f.fail(3 * time.Second); f.multiply(0.05); steady(f) }},
		"hot node":               {9, 1, func(f *fleet) { f.nodes[0].rate = 80; steady(f) }},
		"hot node is another": {9, 1, func(f *fleet) {
			f.nodes[0].rate = 80
			f.fail(8 * time.Second)
			f.nodes[0].rate, f.nodes[1].rate = 1, 80
			steady(f)
		}},
		"restarts in turn":     {9, 10, restartInTurn},
		"restarts, no answers": {9, 10, func(f *fleet) { f.silent = true; restartInTurn(f) }},
		"all restart twice":    {9, 10, restartTogether},
		"nodes join":           {9, 10, joinMany},
		"nodes join, some cut": {9, 10, func(f *fleet) { f.cut(4); joinMany(f); f.heal(); f.fail(40 * time.Second) }},
		"nodes cut":            {9, 10, func(f *fleet) { f.cut(3); f.fail(20 * time.Second); f.heal(); f.fail(20 * time.Second) }},
		"store away":           {9, 10, func(f *fleet) { f.storeDown = true; f.fail(30 * time.Second); f.storeDown = false; steady(f) }},
		"nodes freeze":         {9, 10, freezeInFailure},
		"all freeze":           {9, 10, func(f *fleet) { f.fail(5 * time.Second); f.failing = true; f.freeze(9, 6*time.Second); steady(f) }},
		"freeze, then calm":    {9, 10, freezeBefore},
		"many cut, many join":  {9, 0.5, cutAndJoin},
		"upstreams freeze":     {9, 10, freezeUpstreams},
		"bounds fall":          {9, 10, func(f *fleet) { f.fail(5 * time.Second); f.reload(20); steady(f) }},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, c.nodes, c.rate)
			f.run(settlingTime)
			c.scenario(f)

			worst := f.worstWindow()
			t.Log(worst)
			assert.Assert(t, worst.extras > 0)
			assert.Assert(t, float64(worst.extras) <= worst.allowed, worst.String())
		})
	}
}

func steady(f *fleet) {
	f.fail(40 * time.Second)
}

// fail runs the simulation for d while upstreams fail.
func (f *fleet) fail(d time.Duration) {
	f.failing = true
	f.run(d)
	f.failing = false
}

// surge runs the simulation for d with multiplied traffic.
func (f *fleet) surge(by float64, d time.Duration) {
	f.multiply(by)
	f.run(d)
	f.multiply(1 / by)
}

func (f *fleet) multiply(by float64) {
	for _, n := range f.nodes {
		n.rate *= by
	}
}

func restartInTurn(f *fleet) {
	f.failing = true
	f.run(3 * time.Second)

	for _, n := range f.nodes {
		n.stop()
		f.run(500 * time.Millisecond)
		n.start()
	}

	f.run(40 * time.Second)
}

func restartTogether(f *fleet) {
	f.failing = true

	for range 2 {
		f.run(3 * time.Second)

		for _, n := range f.nodes {
			n.stop()
		}

		f.run(500 * time.Millisecond)

		for _, n := range f.nodes {
			n.start()
		}
	}

	f.run(40 * time.Second)
}

func joinMany(f *fleet) {
	f.failing = true

	for range 6 {
		f.run(2 * time.Second)
		f.join(f.nodes[0].rate)
	}

	f.run(40 * time.Second)
}

// cut disconnects the first nodes from the store and from all other nodes.
func (f *fleet) cut(count int) {
	for _, n := range f.nodes[:count] {
		n.cut = true
	}
}

func (f *fleet) heal() {
	for _, n := range f.nodes {
		n.cut = false
	}
}

func (f *fleet) freeze(count int, d time.Duration) {
	for _, n := range f.nodes[:count] {
		n.frozen = true
	}

	f.run(d)

	for _, n := range f.nodes {
		n.frozen = false
	}
}

// freezeBefore freezes all nodes, and lets upstreams fail less than a window after the backlog of that time was read.
func freezeBefore(f *fleet) {
	f.freeze(9, 9*time.Second)
	f.multiply(0.2)
	f.run(8 * time.Second)

	f.retries = 8
	steady(f)
}

func freezeInFailure(f *fleet) {
	f.failing = true
	f.run(3 * time.Second)
	f.freeze(3, 6*time.Second)
	f.run(3 * time.Second)
	f.freeze(5, 4*time.Second)
	f.run(30 * time.Second)
}

// cutAndJoin doubles the number of nodes while all but one of the existing ones can't learn of it.
func cutAndJoin(f *fleet) {
	f.cut(8)

	for range 9 {
		f.join(f.nodes[0].rate)
	}

	f.run(settlingTime)
	f.failing, f.retries = true, 3
	f.multiply(4)
	f.run(40 * time.Second)
}

// freezeUpstreams freezes all upstreams for the time during which an unanswered attempt counts, then lets them fail.
func freezeUpstreams(f *fleet) {
	f.silent, f.thawAt = true, f.now+lateArrival
	f.fail(lateArrival)
	f.silent = false
	steady(f)
}

// reload lowers the limit on one node after the other. The test still allows the former limit meanwhile.
func (f *fleet) reload(to float64) {
	f.failing = true

	for _, n := range f.nodes {
		f.run(300 * time.Millisecond)
		n.budget.SetBounds(ratio, to)
	}
}

// runRandomFaults starts and ends faults at random times, some of them at once.
func (f *fleet) runRandomFaults(random *rand.Rand) {
	for range randomEvents {
		n := f.nodes[random.IntN(len(f.nodes))]

		switch random.IntN(12) {
		case 0:
			n.stop()
		case 1:
			n.stop()
			n.start()
		case 2:
			n.cut = !n.cut
		case 3:
			n.frozen = !n.frozen
		case 4:
			f.storeDown = !f.storeDown
		case 5:
			f.silent = !f.silent
		case 6:
			f.failing = !f.failing
		case 7:
			f.failing = true
			f.retries = 1 + random.IntN(3)
		case 8:
			n.rate = random.Float64() * 40
		case 9:
			if len(f.nodes) < 20 {
				f.join(n.rate)
			}
		case 10:
			for _, other := range f.nodes {
				if other.down {
					other.start()
				}

				other.cut, other.frozen = false, false
			}
		case 11:
			for _, other := range f.nodes {
				other.stop()
				other.start()
			}
		}

		f.run(time.Duration(random.Int64N(int64(window))))
	}
}
