package relayer_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/internal/gateway/relayer"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/throttler"
)

var names = relayer.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", LastEventID: "Last-Event-Id", TokenCounts: "X-Tokens", LengthHint: "X-Hint",
	PromptParts: "X-Parts", Authorization: "Authorization", KeyScheme: "Token", Organisation: "X-Organisation",
	Resumes: "X-Resumes", ExpectUpstream: "X-Expect", Priority: "X-Priority", Signature: "X-Signature", NotRun: "X-Not-Run", Leaving: "X-Leaving", Load: "X-Load", RateLimit: "X-Limit", Brittle: "X-Brittle",
	Reserved: []string{"X-Hold"},
}

// fakeUpstream is a server that responds with a handler function and records its requests.
type fakeUpstream struct {
	name    string
	address string
	// version is the software version that Choose reports; empty if it isn't known.
	version string
	// born is what Choose reports; 0 if it isn't known.
	born int64

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (u *fakeUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return len(u.requests)
}

// fixture is a relayer with upstreams, which are chosen in the order in which they were added.
type fixture struct {
	t         testing.TB
	upstreams []*fakeUpstream
	server    *httptest.Server
	client    *http.Client
	relayer   *relayer.Relayer
	catalog   *cataloguer.Catalog
	// configuration holds the routes in force.
	configuration cataloguer.Configuration
	now           time.Duration
	leaving       time.Duration
	// ignoreExcluded makes Choose return excluded upstreams too.
	ignoreExcluded bool
	// ignoreVersions makes Choose return upstreams of other software versions too, as a node of an older release does.
	ignoreVersions bool
	// refusal is what Choose returns if it finds no upstream.
	refusal    balancer.Choice
	quarantine relayer.Quarantine
	usage      *usage
	pins       *fakePins
	// paths are the ways to upstreams; nil if there are only direct ones.
	paths *fakePaths
	// paused is for how long the process stood still; nil means never.
	paused func() time.Duration
	// former holds the routes before those of the relayer; nil if there are none.
	former *router.Table
	// network connects the servers in memory; nil if they listen on the loopback interface.
	network *memoryNetwork
	// attempts holds the relayer's counters.
	attempts *expvar.Map
	// bodies is the relayer's memory limit for request bodies.
	bodies int64

	// extra is the number of extra attempts in the retry budget. peer lends others; nil if there is none.
	extra int
	peer  *lender
	// rateLimited is the upstream whose rate limit forbids its use; empty if there is none.
	rateLimited string
	// asked is the last request for which an upstream was chosen.
	asked balancer.Request
	// onChoose is called while an upstream is chosen, onTable once the routes of a request were taken; they may be nil.
	onChoose, onTable func()

	mu       sync.Mutex
	outcomes []string
	// chosen holds the IDs of the attempts that got an upstream, ends the outcomes by ID.
	chosen []string
	ends   map[string][]string
	// rates holds what responses said of rate limits.
	rates []string
	// brittle holds what responses said of their upstreams' brittleness.
	brittle []string
}

func newFixture(t testing.TB, extra int) *fixture {
	t.Helper()

	return newFixtureWithBodyMemory(t, extra, 1<<20)
}

func newFixtureWithBodyMemory(t testing.TB, extra int, bodies int64) *fixture {
	t.Helper()

	w := &fixture{t: t, now: time.Hour, configuration: configuration(), bodies: bodies, extra: extra, quarantine: noQuarantine{}, usage: &usage{counts: make(map[string]int)}, pins: newFakePins(), client: http.DefaultClient, ends: make(map[string][]string)}
	w.catalog = cataloguer.New(func() time.Duration { return w.now })
	w.catalog.ApplyConfiguration(configuration(), w.now)
	w.restart()

	return w
}

// restart starts a new relayer without any state.
func (w *fixture) restart() {
	table := router.New(w.configuration, w.catalog.State().ConfigurationFreshness)
	if w.former != nil {
		table.Succeed(w.former, w.now)
	}

	budget := budgeter.Options{
		Extra: float64(w.extra), Window: time.Hour, Share: func() float64 { return 1 }, Now: func() time.Duration { return w.now },
	}

	if w.peer != nil {
		budget.Self, budget.Peers, budget.Live = "self", w.peer, func() []string { return []string{"peer", "self"} }
	}

	w.attempts = new(expvar.Map)
	handler := relayer.New(relayer.Options{
		Headers: names, Catalog: w.catalog, Table: w.tableFunc(table), Chooser: w, Dialer: w.newDialer(),
		RetryBudget: budgeter.New(budget),
		Quarantine:  w.quarantine,
		Usage:       w.usage,
		Pins:        w.pins,
		MaxKeyAge:   func() time.Duration { return 4 * time.Second }, LeavingFor: func() time.Duration { return w.leaving }, LeavingGrace: time.Second,
		MaxBodyMemory: w.bodies, Paused: w.paused, Meter: meter.New(), FailedAttempts: w.attempts, Logger: zerolog.Nop(),
	})
	w.relayer = handler
	w.server = w.newServer(handler)
	w.t.Cleanup(w.server.Close)
}

// tableFunc returns what the relayer takes the routes with.
func (w *fixture) tableFunc(table *router.Table) func() *router.Table {
	return func() *router.Table {
		if w.onTable != nil {
			defer w.onTable()
		}

		return table
	}
}

// usage counts started requests by organisation.
type usage struct {
	mu     sync.Mutex
	counts map[string]int
}

// Count implements relayer.Usage.
func (u *usage) Count(organisation string, _ time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.counts[organisation]++
}

// noQuarantine lets every request run.
type noQuarantine struct{}

// Check implements relayer.Quarantine.
func (noQuarantine) Check(quarantiner.Traits, quarantiner.Key) (quarantiner.Verdict, bool) {
	return quarantiner.Verdict{}, true
}

// ReturnTrial implements relayer.Quarantine.
func (noQuarantine) ReturnTrial(quarantiner.Key) {}

// IsSuspected implements relayer.Quarantine.
func (noQuarantine) IsSuspected([]quarantiner.Part, []time.Time) bool { return false }

// Answered implements relayer.Quarantine.
func (noQuarantine) Answered(quarantiner.Traits, string) {}

// AnsweredUntilClose implements relayer.Quarantine.
func (noQuarantine) AnsweredUntilClose(quarantiner.Run) {}

// Alive implements relayer.Quarantine.
func (noQuarantine) Alive(string) {}

// Unreachable implements relayer.Quarantine.
func (noQuarantine) Unreachable(string) {}

// Failed implements relayer.Quarantine.
func (noQuarantine) Failed(quarantiner.Traits) {}

// Survived implements relayer.Quarantine.
func (noQuarantine) Survived(quarantiner.Traits, string) {}

// Broke implements relayer.Quarantine.
func (noQuarantine) Broke(quarantiner.Run) {}

func configuration() cataloguer.Configuration {
	shares := []cataloguer.Share{{Service: "s", Weight: 1}}
	route := func(name string, kind cataloguer.Kind, resumable bool) cataloguer.Route {
		return cataloguer.Route{
			Name: name, Host: "shop.example", PathPrefix: "/" + name + "/", Kind: kind, Shares: shares, Attempts: 2,
			Resumable: resumable, Timeout: 20 * time.Second, Target: 10 * time.Second, GapLimit: 10 * time.Second,
		}
	}

	return cataloguer.Configuration{
		Version: 1,
		Routes: []cataloguer.Route{
			route("book", cataloguer.NotRepeatable, false),
			route("price", cataloguer.Idempotent, false),
			route("chat", cataloguer.Stream, true),
			route("advice", cataloguer.Stream, false),
			impatient(route("quote", cataloguer.Idempotent, false)),
			impatient(route("note", cataloguer.Stream, true)),
			impatient(route("talk", cataloguer.Stream, true)),
			threeTimes(impatient(route("letter", cataloguer.Stream, true))),
			moved(route("moved", cataloguer.Stream, true)),
		},
		Organisations: []cataloguer.Organisation{{Name: "salon", Keys: []string{"k1"}}},
		Limits:        cataloguer.Limits{BodyBytes: 1000, HeaderBytes: 2000},
	}
}

// moved returns the route with another service in place of its own.
func moved(route cataloguer.Route) cataloguer.Route {
	route.Shares = []cataloguer.Share{{Service: "s"}, {Service: "other", Weight: 1}}

	return route
}

// threeTimes returns the route with three attempts.
func threeTimes(route cataloguer.Route) cataloguer.Route {
	route.Attempts = 3

	return route
}

// impatient returns the route with the shortest attempt timeouts: 400 ms, 1 s for streams.
func impatient(route cataloguer.Route) cataloguer.Route {
	route.Target, route.GapLimit = 50*time.Millisecond, 50*time.Millisecond

	return route
}

// add starts an upstream with the handler.
func (w *fixture) add(handle http.HandlerFunc) *fakeUpstream {
	u := &fakeUpstream{name: fmt.Sprint("u", len(w.upstreams)), version: "v1"}
	server := w.newServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)

		u.mu.Lock()
		u.requests = append(u.requests, r)
		u.bodies = append(u.bodies, string(body))
		u.mu.Unlock()

		rw.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		handle(rw, r)
	}))
	w.t.Cleanup(server.Close)
	u.address = server.Listener.Addr().String()
	w.upstreams = append(w.upstreams, u)

	return u
}

// Choose implements relayer.Chooser.
func (w *fixture) Choose(_ context.Context, _ string, work balancer.Request) (_ balancer.Choice, ok bool) {
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()

		if ok {
			w.chosen = append(w.chosen, work.ID)
		}
	}()

	if w.onChoose != nil {
		w.onChoose()
	}

	w.mu.Lock()
	w.asked = work
	w.mu.Unlock()

	for _, u := range w.upstreams {
		if !w.ignoreVersions && work.SoftwareVersion != "" && work.SoftwareVersion != u.version {
			continue
		}

		if w.ignoreExcluded || !strings.Contains(strings.Join(work.Excluded, " "), u.name) {
			return balancer.Choice{Upstream: u.name, Address: u.address, Born: u.born, SoftwareVersion: u.version}, true
		}
	}

	return w.refusal, false
}

// RecordBrittle implements relayer.Chooser.
func (w *fixture) RecordBrittle(_ string, rejections int, named bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.brittle = append(w.brittle, fmt.Sprint(rejections, named))

	return false
}

// RecordRateLimit implements relayer.Chooser.
func (w *fixture) RecordRateLimit(_ string, rate float64, named bool) (throttler.Limit, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.rates = append(w.rates, fmt.Sprint(rate, named))

	return throttler.Limit{}, false
}

// MayUse implements relayer.Chooser.
func (w *fixture) MayUse(choice balancer.Choice) bool { return choice.Upstream != w.rateLimited }

// RecordFirstEvent implements relayer.Chooser.
func (w *fixture) RecordFirstEvent(string, *balancer.Load) {}

func (w *fixture) RecordLoad(string, balancer.Load) {}

// RecordGaps implements relayer.Chooser.
func (w *fixture) RecordGaps(string, balancer.EventGaps) {}

// MarkResting implements relayer.Chooser.
func (w *fixture) MarkResting(string, time.Duration) {}

// MarkLeaving implements relayer.Chooser.
func (w *fixture) MarkLeaving(string) {}

// RecordEnd implements relayer.Chooser.
func (w *fixture) RecordEnd(id string, outcome balancer.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.ends[id] = append(w.ends[id], fmt.Sprint(outcome))

	w.outcomes = append(w.outcomes, fmt.Sprint(outcome))
}

func (w *fixture) send(path string, change func(*http.Request)) (*http.Response, string, error) {
	return w.sendIn(context.Background(), path, change)
}

// sendIn sends a request whose caller leaves when ctx ends.
func (w *fixture) sendIn(ctx context.Context, path string, change func(*http.Request)) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+path, strings.NewReader("body"))
	assert.NilError(w.t, err)
	request.Host = "shop.example"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set("Authorization", "Token k1")

	if change != nil {
		change(request)
	}

	response, err := w.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)

	return response, string(body), err
}

func sign(rw http.ResponseWriter) { rw.Header().Set(names.Signature, "sig") }

func respondWith(status int, body string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.WriteHeader(status)
		_, _ = io.WriteString(rw, body)
	}
}

func rejectWith(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(names.NotRun, "1")
		rw.WriteHeader(status)
	}
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// streamEvents sends events with the given IDs and then ends the stream or, unless complete, drops the connection in the
// middle of an event.
func streamEvents(complete bool, ids ...int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")

		for _, id := range ids {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", id, id)
		}

		if !complete {
			_, _ = io.WriteString(rw, "id: 99\ndata: to")
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	w := newFixture(t, 0)
	u := w.add(respondWith(http.StatusCreated, "made"))

	response, body, err := w.send("/book/a%2Fb?x=1;y", func(r *http.Request) {
		r.Header.Set("X-Custom", "kept")
		r.Header.Set("X-Hold", "forged")
		r.Header.Set(names.Organisation, "forged")
		r.Header.Set(names.Priority, "0")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "dropped")
		r.Header.Set(names.Deadline, "5000")
	})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusCreated)
	assert.Equal(t, body, "made")
	assert.Equal(t, response.Header.Get(names.Signature), "sig")

	got := u.requests[0]
	assert.Equal(t, got.RequestURI, "/book/a%2Fb?x=1;y")
	assert.Equal(t, got.Host, "shop.example")
	assert.Equal(t, u.bodies[0], "body")
	assert.Equal(t, got.Header.Get("X-Custom"), "kept")
	assert.Equal(t, got.Header.Get(names.Organisation), "salon")
	assert.Equal(t, got.Header.Get(names.ExpectUpstream), "u0")

	for _, name := range []string{"X-Hold", "X-Hop", "Authorization", names.Priority} {
		assert.Equal(t, got.Header.Get(name), "", name)
	}
}

// Guards against running a request twice that is not repeatable: an upstream runs it, the response is lost, and the
// request is retried as if it had been lost itself.
func TestNotRepeatableRequestIsSentOnceWhenItsAnswerIsLost(t *testing.T) {
	w := newFixture(t, 10)
	first, second := w.add(dropConnection), w.add(respondWith(http.StatusOK, "twice"))

	response, _, err := w.send("/book/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Retry-After"), "")
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 0)
}

func TestNotRepeatableRequestThatWasNotRunIsSentElsewhere(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		w := newFixture(t, 10)
		w.add(rejectWith(status))
		second := w.add(respondWith(http.StatusOK, "once"))

		_, body, err := w.send("/book/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, "once")
		assert.Equal(t, second.count(), 1)
	}
}

// Guards against a refusal with Retry-After for a request that may have run: after a lost response, the remaining
// upstreams refuse the request.
func TestRefusalSaysNotRunOnlyIfNothingRan(t *testing.T) {
	w := newFixture(t, 10)
	w.add(rejectWith(http.StatusServiceUnavailable))
	response, _, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")

	w = newFixture(t, 10)
	w.add(dropConnection)
	w.add(rejectWith(http.StatusServiceUnavailable))
	response, _, err = w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}

func TestIdempotentRequestIsRetriedAfterFailures(t *testing.T) {
	for name, fails := range map[string]http.HandlerFunc{
		"error": respondWith(http.StatusInternalServerError, "oh"), "broken": dropConnection,
		"unsigned": func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "not its own") },
		"torn": func(rw http.ResponseWriter, _ *http.Request) {
			sign(rw)
			rw.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(rw, "half")
			panic(http.ErrAbortHandler)
		},
	} {
		w := newFixture(t, 10)
		w.add(fails)
		w.add(respondWith(http.StatusOK, "whole"))

		_, body, err := w.send("/price/1", nil)
		assert.NilError(t, err, name)
		assert.Equal(t, body, "whole", name)
	}
}

// Guards against usage that counts a request once for each attempt, or omits one that ran and failed.
func TestUsageCountsARequestOnceIfItMayHaveRun(t *testing.T) {
	tests := map[string]struct {
		path  string
		first http.HandlerFunc
		want  int
	}{
		"served":            {"/price/1", respondWith(http.StatusOK, "whole"), 1},
		"failed and sent":   {"/price/1", respondWith(http.StatusInternalServerError, "oh"), 1},
		"broken and sent":   {"/price/1", dropConnection, 1},
		"failed for good":   {"/book/1", respondWith(http.StatusInternalServerError, "oh"), 1},
		"refused and sent":  {"/book/1", rejectWith(http.StatusServiceUnavailable), 1},
		"answer was lost":   {"/book/1", dropConnection, 1},
		"key of nobody":     {"/price/1", nil, 0},
		"refused elsewhere": {"/price/1", rejectWith(http.StatusServiceUnavailable), 0},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 10)

			if test.first != nil {
				w.add(test.first)
			}

			if test.want > 0 {
				w.add(respondWith(http.StatusOK, "whole"))
			}

			_, _, err := w.send(test.path, func(r *http.Request) {
				if test.first == nil {
					r.Header.Set("Authorization", "Token other")
				}
			})
			assert.NilError(t, err)

			total := 0
			for _, count := range w.usage.counts {
				total += count
			}

			assert.Equal(t, total, test.want)
		})
	}
}

func TestUpstreamErrorIsReturnedWhenNoAttemptSucceeds(t *testing.T) {
	w := newFixture(t, 10)
	w.add(respondWith(http.StatusInternalServerError, "first"))
	w.add(respondWith(http.StatusInternalServerError, "second"))

	response, body, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, body, "second")
	assert.Equal(t, response.Header.Get(names.Signature), "sig")
}

func TestExhaustedRetryBudgetStopsRetries(t *testing.T) {
	w := newFixture(t, 0)
	w.add(respondWith(http.StatusInternalServerError, "first"))
	second := w.add(respondWith(http.StatusOK, "second"))

	_, body, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	assert.Equal(t, second.count(), 0)
}

// Guards against partial, missing or duplicate events in a resumed stream: an upstream drops the connection in the
// middle of event 99 after event 2, and the next one restarts at event 2. This happens if the stream is relayed byte by
// byte instead of event by event.
func TestBrokenStreamGoesOnAtAnotherUpstream(t *testing.T) {
	w := newFixture(t, 10)
	w.add(streamEvents(false, 1, 2))
	second := w.add(streamEvents(true, 2, 3, 4))

	response, body, err := w.send("/chat/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, second.requests[0].Header.Get(names.LastEventID), "2")
	assert.Equal(t, body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n")
}

// Guards against an incomplete stream that looks complete to the caller after a stream that is not resumable was
// interrupted.
func TestInterruptedStreamThatIsNotResumableBreaksForTheCaller(t *testing.T) {
	w := newFixture(t, 10)
	w.add(streamEvents(false, 1, 2))
	second := w.add(streamEvents(true, 1))

	_, _, err := w.send("/advice/1", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, second.count(), 0)
}

func TestCallerMayResumeItsStream(t *testing.T) {
	w := newFixture(t, 10)
	w.pins.origins[pinner.KeyOf("salon", began)] = pinner.Origin{Service: "s", SoftwareVersion: "v1"}
	u := w.add(streamEvents(true, 8, 9))

	_, body, err := w.send("/chat/1", resume)
	assert.NilError(t, err)
	assert.Equal(t, u.requests[0].Header.Get(names.LastEventID), "7")
	assert.Assert(t, strings.HasPrefix(body, "id: 8\n"))
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		change func(*http.Request)
		before func(*fixture)
		want   int
	}{
		{name: "no route", path: "/none/1", want: http.StatusNotFound},
		{name: "unknown key", path: "/price/1", change: func(r *http.Request) { r.Header.Set("Authorization", "Token k2") }, want: http.StatusUnauthorized},
		{name: "other scheme", path: "/price/1", change: func(r *http.Request) { r.Header.Set("Authorization", "Bearer k1") }, want: http.StatusUnauthorized},
		{name: "long header", path: "/price/1", change: func(r *http.Request) {
			r.Header.Set("X-Long", strings.Repeat("x", 2000))
		}, want: http.StatusRequestHeaderFieldsTooLarge},
		{name: "long body", path: "/price/1", change: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, want: http.StatusRequestEntityTooLarge},
		{name: "long body in chunks", path: "/price/1", change: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), -1
		}, want: http.StatusRequestEntityTooLarge},
		{name: "keys known too long ago", path: "/price/1", before: func(w *fixture) { w.now += 5 * time.Second }, want: http.StatusServiceUnavailable},
		{name: "node leaves", path: "/price/1", before: func(w *fixture) { w.leaving = 2 * time.Second }, want: http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, 10)
			u := w.add(respondWith(http.StatusOK, "ran"))

			if c.before != nil {
				c.before(w)
			}

			response, _, err := w.send(c.path, c.change)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.want)
			assert.Equal(t, u.count(), 0)
			assert.Equal(t, response.Header.Get("Retry-After") != "", c.want == http.StatusServiceUnavailable)
		})
	}
}

func TestLeavingNodeServesAndClosesTheConnection(t *testing.T) {
	w := newFixture(t, 10)
	w.add(respondWith(http.StatusOK, "served"))
	w.leaving = 500 * time.Millisecond

	response, body, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "served")
	assert.Assert(t, response.Close)
}

// Guards against an upstream that keeps working for a caller that closed its connection during a stream.
func TestUpstreamIsLeftWhenTheCallerLeaves(t *testing.T) {
	w := newFixture(t, 10)
	left := make(chan struct{})
	w.add(func(rw http.ResponseWriter, r *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
		close(left)
	})

	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	_, err = bufio.NewReader(conn).ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	<-left
}

// Guards against using a choice that was made before the upstream announced that it is leaving.
func TestChoiceOfALeavingUpstreamIsDeclined(t *testing.T) {
	w := newFixture(t, 9)
	w.ignoreExcluded = true
	leaving := w.add(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(names.Leaving, "1")
		respondWith(http.StatusOK, "last")(rw, nil)
	})

	_, body, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "last")

	// The chooser doesn't know that the upstream is leaving; the request is refused without being sent.
	response, _, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, leaving.count(), 1)
	assert.Equal(t, w.outcomes[len(w.outcomes)-1], fmt.Sprint(balancer.Abandoned))
}

// Guards against resuming an interrupted stream at an upstream that is leaving or resting.
func TestResumedStreamAvoidsRestingUpstreams(t *testing.T) {
	w := newFixture(t, 9)

	resting := w.add(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Retry-After", "30")
		rejectWith(http.StatusServiceUnavailable)(rw, nil)
	})
	w.add(streamEvents(false, 1, 2))
	w.add(streamEvents(true, 3, 4))

	for range 2 {
		_, body, err := w.send("/chat/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(body, "data: piece"), 4)
	}

	assert.Equal(t, resting.count(), 1)
	assert.Equal(t, w.relayer.AvoidedUpstreams(), relayer.AvoidedUpstreams{Resting: 1})
}

// Guards against sending a request that was quarantined while it waited for an upstream, or reporting that it ran.
func TestRequestThatIsQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	w := newFixture(t, 9)
	u := w.add(respondWith(http.StatusOK, "never"))
	w.quarantine = &quarantineAfter{checks: 1}
	w.restart()

	response, body, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "60.000")
	assert.Assert(t, strings.Contains(body, `"ran":"not_run"`), body)
	assert.Equal(t, u.count(), 0)
}

// quarantineAfter quarantines every request after the given number of checks.
type quarantineAfter struct {
	noQuarantine

	checks int
}

// Check implements relayer.Quarantine.
func (q *quarantineAfter) Check(quarantiner.Traits, quarantiner.Key) (quarantiner.Verdict, bool) {
	q.checks--

	return quarantiner.Verdict{Remaining: time.Minute}, q.checks >= 0
}

// Guards against a Retry-After that is shortened to the caller's time: all upstreams name a rate limit, and an earlier
// request would be refused again.
func TestRefusalForRateLimitsTellsTheTrueTime(t *testing.T) {
	w := newFixture(t, 0)
	w.refusal = balancer.Choice{LimitWaitMS: 20_000}

	response, body, err := w.send("/book/1", func(r *http.Request) { r.Header.Set(names.Deadline, "1000") })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, `"upstream_rate_limited","result_code":43,"ran":"not_run"`), body)

	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 20 && seconds <= 24, "%v s", seconds)
}

// Guards against responses that are taken for the end of a rate limit although they say nothing of it: the value can't be
// read, or no upstream signed the response.
func TestOnlySignedResponsesEndARateLimit(t *testing.T) {
	limits := []string{"2.5", "", "many", "-1", "0"}
	w := newFixture(t, 0)
	next := 0

	w.add(func(rw http.ResponseWriter, r *http.Request) {
		if next < len(limits) {
			rw.Header().Set(names.RateLimit, limits[next])
			sign(rw)
		} else {
			rw.WriteHeader(http.StatusInternalServerError)
		}

		next++
	})

	for range len(limits) + 1 {
		_, _, err := w.send("/book/1", nil)
		assert.NilError(t, err)
	}

	assert.DeepEqual(t, w.rates, []string{"2.5 true", "0 false", "0 true"})
}

// Guards against brittle upstreams that are taken for sound: a number can't be read, a rejection is not signed, or a response
// that no upstream signed lacks the header.
func TestOnlySignedResponsesEndBrittleness(t *testing.T) {
	headers := []string{"2", "", "many", "-1", "0"}
	w := newFixture(t, 0)
	next := 0

	w.add(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case next < len(headers):
			if headers[next] != "" {
				rw.Header().Set(names.Brittle, headers[next])
			}

			sign(rw)
		case next == len(headers):
			rw.Header().Set(names.Brittle, "3")
			rw.Header().Set(names.NotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		default:
			rw.WriteHeader(http.StatusInternalServerError)
		}

		next++
	})

	for range len(headers) + 2 {
		_, _, err := w.send("/book/1", nil)
		assert.NilError(t, err)
	}

	assert.DeepEqual(t, w.brittle, []string{"2 true", "0 false", "0 true", "0 true", "0 true", "3 true"})
}
