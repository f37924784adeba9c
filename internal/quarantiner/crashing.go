package quarantiner

import (
	"context"
	"slices"
	"time"
)

const (
	// checkDelay is how long after a connection broke the upstream is looked at: its process may be ending still.
	checkDelay = 50 * time.Millisecond
	// checkInterval is the least time between two looks at one upstream.
	checkInterval = time.Second
	// checkTimeout bounds a look.
	checkTimeout = 500 * time.Millisecond
	// confirmTime is how long an upstream whose connections broke is watched for leaving the list.
	confirmTime = 10 * time.Second
	// mostKeys bounds the requests that this node reports of one crash, mostSeen those of all.
	mostKeys = 256
	mostSeen = 2048
)

// seen is an upstream on which requests of this node broke off.
type seen struct {
	instance Instance
	at       time.Time
	address  string
	// runs are the requests; the judges were told of the first ones.
	runs []run
	told int
	// checkedAt is when it was last looked at; zero before.
	checkedAt time.Time
	// alive says that it took a connection then.
	alive bool
	// crashed says that the upstream is known to have crashed, and not only broke off these requests.
	crashed bool
}

// run is one request that broke off.
type run struct {
	key Key
	// answering says that part of its answer had come.
	answering bool
}

// Broke notes that a request's connection broke while an upstream ran it, or that the upstream fell silent. Answering says
// that part of its answer had come.
func (q *Quarantiner) Broke(key Key, upstream, address string, answering bool) {
	now := time.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	listed, ok := q.listed[upstream]
	if ok && listed.Draining {
		return
	}

	instance := Instance{Upstream: upstream, Born: listed.Born}
	s, known := q.find(instance, now)

	if !known {
		q.expire(now)

		s = &seen{instance: instance, at: now, address: address}
		q.crashes = append(q.crashes, s)
	}

	if s.alive {
		// It has outlived what broke off before.
		s.alive, s.at, s.runs = false, now, nil
	}

	if len(s.runs) < mostKeys && !slices.ContainsFunc(s.runs, func(r run) bool { return r.key == key }) {
		s.runs = append(s.runs, run{key: key, answering: answering})
		q.bound()
	}
}

// find returns what was seen of an instance lately; q.mu is held.
func (q *Quarantiner) find(instance Instance, now time.Time) (*seen, bool) {
	i := slices.IndexFunc(q.crashes, func(s *seen) bool { return s.instance.isSame(instance, now.Sub(s.at)) })
	if i < 0 {
		return nil, false
	}

	return q.crashes[i], true
}

// expire forgets breaks that no crash explains, and old crashes; q.mu is held.
func (q *Quarantiner) expire(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(s *seen) bool {
		age := now.Sub(s.at)

		return age > crashLife || !s.crashed && age > confirmTime
	})
}

// bound forgets the oldest crashes beyond the bound; q.mu is held.
func (q *Quarantiner) bound() {
	for q.runCount() > mostSeen {
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
}

// runCount is the number of requests over all crashes; q.mu is held.
func (q *Quarantiner) runCount() int {
	count := 0
	for _, s := range q.crashes {
		count += len(s.runs)
	}

	return count
}

// takeChecks returns the upstreams to look at now.
func (q *Quarantiner) takeChecks(now time.Time) []*seen {
	q.mu.Lock()
	defer q.mu.Unlock()

	var due []*seen

	for _, s := range q.crashes {
		isBroken := !s.crashed && !s.alive && s.checkedAt.Before(s.at)
		if isBroken && now.Sub(s.at) >= checkDelay && now.Sub(s.checkedAt) >= checkInterval {
			s.checkedAt = now
			due = append(due, s)
		}
	}

	return due
}

// check finds out whether the upstream crashed, or broke off single requests only.
func (q *Quarantiner) check(ctx context.Context, s *seen) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()

	down := q.options.IsDown(ctx, s.instance.Upstream, s.address)

	q.mu.Lock()
	defer q.mu.Unlock()

	if down {
		q.confirm(s, "takes_no_connection")

		return
	}

	if !s.crashed {
		s.alive = true
		q.counters.Interruptions++
	}
}

// confirm notes that the upstream crashed; q.mu is held.
func (q *Quarantiner) confirm(s *seen, evidence string) {
	if s.crashed {
		return
	}

	s.crashed = true
	q.counters.Crashes++
	q.options.Logger.Info().Str("upstream", s.instance.Upstream).Int64("born", s.instance.Born).
		Int("requests", len(s.runs)).Str("evidence", evidence).Msg("upstream_crashed")
}

// confirmUnlisted takes upstreams for crashed that left the list, or started again, right after their connections broke; q.mu
// is held.
func (q *Quarantiner) confirmUnlisted() {
	now := time.Now()

	for _, s := range q.crashes {
		listed, ok := q.listed[s.instance.Upstream]
		if now.Sub(s.at) <= confirmTime && (!ok || listed.Born != 0 && s.instance.Born != 0 && listed.Born != s.instance.Born) {
			q.confirm(s, "not_listed")
		}
	}
}

// report is what is told of a crash now.
type report struct {
	*seen
	crashReport
}

// takeReports returns what the judges weren't told of yet, and notes that they are told now.
func (q *Quarantiner) takeReports(now time.Time) []report {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.reporting {
		return nil
	}

	var reports []report

	for _, s := range q.crashes {
		if s.crashed && s.told < len(s.runs) {
			reports = append(reports, report{seen: s, crashReport: newCrashReport(s, now)})
		}
	}

	q.reporting = len(reports) > 0

	return reports
}

// sendReports tells the judges of crashes. What didn't reach all of them is told once more.
func (q *Quarantiner) sendReports(ctx context.Context, chosen []string, reports []report) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	reached := true
	crashes := make([]crashReport, 0, len(reports))

	for _, r := range reports {
		crashes = append(crashes, r.crashReport)
	}

	for _, node := range chosen {
		if node == q.options.Self {
			q.takeIn(crashes)

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

	if !reached || !slices.Equal(chosen, q.judges) {
		return
	}

	for _, r := range reports {
		r.told += len(r.Waiting) + len(r.Answering)
	}
}
