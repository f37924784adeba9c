package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
)

const (
	brittleNodes     = 3
	brittleUpstreams = 8
	brittleSlots     = 6
	// brittleWorkTime is how long a request takes alone; with all slots in use it takes brittleSlowing longer.
	brittleWorkTime = 100 * time.Millisecond
	brittleSlowing  = 1.0 / 3
	// brittleQueue is how many requests wait at an upstream that has not been brittle for brittleSettlingTime. After that
	// none may wait, and one that rejects more than brittleRejections requests within a second is gone for brittleDownTime.
	brittleQueue        = 8
	brittleRejections   = 2
	brittleSettlingTime = 3 * time.Second
	brittleDownTime     = 2 * time.Second
	// brittleAllowedFalls is 2 plus a tenth of the number of upstreams: the users' bound.
	brittleAllowedFalls = 2
	// brittleLoad is in requests a second. Of brittleCapacity, which all slots in use allow, brittleServedFraction has to be
	// served.
	brittleLoad           = 336.0
	brittleCapacity       = 360.0
	brittleServedFraction = 0.6
	brittleSoundTime      = 4 * time.Second
	brittleHalfLoadTime   = 3 * time.Second
	brittleFullLoadTime   = 6 * time.Second
)

// brittleService is a service whose upstreams fall over when they reject too many requests.
type brittleService struct {
	t     *testing.T
	store *budgetStore

	mu sync.Mutex
	// brittleSince is zero as long as the upstreams are sound.
	brittleSince time.Time
	starts       int
	falls        int
	rejections   int
}

// brittleUpstream is one start of an upstream.
type brittleUpstream struct {
	service *brittleService
	id      string
	server  *httptest.Server
	slots   chan struct{}

	mu         sync.Mutex
	waiting    int
	rejectedAt []time.Time
	down       bool
}

// start starts an upstream and lists it.
func (s *brittleService) start(address string) {
	listener, err := net.Listen("tcp", address)
	if !assert.Check(s.t, err) {
		return
	}

	s.mu.Lock()
	s.starts++
	u := &brittleUpstream{service: s, id: fmt.Sprint("u", s.starts), slots: make(chan struct{}, brittleSlots)}
	s.mu.Unlock()

	u.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: u}}
	u.server.Start()
	s.t.Cleanup(u.stop)

	s.store.update(func() {
		s.store.upstreams = append(s.store.upstreams, cataloguer.Upstream{
			ID: u.id, Service: "desk", Address: listener.Addr().String(), Slots: brittleSlots, Born: time.Now().UnixMilli(),
		})
	})
}

// stop ends the upstream and resets its connections.
func (u *brittleUpstream) stop() {
	_ = u.server.Listener.Close()
	u.server.CloseClientConnections()
}

// fall takes the upstream away for brittleDownTime. Then another start of it is listed in its place.
func (u *brittleUpstream) fall() {
	s := u.service

	s.mu.Lock()
	s.falls++
	s.mu.Unlock()

	u.stop()
	time.AfterFunc(brittleDownTime, func() {
		s.store.update(func() {
			s.store.upstreams = slices.DeleteFunc(s.store.upstreams, func(listed cataloguer.Upstream) bool { return listed.ID == u.id })
		})
		s.start(u.server.Listener.Addr().String())
	})
}

func (s *brittleService) setBrittle() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.brittleSince = time.Now()
}

// state reports whether the upstreams are brittle, and whether no request may wait at them.
func (s *brittleService) state() (brittle, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.brittleSince.IsZero(), !s.brittleSince.IsZero() && time.Since(s.brittleSince) >= brittleSettlingTime
}

func (s *brittleService) counts() (falls, rejections int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.falls, s.rejections
}

// ServeHTTP implements an upstream.
func (u *brittleUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))

	brittle, _ := u.service.state()
	if brittle {
		w.Header().Set("X-Brittle", strconv.Itoa(brittleRejections))
	}

	if !u.acquireSlot() {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	used := float64(len(u.slots)) / brittleSlots
	time.Sleep(time.Duration((1 + brittleSlowing*used) * float64(brittleWorkTime)))
	<-u.slots

	w.Header().Set("X-Signature", "sig")
	_, _ = io.WriteString(w, "answer")
}

// acquireSlot waits for a slot. It returns false if the request has to be rejected.
func (u *brittleUpstream) acquireSlot() bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}

	_, full := u.service.state()

	u.mu.Lock()
	if full || u.waiting >= brittleQueue {
		u.reject(time.Now())
		u.mu.Unlock()

		return false
	}

	u.waiting++
	u.mu.Unlock()

	u.slots <- struct{}{}

	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()

	return true
}

// reject counts a rejected request. The caller holds u.mu.
func (u *brittleUpstream) reject(now time.Time) {
	u.service.mu.Lock()
	u.service.rejections++
	u.service.mu.Unlock()

	u.rejectedAt = slices.DeleteFunc(u.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	u.rejectedAt = append(u.rejectedAt, now)

	if _, full := u.service.state(); full && !u.down && len(u.rejectedAt) > brittleRejections {
		u.down = true

		go u.fall()
	}
}

// tally counts the responses to callers.
type tally struct {
	mu sync.Mutex
	// unexplained counts the refusals without Retry-After.
	sent, served, refused, unexplained, failed int
}

func (c *tally) add(status int, retryAfter string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.sent++

	switch {
	case status == http.StatusOK:
		c.served++
	case status != http.StatusServiceUnavailable:
		c.failed++
	case retryAfter == "":
		c.unexplained++
	default:
		c.refused++
	}
}

// sendForTime sends requests to random nodes at random times and counts the responses. It returns once all have ended.
func sendForTime(random *rand.Rand, nodes []loader.Settings, perSecond float64, duration time.Duration) *tally {
	var (
		c       tally
		pending sync.WaitGroup
	)

	begin := time.Now()

	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		node := nodes[random.IntN(len(nodes))]

		time.Sleep(at - time.Since(begin))
		pending.Go(func() { c.add(postForRetryAfter(node)) })
	}

	pending.Wait()

	return &c
}

// postForRetryAfter sends one request and returns the status of the response, 0 without one, and its Retry-After.
func postForRetryAfter(node loader.Settings) (status int, retryAfter string) {
	number := requestCount.Add(1)

	request, err := http.NewRequest(http.MethodPost, "http://"+node.Node.Listen+"/desk/1", strings.NewReader(fmt.Sprint("body ", number)))
	if err != nil {
		return 0, ""
	}

	request.Host = "shop.example"
	request.Header.Set("X-Id", fmt.Sprint("r", number))

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()

	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, ""
	}

	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against nodes that make brittle upstreams reject requests, so that one after the other falls over.
func TestBrittleUpstreamsStayUp(t *testing.T) {
	s := &brittleService{t: t, store: &budgetStore{crashStore{store: store{revision: 1}}}}
	for range brittleUpstreams {
		s.start("127.0.0.1:0")
	}

	nodes := make([]loader.Settings, brittleNodes)
	for i := range nodes {
		nodes[i] = nodeSettings(i + 1)
		stop, ended := runNode(t, s.store, nodes[i], func([]string, time.Duration) ([]byte, error) { return []byte("[]"), nil })

		t.Cleanup(func() {
			stop()
			assert.Check(t, <-ended)
		})
	}

	for _, node := range nodes {
		waitUntil(t, func() bool { return sendOnce(node) })
	}

	random := rand.New(rand.NewPCG(1, 1))

	_ = sendForTime(random, nodes, brittleLoad/2, brittleSoundTime)
	s.setBrittle()

	_ = sendForTime(random, nodes, brittleLoad/2, brittleSettlingTime)
	half := sendForTime(random, nodes, brittleLoad/2, brittleHalfLoadTime)
	falls, rejections := s.counts()
	t.Logf("half load: %d of %d served, %d refused, %d rejections, %d falls", half.served, half.sent, half.refused, rejections, falls)
	assert.Check(t, falls == 0, "%d falls with half of the load", falls)
	assert.Check(t, half.served == half.sent, "%d of %d served", half.served, half.sent)

	full := sendForTime(random, nodes, brittleLoad, brittleFullLoadTime)
	falls, rejections = s.counts()
	t.Logf("full load: %d of %d served, %d refused, %d failed, %d rejections, %d falls",
		full.served, full.sent, full.refused, full.failed, rejections, falls)
	assert.Check(t, falls <= brittleAllowedFalls, "%d falls, %d are allowed", falls, brittleAllowedFalls)
	assert.Check(t, full.unexplained == 0, "%d refused without Retry-After", full.unexplained)

	wanted := brittleServedFraction * brittleCapacity * brittleFullLoadTime.Seconds()
	assert.Check(t, float64(full.served) >= wanted, "%d served, %.0f are wanted", full.served, wanted)
}
