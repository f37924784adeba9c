package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// defaultTimeout is the time limit of a request for which neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// routesTimeout is how long requests wait for a newly started node to load its routes, and
	// routesPollInterval how often they check.
	routesTimeout      = 300 * time.Millisecond
	routesPollInterval = 5 * time.Millisecond
	// maxRetryAfterFraction limits Retry-After to a fraction of the request's remaining time. Callers don't wait longer
	// than a third of it.
	maxRetryAfterFraction = 0.3
	// limitJitterFraction is the largest fraction that is added to the Retry-After of a request that rate limits did not
	// admit, so that callers which were refused together don't return together.
	limitJitterFraction = 0.2
	// minAttemptTimeout prevents a short latency target from timing out an upstream that is merely busy.
	minAttemptTimeout = 400 * time.Millisecond
)

// request is a caller's request that was accepted.
type request struct {
	id      string
	arrived time.Time
	// decided is what the request was accepted by.
	decided      basis
	route        *cataloguer.Route
	service      string
	organisation string
	method       string
	host         string
	path         string
	uri          string
	// header excludes hop-by-hop fields and those that only nodes may set.
	header http.Header
	body   []byte
	// handled is the request as a planned stop of the node sees it.
	handled *handledRequest
	// bodyMemory is the memory reserved for the body.
	bodyMemory *memoryReservation
	// deadline is when the final response is due.
	deadline    time.Time
	poolRequest balancer.Request
	// engineRank is the priority that is sent to engines.
	engineRank int

	// traits identify the request by content and prompt parts; they stay the same when a caller sends the request again.
	traits quarantiner.Traits
	// verdict is that of the quarantine; quarantined is true if the request must not run.
	verdict     quarantiner.Verdict
	quarantined bool
	// trial is the key of the prompt part of which the request is the trial; the zero Key if it is none.
	trial quarantiner.Key
	// uniqueID distinguishes requests to which callers gave the same ID.
	uniqueID string
	progress progress
	// retryPermit covers the next attempt in the retry budget; nil if none is needed.
	retryPermit *budgeter.Permit
	// declined counts the choices that were not used.
	declined int
	// next is the attempt that was sent in place of the last one and is open; nil if there is none.
	next     *attempt
	excluded []string
	// queueDrainTime is how long the queue that refused the request takes to drain.
	queueDrainTime time.Duration
	// returnAfter is when the pool that refused the request has room for it; 0 if it did not say.
	returnAfter time.Duration
	// limitWait is how long the upstreams' rate limits made the request wait when it was refused; 0 if they did not.
	limitWait time.Duration
	// resumes is the ID of the caller's attempt that brought the first event of the stream; empty if the request begins one.
	resumes string
	// origin is what began the stream that the caller has events of; nil before the first one. Once set, it doesn't change.
	origin atomic.Pointer[pinner.Origin]
}

// isTrial reports whether the request runs to find out whether a prompt part still crashes upstreams.
func (r *request) isTrial() bool {
	return r.trial != quarantiner.Key{}
}

// newAttemptID returns an ID for another attempt.
func (r *request) newAttemptID() string {
	return r.uniqueID + "." + strconv.Itoa(r.progress.nextChoice())
}

// takeNext returns the attempt that goes on in place of the last one, or nil.
func (r *request) takeNext() *attempt {
	next := r.next
	r.next = nil

	return next
}

// mayBeFollowed reports whether another attempt may run, even if those that are under way run.
func (r *request) mayBeFollowed() bool {
	counts := r.progress.read()

	return r.route.Repeatable() && r.mayResume() && counts.runs+counts.underWay < r.route.Attempts && counts.sends < maxSends
}

// mayResume reports whether another attempt may go on where the caller's events end. It may not if nobody knows what began them.
func (r *request) mayResume() bool {
	origin := r.origin.Load()

	return origin == nil || origin.IsKnown()
}

// attemptTimeout returns how long an attempt waits for activity of its upstream before another upstream is tried.
func (r *request) attemptTimeout() time.Duration {
	if r.route.Kind == cataloguer.Stream {
		return max(time.Second, 2*r.route.Target, 4*r.route.GapLimit)
	}

	return max(minAttemptTimeout, 3*r.route.Target)
}

// retryAfter returns the Retry-After of a request that found no upstream: at least the time until the queue drains and
// the time that the request has waited, so that callers return more slowly the longer the queue is. It is bounded so
// that the caller can still retry within its time.
//
// If the pool said when it has room, that is the Retry-After, without jitter and also if the caller can't wait that long: the
// pool spreads these times, and an earlier retry would be refused again.
func (r *request) retryAfter() time.Duration {
	if r.returnAfter > 0 {
		return max(r.returnAfter, shortRetryAfter)
	}

	wait := max(time.Since(r.arrived), r.queueDrainTime)
	maxWait := time.Duration(maxRetryAfterFraction * float64(time.Until(r.deadline)))

	return max(min(jitteredRetryAfter()+wait, maxWait), shortRetryAfter)
}

// limitRetryAfter returns the Retry-After of a request that the upstreams' rate limits did not admit. Unlike retryAfter, it
// isn't bounded by the caller's time: an earlier retry would be refused again.
func (r *request) limitRetryAfter() time.Duration {
	return r.limitWait + time.Duration(limitJitterFraction*rand.Float64()*float64(r.limitWait))
}

// accept reads and validates the caller's request.
func (r *Relayer) accept(
	w http.ResponseWriter, incoming *http.Request, arrived time.Time, memory *memoryReservation, decided basis, handled *handledRequest,
) (*request, *classifier.Error) {
	table := decided.table
	if table == nil {
		return nil, classifier.New(classifier.SettingsUnavailable, "the node knows no configuration yet").After(jitteredRetryAfter())
	}

	if leaving := r.options.LeavingFor(); leaving > r.options.LeavingGrace {
		return nil, nodeLeaving()
	}

	if maxBytes := table.Limits.HeaderBytes; maxBytes > 0 && headerBytes(incoming) > maxBytes {
		return nil, classifier.New(classifier.HeadersTooLarge, "the header has more than %d bytes", maxBytes)
	}

	route, ok := table.Route(incoming.Host, incoming.URL.Path)
	if !ok {
		return nil, decided.finalRefusal(classifier.New(classifier.UnknownService, "no route has this host and path"))
	}

	accepted := &request{
		id:         incoming.Header.Get(r.options.Headers.RequestID),
		arrived:    arrived,
		decided:    decided,
		route:      route,
		method:     incoming.Method,
		host:       incoming.Host,
		path:       incoming.URL.Path,
		uri:        incoming.RequestURI,
		header:     r.options.Headers.forUpstream(incoming.Header),
		uniqueID:   uuid.NewString(),
		bodyMemory: memory,
		handled:    handled,
		resumes:    incoming.Header.Get(r.options.Headers.Resumes),
	}

	// A caller that resumes a stream sends the ID of the last event that it received.
	accepted.progress.counts.lastEventID = incoming.Header.Get(r.options.Headers.LastEventID)

	organisation, failure := r.authenticate(decided, route, incoming)
	if failure != nil {
		return nil, failure
	}

	if organisation != nil {
		accepted.organisation = organisation.Name
	}

	r.withholdKeys(table, route, accepted.header)

	accepted.service = router.PickService(route, accepted.id)
	if accepted.service == "" {
		return nil, classifier.New(classifier.NoUpstream, "the route has no service").After(jitteredRetryAfter())
	}

	accepted.deadline = arrived.Add(r.callerTimeout(route, incoming))
	accepted.engineRank = table.Rank(route, organisation).EngineRank
	accepted.poolRequest = r.newPoolRequest(route, table.Rank(route, organisation), incoming.Header)

	if failure := r.readBody(w, accepted, table.Limits, incoming); failure != nil {
		return nil, failure
	}

	accepted.poolRequest.Organisation = accepted.organisation
	accepted.traits = quarantiner.Traits{
		Content: quarantiner.KeyOf(accepted.organisation, accepted.method, accepted.host, accepted.uri, accepted.body),
		Parts:   quarantiner.NewParts(accepted.organisation, partIDs(accepted.poolRequest.PromptParts)),
	}
	accepted.poolRequest.Content = contentHash(accepted.traits.Content, accepted.poolRequest.PromptParts)

	return accepted, nil
}

// contentHash returns a hash by which a pool recognises a request that it refused. Bodies may be alike where only the prompt
// parts differ.
func contentHash(content quarantiner.Key, parts []balancer.PromptPart) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(content[:])

	for _, part := range parts {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.Write([]byte{0})
	}

	return digest.Sum64()
}

// waitForRoutes returns the routes in force, or nil after a timeout. A newly started node loads them within a few
// milliseconds; refusing requests until then would, after a restart of all nodes, delay all callers by more than that.
func (r *Relayer) waitForRoutes(ctx context.Context) *router.Table {
	ctx, cancel := context.WithTimeout(ctx, routesTimeout)
	defer cancel()

	for {
		if table := r.options.Table(); table != nil {
			return table
		}

		if !sleeper.Sleep(ctx, routesPollInterval) {
			return nil
		}
	}
}

// authenticate returns the organisation of the caller, nil if the route needs no key and the caller shows no valid one. A caller that shows
// its key is known on such a route too: upstreams are told its organisation, and a stream that it began before the route needed no key
// can be resumed.
func (r *Relayer) authenticate(decided basis, route *cataloguer.Route, incoming *http.Request) (*cataloguer.Organisation, *classifier.Error) {
	organisation, failure := r.identify(decided, incoming)
	if failure != nil && decided.table.NeedsKey(route) {
		return nil, failure
	}

	return organisation, nil
}

// identify returns the organisation of the caller's API key. It refuses all keys if the configuration is too old: the node would
// otherwise continue to accept a key whose revocation it could not learn of.
func (r *Relayer) identify(decided basis, incoming *http.Request) (*cataloguer.Organisation, *classifier.Error) {
	if !decided.known || decided.age > r.options.MaxKeyAge() {
		return nil, classifier.New(classifier.SettingsUnavailable, "what the node knows of keys is too old").After(jitteredRetryAfter())
	}

	scheme, key, _ := strings.Cut(incoming.Header.Get(r.options.Headers.Authorization), " ")
	if !strings.EqualFold(scheme, r.options.Headers.KeyScheme) {
		return nil, decided.finalRefusal(classifier.New(classifier.Unauthenticated, "the request shows no key"))
	}

	organisation, ok := decided.table.Organisation(strings.TrimSpace(key))
	if !ok {
		return nil, decided.finalRefusal(classifier.New(classifier.Unauthenticated, "the key belongs to nobody"))
	}

	return organisation, nil
}

// withholdKeys removes what shows an API key from the headers for the upstream. On routes that need no key, callers may still show
// one, as those do that don't know yet that the route needs none; the credentials that remain there are meant for the upstream.
func (r *Relayer) withholdKeys(table *router.Table, route *cataloguer.Route, header http.Header) {
	name := r.options.Headers.Authorization

	var forwarded []string

	if !table.NeedsKey(route) {
		forwarded = slices.DeleteFunc(header[name], func(value string) bool { return r.showsKey(table, value) })
	}

	if len(forwarded) == 0 {
		delete(header, name)

		return
	}

	header[name] = forwarded
}

// showsKey reports whether credentials are an API key: they name its scheme, whether or not anybody holds the key, or contain a key
// that an organisation holds.
func (r *Relayer) showsKey(table *router.Table, credentials string) bool {
	isSeparator := func(c rune) bool { return c == ',' || unicode.IsSpace(c) }

	for word := range strings.FieldsFuncSeq(credentials, isSeparator) {
		if _, isHeld := table.Organisation(word); isHeld || strings.EqualFold(word, r.options.Headers.KeyScheme) {
			return true
		}
	}

	return false
}

// callerTimeout returns the time limit of the request, from the route and the caller's deadline header.
func (r *Relayer) callerTimeout(route *cataloguer.Route, incoming *http.Request) time.Duration {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}

	requestedMS, err := strconv.ParseFloat(incoming.Header.Get(r.options.Headers.Deadline), 64)
	if err == nil && requestedMS > 0 {
		timeout = min(timeout, time.Duration(requestedMS*float64(time.Millisecond)))
	}

	return timeout
}

// newPoolRequest describes the request to the balancer.
func (r *Relayer) newPoolRequest(route *cataloguer.Route, rank router.Rank, header http.Header) balancer.Request {
	poolRequest := balancer.Request{Priority: rank.Priority, OrganisationRank: rank.OrganisationRank, Target: route.Target, GapLimit: route.GapLimit}

	prompt, output, _ := strings.Cut(header.Get(r.options.Headers.TokenCounts), ",")
	poolRequest.PromptTokens = parseCount(prompt)
	poolRequest.OutputTokens = parseCount(output)
	poolRequest.LengthHint = parseCount(header.Get(r.options.Headers.LengthHint))

	listed := header.Get(r.options.Headers.PromptParts)
	if listed == "" {
		return poolRequest
	}

	for entry := range strings.SplitSeq(listed, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found {
			break
		}

		poolRequest.PromptParts = append(poolRequest.PromptParts, balancer.PromptPart{ID: id, Tokens: parseCount(tokens)})
	}

	return poolRequest
}

// partIDs returns the IDs of prompt parts.
func partIDs(parts []balancer.PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}

	return ids
}

// parseCount returns the number in text, or 0 if it is invalid or negative.
func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}

	return max(n, 0)
}
