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
	// randomDays is the number of days with random faults, and randomEvents that of their faults.
	randomDays   = 40
	randomEvents = 30
	window       = 10 * time.Second
	late         = 5 * time.Second
	// step is the time between two moments of a simulated fleet.
	step = 20 * time.Millisecond
	// settled is when nodes that were started together use their parts.
	settled = 30 * time.Second
	// viewLag bounds the age of what a node in touch knows of the store.
	viewLag = 1300 * time.Millisecond
)

var errAway = errors.New("the peer doesn't answer")

// fleet simulates nodes that share a budget, in virtual time.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	extra  float64
	nodes  []*node
	// listed holds when each node was listed in the store.
	listed []listing
	// storeAway says that no node reaches the store.
	storeAway bool

	// failing says that upstreams fail; silent that they don't answer either, and may get an attempt late.
	failing, silent bool
	// thawAt is when attempts without an answer arrive; 0 if each comes at its own time.
	thawAt time.Duration
	// retries is the number of extra attempts that a failed request needs.
	retries int

	events []event
	// sent are the requests of callers, extras the extra attempts that arrived.
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

// node is one of the fleet; its process is made anew at each start.
type node struct {
	fleet *fleet
	name  string
	// rate is the requests a second.
	rate    float64
	budget  *budgeter.Budgeter
	parts   *apportioner.Apportioner
	viewAt  time.Duration
	startAt time.Duration
	// away, cut and frozen say that the node is down, reaches nobody but callers and upstreams, or is frozen.
	away, cut, frozen bool
	// listed says that the node is listed in the store, known is how many of those that are it knows.
	listed bool
	known  int
	// waiting is the requests that came while it was frozen.
	waiting int
	life    int
}

func newFleet(seed uint64, nodes int, rate float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 31)), now: time.Hour, extra: extra, retries: 1}

	for range nodes {
		f.join(rate)
	}

	f.nodes[0].parts.SetFirstNode()

	return f
}

func (f *fleet) join(rate float64) {
	n := &node{fleet: f, name: fmt.Sprint("n", len(f.nodes)), rate: rate}
	f.nodes = append(f.nodes, n)
	n.start()
}

// start begins a new life of the node, which remembers nothing.
func (n *node) start() {
	f := n.fleet
	n.life++
	n.away, n.frozen, n.waiting, n.known, n.viewAt, n.startAt = false, false, 0, 0, -1, f.now
	clock := func() time.Duration { return f.now }
	parts := apportioner.New(apportioner.Options{Self: n.name, MaxListAge: window, Retention: budgeter.Retention(window), Now: clock})
	n.parts = parts
	n.budget = budgeter.New(budgeter.Options{
		Ratio: ratio, Extra: f.extra, Window: window, Now: clock,
		Share: func() float64 { return parts.Share(f.now-n.viewAt, n.viewAt >= 0) },
		Peers: f, Self: n.name, Live: f.live, Logger: zerolog.Nop(),
	})
}

// stop ends the node's process.
func (n *node) stop() {
	n.away = true
	n.life++
}

func (f *fleet) live() []string {
	var names []string

	for _, n := range f.nodes {
		if !n.away {
			names = append(names, n.name)
		}
	}

	return names
}

// Call implements budgeter.Peers.
func (f *fleet) Call(ctx context.Context, peer, method string, params, result any) error {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == peer })

	n := f.nodes[i]
	if n.away || n.cut || n.frozen || method != budgeter.MethodBorrow {
		return errAway
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

// run lets so much time pass.
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

	if n.away || n.frozen {
		return
	}

	n.budget.MarkRunning()

	for ; n.waiting > 0; n.waiting-- {
		n.serve()
	}

	if n.cut || f.storeAway {
		return
	}

	if !n.listed {
		n.listed = true
		f.listed = append(f.listed, listing{name: n.name, at: f.now})
	}

	// What it knows is from a moment ago, but never older than what it knew before.
	viewAt := max(f.now-time.Duration(f.random.Int64N(int64(viewLag))), n.viewAt, n.startAt)
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

	n.parts.Update(names)
}

// request is one of a caller. Where the node is down it is sent again, to another one.
func (n *node) request() {
	f := n.fleet
	f.sent = append(f.sent, f.now)

	switch {
	case n.frozen:
		n.waiting++
	case !n.away:
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

// retry sends a request once more after a failure. Arrived says whether all attempts before surely have arrived.
func (n *node) retry(left int, arrived bool) {
	f, life := n.fleet, n.life
	if left == 0 {
		return
	}

	f.after(step, func() {
		if n.life != life {
			return
		}

		charge, ok := n.budget.Acquire(context.Background(), "desk")
		if !ok {
			return
		}

		n.send(charge, left, arrived && !f.silent)
	})
}

func (n *node) send(charge *budgeter.Permit, left int, arrived bool) {
	f, life := n.fleet, n.life

	if n.frozen {
		// It goes on when the node does.
		f.after(step, func() {
			if n.life == life {
				n.send(charge, left, arrived)
			}
		})

		return
	}

	if !charge.Usable() {
		charge.Cancel()

		return
	}

	if arrived {
		f.extras = append(f.extras, f.now)
		charge.Complete(true)
	} else {
		wait := time.Duration(f.random.Int64N(int64(late)))
		if f.thawAt > f.now {
			wait = f.thawAt - f.now
		}

		f.after(wait, func() { f.extras = append(f.extras, f.now) })
		f.after(900*time.Millisecond, func() { charge.Complete(false) })
	}

	if f.failing {
		n.retry(left-1, arrived)
	}
}

// figures tell of the worst window: the extras in it and those that are allowed.
type figures struct {
	extras  int
	allowed float64
}

func (v figures) String() string {
	return fmt.Sprintf("%d extra attempts, %.1f allowed", v.extras, v.allowed)
}

// worst returns the window in which the extras come nearest to what is allowed or exceed it most. The requests in it, in the one
// before it or in the one half a window before it count, whichever has most.
func (f *fleet) worst() figures {
	var worst figures

	slices.Sort(f.sent)
	slices.Sort(f.extras)

	for i, begin := range f.extras {
		found := f.within(begin)
		if i == 0 || float64(found.extras)-found.allowed > float64(worst.extras)-worst.allowed {
			worst = found
		}
	}

	return worst
}

// within returns the figures of the window that begins at the given time; times are sorted.
func (f *fleet) within(begin time.Duration) figures {
	count := func(times []time.Duration, begin time.Duration) int {
		from, _ := slices.BinarySearch(times, begin)
		to, _ := slices.BinarySearch(times, begin+window)

		return to - from
	}
	requests := max(count(f.sent, begin), count(f.sent, begin-window/2), count(f.sent, begin-window))

	return figures{extras: count(f.extras, begin), allowed: ratio*float64(requests) + f.extra}
}

// Guards against bounds of single nodes that add up to more than what all of them may send.
func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	cases := map[string]struct {
		nodes int
		rate  float64
		play  func(*fleet)
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
		"store away":           {9, 10, func(f *fleet) { f.storeAway = true; f.fail(30 * time.Second); f.storeAway = false; steady(f) }},
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
			f.run(settled)
			c.play(f)

			worst := f.worst()
			t.Log(worst)
			assert.Assert(t, worst.extras > 0)
			assert.Assert(t, float64(worst.extras) <= worst.allowed, worst.String())
		})
	}
}

func steady(f *fleet) {
	f.fail(40 * time.Second)
}

// fail lets upstreams fail for so long.
func (f *fleet) fail(d time.Duration) {
	f.failing = true
	f.run(d)
	f.failing = false
}

// surge multiplies the traffic for so long.
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

// cut cuts the first nodes off from the store and the others.
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

// freezeBefore lets all nodes stand still, and upstreams fail while what came meanwhile was read less than a window ago.
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

// cutAndJoin lets as many nodes join as there are, while all but one of these can't hear of it.
func cutAndJoin(f *fleet) {
	f.cut(8)

	for range 9 {
		f.join(f.nodes[0].rate)
	}

	f.run(settled)
	f.failing, f.retries = true, 3
	f.multiply(4)
	f.run(40 * time.Second)
}

// freezeUpstreams lets all upstreams stand still for as long as an attempt is counted on its way, and then fail.
func freezeUpstreams(f *fleet) {
	f.silent, f.thawAt = true, f.now+late
	f.fail(late)
	f.silent = false
	steady(f)
}

// reload lowers the bound on one node after the other. What is allowed meanwhile is what was allowed before.
func (f *fleet) reload(to float64) {
	f.failing = true

	for _, n := range f.nodes {
		f.run(300 * time.Millisecond)
		n.budget.SetBounds(ratio, to)
	}
}

// playRandom lets faults begin and end at random moments, some together.
func (f *fleet) playRandom(random *rand.Rand) {
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
			f.storeAway = !f.storeAway
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
				if other.away {
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
