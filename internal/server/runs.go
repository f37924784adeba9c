package server

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// fullRetryAfter is when to come back to a node that has too many requests in flight.
	fullRetryAfter = time.Second
	// tierReserve is the part of a node's places that each lower tier leaves to the tiers above it.
	tierReserve = 0.05
	// resumeWindow is how long an answer is kept, or goes on, for a caller that may come back to it.
	resumeWindow = 30 * time.Second
)

// headerResumable marks requests whose caller comes back after a broken connection.
const headerResumable = "Quincepath-Resumable"

// run is one request in flight, or ended and kept for a caller that comes back.
type run struct {
	request dispatcher.Request
	sender  dispatcher.Sender
	answer  *recorder.Answer
	// deliver writes the answer to a caller from the event after lastEvent on; "" means from the start.
	deliver func(w http.ResponseWriter, r *http.Request, lastEvent string)
	// key is the idempotency key, and bodyHash what it stands for; the key is empty when there is none.
	key      string
	bodyHash [sha256.Size]byte
	// replayed is set when the answer is that of an earlier run.
	replayed atomic.Bool
	// resumable says that the caller comes back after a broken connection.
	resumable bool
	cancel    context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex
	// firstToken is the time from arrival to the first token or answer byte; zero before.
	firstToken time.Duration
	attempts   int
	// upstream is the name of the last attempt's upstream.
	upstream string
	// tokens is the number of tokens in the answer after the last attempt.
	tokens int
	// ended is set with the final result; failure is nil for a whole answer.
	ended   bool
	failure *classifier.Error
}

// note keeps what an attempt brought.
func (e *run) note(attempt dispatcher.Attempt, outcome dispatcher.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.attempts = max(e.attempts, attempt.Number)
	e.upstream = attempt.Slot.Upstream.Name
	e.tokens += outcome.Tokens

	if e.firstToken == 0 && outcome.FirstToken > 0 {
		e.firstToken = time.Since(e.request.Arrived) - outcome.Duration + outcome.FirstToken
	}
}

// finish keeps the final result.
func (e *run) finish(failure *classifier.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.ended = true
	e.failure = failure
}

// status describes the request to operators.
func (e *run) status() administrator.RequestStatus {
	e.mu.Lock()
	defer e.mu.Unlock()

	status := administrator.RequestStatus{
		RequestID:    e.request.ID,
		Service:      e.request.Service.Name,
		Class:        e.request.Class.Name,
		Organisation: e.request.Organisation.Name,
		State:        "waiting",
		Upstream:     e.upstream,
		Attempts:     e.attempts,
		ArrivedAt:    e.request.Arrived,
		Tokens:       max(e.tokens, e.answer.Len()),
	}

	switch {
	case e.ended && e.failure != nil:
		status.State = "ended"
		status.Result = e.failure.Code.String()
		status.Ran = string(e.failure.Ran)
	case e.ended:
		status.State = "ended"
		status.Result = classifier.OK.String()
		status.Ran = string(classifier.RanYes)
	case status.Tokens > 0:
		status.State = "running"
	}

	return status
}

// runs holds the requests of a node by id. It is safe for concurrent use.
type runs struct {
	mu       sync.Mutex
	byID     map[string]*run
	inFlight int
	// limit is the number of requests in flight that the node takes.
	limit int
}

func newRuns(limit int) *runs {
	return &runs{byID: make(map[string]*run), limit: limit}
}

// add takes a request in, unless the node is too full for its tier.
func (a *runs) add(entry *run) *classifier.Error {
	a.mu.Lock()
	defer a.mu.Unlock()

	reserved := int(float64(a.limit) * tierReserve * float64(entry.request.Class.Tier-1))
	if a.inFlight >= a.limit-reserved {
		return classifier.New(classifier.NodeFull, "the node has %d requests in flight", a.inFlight).After(fullRetryAfter)
	}

	a.inFlight++
	a.byID[entry.request.ID] = entry

	return nil
}

// finished marks a request as no longer in flight; its answer stays until forget.
func (a *runs) finished() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.inFlight--
}

func (a *runs) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.byID, id)
}

func (a *runs) find(id string) (*run, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	entry, ok := a.byID[id]

	return entry, ok
}

// count returns the number of requests in flight.
func (a *runs) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.inFlight
}

// serve runs a request on the node's workers and writes its answer to the caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, entry *run) {
	entry.resumable = strings.EqualFold(r.Header.Get(headerResumable), "true")

	if failure := n.start(r.Context(), entry); failure != nil {
		n.refuse(w, entry.request.ID, failure)

		return
	}

	if entry.resumable {
		// The caller must know the id before the first byte of the answer, or it could not come back for it.
		w.Header().Set(headerRequestID, entry.request.ID)
		w.WriteHeader(http.StatusEarlyHints)
	}

	n.writing.Add(1)
	defer n.writing.Add(-1)

	entry.deliver(w, r, "")
}

// start hands the request to a worker and returns at once; the answer tells the rest.
func (n *Node) start(caller context.Context, entry *run) *classifier.Error {
	ctx, cancel := context.WithCancel(n.work)
	entry.cancel = cancel

	if failure := n.take(entry); failure != nil {
		cancel()

		return failure
	}

	n.cancelWithCaller(caller, entry)

	err := n.runners.Go(func() { n.runOne(ctx, entry) })
	if err != nil {
		cancel()
		n.limits.done(entry.request, 0)
		n.runs.finished()
		n.runs.forget(entry.request.ID)

		return classifier.Wrap(err, classifier.NodeFull, "the node's workers are busy").After(fullRetryAfter)
	}

	return nil
}

// take gives the request a place on the node, unless its organisation or the node is at its limit.
func (n *Node) take(entry *run) *classifier.Error {
	if failure := n.limits.admit(entry.request); failure != nil {
		return failure
	}

	if failure := n.runs.add(entry); failure != nil {
		n.limits.done(entry.request, 0)

		return failure
	}

	return nil
}

// cancelWithCaller ends a run whose caller left. A request that is not
// repeatable goes on: cancelled halfway, nobody could tell whether it ran.
func (n *Node) cancelWithCaller(caller context.Context, entry *run) {
	if !entry.request.Repeatable {
		return
	}

	context.AfterFunc(caller, func() {
		if !entry.resumable {
			entry.cancel()

			return
		}

		time.AfterFunc(resumeWindow, entry.cancel)
	})
}

// runEntry runs the request, with a claim where it must run at most once. A
// request that is not repeatable and has no key can't be recognised when it
// comes again; it is sent once and never retried once bytes may have left.
func (n *Node) runEntry(ctx context.Context, entry *run) (failure *classifier.Error, record func()) {
	if entry.request.Repeatable || entry.key == "" {
		return n.dispatch.Run(ctx, entry.request, entry.sender), nil
	}

	return n.runOnce(ctx, entry)
}

func (n *Node) runOne(ctx context.Context, entry *run) {
	defer entry.cancel()

	n.meter.Started(counterName(entry.request))
	failure, record := n.runEntry(ctx, entry)

	entry.finish(failure)
	n.requestEnded(entry, failure)

	if failure != nil {
		entry.answer.End(failure)
	} else {
		entry.answer.End(nil)
	}

	n.limits.done(entry.request, entry.sender.Progress())

	if record != nil {
		record()
	}

	n.runs.finished()

	if !entry.resumable {
		n.runs.forget(entry.request.ID)

		return
	}

	time.AfterFunc(resumeWindow, func() { n.runs.forget(entry.request.ID) })
}
