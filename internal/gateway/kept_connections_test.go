package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// keptSeedsInCI is how many seeds run unless QUINCEPATH_LOST_SEEDS says otherwise.
	keptSeedsInCI = 1
	// keptDisruptedTime is how long callers send and disruptions overlap.
	keptDisruptedTime = 8 * time.Second
	// keptCallers is the number of callers of each node, of which keptConnectionLimit fit.
	keptCallers         = 16
	keptConnectionLimit = 12
	// keptIdleTime is the mean time that a caller's connection is idle between two requests.
	keptIdleTime = 40 * time.Millisecond
	keptTimeout  = 3 * time.Second
)

var errStoreAway = errors.New("store is away")

// keptStore lists the upstreams of two services, with timeouts of callers' connections that change, and can be away.
type keptStore struct {
	crashStore

	version      int64
	idle, header time.Duration
	away         bool
}

func (s *keptStore) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	change()
}

func (s *keptStore) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.away
}

func (s *keptStore) Configuration(context.Context) (cataloguer.Configuration, storer.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.away {
		return cataloguer.Configuration{}, storer.Position{}, errStoreAway
	}

	configuration := cataloguer.Configuration{
		Version: s.version,
		Limits:  cataloguer.Limits{IdleTimeout: s.idle, HeaderTimeout: s.header},
	}

	for name, kind := range map[string]cataloguer.Kind{"lookup": cataloguer.Idempotent, "booking": cataloguer.NotRepeatable} {
		configuration.Services = append(configuration.Services, cataloguer.Service{Name: name})
		configuration.Routes = append(configuration.Routes, cataloguer.Route{
			Name: name, Host: "shop.example", PathPrefix: "/" + name + "/", Kind: kind, Attempts: 2, Timeout: keptTimeout,
			Target: 50 * time.Millisecond, Shares: []cataloguer.Share{{Service: name, Weight: 1}},
		})
	}

	return configuration, storer.Position{Revision: s.revision}, nil
}

func (s *keptStore) Registry(ctx context.Context, progress func()) (cataloguer.Listing, error) {
	if s.isAway() {
		return cataloguer.Listing{}, errStoreAway
	}

	return s.crashStore.Registry(ctx, progress)
}

func (s *keptStore) Position(ctx context.Context) (storer.Position, error) {
	if s.isAway() {
		return storer.Position{}, errStoreAway
	}

	return s.crashStore.Position(ctx)
}

// keptUpstreams are upstreams that record the requests that reached them. Some answers are slow or long, and some break.
type keptUpstreams struct {
	mu      sync.Mutex
	random  *rand.Rand
	arrived map[string]bool
}

// ServeHTTP implements an upstream.
func (u *keptUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")
	_, _ = io.Copy(io.Discard, r.Body)

	u.mu.Lock()
	chance, wait := u.random.Float64(), time.Duration(u.random.Int64N(int64(30*time.Millisecond)))
	u.arrived[id] = true
	u.mu.Unlock()

	w.Header().Set("X-Id", id)
	w.Header().Set("X-Signature", "sig")

	switch {
	case chance < 0.02:
		panic(http.ErrAbortHandler)
	case chance < 0.04:
		// Longer than an attempt's timeout.
		wait = time.Second
	case chance < 0.06:
		// Longer than what the relayer buffers, with a silence longer than an attempt's timeout.
		_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
		_ = http.NewResponseController(w).Flush()
		wait = time.Second
	}

	time.Sleep(wait)
	_, _ = io.WriteString(w, "answer")
}

// keptCaller sends requests on one kept connection after another.
type keptCaller struct {
	name     string
	address  string
	random   *rand.Rand
	answered int
	// unanswered holds the requests that were sent whole and whose connection ended without a complete answer.
	unanswered []string
}

func (c *keptCaller) run(ctx context.Context) {
	for count := 0; ctx.Err() == nil; {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.address)
		if err != nil {
			continue
		}

		reader := bufio.NewReader(conn)

		for ctx.Err() == nil {
			count++

			id := fmt.Sprint(c.name, "-", count)
			if !c.exchange(conn, reader, id) {
				break
			}

			time.Sleep(time.Duration(c.random.ExpFloat64() * float64(keptIdleTime)))
		}

		_ = conn.Close()
	}
}

// exchange sends a request, in two parts at times, and reads the answer. It returns false if the connection has ended.
func (c *keptCaller) exchange(conn net.Conn, reader *bufio.Reader, id string) bool {
	service := "lookup"
	if c.random.IntN(2) == 0 {
		service = "booking"
	}

	head := "POST /" + service + "/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id + "\r\n"
	rest := "Content-Length: 4\r\n\r\nbody"

	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}

	if c.random.IntN(8) == 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(keptIdleTime))))
	}

	if _, err := io.WriteString(conn, rest); err != nil {
		return false
	}

	_ = conn.SetReadDeadline(time.Now().Add(2 * keptTimeout))

	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}

	if err != nil {
		c.unanswered = append(c.unanswered, id)

		return false
	}

	c.answered++

	return !response.Close
}

// disrupt changes timeouts of callers' connections, takes the store away, and restarts a node without callers, until ctx ends.
func disrupt(ctx context.Context, random *rand.Rand, s *keptStore, restarted *restartableNode) {
	for ctx.Err() == nil {
		switch random.IntN(4) {
		case 0, 1:
			s.change(func() {
				s.version++
				s.revision++
				s.idle = time.Duration(20+random.IntN(100)) * time.Millisecond
				s.header = time.Duration(10+random.IntN(40)) * time.Millisecond
			})
		case 2:
			s.change(func() { s.away = !s.away })
		case 3:
			restarted.stop()
			restarted.start()
		}

		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// Guards against requests on kept connections that are passed on to an upstream and get no answer, at nodes that stay up.
func TestRequestsOnKeptConnectionsAreAnswered(t *testing.T) {
	seeds := keptSeedsInCI
	if n, err := strconv.Atoi(os.Getenv("QUINCEPATH_LOST_SEEDS")); err == nil && n > 0 {
		seeds = n
	}

	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runKeptConnections(t, seed) })
	}
}

func runKeptConnections(t *testing.T, seed uint64) {
	t.Helper()

	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	u := &keptUpstreams{random: random(0), arrived: make(map[string]bool)}
	s := &keptStore{crashStore: crashStore{store: store{revision: 1}}, version: 1, idle: 100 * time.Millisecond, header: 50 * time.Millisecond}

	for i := range 8 {
		upstream := httptest.NewServer(u)
		t.Cleanup(upstream.Close)

		s.upstreams = append(s.upstreams, cataloguer.Upstream{
			ID: fmt.Sprint("u", i), Service: []string{"lookup", "booking"}[i%2], Address: upstream.Listener.Addr().String(), Slots: 20,
		})
	}

	nodes := make([]*restartableNode, 3)
	for i := range nodes {
		nodes[i] = &restartableNode{t: t, store: s, settings: nodeSettings(i + 1)}
		nodes[i].settings.Gateway.Descriptors = 400 + 2*keptConnectionLimit
		nodes[i].settings.Node.DrainTimeout = time.Second
		nodes[i].start()
		t.Cleanup(nodes[i].stop)
	}

	for _, n := range nodes {
		waitUntil(t, func() bool { return post(n.settings, "lookup", "fine") == http.StatusOK })
	}

	ctx, stop := context.WithTimeout(context.Background(), keptDisruptedTime)
	defer stop()

	var (
		work    sync.WaitGroup
		callers []*keptCaller
	)

	for i := range 2 * keptCallers {
		c := &keptCaller{name: fmt.Sprint("c", i), address: nodes[i%2].settings.Node.Listen, random: random(uint64(i + 2))}
		callers = append(callers, c)

		work.Go(func() { c.run(ctx) })
	}

	work.Go(func() { disrupt(ctx, random(1), s, nodes[2]) })
	work.Wait()
	s.change(func() { s.away = false })

	u.mu.Lock()
	defer u.mu.Unlock()

	answered, crossed := 0, 0

	var lost []string

	for _, c := range callers {
		answered += c.answered

		for _, id := range c.unanswered {
			if u.arrived[id] {
				lost = append(lost, id)
			} else {
				crossed++
			}
		}
	}

	t.Logf("%d requests answered, %d not passed on, %d passed on without an answer", answered, crossed, len(lost))
	assert.Assert(t, answered > 0)
	assert.Assert(t, len(lost) == 0, "%v", lost)
}

// Guards against connections that stay open by the idle timeout of an earlier configuration.
func TestShorterIdleTimeoutClosesConnectionsThatAreOpen(t *testing.T) {
	u := &keptUpstreams{random: rand.New(rand.NewPCG(0, 0)), arrived: make(map[string]bool)}
	upstream := httptest.NewServer(u)
	t.Cleanup(upstream.Close)

	s := &keptStore{crashStore: crashStore{store: store{revision: 1}}, version: 1, idle: time.Hour, header: time.Hour}
	s.upstreams = []cataloguer.Upstream{{ID: "u", Service: "lookup", Address: upstream.Listener.Addr().String(), Slots: 20}}

	n := &restartableNode{t: t, store: s, settings: nodeSettings(1)}
	n.settings.Node.DrainTimeout = time.Second
	n.start()
	t.Cleanup(n.stop)
	waitUntil(t, func() bool { return post(n.settings, "lookup", "fine") == http.StatusOK })

	conn, err := net.Dial("tcp", n.settings.Node.Listen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })

	s.change(func() {
		s.version++
		s.revision++
		s.idle = time.Second
	})

	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}
