package leader_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
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
	"quincepath.example/quincepath/internal/storer"
)

const (
	lease          = 3 * time.Second
	window         = 5 * time.Second
	reportDeadline = 10 * time.Second
	// excusePeriod is how long calls are excused after the end of a freeze, a cut or an outage.
	excusePeriod = 300 * time.Millisecond
	// maxDialTime is the maximum time to connect to the platform.
	maxDialTime = 900 * time.Millisecond
	// orderSubject is the subject of all orders in these tests.
	orderSubject = "scale engines in z"
	// maxLatency is the maximum network latency of a call to the platform.
	maxLatency = 20 * time.Millisecond
)

var errCut = errors.New("cut off")

// cluster simulates a store, a platform and the machines of a deployment in virtual time.
type cluster struct {
	store     *keeper.Store
	startedAt time.Time

	mu       sync.Mutex
	checker  *callChecker
	machines map[string]*machine
	random   *rand.Rand
	// storeDown and platformDown are the times until which the store and the platform answer no calls.
	storeDown, platformDown time.Time
	// expected counts the requests that started, by window and organisation.
	expected tallier.Counts
	group    sync.WaitGroup
	log      clusterLog
}

// clusterLog keeps the lines that all processes log. It is safe for concurrent use.
type clusterLog struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (l *clusterLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lines = append(l.lines, string(line))

	return len(line), nil
}

// find returns the lines that contain any of the given texts.
func (l *clusterLog) find(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	var found []string

	for _, line := range l.lines {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			found = append(found, line)
		}
	}

	return found
}

// logger returns the logger of a process, whose lines name the machine and the time since the start.
func (m *machine) logger() zerolog.Logger {
	return zerolog.New(&m.log).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str("machine", m.name).Dur("at_ms", m.monotonicTime())
	}))
}

func newCluster(names ...string) *cluster {
	c := &cluster{
		store: keeper.NewStore(keeper.StoreOptions{}), startedAt: time.Now(), checker: newCallChecker(),
		machines: make(map[string]*machine), random: rand.New(rand.NewPCG(7, 7)), expected: make(tallier.Counts),
	}

	for _, name := range names {
		c.machines[name] = &machine{cluster: c, name: name}
	}

	return c
}

// nameEras makes the store name its eras. It must be called before any machine starts.
func (c *cluster) nameEras() {
	c.store = keeper.NewStore(keeper.StoreOptions{NamesEras: true})
}

// monotonicTime returns the time of the monotonic clock, which is shared by all machines.
func (c *cluster) monotonicTime() time.Duration { return time.Since(c.startedAt) }

// machine is a VM that runs at most one process at a time.
type machine struct {
	*cluster
	name string

	// frozen, storeCut, platformCut and peersCut are the times until which the machine is frozen, or cut off from the store,
	// the platform or its peers.
	frozen, storeCut, platformCut, peersCut time.Time
	// clockOffset is the error of the wall clock until clockOffsetUntil.
	clockOffset      time.Duration
	clockOffsetUntil time.Time
	// lostWrites is the number of next writes to the store that are applied after writeDelay and whose replies are lost.
	lostWrites int
	writeDelay time.Duration
	// abstains is true if the machine never takes the duties.
	abstains bool
	process  *process
}

// process is one run of a machine's process.
type process struct {
	*machine
	incarnation string
	tallier     *tallier.Tallier
	leader      *leader.Leader
	cancel      context.CancelFunc
	dead        bool
}

func (m *machine) start(ctx context.Context, incarnation string) {
	p := &process{machine: m, incarnation: incarnation}
	ctx, p.cancel = context.WithCancel(ctx)
	p.tallier = tallier.New(tallier.Options{Incarnation: incarnation, Window: window, Now: m.monotonicTime, TimeOfDay: m.timeOfDay})
	spot := 0.15
	services := []cataloguer.Service{{Name: "engines", Scaling: &cataloguer.Scaling{Maximum: 6, SpotPrice: &spot}}}
	upstreams := []cataloguer.Upstream{{ID: "e", Service: "engines", FailureDomain: "z"}}
	state := &cataloguer.State{
		Configuration: cataloguer.Configuration{Version: 1, Services: services},
		Registry:      cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: 1}, Upstreams: upstreams}),
	}
	p.leader = leader.New(leader.Options{
		Node: m.name, Self: m.name, Incarnation: incarnation,
		Store:    keeper.NewLocal(m.store, p.storeFault),
		Platform: p, Peers: p,
		IsCandidate: func() bool { return !m.abstaining() },
		IsLeaving:   func() bool { return false },
		Nodes:       m.nodeNames,
		State:       func() *cataloguer.State { return state },
		Lease:       lease, CallsPerSecond: 50, Window: window, ReportDeadline: reportDeadline, Scales: true,
		Policy: func() (scaler.Policy, bool) { return scaler.Policy{MaxFraction: 1}, true },
		Now:    m.monotonicTime, Logger: m.logger(),
	})

	m.mu.Lock()
	m.process = p
	m.mu.Unlock()

	m.group.Go(func() { p.leader.Run(ctx) })
}

func (m *machine) abstaining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.abstains
}

func (m *machine) setAbstains(abstains bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.abstains = abstains
}

func (c *cluster) nodeNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	var names []string

	for name, m := range c.machines {
		if m.process != nil {
			names = append(names, name)
		}
	}

	return names
}

func (m *machine) timeOfDay() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now := time.Now(); now.After(m.clockOffsetUntil) {
		return now
	}

	return time.Now().Add(m.clockOffset)
}

// waitWhileFrozen waits until the machine isn't frozen, and reports whether the process was still running before the wait.
func (p *process) waitWhileFrozen() bool {
	p.mu.Lock()
	until, dead := p.frozen, p.dead
	p.mu.Unlock()
	time.Sleep(time.Until(until))

	return !dead
}

// storeFault returns the effect of the present faults on a call to the store.
func (p *process) storeFault(_ context.Context, call keeper.Call) keeper.Verdict {
	if !p.waitWhileFrozen() {
		return keeper.Verdict{LoseRequest: true}
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()

	switch {
	case now.Before(p.storeDown) || now.Before(p.storeCut):
		return keeper.Verdict{LoseRequest: true, DelayAfter: time.Second}
	case call.Write && p.lostWrites > 0:
		p.lostWrites--

		return keeper.Verdict{LoseReply: true, DelayBefore: p.writeDelay}
	}

	// If the machine freezes while the reply is in flight, the reply is read after the freeze.
	return keeper.Verdict{DelayAfter: 4 * time.Millisecond}
}

// Call implements leader.Peers.
func (p *process) Call(_ context.Context, peer, _ string, params, result any) error {
	if !p.waitWhileFrozen() {
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
	return p.send(ctx, authority, "usage", func() { p.checker.addReport(window, counts) })
}

// OrderUpstreams implements leader.Platform.
func (p *process) OrderUpstreams(ctx context.Context, authority leader.Authority, _ scaler.Order) error {
	return p.send(ctx, authority, orderSubject, func() {})
}

// send simulates a call to the platform; record runs if the platform receives it.
func (p *process) send(ctx context.Context, authority leader.Authority, subject string, record func()) error {
	if ctx.Err() != nil || !p.waitWhileFrozen() {
		return errCut
	}

	// Connecting may take long, and the monotonic clock of its timeout doesn't include a freeze.
	p.mu.Lock()
	dial := time.Duration(p.random.Int64N(int64(maxDialTime)))
	p.mu.Unlock()
	time.Sleep(dial)

	if !p.waitWhileFrozen() {
		return errCut
	}

	if err := authority.Check(); err != nil {
		return err
	}

	// The machine may freeze after the check, and then sends the call after the freeze.
	if !p.waitWhileFrozen() {
		return errCut
	}

	p.mu.Lock()
	delay := time.Duration(p.random.Int64N(int64(maxLatency)))
	p.mu.Unlock()
	time.Sleep(delay)

	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()
	if now.Before(p.platformCut) || now.Before(p.platformDown) {
		return errCut
	}

	recent := func(end time.Time) bool { return !end.IsZero() && now.Sub(end) <= excusePeriod }
	excused := recent(p.frozen) || recent(p.platformCut) || recent(p.platformDown)
	p.checker.addCall(subject, receivedCall{at: now, machine: p.name, number: authority.Number, excused: excused})
	record()

	return nil
}

// countRequests counts requests that start now on a machine.
func (c *cluster) countRequests(name, organisation string, requests int) {
	c.mu.Lock()
	p := c.machines[name].process
	c.mu.Unlock()

	if p == nil {
		return
	}

	for range requests {
		p.tallier.Count(organisation, 0)
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.expected.Add(time.Now().UnixNano()/int64(window), organisation, int64(requests))
}

// holder returns the machine whose process holds the duties, or the given other one if none does.
func (c *cluster) holder(other string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, m := range c.machines {
		if m.process != nil && m.process.leader.Status().Holds {
			return m
		}
	}

	return c.machines[other]
}

// stop stops the process of a machine: immediately if killed is true, and gracefully otherwise.
func (m *machine) stop(killed bool) {
	m.mu.Lock()
	p := m.process
	m.process = nil

	if p != nil {
		p.dead = killed
	}
	m.mu.Unlock()

	if p != nil {
		p.cancel()
	}
}

// runSimulation runs a function in virtual time. After it returns, all processes are stopped.
func runSimulation(t *testing.T, do func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		defer func() {
			cancel()
			// Wait for abandoned calls to return.
			time.Sleep(time.Minute)
		}()

		do(t, ctx)
	})
}
