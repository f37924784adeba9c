package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	limitNodes = 3
	// limitPerSecond is the rate that an upstream names, limitSettlingTime how long after that the nodes have to keep it.
	limitPerSecond    = 2.0
	limitSettlingTime = 3 * time.Second
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window an upstream gets at most limitFactor times
	// what its rate allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitUnlimitedTime is how long all upstreams take any rate, limitedTime how long one names a limit.
	limitUnlimitedTime = 3 * time.Second
	limitedTime        = 14 * time.Second
	limitSendInterval  = 6 * time.Millisecond
)

// limitedUpstream is an upstream that can name a rate limit. It records the arrival of each request.
type limitedUpstream struct {
	mu       sync.Mutex
	rate     float64
	limitAt  time.Time
	arrivals []time.Time
}

func (u *limitedUpstream) setRate(rate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.rate, u.limitAt = rate, time.Now()
}

// ServeHTTP implements an upstream.
func (u *limitedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	rate := u.rate
	u.mu.Unlock()

	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "sig")

	if rate > 0 {
		w.Header().Set("X-Limit", strconv.FormatFloat(rate, 'f', -1, 64))
	}

	_, _ = io.WriteString(w, "answer")
}

// worstWindow returns the largest number of arrivals in a window that begins after the settling time, and the number of
// all arrivals since then.
func (u *limitedUpstream) worstWindow() (worst, total int) {
	u.mu.Lock()
	defer u.mu.Unlock()

	arrivals := slices.Clone(u.arrivals)
	arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(u.limitAt.Add(limitSettlingTime)) })

	for i, begin := range arrivals {
		end, _ := slices.BinarySearchFunc(arrivals, begin.Add(limitWindow), time.Time.Compare)
		worst = max(worst, end-i)
	}

	return worst, len(arrivals)
}

// Guards against nodes that send an upstream more requests than the rate that it names for all nodes together, also while
// nodes restart.
func TestNodesKeepTheRateThatAnUpstreamNames(t *testing.T) {
	limited := &limitedUpstream{}
	s := &budgetStore{crashStore{store: store{revision: 1}}}

	for i := range 4 {
		member := &limitedUpstream{}
		if i == 0 {
			member = limited
		}

		upstream := httptest.NewServer(member)
		t.Cleanup(upstream.Close)

		s.upstreams = append(s.upstreams, cataloguer.Upstream{
			ID: fmt.Sprint("u", i), Service: "desk", Address: upstream.Listener.Addr().String(), Slots: 50,
		})
	}

	nodes := make([]*restartableNode, limitNodes)
	for i := range nodes {
		nodes[i] = &restartableNode{t: t, store: s, settings: nodeSettings(i + 1)}
		nodes[i].start()
		t.Cleanup(nodes[i].stop)
	}

	for _, n := range nodes {
		waitUntil(t, func() bool { return sendOnce(n.settings) })
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	var callers sync.WaitGroup

	callers.Go(func() { sendAtInterval(ctx, &attemptRecorder{seenIDs: make(map[string]bool)}, nodes) })

	time.Sleep(limitUnlimitedTime)
	limited.setRate(limitPerSecond)
	time.Sleep(limitedTime / 2)

	for _, n := range nodes {
		n.stop()
		n.start()
		waitUntil(t, func() bool { return sendOnce(n.settings) })
	}

	time.Sleep(limitedTime / 2)
	stop()
	callers.Wait()

	worst, total := limited.worstWindow()
	allowed := int(limitFactor*limitPerSecond*limitWindow.Seconds() + limitSlack)
	t.Logf("%d requests in the worst window, %d in all", worst, total)
	assert.Assert(t, worst <= allowed, "%d requests in %v, %d are allowed", worst, limitWindow, allowed)
	// A limit leaves room for some requests; an upstream that gets none could never say that it takes more again.
	assert.Assert(t, total > 0)
}
