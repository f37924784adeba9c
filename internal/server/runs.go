package server

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

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

// runs holds the requests of a node by id. It is safe for concurrent use.
type runs struct {
	mu       sync.Mutex
	byID     map[string]*requestRun
	inFlight int
	// limit is the number of requests in flight that the node takes.
	limit int
}

func newRuns(limit int) *runs {
	return &runs{byID: make(map[string]*requestRun), limit: limit}
}

// add takes a request in, unless the node is too full for its tier.
func (r *runs) add(run *requestRun) *classifier.Error {
	r.mu.Lock()
	defer r.mu.Unlock()

	reserved := int(float64(r.limit) * tierReserve * float64(run.request.Class.Tier-1))
	if r.inFlight >= r.limit-reserved {
		return classifier.New(classifier.NodeFull, "the node has %d requests in flight", r.inFlight).After(fullRetryAfter)
	}

	r.inFlight++
	r.byID[run.request.ID] = run

	return nil
}

// finished marks a request as no longer in flight; its answer stays until forget.
func (r *runs) finished() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.inFlight--
}

func (r *runs) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.byID, id)
}

func (r *runs) find(id string) (*requestRun, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	run, ok := r.byID[id]

	return run, ok
}

// count returns the number of requests in flight.
func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.inFlight
}

// serve runs a request on the node's workers and writes its answer to the caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, run *requestRun) {
	run.resumable = strings.EqualFold(r.Header.Get(headerResumable), "true")

	if failure := n.start(r.Context(), run); failure != nil {
		n.refuse(w, run.request.ID, failure)

		return
	}

	if run.resumable {
		// The caller must know the id before the first byte of the answer, or it could not come back for it.
		w.Header().Set(headerRequestID, run.request.ID)
		w.WriteHeader(http.StatusEarlyHints)
	}

	n.deliver(run, w, r, "")
}

// deliver writes the answer after lastEvent to a caller. A stopping node waits
// for it, and a run whose caller left is not ended while somebody follows it.
func (n *Node) deliver(run *requestRun, w http.ResponseWriter, r *http.Request, lastEvent string) {
	n.writing.Add(1)
	defer n.writing.Add(-1)

	run.followers.Add(1)
	defer run.followers.Add(-1)

	run.deliver(w, r, lastEvent)
}

// start hands the request to a worker and returns at once; the answer tells the rest.
func (n *Node) start(caller context.Context, run *requestRun) *classifier.Error {
	ctx, cancel := context.WithCancel(n.work)
	run.cancel = cancel

	if failure := n.take(caller, run); failure != nil {
		cancel()

		return failure
	}

	n.cancelWithCaller(caller, run)

	err := n.runners.Go(func() { n.carryOut(ctx, run) })
	if err != nil {
		cancel()
		n.limits.done(run.request, 0)
		n.runs.finished()
		n.runs.forget(run.request.ID)

		return classifier.Wrap(err, classifier.NodeFull, "the node's workers are busy").After(fullRetryAfter)
	}

	return nil
}

// take gives the request a place on the node, unless its organisation or the node
// is at its limit. A stopping node waits for it as for an answer.
func (n *Node) take(caller context.Context, run *requestRun) *classifier.Error {
	n.writing.Add(1)
	defer n.writing.Add(-1)

	n.limits.awaitLease(caller, run.request)

	if failure := n.limits.admit(run.request); failure != nil {
		return failure
	}

	if failure := n.runs.add(run); failure != nil {
		n.limits.done(run.request, 0)

		return failure
	}

	return nil
}

// cancelWithCaller ends a run whose caller left. A request that is not
// repeatable goes on: cancelled halfway, nobody could tell whether it ran.
func (n *Node) cancelWithCaller(caller context.Context, run *requestRun) {
	if !run.request.Repeatable {
		return
	}

	context.AfterFunc(caller, func() {
		// The caller has its whole answer; a cancel would only cost the connection to the engine.
		if run.answer.Last().Data == endOfStream {
			return
		}

		if !run.resumable {
			run.cancel()

			return
		}

		run.cancelUnfollowed(resumeWindow)
	})
}

// carryOut is the work of one runner: it runs the request to its end, counts it,
// ends its answer and gives its places free. A resumable answer stays for a while.
func (n *Node) carryOut(ctx context.Context, run *requestRun) {
	defer run.cancel()

	n.meter.RequestStarted(counterName(run.request))
	failure, record := n.dispatchRun(ctx, run)

	run.finish(failure)
	n.requestEnded(run, failure)

	if failure != nil {
		run.answer.End(failure)
	} else {
		// A nil *classifier.Error in an error interface would count as a failure.
		run.answer.End(nil)
	}

	n.limits.done(run.request, run.sender.Progress())

	if record != nil {
		record()
	}

	n.runs.finished()

	if !run.resumable {
		n.runs.forget(run.request.ID)

		return
	}

	time.AfterFunc(resumeWindow, func() { n.runs.forget(run.request.ID) })
}

// dispatchRun runs the request, with a claim where it must run at most once. A
// request that is not repeatable and has no key can't be recognised when it
// comes again; it is sent once and never retried once bytes may have left.
func (n *Node) dispatchRun(ctx context.Context, run *requestRun) (failure *classifier.Error, record func()) {
	if run.request.Repeatable || run.key == "" {
		return n.dispatch.Run(ctx, run.request, run.sender), nil
	}

	return n.dispatchOnce(ctx, run)
}
