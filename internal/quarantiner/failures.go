package quarantiner

import (
	"context"
	"slices"
	"time"
)

const (
	// checkDelay is how long after a connection broke the upstream is checked: its process may still be exiting.
	checkDelay = 50 * time.Millisecond
	// checkInterval is the minimum time between two checks of one upstream.
	checkInterval = time.Second
	// maxSoundSilence is how long an upstream may neither accept nor refuse connections before it counts as crashed.
	maxSoundSilence = 2 * time.Second
	// checkTimeout is the time limit of a check.
	checkTimeout = 500 * time.Millisecond
	// confirmWindow is how long after its connections broke an upstream that leaves the list counts as crashed.
	confirmWindow = 10 * time.Second
	// maxKeysPerCrash bounds the requests that this node reports of one crash, maxTrackedRequests those of all.
	maxKeysPerCrash    = 256
	maxTrackedRequests = 2048
	// minSuspectedCrashes is the number of crashes from which requests that name a prompt part aren't sent once more. After one
	// crash every request that ran there is alike.
	minSuspectedCrashes = 2
	// maxTrackedParts bounds the prompt parts of all these requests.
	maxTrackedParts = 16384
)

// upstreamFailure is an upstream on which requests of this node broke off.
type upstreamFailure struct {
	instance Instance
	at       time.Time
	address  string
	service  string
	// requests are those that broke off; the first of them, as many as reported, were sent to the coordinators.
	requests []brokenRequest
	reported int
	// parts are the prompt parts that these requests named.
	parts map[Key]bool
	// checkedAt is the time of the last check; zero before the first.
	checkedAt time.Time
	// isUp is true if the upstream accepted a connection at that check.
	isUp bool
	// isSilent is true if it neither accepted nor refused a connection at that check.
	isSilent bool
	// isUnknown is true if that check told nothing.
	isUnknown bool
	// leaves is true if the upstream accepted a connection at that check and was drained afterwards, so that its end is planned.
	leaves bool
	// crashed is true if the upstream is known to have crashed, rather than to have broken off only these requests.
	crashed bool
}

// brokenRequest is one request that broke off.
type brokenRequest struct {
	Traits

	sentAt time.Time
	// answering is true if part of the answer had arrived.
	answering bool
}

// Broke records that a request's connection broke while an upstream ran the request, or that the upstream went silent.
func (q *Quarantiner) Broke(run Run) {
	now := time.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	listed, ok := q.listed.Upstream(run.Upstream)
	if ok && listed.Draining {
		return
	}

	instance := Instance{Upstream: run.Upstream, Born: listed.Born}
	failure, known := q.findFailure(instance, now)

	if !known {
		q.expire(now)

		failure = &upstreamFailure{instance: instance, at: now, address: run.Address, service: run.Service, parts: make(map[Key]bool)}
		q.failures = append(q.failures, failure)
	}

	if failure.isUp {
		// The upstream survived the earlier interruptions, so these are no crash.
		failure.isUp, failure.isSilent, failure.at, failure.requests, failure.parts = false, false, now, nil, make(map[Key]bool)
	}

	if len(failure.requests) < maxKeysPerCrash && !slices.ContainsFunc(failure.requests, func(r brokenRequest) bool { return r.Content == run.Content }) {
		failure.requests = append(failure.requests, brokenRequest{Traits: run.Traits, sentAt: run.SentAt, answering: run.Answering})

		for _, part := range run.Parts {
			failure.parts[part.Key] = true
		}

		q.dropExcess()
	}
}

// findFailure returns the recorded failure of an instance; q.mu is held.
func (q *Quarantiner) findFailure(instance Instance, now time.Time) (*upstreamFailure, bool) {
	i := slices.IndexFunc(q.failures, func(s *upstreamFailure) bool { return s.instance.isSameStart(instance, now.Sub(s.at)) })
	if i < 0 {
		return nil, false
	}

	return q.failures[i], true
}

// expire drops old crashes, and interruptions that did not turn out to be crashes; q.mu is held.
func (q *Quarantiner) expire(now time.Time) {
	q.failures = slices.DeleteFunc(q.failures, func(s *upstreamFailure) bool {
		age := now.Sub(s.at)

		return age > crashTTL || !s.crashed && age > confirmWindow
	})
}

// dropExcess drops the oldest failures beyond maxTrackedRequests and maxTrackedParts; q.mu is held.
func (q *Quarantiner) dropExcess() {
	for {
		requests, parts := q.tracked()
		if len(q.failures) < 2 || requests <= maxTrackedRequests && parts <= maxTrackedParts {
			return
		}

		q.failures = slices.Delete(q.failures, 0, 1)
	}
}

// tracked returns the numbers of requests and of their prompt parts over all failures; q.mu is held.
func (q *Quarantiner) tracked() (requests, parts int) {
	for _, failure := range q.failures {
		requests += len(failure.requests)

		for _, r := range failure.requests {
			parts += len(r.Parts)
		}
	}

	return requests, parts
}

// IsSuspected reports whether a prompt part of a request ran in several crashes of which this node knows, and this node saw no
// request with it answered since the first. Such a request isn't sent once more after it failed: it would probably crash
// another upstream. brokeAt is when the request itself broke off, which may not be known for a crash yet.
func (q *Quarantiner) IsSuspected(parts []Part, brokeAt []time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return slices.ContainsFunc(parts, func(part Part) bool {
		if len(brokeAt) >= minSuspectedCrashes && !q.answeredParts.containsSince(part.Key, brokeAt[0]) {
			return true
		}

		count := 0

		var first time.Time

		for _, failure := range q.failures {
			if !failure.isUp && (failure.crashed || !failure.isSilent && !failure.isUnknown) && failure.parts[part.Key] {
				count++

				if first.IsZero() {
					first = failure.at
				}
			}
		}

		return count >= minSuspectedCrashes && !q.answeredParts.containsSince(part.Key, first)
	})
}

// startDueChecks returns the failures whose upstreams are to be checked now, and records the time of the check.
func (q *Quarantiner) startDueChecks(now time.Time) []*upstreamFailure {
	q.mu.Lock()
	defer q.mu.Unlock()

	var due []*upstreamFailure

	for _, s := range q.failures {
		isBroken := !s.crashed && !s.isUp && s.checkedAt.Before(s.at) && now.Sub(s.at) >= checkDelay
		isUnknown := !s.crashed && s.isUnknown && now.Sub(s.at) <= confirmWindow
		isSilent := !s.crashed && s.isSilent && now.Sub(s.at) >= maxSoundSilence

		if (isBroken || isSilent || isUnknown) && now.Sub(s.checkedAt) >= checkInterval {
			s.checkedAt = now
			due = append(due, s)
		}
	}

	return due
}

// check determines whether the upstream crashed or only broke off single requests.
func (q *Quarantiner) check(ctx context.Context, failure *upstreamFailure) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()

	down, silent, err := q.options.IsDown(ctx, failure.instance.Upstream, failure.address)

	q.mu.Lock()
	defer q.mu.Unlock()

	failure.isUnknown = err != nil
	if failure.isUnknown {
		return
	}

	if down && silent && !failure.isSilent {
		// A sound upstream may be silent for a second or so, and it is checked once more then.
		failure.isSilent = true

		return
	}

	if down {
		q.confirmCrash(failure, "takes_no_connection")

		return
	}

	if !failure.crashed {
		failure.isUp, failure.isSilent = true, false
		q.counters.Interruptions++
	}
}

// confirmCrash records that the upstream crashed; q.mu is held.
func (q *Quarantiner) confirmCrash(failure *upstreamFailure, evidence string) {
	if failure.crashed {
		return
	}

	failure.crashed = true
	q.counters.Crashes++

	select {
	case q.crashed <- struct{}{}:
	default:
	}

	q.options.Logger.Info().Str("upstream", failure.instance.Upstream).Int64("born", failure.instance.Born).
		Int("requests", len(failure.requests)).Str("evidence", evidence).Msg("upstream_crashed")
}

// confirmUnlisted marks upstreams as crashed that left the list, or were started again, within confirmWindow after their
// connections broke, unless they lived on and were drained; q.mu is held.
func (q *Quarantiner) confirmUnlisted() {
	now := time.Now()

	for _, s := range q.failures {
		listed, ok := q.listed.Upstream(s.instance.Upstream)
		isSame := ok && (listed.Born == 0 || s.instance.Born == 0 || listed.Born == s.instance.Born)
		s.leaves = s.isUp && (s.leaves && !ok || isSame && listed.Draining)

		if now.Sub(s.at) <= confirmWindow && !s.leaves && !isSame {
			q.confirmCrash(s, "not_listed")
		}
	}
}

// pendingReport is the part of a failure that is being reported.
type pendingReport struct {
	*upstreamFailure
	crashReport
}

// startReports returns the requests of crashes that were not reported yet, and marks the reporting as running.
func (q *Quarantiner) startReports(now time.Time) []pendingReport {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.reporting {
		return nil
	}

	var reports []pendingReport

	for _, s := range q.failures {
		if s.crashed && s.reported < len(s.requests) {
			reports = append(reports, pendingReport{upstreamFailure: s, crashReport: newCrashReport(s, now)})
		}
	}

	q.reporting = len(reports) > 0

	return reports
}

// sendReports reports crashes to the coordinators. Reports that did not reach all of them are sent again.
func (q *Quarantiner) sendReports(ctx context.Context, coordinators []string, reports []pendingReport) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	reached := true
	crashes := make([]crashReport, 0, len(reports))

	for _, r := range reports {
		crashes = append(crashes, r.crashReport)
	}

	for _, node := range coordinators {
		if node == q.options.Self {
			q.addReports(crashes)

			continue
		}

		if err := q.options.Peers.Notify(ctx, node, MethodReport, reportParams{Crashes: crashes}); err != nil {
			q.options.Logger.Info().Err(err).Str("peer", node).Msg("crash_report_failed")

			reached = false
		}
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	q.reporting = false

	if !reached || !slices.Equal(coordinators, q.coordinators) {
		return
	}

	for _, r := range reports {
		r.reported += len(r.Waiting) + len(r.Answering)
	}
}
