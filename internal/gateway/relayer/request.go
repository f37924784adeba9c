package relayer

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// defaultLimit is the time of a request whose caller and route name none.
	defaultLimit = 30 * time.Second
	// startWait is how long requests wait for a node that has just started to learn its routes, and
	// startTick how often they look.
	startWait = 300 * time.Millisecond
	startTick = 5 * time.Millisecond
	// retryAfterPart is the part of its time left that a caller is told to wait at most. Callers don't wait longer
	// than for a third of it.
	retryAfterPart = 0.3
	// leastAttemptTimeout keeps a short target from giving up on an upstream that is merely busy.
	leastAttemptTimeout = 400 * time.Millisecond
)

// request is one request of a caller on its way.
type request struct {
	id           string
	arrived      time.Time
	route        *cataloguer.Route
	service      string
	organisation string
	method       string
	host         string
	uri          string
	// header has no field that concerns one connection or that only nodes may set.
	header http.Header
	body   []byte
	// held is the memory that the body takes.
	held *reservation
	// limit is when the final answer is due.
	limit time.Time
	work  balancer.Request
	// rank is what engines are told.
	rank int

	// key is the same for each attempt of a caller at the same request.
	key quarantiner.Key
	// quarantined is how much longer it must not run; 0 if it may.
	quarantined time.Duration
	// unique tells requests apart whose callers gave them the same id.
	unique string
	// sends counts attempts, runs those that may have run.
	sends, runs int
	// arrivals counts the attempts that may have reached an upstream. Each but the first is an extra one.
	arrivals int
	// late says that one of them got no answer, so that it may arrive after those behind it.
	late bool
	// extra pays for the next attempt; nil if that costs nothing.
	extra *budgeter.Permit
	// asks counts the times that an upstream was asked for, declined the choices that were not used.
	asks, declined int
	excluded       []string
	// queueAhead is how long the queue that refused the request takes to drain.
	queueAhead time.Duration
	// lastEvent is the id of the last event that the caller has; empty before the first.
	lastEvent string
}

// workID names the present attempt.
func (r *request) workID() string {
	return r.unique + "." + strconv.Itoa(r.asks)
}

// settleExtra tells the budget how an attempt went.
func (r *request) settleExtra(err error) {
	if errors.Is(err, dialer.ErrNotSent) {
		r.extra.Cancel()
		r.extra = nil

		return
	}

	r.arrivals++
	r.late = r.late || err != nil
	r.extra.Complete(!r.late)
	r.extra = nil
}

// attemptTimeout is how long the request waits for a sign of life of its upstream before another one is tried.
func (r *request) attemptTimeout() time.Duration {
	if r.route.Kind == cataloguer.Stream {
		return max(time.Second, 2*r.route.Target, 4*r.route.GapLimit)
	}

	return max(leastAttemptTimeout, 3*r.route.Target)
}

// retryAfter is when a request that found no upstream should come again: when the queue that it met is through, or
// after as long as it had to wait, so that callers return more slowly the longer the queue is, but early enough
// for its caller to do it.
func (r *request) retryAfter() time.Duration {
	wait := max(time.Since(r.arrived), r.queueAhead)
	most := time.Duration(retryAfterPart * float64(time.Until(r.limit)))

	return max(min(later()+wait, most), retryAfterSoon)
}

// accept reads the request and checks that it may run.
func (r *Relayer) accept(w http.ResponseWriter, incoming *http.Request, arrived time.Time, held *reservation) (*request, *classifier.Error) {
	table := r.awaitTable(incoming.Context())
	if table == nil {
		return nil, classifier.New(classifier.SettingsUnavailable, "the node knows no configuration yet").After(later())
	}

	if leaving := r.options.LeavingFor(); leaving > r.options.LeavingGrace {
		return nil, classifier.New(classifier.NodeLeaving, "the node is stopping").After(retryAfterSoon)
	}

	if bound := table.Limits.HeaderBytes; bound > 0 && headerBytes(incoming) > bound {
		return nil, classifier.New(classifier.HeadersTooLarge, "the header has more than %d bytes", bound)
	}

	route, ok := table.Route(incoming.Host, incoming.URL.Path)
	if !ok {
		return nil, classifier.New(classifier.UnknownService, "no route has this host and path")
	}

	accepted := &request{
		id:      incoming.Header.Get(r.options.Headers.RequestID),
		arrived: arrived,
		route:   route,
		method:  incoming.Method,
		host:    incoming.Host,
		uri:     incoming.RequestURI,
		header:  r.options.Headers.outgoing(incoming.Header),
		unique:  uuid.NewString(),
		held:    held,
		// A caller that has part of a stream tells how far it got.
		lastEvent: incoming.Header.Get(r.options.Headers.LastEventID),
	}

	organisation, failure := r.authenticate(table, route, incoming)
	if failure != nil {
		return nil, failure
	}

	if organisation != nil {
		accepted.organisation = organisation.Name
	}

	if table.NeedsKey(route) || organisation != nil {
		delete(accepted.header, r.options.Headers.Authorization)
	}

	accepted.service = router.PickService(route, accepted.id)
	if accepted.service == "" {
		return nil, classifier.New(classifier.NoUpstream, "the route has no service").After(later())
	}

	accepted.limit = arrived.Add(r.timeLimit(route, incoming))
	accepted.rank = table.Rank(route, organisation).EngineRank
	accepted.work = r.work(route, table.Rank(route, organisation), incoming.Header)

	if failure := r.readBody(w, accepted, table.Limits, incoming); failure != nil {
		return nil, failure
	}

	accepted.key = quarantiner.KeyOf(accepted.organisation, accepted.method, accepted.host, accepted.uri, accepted.body)

	return accepted, nil
}

// awaitTable returns the routes in force. A node that has just started learns them within a few milliseconds;
// after a loss of all nodes a refusal would send all callers away for longer than that.
func (r *Relayer) awaitTable(ctx context.Context) *router.Table {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()

	for {
		if table := r.options.Table(); table != nil {
			return table
		}

		if !sleeper.Sleep(ctx, startTick) {
			return nil
		}
	}
}

// authenticate finds the organisation of the caller's key. What is known of keys must be fresh: a
// node that could not learn that a key was taken away would go on serving it.
func (r *Relayer) authenticate(table *router.Table, route *cataloguer.Route, incoming *http.Request) (*cataloguer.Organisation, *classifier.Error) {
	if !table.NeedsKey(route) {
		return nil, nil
	}

	age, known := r.options.Catalog.ConfigurationAge()
	if !known || age > r.options.MaxKeyAge() {
		return nil, classifier.New(classifier.SettingsUnavailable, "what the node knows of keys is too old").After(later())
	}

	scheme, key, _ := strings.Cut(incoming.Header.Get(r.options.Headers.Authorization), " ")
	if !strings.EqualFold(scheme, r.options.Headers.KeyScheme) {
		return nil, classifier.New(classifier.Unauthenticated, "the request shows no key")
	}

	organisation, ok := table.Organisation(strings.TrimSpace(key))
	if !ok {
		return nil, classifier.New(classifier.Unauthenticated, "the key belongs to nobody")
	}

	return organisation, nil
}

// timeLimit is how long the caller is kept waiting at most.
func (r *Relayer) timeLimit(route *cataloguer.Route, incoming *http.Request) time.Duration {
	limit := defaultLimit
	if route.Timeout > 0 {
		limit = route.Timeout
	}

	asked, err := strconv.ParseFloat(incoming.Header.Get(r.options.Headers.Deadline), 64)
	if err == nil && asked > 0 {
		limit = min(limit, time.Duration(asked*float64(time.Millisecond)))
	}

	return limit
}

// work describes the request to the balancer.
func (r *Relayer) work(route *cataloguer.Route, rank router.Rank, header http.Header) balancer.Request {
	work := balancer.Request{Priority: rank.Priority, OrganisationRank: rank.OrganisationRank, Target: route.Target, GapLimit: route.GapLimit}

	prompt, output, _ := strings.Cut(header.Get(r.options.Headers.TokenCounts), ",")
	work.PromptTokens = number(prompt)
	work.OutputTokens = number(output)

	listed := header.Get(r.options.Headers.PromptParts)
	if listed == "" {
		return work
	}

	for entry := range strings.SplitSeq(listed, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found {
			break
		}

		work.PromptParts = append(work.PromptParts, balancer.PromptPart{ID: id, Tokens: number(tokens)})
	}

	return work
}

func number(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}

	return max(n, 0)
}
