package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

// takeSuspects returns the requests to inquire about now. An inquiry also clears up which of several that ran in the same
// crashes were answered.
func (q *Quarantiner) takeSuspects(now time.Time) []suspect {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.inquiring || !q.judge.settled(now, q.lookedAt) && now.Sub(q.lookedAt) < lookInterval {
		return nil
	}

	q.lookedAt = now
	suspects := q.judge.suspects(now)
	q.inquiring = len(suspects) > 0

	return suspects
}

// inquire asks all nodes whether the suspects were answered since their first crash, and quarantines those that weren't.
func (q *Quarantiner) inquire(ctx context.Context, workers pond.Pool, suspects []suspect) {
	defer func() {
		q.mu.Lock()
		q.inquiring = false
		q.mu.Unlock()
	}()

	seenBy := q.askWitnesses(ctx, workers, suspects)

	for _, s := range suspects {
		if node, ok := seenBy[s.key]; ok {
			q.judge.acquit(s.key)
			q.count(func(c *Counters) { c.ClearedSuspects++ })
			q.options.Logger.Info().Stringer("request_key", s.key).Int("crashes", s.crashes).Str("answered_at", node).Msg("suspect_acquitted")
		}
	}

	var added []Quarantine

	for _, s := range suspects {
		// Each one that is quarantined explains its crashes, and leaves less against the others.
		if _, ok := seenBy[s.key]; ok || !q.isDecided(s.key) {
			continue
		}

		quarantine := Quarantine{Key: s.key, Since: time.Now().UnixMilli(), Crashes: s.crashes}
		if q.table.add(time.Now(), quarantine) {
			q.count(func(c *Counters) { c.QuarantinedSuspects++ })
			q.enter(quarantine, "judge")

			added = append(added, quarantine)
		}
	}

	if len(added) > 0 {
		q.spread(ctx, workers, added)
		q.record(ctx, added)
	}
}

func (q *Quarantiner) isDecided(key Key) bool {
	return slices.ContainsFunc(q.judge.suspects(time.Now()), func(s suspect) bool { return s.key == key && s.decided })
}

// askWitnesses returns a node that saw the request answered, for each request that was.
func (q *Quarantiner) askWitnesses(ctx context.Context, workers pond.Pool, suspects []suspect) map[Key]string {
	var params testifyParams

	for _, s := range suspects {
		params.Suspects = append(params.Suspects, suspicion{Key: s.key, AgeMS: time.Since(s.since).Milliseconds()})
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

	note(q.options.Self, q.testify(params).Answered)
	q.onPeers(ctx, workers, func(ctx context.Context, peer string) {
		var answer testimony
		// A node that doesn't answer has nothing to say for the suspects.
		if err := q.options.Peers.Call(ctx, peer, MethodQueryAnswered, params, &answer); err == nil {
			note(peer, answer.Answered)
		}
	})

	mu.Lock()
	defer mu.Unlock()

	return seenBy
}

// spread tells all nodes of requests in quarantine.
func (q *Quarantiner) spread(ctx context.Context, workers pond.Pool, entries []Quarantine) {
	q.onPeers(ctx, workers, func(ctx context.Context, peer string) {
		// It is told once more until the store lists the entries.
		_ = q.options.Peers.Notify(ctx, peer, MethodQuarantine, quarantineParams{Entries: entries})
	})
}

func (q *Quarantiner) record(ctx context.Context, entries []Quarantine) {
	if err := q.options.Recorder.Record(ctx, entries); err != nil {
		q.count(func(c *Counters) { c.FailedStoreWrites++ })
		q.options.Logger.Warn().Err(err).Int("requests", len(entries)).Msg("quarantine_not_recorded")
	}
}

// takeRepeat says whether quarantines that the store doesn't list yet are to be told and written once more.
func (q *Quarantiner) takeRepeat(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.repeating || now.Sub(q.repeatedAt) < repeatInterval {
		return false
	}

	q.repeatedAt = now
	q.repeating = true

	return true
}

// repeat makes quarantines known to nodes that started meanwhile while the store doesn't list them.
func (q *Quarantiner) repeat(ctx context.Context, workers pond.Pool) {
	defer func() {
		q.mu.Lock()
		q.repeating = false
		q.mu.Unlock()
	}()

	entries := q.table.unstored(time.Now())
	if len(entries) == 0 {
		return
	}

	q.spread(ctx, workers, entries)
	q.record(ctx, entries)
}

func (q *Quarantiner) takeSweep(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if now.Sub(q.sweptAt) < sweepInterval {
		return false
	}

	q.sweptAt = now

	return true
}

// sweep removes quarantines from the store whose time is over.
func (q *Quarantiner) sweep(ctx context.Context) {
	keys := q.table.over(time.Now())
	if len(keys) == 0 {
		return
	}

	if err := q.options.Recorder.Release(ctx, keys); err != nil {
		q.options.Logger.Warn().Err(err).Int("requests", len(keys)).Msg("quarantine_not_released")
	}
}
