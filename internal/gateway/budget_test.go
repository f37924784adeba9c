package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
)

const (
	budgetNodes  = 3
	budgetRatio  = 0.2
	budgetExtra  = 40
	budgetWindow = 4 * time.Second
	// budgetSends is the time between two requests of all callers.
	budgetSends = 6 * time.Millisecond
	// budgetCalm is how long upstreams answer before all of them fail, budgetFails how long they do.
	budgetCalm  = 5 * time.Second
	budgetFails = 8 * time.Second
	// budgetAway is how long a node that restarts is away.
	budgetAway = 300 * time.Millisecond
)

// budgetStore lists upstreams of one service, whose requests may run three times.
type budgetStore struct {
	crashStore
}

func (s *budgetStore) Configuration(ctx context.Context) (cataloguer.Configuration, int64, error) {
	configuration, revision, err := s.store.Configuration(ctx)
	configuration.Routes[0].Attempts = 3

	return configuration, revision, err
}

// arrivals records the requests that callers sent and the attempts that reached upstreams.
type arrivals struct {
	mu      sync.Mutex
	failing bool
	sent    []time.Time
	reached map[string]bool
	// extras are the arrivals beyond the first of each request.
	extras []time.Time
}

func (a *arrivals) send() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.sent = append(a.sent, time.Now())
}

func (a *arrivals) setFailing(failing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.failing = failing
}

// ServeHTTP answers as an upstream.
func (a *arrivals) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")

	a.mu.Lock()
	if a.reached[id] {
		a.extras = append(a.extras, time.Now())
	}

	a.reached[id] = true
	failing := a.failing
	a.mu.Unlock()

	w.Header().Set("X-Id", id)
	w.Header().Set("X-Signature", "sig")

	if failing {
		w.WriteHeader(http.StatusInternalServerError)
	}

	_, _ = io.WriteString(w, "answer")
}

// check compares the extras in each window with what the requests in it, in the one before it or in the one half a window
// before it allow, whichever has most.
func (a *arrivals) check(t *testing.T) {
	t.Helper()

	a.mu.Lock()
	defer a.mu.Unlock()

	within := func(times []time.Time, begin time.Time) int {
		count := 0

		for _, at := range times {
			if !at.Before(begin) && at.Before(begin.Add(budgetWindow)) {
				count++
			}
		}

		return count
	}

	worst, story := 0.0, ""

	for _, begin := range a.extras {
		requests := max(within(a.sent, begin), within(a.sent, begin.Add(-budgetWindow/2)), within(a.sent, begin.Add(-budgetWindow)))
		extras, allowed := within(a.extras, begin), budgetRatio*float64(requests)+budgetExtra

		if over := float64(extras) - allowed; over > worst {
			worst, story = over, fmt.Sprintf("%d extra attempts in a window with %d requests, %.1f are allowed", extras, requests, allowed)
		}
	}

	t.Logf("%d requests, %d extra attempts", len(a.sent), len(a.extras))
	assert.Assert(t, worst == 0, story)
}

// Guards against nodes that restart and have their whole retry budget once more.
func TestRetriesStayWithinTheBudgetThroughRestarts(t *testing.T) {
	a := &arrivals{reached: make(map[string]bool)}
	s := &budgetStore{crashStore{store: store{revision: 1}}}

	for i := range 8 {
		upstream := httptest.NewServer(a)
		t.Cleanup(upstream.Close)

		s.upstreams = append(s.upstreams, cataloguer.Upstream{
			ID: fmt.Sprint("u", i), Service: "desk", Address: upstream.Listener.Addr().String(), Slots: 50,
		})
	}

	nodes := make([]*restarting, budgetNodes)
	for i := range nodes {
		nodes[i] = &restarting{t: t, store: s, settings: settingsOf(i + 1)}
		nodes[i].settings.Gateway.RetryRatio, nodes[i].settings.Gateway.RetryExtra = budgetRatio, budgetExtra
		nodes[i].settings.Gateway.RetryWindow = budgetWindow
		nodes[i].start()
		t.Cleanup(nodes[i].stop)
	}

	for _, n := range nodes {
		until(func() bool { return sendOnce(n.settings) })
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	var callers sync.WaitGroup

	callers.Go(func() { sendEvenly(ctx, a, nodes) })

	time.Sleep(budgetCalm)
	a.setFailing(true)
	time.Sleep(budgetWindow / 4)

	for _, n := range nodes {
		n.stop()
		time.Sleep(budgetAway)
		n.start()
		until(func() bool { return sendOnce(n.settings) })
	}

	time.Sleep(budgetFails - budgetWindow/4 - budgetNodes*budgetAway)
	stop()
	callers.Wait()
	a.check(t)
}

// restarting is a node that can be stopped and started again.
type restarting struct {
	t        *testing.T
	store    *budgetStore
	settings loader.Settings
	cancel   context.CancelFunc
	ended    chan error
}

func (r *restarting) start() {
	r.cancel, r.ended = run(r.t, r.store, r.settings, func([]string, time.Duration) ([]byte, error) { return []byte("[]"), nil })
}

func (r *restarting) stop() {
	r.cancel()
	assert.Check(r.t, <-r.ended)
	// A second stop finds the node ended.
	r.ended = make(chan error, 1)
	r.ended <- nil
}

// sendEvenly sends a request at each interval until ctx ends, to the nodes in turn, or to the next one that takes it.
func sendEvenly(ctx context.Context, a *arrivals, nodes []*restarting) {
	ticker := time.NewTicker(budgetSends)
	defer ticker.Stop()

	var pending sync.WaitGroup
	defer pending.Wait()

	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		pending.Go(func() {
			for try := range nodes {
				a.send()

				if sendOnce(nodes[(i+try)%len(nodes)].settings) {
					return
				}
			}
		})
	}
}

// sendOnce sends a request under a new id; false if the node did not answer it, or knows no routes yet.
func sendOnce(node loader.Settings) bool {
	status := ask(node, "", "")

	return status != 0 && status != http.StatusServiceUnavailable
}
