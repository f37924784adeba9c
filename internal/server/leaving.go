package server

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/drainer"
	"quincepath.example/quincepath/pkg/classifier"
)

// drainInterval is how often a stop looks whether its next step is due.
const drainInterval = 50 * time.Millisecond

// leavingRetryAfter is when a caller that met a stopping node may ask another one.
const leavingRetryAfter = time.Second

// whileAccepting refuses what comes before the node knows the settings in
// force: served by its own file, a restarted node would bring back settings
// that operators changed since. It also refuses what comes after the
// last kept entries answer of a stop has run out, and has callers connect
// elsewhere for their next request before that.
func (n *Node) whileAccepting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.drain.ShouldCloseConnections() {
			w.Header().Set("Connection", "close")
		}

		if !n.distributor.IsReady() {
			n.refuse(w, "", classifier.New(classifier.SettingsUnavailable, "the node has not read the settings tree yet").After(failureRetryAfter))

			return
		}

		if !n.drain.Accepting(time.Now()) {
			n.refuse(w, "", classifier.New(classifier.NodeLeaving, "the node is stopping").After(leavingRetryAfter))

			return
		}

		next.ServeHTTP(w, r)
	})
}

// stop carries out a planned stop: it ends when nothing is in flight, or at the deadline.
func (n *Node) stop(server *http.Server) error {
	n.drain.Begin(time.Now())
	n.members.refresh()
	n.logger.Info().Msg("node_leaving")

	if n.heartbeats != nil {
		n.heartbeats.Leave()
		n.members.refresh()
	}

	reason := n.waitDrained()

	ctx, cancel := context.WithTimeout(context.Background(), drainInterval)
	defer cancel()

	err := server.Shutdown(ctx)
	if err != nil {
		// Only callers that take no bytes, or rest, are left now.
		err = server.Close()
	}

	n.stopWork()
	n.runners.StopAndWait()
	n.background.StopAndWait()
	n.upstream.CloseIdleConnections()
	n.logger.Info().Str("reason", string(reason)).Msg("node_stopped")

	return errors.Wrap(err, "shut down")
}

// waitDrained returns when the stop is done, and why.
func (n *Node) waitDrained() drainer.Reason {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()

	for now := range ticker.C {
		inFlight := n.runs.count() + int(n.writing.Load())

		if n.drain.StartHandover(now, inFlight) {
			go n.handOver()
		}

		if done, reason := n.drain.Done(now, inFlight); done {
			return reason
		}
	}

	return drainer.ReasonNone
}

// handOver waits until the end of every claim is written. Pools need nothing:
// the others gave them to new holders when they heard that this node leaves.
func (n *Node) handOver() {
	defer n.drain.CompleteHandover()

	if n.claims == nil {
		return
	}

	deadline, _ := n.drain.Deadline()

	ctx, cancel := context.WithDeadline(n.work, deadline)
	defer cancel()

	if err := n.claims.Drain(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("claims_not_drained")
	}
}

// markLeavingUpstreams takes in which VMs a source says are leaving.
func (n *Node) markLeavingUpstreams(source drainer.Source, leaving map[string]bool) {
	names := make([]string, 0, len(leaving))
	for name := range leaving {
		names = append(names, name)
	}

	// A refresh works out the whole settings view again, which most readings of a list need not.
	if n.leaving.Replace(time.Now(), source, names) {
		n.tree.refresh()
	}
}

// withLeaving marks the upstreams of a snapshot that other sources than the tree say are leaving.
// It copies the services that have such upstreams; the snapshot itself and all others are shared.
func withLeaving(snapshot configurer.Snapshot, leaving *drainer.LeavingUpstreams) configurer.Snapshot {
	marked := make(map[string]bool)

	for _, source := range []drainer.Source{drainer.SourceSettings, drainer.SourceList, drainer.SourceReport} {
		for _, name := range leaving.Marked(source) {
			marked[name] = true
		}
	}

	if len(marked) == 0 {
		return snapshot
	}

	snapshot.Services = maps.Clone(snapshot.Services)

	for name, service := range snapshot.Services {
		service.Upstreams = withMarks(service.Upstreams, marked)
		snapshot.Services[name] = service
	}

	return snapshot
}

// withMarks returns the upstreams with those leaving that are marked: a copy if there are any.
func withMarks(upstreams map[string]configurer.Upstream, marked map[string]bool) map[string]configurer.Upstream {
	var made map[string]configurer.Upstream

	for key, upstream := range upstreams {
		// The platform's list names VMs; load reports go by address.
		if upstream.Leaving || (!marked[upstream.Name] && !marked[upstream.Address]) {
			continue
		}

		if made == nil {
			made = maps.Clone(upstreams)
		}

		upstream.Leaving = true
		made[key] = upstream
	}

	if made == nil {
		return upstreams
	}

	return made
}
