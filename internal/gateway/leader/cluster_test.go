package leader_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/leader"
	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const (
	lease  = 3 * time.Second
	window = 5 * time.Second
	due    = 10 * time.Second
	// slack is how long after a thaw, a heal or an impairment calls are excused.
	slack = 300 * time.Millisecond
	// longestDial is the longest time in which a connection to the platform is made.
	longestDial = 900 * time.Millisecond
	// orderSubject is what all orders of the tests are about.
	orderSubject = "scale engines in z"
	// latency is the longest way of a call to the platform.
	latency = 20 * time.Millisecond
)

var errCut = errors.New("cut off")

// world is a store, a platform and the machines of a deployment, under virtual time.
type world struct {
	store *keeper.Store
	start time.Time

	mu       sync.Mutex
	judge    *judge
	machines map[string]*machine
	random   *rand.Rand
	// storeDown and platformDown are until when they answer nobody.
	storeDown, platformDown time.Time
	// truth counts the requests that began, by window and organisation.
	truth tallier.Counts
	group sync.WaitGroup
}

func newWorld(names ...string) *world {
	w := &world{
		store: keeper.NewStore(keeper.StoreOptions{}), start: time.Now(), judge: newJudge(),
		machines: make(map[string]*machine), random: rand.New(rand.NewPCG(7, 7)), truth: make(tallier.Counts),
	}

	for _, name := range names {
		w.machines[name] = &machine{world: w, name: name}
	}

	return w
}

// sinceStart is the clock that nobody sets.
func (w *world) sinceStart() time.Duration { return time.Since(w.start) }

// machine is one VM; its processes come and go.
type machine struct {
	*world
	name string

	// frozen, storeCut, platformCut and peersCut are until when it is.
	frozen, storeCut, platformCut, peersCut time.Time
	// step is how far its time of day is off until stepped.
	step    time.Duration
	stepped time.Time
	// losing is how many of its next writes are applied late and unanswered, after lateness.
	losing   int
	lateness time.Duration
	process  *process
}

// process is one run of the program.
type process struct {
	*machine
	life    string
	tallier *tallier.Tallier
	leader  *leader.Leader
	stop    context.CancelFunc
	dead    bool
}

func (m *machine) begin(ctx context.Context, life string) {
	p := &process{machine: m, life: life}
	ctx, p.stop = context.WithCancel(ctx)
	p.tallier = tallier.New(tallier.Options{Incarnation: life, Window: window, Now: m.sinceStart, TimeOfDay: m.timeOfDay})
	spot := 0.15
	services := []cataloguer.Service{{Name: "engines", Scaling: &cataloguer.Scaling{Maximum: 6, SpotPrice: &spot}}}
	upstreams := []cataloguer.Upstream{{ID: "e", Service: "engines", FailureDomain: "z"}}
	state := &cataloguer.State{
		Configuration: cataloguer.Configuration{Version: 1, Services: services},
		Registry:      cataloguer.Registry{Revision: 1, Upstreams: upstreams},
	}
	p.leader = leader.New(leader.Options{
		Node: m.name, Self: m.name, Incarnation: life,
		Store:    keeper.NewLocal(m.store, p.judgeStore),
		Platform: p, Peers: p,
		IsCandidate: func() bool { return true },
		IsLeaving:   func() bool { return false },
		Nodes:       m.names,
		State:       func() *cataloguer.State { return state },
		Lease:       lease, CallsPerSecond: 50, Window: window, ReportDeadline: due, Scales: true,
		Policy: func() (scaler.Policy, bool) { return scaler.Policy{MaxFraction: 1}, true },
		Now:    m.sinceStart, Logger: zerolog.Nop(),
	})

	m.mu.Lock()
	m.process = p
	m.mu.Unlock()

	m.group.Go(func() { p.leader.Run(ctx) })
}

func (w *world) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	var names []string

	for name, m := range w.machines {
		if m.process != nil {
			names = append(names, name)
		}
	}

	return names
}

func (m *machine) timeOfDay() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now := time.Now(); now.After(m.stepped) {
		return now
	}

	return time.Now().Add(m.step)
}

// wait returns once the machine isn't frozen, and says whether the process still runs.
func (p *process) wait() bool {
	p.mu.Lock()
	until, dead := p.frozen, p.dead
	p.mu.Unlock()
	time.Sleep(time.Until(until))

	return !dead
}

// judgeStore lets a call of the store meet what has happened to the machine.
func (p *process) judgeStore(_ context.Context, call keeper.Call) keeper.Verdict {
	if !p.wait() {
		return keeper.Verdict{LoseRequest: true}
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()

	switch {
	case now.Before(p.storeDown) || now.Before(p.storeCut):
		return keeper.Verdict{LoseRequest: true, DelayAfter: time.Second}
	case call.Write && p.losing > 0:
		p.losing--

		return keeper.Verdict{LoseReply: true, DelayBefore: p.lateness}
	}

	// The answer is on its way when the machine freezes: it is read after the thaw.
	return keeper.Verdict{DelayAfter: 4 * time.Millisecond}
}

// Call implements leader.Peers.
func (p *process) Call(_ context.Context, peer, _ string, params, result any) error {
	if !p.wait() {
		return errCut
	}

	p.mu.Lock()
	other := p.machines[peer]
	now := time.Now()
	cut := peer != p.name && (now.Before(p.peersCut) || now.Before(other.peersCut) || now.Before(other.frozen))
	target := other.process
	p.mu.Unlock()

	if cut || target == nil {
		return errCut
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	answer, err := target.tallier.HandleCollect(context.Background(), p.name, data)
	if err != nil {
		return err
	}

	if data, err = json.Marshal(answer); err != nil {
		return err
	}

	return json.Unmarshal(data, result)
}

// ReportUsage implements leader.Platform.
func (p *process) ReportUsage(ctx context.Context, authority leader.Authority, window int64, counts map[string]int64) error {
	return p.send(ctx, authority, "usage", func() { p.judge.report(window, counts) })
}

// OrderUpstreams implements leader.Platform.
func (p *process) OrderUpstreams(ctx context.Context, authority leader.Authority, _ scaler.Order) error {
	return p.send(ctx, authority, orderSubject, func() {})
}

// send carries a call to the platform.
func (p *process) send(ctx context.Context, authority leader.Authority, subject string, take func()) error {
	if ctx.Err() != nil || !p.wait() {
		return errCut
	}

	// A dial may take long, and the steady clock that bounds it doesn't count a freeze.
	p.mu.Lock()
	dial := time.Duration(p.random.Int64N(int64(longestDial)))
	p.mu.Unlock()
	time.Sleep(dial)

	if !p.wait() {
		return errCut
	}

	if err := authority.Check(); err != nil {
		return err
	}

	// The machine may freeze with the call in its hands, and it leaves after the thaw.
	if !p.wait() {
		return errCut
	}

	p.mu.Lock()
	way := time.Duration(p.random.Int64N(int64(latency)))
	p.mu.Unlock()
	time.Sleep(way)

	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()
	if now.Before(p.platformCut) || now.Before(p.platformDown) {
		return errCut
	}

	recent := func(end time.Time) bool { return !end.IsZero() && now.Sub(end) <= slack }
	excused := recent(p.frozen) || recent(p.platformCut) || recent(p.platformDown)
	p.judge.call(subject, arrival{at: now, machine: p.name, number: authority.Number, excused: excused})
	take()

	return nil
}

// serve counts requests that begin now on a machine.
func (w *world) serve(name, organisation string, requests int) {
	w.mu.Lock()
	p := w.machines[name].process
	w.mu.Unlock()

	if p == nil {
		return
	}

	for range requests {
		p.tallier.Count(organisation, 0)
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.truth.Add(time.Now().UnixNano()/int64(window), organisation, int64(requests))
}

// holder returns the machine whose process holds the duties, or another one if none does.
func (w *world) holder(other string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, m := range w.machines {
		if m.process != nil && m.process.leader.Status().Holds {
			return m
		}
	}

	return w.machines[other]
}

// end ends the process of a machine: at once if it is killed, else in an orderly way.
func (m *machine) end(killed bool) {
	m.mu.Lock()
	p := m.process
	m.process = nil

	if p != nil {
		p.dead = killed
	}
	m.mu.Unlock()

	if p != nil {
		p.stop()
	}
}

// play runs a world until do returns, and then ends all processes.
func play(t *testing.T, do func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		defer func() {
			cancel()
			// Calls that were given up still end.
			time.Sleep(time.Minute)
		}()

		do(t, ctx)
	})
}
