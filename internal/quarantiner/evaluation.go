package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
)

const (
	// witnessPatience is how long a node that does not answer is asked again what it saw. A sound one may be silent for a second or so.
	witnessPatience = 1500 * time.Millisecond
	// witnessInterval is the pause before.
	witnessInterval = 50 * time.Millisecond
)

// startEvaluation returns the suspects to evaluate now. Unconfirmed ones are included: the query shows which of several
// requests that ran in the same crashes were answered, and these no longer shield the cause.
//
// All coordinators evaluate, the standbys later: a frozen coordinator takes reports and does nothing until the others notice.
func (q *Quarantiner) startEvaluation(now time.Time, standby int) []suspect {
	q.mu.Lock()
	defer q.mu.Unlock()

	settled := now.Add(-time.Duration(standby) * standbyDelay)
	if q.evaluating || !q.detector.hasSettledSince(settled, q.evaluatedAt) && now.Sub(q.evaluatedAt) < evaluationInterval+time.Duration(standby)*standbyDelay {
		return nil
	}

	q.evaluatedAt = now
	suspects := q.detector.suspects(now)
	q.evaluating = len(suspects) > 0

	return suspects
}

// evaluateSuspects asks all nodes whether the suspects were answered since their first crash, and quarantines the
// confirmed ones that were not.
func (q *Quarantiner) evaluateSuspects(ctx context.Context, workers pond.Pool, suspects []suspect) {
	defer func() {
		q.mu.Lock()
		q.evaluating = false
		q.mu.Unlock()
	}()

	evidence := q.queryAllNodes(ctx, workers, suspects)

	for _, s := range suspects {
		if node, ok := evidence.answeredAt[s.key]; ok {
			q.detector.clear(s.key)
			q.count(func(c *Counters) { c.ClearedSuspects++ })
			q.options.Logger.Info().Stringer("request_key", s.key).Str("prompt_part", s.part).Int("crashes", s.crashes).
				Str("answered_at", node).Msg("suspect_acquitted")
		}
	}

	// Of two suspects that can't be told apart, the one that was never answered is the likely cause.
	slices.SortStableFunc(suspects, func(a, b suspect) int { return evidence.rank(a) - evidence.rank(b) })

	var added []Quarantine

	current := q.detector.suspects(time.Now())

	for _, s := range suspects {
		i := slices.IndexFunc(current, func(c suspect) bool { return c.key == s.key })
		if i < 0 || !evidence.convicts(current[i]) {
			continue
		}

		quarantine := Quarantine{Key: s.key, Since: time.Now().UnixMilli(), Crashes: current[i].crashes, Part: s.part}
		if q.table.add(time.Now(), quarantine) {
			q.count(func(c *Counters) { c.QuarantinedSuspects++ })
			q.onQuarantined(quarantine, "judge")
			q.logEvidence(current[i], evidence)

			added = append(added, quarantine)
		}

		// Each quarantined suspect explains its crashes, so they no longer count against the remaining ones.
		current = q.detector.suspects(time.Now())
	}

	if len(added) > 0 {
		q.broadcast(ctx, workers, added)
		q.record(ctx, added)
	}
}

// logEvidence logs what led to a quarantine.
func (q *Quarantiner) logEvidence(s suspect, e *evidence) {
	asked, silent := e.counts()
	q.options.Logger.Info().Stringer("request_key", s.key).Str("prompt_part", s.part).Strs("crashed_upstreams", s.upstreams).
		Int("successive_crashes", s.successive).Dur("age_ms", time.Since(s.firstCrashAt)).
		Int("nodes_asked", asked).Int("nodes_silent", silent).Msg("quarantine_evidence")
}

// evidence is what the nodes saw of the suspects.
type evidence struct {
	mu sync.Mutex
	// answeredAt holds, for each suspect that was answered since its first crash, a node that saw it answered.
	answeredAt map[Key]string
	// known are the prompt parts that were answered before; serving are those whose service answered some request since.
	known, serving map[Key]bool
	// heard holds the other nodes that were asked, with the error of those that didn't respond.
	heard map[string]error
}

// setHeard records how a node responded.
func (e *evidence) setHeard(node string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.heard[node] = err
}

// isSilent reports whether a node was asked and let the time for its answer pass. One that can't be reached is no witness any more.
func (e *evidence) isSilent(node string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return errors.Is(e.heard[node], context.DeadlineExceeded)
}

// isDue reports whether a node is to be asked.
func (e *evidence) isDue(node string) bool {
	e.mu.Lock()
	_, asked := e.heard[node]
	e.mu.Unlock()

	return !asked || e.isSilent(node)
}

// counts returns the number of nodes that were asked, and of those that didn't respond.
func (e *evidence) counts() (asked, silent int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, err := range e.heard {
		if err != nil {
			silent++
		}
	}

	return len(e.heard), silent
}

// add adds what one node saw.
func (e *evidence) add(node string, seen queryAnsweredResult) {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, key := range seen.Answered {
		e.answeredAt[key] = node
	}

	for _, key := range seen.Known {
		e.known[key] = true
	}

	for _, key := range seen.Serving {
		e.serving[key] = true
	}
}

// rank orders suspects: 0 for those that were never answered.
func (e *evidence) rank(s suspect) int {
	if e.known[s.key] {
		return 1
	}

	return 0
}

// convicts reports whether a suspect is quarantined. While a service answers nothing, its upstreams crash under whatever they are
// sent, and under the parts that most requests name.
func (e *evidence) convicts(s suspect) bool {
	switch _, isAnswered := e.answeredAt[s.key]; {
	case isAnswered || !s.confirmed:
		return false
	case !s.isPart():
		return true
	case e.known[s.key]:
		return e.serving[s.key] && s.crashes >= minKnownPartCrashes && s.successive >= minKnownPartCrashes
	default:
		return e.serving[s.key]
	}
}

// queryAllNodes asks all live nodes what they saw of the suspects, those that are silent again and again.
func (q *Quarantiner) queryAllNodes(ctx context.Context, workers pond.Pool, suspects []suspect) *evidence {
	var params queryAnsweredParams

	for _, s := range suspects {
		item := suspectItem{Key: s.key, AgeMS: time.Since(s.firstCrashAt).Milliseconds()}
		if s.isPart() {
			item.Service = s.service
		}

		params.Suspects = append(params.Suspects, item)
	}

	e := &evidence{answeredAt: make(map[Key]string), known: make(map[Key]bool), serving: make(map[Key]bool), heard: make(map[string]error)}
	e.add(q.options.Self, q.queryAnswered(params))

	for until := time.Now().Add(witnessPatience); ; {
		q.callPeers(ctx, workers, func(ctx context.Context, peer string) {
			if !e.isDue(peer) {
				return
			}

			var answer queryAnsweredResult

			err := q.options.Peers.Call(ctx, peer, MethodQueryAnswered, params, &answer)
			// A node that does not respond is taken to have seen none of the suspects answered.
			if err == nil {
				e.add(peer, answer)
			}

			e.setHeard(peer, err)
		})

		if time.Now().After(until) || !slices.ContainsFunc(q.options.Live(), e.isSilent) {
			return e
		}

		// A dial that timed out fails further calls at once for some time.
		select {
		case <-time.After(witnessInterval):
		case <-ctx.Done():
			return e
		}
	}
}

// broadcast sends quarantines to all live nodes.
func (q *Quarantiner) broadcast(ctx context.Context, workers pond.Pool, entries []Quarantine) {
	q.callPeers(ctx, workers, func(ctx context.Context, peer string) {
		// Errors are ignored: the entries are sent again until the store lists them.
		_ = q.options.Peers.Notify(ctx, peer, MethodQuarantine, quarantineParams{Entries: entries})
	})
}

func (q *Quarantiner) record(ctx context.Context, entries []Quarantine) {
	if err := q.options.Recorder.Record(ctx, entries); err != nil {
		q.count(func(c *Counters) { c.FailedStoreWrites++ })
		q.options.Logger.Warn().Err(err).Int("requests", len(entries)).Msg("quarantine_not_recorded")
	}
}

// startResend reports whether a resend of quarantines that the store does not list yet is due, and marks it as running.
func (q *Quarantiner) startResend(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.resending || now.Sub(q.resentAt) < resendInterval {
		return false
	}

	q.resentAt = now
	q.resending = true

	return true
}

// resend broadcasts and stores the quarantines that the store does not list yet, so that nodes that started meanwhile
// learn of them.
func (q *Quarantiner) resend(ctx context.Context, workers pond.Pool) {
	defer func() {
		q.mu.Lock()
		q.resending = false
		q.mu.Unlock()
	}()

	entries := q.table.unstored(time.Now())
	if len(entries) == 0 {
		return
	}

	q.broadcast(ctx, workers, entries)
	q.record(ctx, entries)
}

func (q *Quarantiner) startSweep(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if now.Sub(q.sweptAt) < sweepInterval {
		return false
	}

	q.sweptAt = now

	return true
}

// sweep removes expired quarantines from the store.
func (q *Quarantiner) sweep(ctx context.Context) {
	keys := q.table.expired(time.Now())
	if len(keys) == 0 {
		return
	}

	if err := q.options.Recorder.Release(ctx, keys); err != nil {
		q.options.Logger.Warn().Err(err).Int("requests", len(keys)).Msg("quarantine_not_released")
	}
}
