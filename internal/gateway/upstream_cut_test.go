package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/storer"
)

const (
	cutUpstreams     = 8
	cutUpstreamSlots = 6
	cutResponseTime  = 50 * time.Millisecond
	// cutSendInterval is the time between two requests, over all callers.
	cutSendInterval = 8 * time.Millisecond
	// cutBookingInterval is the number of requests of which one may run only once.
	cutBookingInterval = 5
	// cutWarmUpTime is how long nodes run before the first request is counted, cutBeforeTime how long they then reach all
	// upstreams, cutTime how long some don't, and cutAfterTime how long all do again.
	cutWarmUpTime = time.Second
	cutBeforeTime = 2 * time.Second
	cutTime       = 8 * time.Second
	cutAfterTime  = 4 * time.Second
	// cutStableTime is how long after the beginning of a cut the bounds hold, cutRecoveryTime how long after its end.
	cutStableTime   = 3 * time.Second
	cutRecoveryTime = 2 * time.Second
	// cutServedLimit is the time in which a request is to be served, at the first try.
	cutServedLimit = time.Second
	// cutHangLimit is how long a connection hangs before the kernel gives it up, cutConnectLimit how long a connect does.
	cutHangLimit    = 2500 * time.Millisecond
	cutConnectLimit = 400 * time.Millisecond
	// cutConcurrentCases is the number of cases that run at the same time; more would keep some machines' processors busy.
	cutConcurrentCases = 4
	// minServedInTouch is the least share of requests that nodes in touch with upstreams have to serve, and all nodes while
	// none is cut off. minServedCutOff is the least share at nodes cut off, relative to the share at the others;
	// aimServedCutOff is what is aimed at.
	minServedInTouch = 0.95
	minServedCutOff  = 2.0 / 3
	aimServedCutOff  = 0.95
)

// linkFault is how the path between a node and an upstream fails.
type linkFault int

const (
	noFault linkFault = iota
	// faultReset resets connections and refuses new ones.
	faultReset
	// faultHang loses all packets, so that connections and connects hang.
	faultHang
	// faultRefuse refuses new connections, while open ones live on.
	faultRefuse
)

// upstreamLink is the path between one node and one upstream. It relays the bytes of each connection.
type upstreamLink struct {
	address string

	mu    sync.Mutex
	fault linkFault
	// changed is closed when fault changes.
	changed chan struct{}
	// conns holds both ends of the open connections.
	conns map[net.Conn]bool
}

func (l *upstreamLink) state() (linkFault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.fault, l.changed
}

func (l *upstreamLink) setFault(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})

	if fault == faultReset {
		for c := range l.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}

	_ = c.Close()
}

// dial opens a connection to the upstream with dial, through this relay.
func (l *upstreamLink) dial(ctx context.Context, dial gateway.DialFunc) (net.Conn, error) {
	connectCtx, cancel := context.WithTimeout(ctx, cutConnectLimit)
	defer cancel()

	for {
		fault, changed := l.state()
		if fault == faultReset || fault == faultRefuse {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}

		if fault == noFault {
			return l.open(ctx, dial)
		}

		select {
		case <-changed:
		case <-connectCtx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: connectCtx.Err()}
		}
	}
}

func (l *upstreamLink) open(ctx context.Context, dial gateway.DialFunc) (net.Conn, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()

	upstream, err := new(net.Dialer).DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}

	node, err := dial(ctx, "tcp", listener.Addr().String())
	if err != nil {
		_ = upstream.Close()

		return nil, err
	}

	relay, err := listener.Accept()
	if err != nil {
		_, _ = upstream.Close(), node.Close()

		return nil, err
	}

	l.mu.Lock()
	l.conns[relay], l.conns[upstream] = true, true
	l.mu.Unlock()

	go l.relay(relay, upstream)

	return node, nil
}

// relay relays the bytes of a connection in both directions until one end closes it.
func (l *upstreamLink) relay(node, upstream net.Conn) {
	var directions sync.WaitGroup

	for _, pair := range [][2]net.Conn{{node, upstream}, {upstream, node}} {
		directions.Go(func() {
			l.copy(pair[0], pair[1])
			// Ends the other direction too.
			_, _ = node.Close(), upstream.Close()
		})
	}

	ended := make(chan struct{})

	go func() {
		directions.Wait()
		close(ended)
	}()

	l.breakHung(node, upstream, ended)
}

func (l *upstreamLink) copy(from, to net.Conn) {
	buffer := make([]byte, 4<<10)

	for {
		n, err := from.Read(buffer)

		for fault, changed := l.state(); fault == faultHang; fault, changed = l.state() {
			<-changed
		}

		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// breakHung resets a connection that has hung for cutHangLimit. It returns when that happens or the connection has ended.
func (l *upstreamLink) breakHung(node, upstream net.Conn, ended <-chan struct{}) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()

		delete(l.conns, node)
		delete(l.conns, upstream)
	}()

	for {
		fault, changed := l.state()

		var limit <-chan time.Time
		if fault == faultHang {
			limit = time.After(cutHangLimit)
		}

		select {
		case <-changed:
		case <-ended:
			return
		case <-limit:
			reset(node)
			reset(upstream)

			return
		}
	}
}

// cutStore lists a route for requests that may run again and one for those that may not.
type cutStore struct {
	crashStore
}

func (s *cutStore) Configuration(ctx context.Context) (cataloguer.Configuration, storer.Position, error) {
	configuration, revision, err := s.store.Configuration(ctx)
	configuration.Routes[0].Attempts = 3
	configuration.Routes[0].Timeout, configuration.Routes[0].Target = 5*time.Second, time.Second

	booking := configuration.Routes[0]
	booking.Name, booking.PathPrefix, booking.Kind = "booking", "/booking/", cataloguer.NotRepeatable
	configuration.Routes = append(configuration.Routes, booking)

	return configuration, revision, err
}

// cutUpstream is an upstream that counts the runs of each request.
type cutUpstream struct {
	slots chan struct{}

	mu   *sync.Mutex
	runs map[string]int
}

// ServeHTTP implements an upstream.
func (u *cutUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)

	u.slots <- struct{}{}
	defer func() { <-u.slots }()

	id := r.Header.Get("X-Id")

	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()

	time.Sleep(cutResponseTime)
	w.Header().Set("X-Id", id)
	w.Header().Set("X-Signature", "sig")
	_, _ = io.WriteString(w, "answer")
}

// cutCase is a cut and the nodes that it affects.
type cutCase struct {
	name string
	// nodes is the number of nodes, domains that of their failure domains.
	nodes, domains int
	fault          linkFault
	// isCut reports whether the path between a node and an upstream fails.
	isCut func(node, upstream int) bool
	// bookings is set if some requests may run only once.
	bookings bool
}

func cutCases() []cutCase {
	one := func(node, _ int) bool { return node == 0 }
	two := func(node, _ int) bool { return node < 2 }

	return []cutCase{
		{name: "one of three, reset", nodes: 3, domains: 1, fault: faultReset, isCut: one},
		{name: "two of three, reset", nodes: 3, domains: 1, fault: faultReset, isCut: two, bookings: true},
		{name: "one of three, hanging", nodes: 3, domains: 1, fault: faultHang, isCut: one},
		{name: "two of three, hanging", nodes: 3, domains: 1, fault: faultHang, isCut: two, bookings: true},
		{name: "two of three, open connections live on", nodes: 3, domains: 1, fault: faultRefuse, isCut: two},
		{
			name: "one of three, from half of the upstreams, reset", nodes: 3, domains: 1, fault: faultReset,
			isCut: func(node, upstream int) bool { return node == 0 && upstream < cutUpstreams/2 },
		},
		{
			name: "one domain of three, reset", nodes: 9, domains: 3, fault: faultReset,
			isCut: func(node, _ int) bool { return node%3 == 0 },
		},
	}
}

// cutFleet is a set of nodes whose paths to upstreams can fail.
type cutFleet struct {
	cutCase

	t         *testing.T
	store     *cutStore
	upstreams *cutUpstream
	settings  []loader.Settings
	// links holds the paths of each node by the address of the upstream.
	links  []map[string]*upstreamLink
	client *http.Client

	mu     sync.Mutex
	sends  []cutSend
	cutAt  time.Time
	healAt time.Time
}

// cutSend is a request that was sent to a node.
type cutSend struct {
	id     string
	node   int
	sentAt time.Time
	// outcome is "served", the status of another response, or the kind of error.
	outcome string
}

func newCutFleet(t *testing.T, c cutCase, number int) *cutFleet {
	t.Helper()

	f := &cutFleet{
		cutCase: c, t: t,
		store:     &cutStore{crashStore{store: store{revision: 1}}},
		upstreams: &cutUpstream{mu: new(sync.Mutex), runs: make(map[string]int)},
		client:    &http.Client{Timeout: cutServedLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(f.client.CloseIdleConnections)

	for i := range cutUpstreams {
		u := &cutUpstream{slots: make(chan struct{}, cutUpstreamSlots), mu: f.upstreams.mu, runs: f.upstreams.runs}
		upstream := httptest.NewServer(u)
		t.Cleanup(upstream.Close)

		f.store.upstreams = append(f.store.upstreams, cataloguer.Upstream{
			ID: fmt.Sprint("u", i), Service: "desk", Address: upstream.Listener.Addr().String(), Slots: cutUpstreamSlots,
		})
	}

	for i := range c.nodes {
		f.settings = append(f.settings, cutNodeSettings(number, i, c.domains))
		links := make(map[string]*upstreamLink)

		for _, upstream := range f.store.upstreams {
			links[upstream.Address] = &upstreamLink{address: upstream.Address, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
		}

		f.links = append(f.links, links)
	}

	return f
}

// cutNodeSettings returns the settings of a node with addresses that no other fleet uses.
func cutNodeSettings(fleet, node, domains int) loader.Settings {
	const loopbackIPs = 3

	settings := nodeSettings(1 + node%loopbackIPs)
	settings.Node.Name = fmt.Sprint("n", node+1)
	settings.Node.FailureDomain = fmt.Sprint("d", node%domains)
	ip := loopbackIP(1 + node%loopbackIPs)
	address := func(i int) string { return fmt.Sprint(ip, ":", 7400+100*fleet+10*(node/loopbackIPs)+i) }
	settings.Node.Listen, settings.Node.Advertise, settings.Node.PeerListen = address(1), address(1), address(2)
	settings.Gateway.ReadyListen, settings.Gateway.EntriesListen, settings.Gateway.MetricsListen = address(3), address(4), address(5)

	return settings
}

// start starts the nodes, which are stopped at the end of the test.
func (f *cutFleet) start() {
	folder := filepath.Join(os.TempDir(), "quincepath-failures", strings.ReplaceAll(f.t.Name(), "/", "_"))
	assert.NilError(f.t, os.RemoveAll(folder))
	assert.NilError(f.t, os.MkdirAll(folder, 0o700))

	var (
		stops []context.CancelFunc
		ends  []chan error
	)

	for i, settings := range f.settings {
		log, err := os.Create(filepath.Join(folder, settings.Node.Name+".log"))
		assert.NilError(f.t, err)
		f.t.Cleanup(func() { _ = log.Close() })

		wrap := func(dial gateway.DialFunc) gateway.DialFunc {
			return func(ctx context.Context, _, address string) (net.Conn, error) {
				link, ok := f.links[i][address]
				if !ok {
					return nil, errors.New("no upstream has this address")
				}

				return link.dial(ctx, dial)
			}
		}
		stop, ended := runNodeWith(f.t, func([]string, time.Duration) ([]byte, error) { return []byte("[]"), nil },
			func(ctx context.Context, protocol gateway.Protocol) error {
				return gateway.RunWithDial(ctx, settings, f.store, protocol, zerolog.New(log).With().Timestamp().Logger(), wrap)
			})
		stops, ends = append(stops, stop), append(ends, ended)
	}

	f.t.Cleanup(func() {
		for _, stop := range stops {
			stop()
		}

		for _, ended := range ends {
			assert.Check(f.t, <-ended)
		}

		if !f.t.Failed() {
			assert.Check(f.t, os.RemoveAll(folder))
		}
	})

	for i := range f.settings {
		waitUntil(f.t, func() bool { return f.send(i, "") == "served" })
	}
}

// setFault sets the state of the paths that the cut affects.
func (f *cutFleet) setFault(fault linkFault) {
	for i, links := range f.links {
		for j, upstream := range f.store.upstreams {
			if f.isCut(i, j) {
				links[upstream.Address].setFault(fault)
			}
		}
	}
}

// send sends one request to a node. It returns "served", the status of another response, or the kind of error.
func (f *cutFleet) send(node int, id string) string {
	path := "/price"
	if strings.HasPrefix(id, "booking") {
		path = "/booking/1"
	}

	request, err := http.NewRequest(http.MethodPost, "http://"+f.settings[node].Node.Listen+path, strings.NewReader("content "+id))
	if err != nil {
		return err.Error()
	}

	request.Host = "shop.example"
	request.Header.Set("X-Id", id)

	response, err := f.client.Do(request)
	if err != nil {
		if os.IsTimeout(err) {
			return "timeout"
		}

		return "error"
	}
	defer response.Body.Close()

	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "error"
	}

	if response.StatusCode/100 != 2 {
		return fmt.Sprint(response.StatusCode)
	}

	return "served"
}

// sendAtInterval sends requests to the nodes in turn until ctx is cancelled, each of them once.
func (f *cutFleet) sendAtInterval(ctx context.Context) {
	ticker := time.NewTicker(cutSendInterval)
	defer ticker.Stop()

	var pending sync.WaitGroup
	defer pending.Wait()

	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		s := cutSend{id: fmt.Sprint("price", i), node: i % f.nodes, sentAt: time.Now()}
		// The quotient changes with each round, so that all nodes get bookings.
		if f.bookings && (i+i/cutBookingInterval)%cutBookingInterval == 0 {
			s.id = fmt.Sprint("booking", i)
		}

		pending.Go(func() {
			s.outcome = f.send(s.node, s.id)

			f.mu.Lock()
			defer f.mu.Unlock()

			f.sends = append(f.sends, s)
		})
	}
}

// isCutOff reports whether the node is cut off from an upstream.
func (f *cutFleet) isCutOff(node int) bool {
	for i := range cutUpstreams {
		if f.isCut(node, i) {
			return true
		}
	}

	return false
}

// share returns the share of requests served among those sent in a period to nodes that are cut off, or to those that aren't.
// It logs the outcomes.
func (f *cutFleet) share(period string, cutOff bool, from, to time.Time) float64 {
	f.t.Helper()

	f.mu.Lock()
	defer f.mu.Unlock()

	outcomes, all := make(map[string]int), 0

	for _, s := range f.sends {
		if !s.sentAt.Before(from) && s.sentAt.Before(to) && f.isCutOff(s.node) == cutOff {
			outcomes[s.outcome]++
			all++
		}
	}

	share := float64(outcomes["served"]) / float64(max(all, 1))
	f.t.Logf("%s, nodes cut off %t: %.2f of %d served, %v", period, cutOff, share, all, outcomes)

	return share
}

// check checks the shares of requests that were served.
func (f *cutFleet) check() {
	f.t.Helper()

	stableAt, recoveredAt := f.cutAt.Add(cutStableTime), f.healAt.Add(cutRecoveryTime)
	later := make(map[bool]float64)

	for _, cutOff := range []bool{false, true} {
		// The requests of the last moments may still run when the cut begins.
		before := f.share("before the cut", cutOff, f.cutAt.Add(-cutBeforeTime), f.cutAt.Add(-cutServedLimit))
		assert.Check(f.t, before >= minServedInTouch, "before the cut, nodes cut off %t: %.3f served", cutOff, before)

		_ = f.share("first seconds", cutOff, f.cutAt, stableAt)
		later[cutOff] = f.share("later", cutOff, stableAt, f.healAt)
		_ = f.share("first seconds after the cut", cutOff, f.healAt, recoveredAt)

		after := f.share("after the cut", cutOff, recoveredAt, recoveredAt.Add(cutAfterTime))
		assert.Check(f.t, after >= minServedInTouch, "after the cut, nodes cut off %t: %.3f served", cutOff, after)
	}

	assert.Check(f.t, later[false] >= minServedInTouch, "nodes in touch served %.3f", later[false])
	assert.Check(f.t, later[true] >= minServedCutOff*later[false], "nodes cut off served %.3f, the others %.3f", later[true], later[false])
	f.t.Logf("nodes cut off served %.3f of what the others did, aimed at %.2f", later[true]/max(later[false], minServedInTouch), aimServedCutOff)

	f.upstreams.mu.Lock()
	defer f.upstreams.mu.Unlock()

	for id, runs := range f.upstreams.runs {
		assert.Check(f.t, runs <= 1 || !strings.HasPrefix(id, "booking"), "%s ran %d times", id, runs)
	}
}

// Guards against nodes cut off from upstreams that serve nothing and take sound upstreams from the nodes in touch.
func TestNodesCutOffFromUpstreams(t *testing.T) {
	slots := make(chan struct{}, cutConcurrentCases)

	for i, c := range cutCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			slots <- struct{}{}

			t.Cleanup(func() { <-slots })

			f := newCutFleet(t, c, i)
			f.start()

			ctx, stop := context.WithCancel(context.Background())
			defer stop()

			var callers sync.WaitGroup

			callers.Go(func() { f.sendAtInterval(ctx) })
			time.Sleep(cutWarmUpTime + cutBeforeTime)

			f.cutAt = time.Now()
			f.setFault(f.fault)
			time.Sleep(cutTime)

			f.healAt = time.Now()
			f.setFault(noFault)
			time.Sleep(cutAfterTime)
			stop()
			callers.Wait()
			f.check()
		})
	}
}
