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

	"quincepath.example/quincepath/internal/gateway"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/storer"
)

const (
	budgetNodes  = 3
	budgetRatio  = 0.2
	budgetExtra  = 40
	budgetWindow = 4 * time.Second
	// budgetSendInterval is the time between two requests, over all callers.
	budgetSendInterval = 6 * time.Millisecond
	// budgetHealthyTime is how long upstreams succeed before all of them fail, budgetFailingTime how long they fail.
	budgetHealthyTime = 5 * time.Second
	budgetFailingTime = 8 * time.Second
	// budgetDownTime is how long a restarting node is down.
	budgetDownTime = 300 * time.Millisecond
)

// budgetStore lists upstreams of one service, whose route allows three attempts.
type budgetStore struct {
	crashStore
}

func (s *budgetStore) Configuration(ctx context.Context) (cataloguer.Configuration, storer.Position, error) {
	configuration, revision, err := s.store.Configuration(ctx)
	configuration.Routes[0].Attempts = 3

	return configuration, revision, err
}

// attemptRecorder records the requests that callers sent and the attempts that reached upstreams.
type attemptRecorder struct {
	mu      sync.Mutex
	failing bool
	sentAt  []time.Time
	seenIDs map[string]bool
	// extraAttempts holds the arrival times of all attempts but the first of each request.
	extraAttempts []time.Time
}

func (a *attemptRecorder) recordSend() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.sentAt = append(a.sentAt, time.Now())
}

func (a *attemptRecorder) setFailing(failing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.failing = failing
}

// ServeHTTP implements an upstream.
func (a *attemptRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")

	a.mu.Lock()
	if a.seenIDs[id] {
		a.extraAttempts = append(a.extraAttempts, time.Now())
	}

	a.seenIDs[id] = true
	failing := a.failing
	a.mu.Unlock()

	w.Header().Set("X-Id", id)
	w.Header().Set("X-Signature", "sig")

	if failing {
		w.WriteHeader(http.StatusInternalServerError)
	}

	_, _ = io.WriteString(w, "answer")
}

// checkBudget checks the number of extra attempts in each window. The limit follows from the number of requests in that
// window, in the one before it or in the one half a window earlier, whichever is largest.
func (a *attemptRecorder) checkBudget(t *testing.T) {
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

	worst, message := 0.0, ""

	for _, begin := range a.extraAttempts {
		requests := max(within(a.sentAt, begin), within(a.sentAt, begin.Add(-budgetWindow/2)), within(a.sentAt, begin.Add(-budgetWindow)))
		extras, allowed := within(a.extraAttempts, begin), budgetRatio*float64(requests)+budgetExtra

		if over := float64(extras) - allowed; over > worst {
			worst, message = over, fmt.Sprintf("%d extra attempts in a window with %d requests, %.1f are allowed", extras, requests, allowed)
		}
	}

	t.Logf("%d requests, %d extra attempts", len(a.sentAt), len(a.extraAttempts))
	assert.Assert(t, worst == 0, message)
}

// Guards against nodes that have their full retry budget again after a restart.
func TestRetriesStayWithinTheBudgetThroughRestarts(t *testing.T) {
	a := &attemptRecorder{seenIDs: make(map[string]bool)}
	s := &budgetStore{crashStore{store: store{revision: 1}}}

	for i := range 8 {
		upstream := httptest.NewServer(a)
		t.Cleanup(upstream.Close)

		s.upstreams = append(s.upstreams, cataloguer.Upstream{
			ID: fmt.Sprint("u", i), Service: "desk", Address: upstream.Listener.Addr().String(), Slots: 50,
		})
	}

	nodes := make([]*restartableNode, budgetNodes)
	for i := range nodes {
		nodes[i] = &restartableNode{t: t, store: s, settings: nodeSettings(i + 1)}
		nodes[i].settings.Gateway.RetryRatio, nodes[i].settings.Gateway.RetryExtra = budgetRatio, budgetExtra
		nodes[i].settings.Gateway.RetryWindow = budgetWindow
		nodes[i].start()
		t.Cleanup(nodes[i].stop)
	}

	for _, n := range nodes {
		waitUntil(t, func() bool { return sendOnce(n.settings) })
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	var callers sync.WaitGroup

	callers.Go(func() { sendAtInterval(ctx, a, nodes) })

	time.Sleep(budgetHealthyTime)
	a.setFailing(true)
	time.Sleep(budgetWindow / 4)

	for _, n := range nodes {
		n.stop()
		time.Sleep(budgetDownTime)
		n.start()
		waitUntil(t, func() bool { return sendOnce(n.settings) })
	}

	time.Sleep(budgetFailingTime - budgetWindow/4 - budgetNodes*budgetDownTime)
	stop()
	callers.Wait()
	a.checkBudget(t)
}

// restartableNode is a node that can be stopped and started again.
type restartableNode struct {
	t        *testing.T
	store    gateway.Store
	settings loader.Settings
	cancel   context.CancelFunc
	ended    chan error
}

func (r *restartableNode) start() {
	r.cancel, r.ended = runNode(r.t, r.store, r.settings, func([]string, time.Duration) ([]byte, error) { return []byte("[]"), nil })
}

func (r *restartableNode) stop() {
	r.cancel()
	assert.Check(r.t, <-r.ended)
	// A second call of stop must not block.
	r.ended = make(chan error, 1)
	r.ended <- nil
}

// sendAtInterval sends requests to the nodes in turn until ctx is cancelled. Each goes to the next node if one doesn't serve it.
func sendAtInterval(ctx context.Context, a *attemptRecorder, nodes []*restartableNode) {
	ticker := time.NewTicker(budgetSendInterval)
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
				a.recordSend()

				if sendOnce(nodes[(i+try)%len(nodes)].settings) {
					return
				}
			}
		})
	}
}

// sendOnce sends a request with a new request ID. It returns false if the node didn't respond or has no routes yet.
func sendOnce(node loader.Settings) bool {
	status := post(node, "", "")

	return status != 0 && status != http.StatusServiceUnavailable
}
