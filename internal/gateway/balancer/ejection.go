package balancer

import (
	"maps"
	"time"
)

const (
	// failureHalfLife is the half-life of the failure fraction.
	failureHalfLife = 2 * time.Second
	failureGain     = 0.25
	// ejectionThreshold is the fraction of failures at which a server is ejected. maxEjectedFraction is the largest fraction of a
	// pool's servers that may be ejected for failures.
	ejectionThreshold  = 0.7
	maxEjectedFraction = 1.0 / 3
	// minEjection is the first ejection of a server that accepts no connections or fails nearly all requests. Each
	// further ejection is twice as long, up to maxEjection. Otherwise its empty slots would attract all queued requests.
	minEjection = 300 * time.Millisecond
	maxEjection = 2 * time.Second
	// minFailingNodes is the number of nodes that must have failed at a server since its last answer before it is ejected for
	// all nodes: one node alone may have lost its path to the server.
	minFailingNodes = 2
	// minSilence is how long it must have answered no node then. Answers to nodes that reach it come more often.
	minSilence = 300 * time.Millisecond
	// minHang is how long it must have been silent before silences alone eject it for all nodes. A sound server may be silent for a
	// second or so.
	minHang = 2 * time.Second
	// failingNodeRetention is how long a node that failed at a server is remembered after its ejection, and how long a silence after it
	// was last observed: a later one is another.
	failingNodeRetention = 10 * time.Second
)

// Ejection says that a server gets no requests for a time, because some failed there.
type Ejection struct {
	Upstream string
	Duration time.Duration
	// ForAll is set if the server gets no requests of any node, else only those of the node that failed.
	ForAll bool
}

// ejection is a time in which a server gets no requests.
type ejection struct {
	until time.Time
	// span is the duration of the last ejection; 0 after a successful response.
	span time.Duration
}

// begin begins an ejection of the given duration.
func (e *ejection) begin(now time.Time, span time.Duration) {
	e.until, e.span = now.Add(span), span
}

// repeat begins an ejection that is twice as long as the last one, unless one is in force: attempts that failed together cause
// one ejection.
func (e *ejection) repeat(now time.Time) {
	if now.After(e.until) {
		e.begin(now, min(max(2*e.span, minEjection), maxEjection))
	}
}

// nodeEjection is the ejection for one node.
type nodeEjection struct {
	ejection
	// failing is set from a failed request until one is answered.
	failing bool
	// silent is set if the ejection is due to silence.
	silent bool
}

// failureState is what the failures at a server say about it.
//
// Failures of one node keep only that node's requests away: it may have lost its path to a server that is sound. Once several
// nodes have failed and none is answered any more, no node's requests go there.
type failureState struct {
	// fraction is the recent fraction of failed requests, as of at. Further failures of a node that can't reach the server
	// don't count.
	fraction float64
	at       time.Time
	// shared holds for all nodes, byNode for those that failed.
	shared ejection
	byNode map[string]*nodeEjection
	// failingNodes is the number of nodes that began to fail since the last answer, which came at answeredAt.
	failingNodes int
	answeredAt   time.Time
	// failedNode is the last node whose request failed since one was served, severalFailed is set if others' failed too.
	failedNode    string
	severalFailed bool
	// silentNode and severalSilent are the same for requests to which the server was silent. silentSince is when the silence of the
	// first of these began, silentUntil when the last one was given up; zero times if there is none.
	silentNode               string
	severalSilent            bool
	silentSince, silentUntil time.Time
	// refused is set if the shared ejection is due to connections that failed, hung if it is due to silence.
	refused, hung bool
}

// isEjected reports whether the server gets no requests of the node. If ownOnly is set, connections of other nodes that failed
// don't count.
func (f *failureState) isEjected(now time.Time, node string, ownOnly bool) bool {
	own := f.byNode[node]

	return now.Before(f.shared.until) && (!ownOnly || !f.refused) || own != nil && now.Before(own.until)
}

// isOnTrial reports whether requests of the node failed and none has been answered since.
func (f *failureState) isOnTrial(node string) bool {
	own := f.byNode[node]

	return own != nil && own.span > 0
}

// recordAnswer records that the server answered a request of the node.
func (f *failureState) recordAnswer(now time.Time, node string) {
	f.answeredAt = now
	f.failingNodes = 0
	f.shared.span = 0
	f.endSilence()

	// The server accepts connections, so those that failed couldn't reach it, and it is silent no longer.
	if f.refused || f.hung {
		f.shared.until = time.Time{}
	}

	if own := f.byNode[node]; own != nil {
		own.span, own.failing = 0, false

		if !now.Before(own.until) {
			delete(f.byNode, node)
		}
	}
}

// recordSilence records that a request of the node was given up, to which the server had been silent since the given time.
func (f *failureState) recordSilence(now time.Time, node string, since time.Time) {
	if since.Sub(f.silentUntil) > failingNodeRetention {
		f.silentNode, f.severalSilent, f.silentSince = "", false, time.Time{}
	}

	f.silentUntil = now
	f.severalSilent = f.severalSilent || f.silentNode != "" && f.silentNode != node
	f.silentNode = node

	if f.silentSince.IsZero() || since.Before(f.silentSince) {
		f.silentSince = since
	}
}

// endSilence ends the ejections that are due to silence, as the server goes on.
func (f *failureState) endSilence() {
	if f.silentNode == "" {
		return
	}

	f.silentNode, f.severalSilent, f.silentSince = "", false, time.Time{}

	maps.DeleteFunc(f.byNode, func(_ string, e *nodeEjection) bool { return e.silent })
}

// eject ejects the server for the node, and for all nodes if several fail.
func (f *failureState) eject(now time.Time, node string, outcome Outcome) {
	own := f.byNode[node]
	if own == nil {
		f.forgetNodes(now)

		own = &nodeEjection{}
		f.byNode[node] = own
	}

	if !own.failing {
		own.failing = true
		f.failingNodes++
	}

	if outcome != Silent || now.After(own.until) {
		own.silent = outcome == Silent
	}

	own.repeat(now)

	// Responses that begin say nothing against failures of others.
	forAll := f.severalFailed

	switch outcome {
	case Unreachable:
		forAll = f.failingNodes >= minFailingNodes && now.Sub(f.answeredAt) >= minSilence
	case Silent:
		forAll = f.severalSilent && now.Sub(f.silentSince) >= minHang
	}

	if !forAll || now.Before(f.shared.until) {
		return
	}

	f.refused, f.hung = outcome == Unreachable, outcome == Silent
	f.shared.repeat(now)

	// Nodes that haven't failed are the first to try again.
	for _, e := range f.byNode {
		if first := f.shared.until.Add(minEjection); e.failing && first.After(e.until) {
			e.until = first
		}
	}
}

// forgetNodes forgets nodes that have not tried the server for long, as they may be gone.
func (f *failureState) forgetNodes(now time.Time) {
	maps.DeleteFunc(f.byNode, func(_ string, e *nodeEjection) bool { return now.Sub(e.until) > failingNodeRetention })
}

// recordOutcome updates what failures say about the server. A server that fails nearly all of its requests is ejected if
// mayEject is set, which it is only for requests that failed or to which the server was silent.
func (s *server) recordOutcome(outcome Outcome, node string, now time.Time, mayEject bool) {
	f := &s.failures
	wasOnTrial := f.isOnTrial(node)
	failed := 0.0

	switch outcome {
	case Abandoned:
		return
	case Silent:
		failed = 1
	case Failed:
		failed = 1
		f.severalFailed = f.severalFailed || f.failedNode != "" && f.failedNode != node
		f.failedNode = node
	case Rejected:
		failed = 1
	case Unreachable:
		failed = 1
		f.eject(now, node, outcome)
	case Replaced:
		// A server that crashed and restarted is listed under its old ID until its lease ends, seconds later. Until
		// then it immediately answers that it is not the requested instance; with its empty slots it would attract and
		// refuse all queued requests.
		failed = 1
		f.shared.begin(now, maxEjection)
		f.refused, f.hung = false, false
	case Served:
		f.recordAnswer(now, node)
		f.failedNode, f.severalFailed = "", false
	}

	if failed == 0 || !wasOnTrial {
		f.fraction = (1-failureGain)*s.failuresNow(now) + failureGain*failed
		f.at = now
	}

	// The slots of a server that fails immediately are always free, so it would attract all queued requests.
	if mayEject && (wasOnTrial || f.shared.span > 0 || f.fraction > ejectionThreshold) {
		f.eject(now, node, outcome)
	}
}

// isBlocked reports whether failures keep the request from the server.
func (s *server) isBlocked(now time.Time, request *Request) bool {
	return s.failures.isEjected(now, request.Node, request.ownFailuresOnly) || s.isTried(request)
}

// isTried reports whether a running request is to show whether the server works again, so that this one has to wait.
func (s *server) isTried(request *Request) bool {
	f, own := &s.failures, s.failures.byNode[request.Node]

	switch {
	case own != nil && own.failing && f.shared.span > 0:
		return len(s.running) > 0
	case f.isOnTrial(request.Node):
		return s.isRunning(func(node string) bool { return node == request.Node })
	case f.shared.span > 0 && (!request.ownFailuresOnly || !f.refused):
		// A connect of a node that can't reach the server may hang for long.
		return s.isRunning(func(node string) bool { return f.byNode[node] == nil || !f.byNode[node].failing })
	default:
		return false
	}
}

// isRunning reports whether a request of such a node runs at the server.
func (s *server) isRunning(ofNode func(node string) bool) bool {
	for _, r := range s.running {
		if ofNode(r.request.Node) {
			return true
		}
	}

	return false
}
