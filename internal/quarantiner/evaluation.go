package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

// startEvaluation returns the suspects to evaluate now. Unconfirmed ones are included: the query shows which of several
// requests that ran in the same crashes were answered, and these no longer shield the cause.
func (q *Quarantiner) startEvaluation(now time.Time) []suspect {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.evaluating || !q.detector.hasSettledSince(now, q.evaluatedAt) && now.Sub(q.evaluatedAt) < evaluationInterval {
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

	seenBy := q.queryAllNodes(ctx, workers, suspects)

	for _, s := range suspects {
		if node, ok := seenBy[s.key]; ok {
			q.detector.clear(s.key)
			q.count(func(c *Counters) { c.ClearedSuspects++ })
			q.options.Logger.Info().Stringer("request_key", s.key).Int("crashes", s.crashes).Str("answered_at", node).Msg("suspect_acquitted")
		}
	}

	var added []Quarantine

	for _, s := range suspects {
		// Each quarantined request explains its crashes, so they no longer count against the remaining suspects.
		if _, ok := seenBy[s.key]; ok || !q.isConfirmed(s.key) {
			continue
		}

		quarantine := Quarantine{Key: s.key, Since: time.Now().UnixMilli(), Crashes: s.crashes}
		if q.table.add(time.Now(), quarantine) {
			q.count(func(c *Counters) { c.QuarantinedSuspects++ })
			q.onQuarantined(quarantine, "judge")

			added = append(added, quarantine)
		}
	}

	if len(added) > 0 {
		q.broadcast(ctx, workers, added)
		q.record(ctx, added)
	}
}

func (q *Quarantiner) isConfirmed(key Key) bool {
	return slices.ContainsFunc(q.detector.suspects(time.Now()), func(s suspect) bool { return s.key == key && s.confirmed })
}

// queryAllNodes returns, for each request that was answered, a node that saw it answered.
func (q *Quarantiner) queryAllNodes(ctx context.Context, workers pond.Pool, suspects []suspect) map[Key]string {
	var params queryAnsweredParams

	for _, s := range suspects {
		params.Suspects = append(params.Suspects, suspectItem{Key: s.key, AgeMS: time.Since(s.firstCrashAt).Milliseconds()})
	}

	var mu sync.Mutex

	seenBy := make(map[Key]string)
	note := func(node string, keys []Key) {
		mu.Lock()
		defer mu.Unlock()

		for _, key := range keys {
			seenBy[key] = node
		}
	}

	note(q.options.Self, q.queryAnswered(params).Answered)
	q.callPeers(ctx, workers, func(ctx context.Context, peer string) {
		var answer queryAnsweredResult
		// A node that does not respond is taken to have seen none of the suspects answered.
		if err := q.options.Peers.Call(ctx, peer, MethodQueryAnswered, params, &answer); err == nil {
			note(peer, answer.Answered)
		}
	})

	mu.Lock()
	defer mu.Unlock()

	return seenBy
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
