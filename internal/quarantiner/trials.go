package quarantiner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// A prompt part in quarantine is tried again, as it may have been quarantined wrongly, or the upstreams may have been replaced: an
// hour after its quarantine and every twelve hours from then on, one request with it is let through, counted over all nodes. A
// node that is asked for such a part renews the quarantine in the platform's store first; the store lets one node do so. If the
// request crashes its upstream, nothing else has to happen. If it is answered, the quarantine ends. It ends likewise if a request
// that ran already when the part was quarantined is answered.

const (
	// trialRetryAfter is when to come back at the earliest after a refusal if a trial is due: by then a node has renewed the
	// quarantine, and its next request is the trial.
	trialRetryAfter = 2 * time.Second
	// renewalDelayPerNode, times the number of live nodes, is the longest time that a node waits before it asks the store for a
	// trial. Nodes that wait at random ask at most 50 times a second together, and stop when they hear that one of them got it.
	renewalDelayPerNode = 20 * time.Millisecond
	// renewTimeout is the time limit of a call to the store for a trial or a release.
	renewTimeout = 2 * time.Second
)

// takeTrial reports whether this node may let a request with the part through. It may once for each renewal; if it may not, and a
// trial is due, it asks the store.
func (q *Quarantiner) takeTrial(now time.Time, held Quarantine) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if granted, ok := q.trials[held.Key]; ok {
		delete(q.trials, held.Key)

		if granted.Since >= held.Since {
			q.counters.Trials++

			return true
		}
	}

	if _, isPlanned := q.renewAt[held.Key]; !isPlanned && held.remaining(now) <= 0 {
		q.renewAt[held.Key] = now.Add(rand.N(q.maxRenewalDelay()))
	}

	return false
}

// maxRenewalDelay returns the longest time that a node waits before it asks the store for a trial.
func (q *Quarantiner) maxRenewalDelay() time.Duration {
	return time.Duration(max(len(q.options.Live()), 1)) * renewalDelayPerNode
}

// ReturnTrial gives back a trial whose request reached no upstream.
func (q *Quarantiner) ReturnTrial(key Key) {
	found, ok := q.table.find(time.Now(), key)
	if !ok {
		return
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	q.trials[key] = found
}

// startRenewals returns the parts for which this node asks the store now. Another node may have got the trial meanwhile.
func (q *Quarantiner) startRenewals(now time.Time) []Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()

	var due []Quarantine

	for key, at := range q.renewAt {
		if now.Before(at) {
			continue
		}

		delete(q.renewAt, key)

		if held, ok := q.table.find(now, key); ok && held.remaining(now) <= 0 {
			due = append(due, held)
		}
	}

	return due
}

// renew renews the quarantine of a part in the store, so that this node may let one request with it through. The other nodes are told
// first: the store may lose the renewal before they read it, and would grant the trial again.
func (q *Quarantiner) renew(ctx context.Context, workers pond.Pool, due Quarantine) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()

	renewed := due.renewed(time.Now())
	isRenewed, err := q.writeRenewal(ctx, due, renewed)

	if err == nil && isRenewed {
		q.table.add(time.Now(), renewed)
		q.broadcast(ctx, workers, []Quarantine{renewed})
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	if err != nil || !isRenewed {
		// Another node lets a request through, or nobody may while the store is away.
		q.options.Logger.Info().Err(err).Str("prompt_part", due.Part).Bool("renewed_elsewhere", err == nil).Msg("trial_not_granted")

		return
	}

	q.trials[due.Key] = renewed
	q.options.Logger.Info().Str("prompt_part", due.Part).Int("trials", renewed.Trials).Msg("trial_granted")
}

// writeRenewal replaces a quarantine in the store by its renewal. It returns false if the store holds another one by now.
func (q *Quarantiner) writeRenewal(ctx context.Context, due, renewed Quarantine) (bool, error) {
	if q.options.Store == nil {
		return false, nil
	}

	name := due.Key.String()

	found, _, err := q.options.Store.Get(ctx, name)
	if err != nil || found.ModRevision == 0 {
		return false, errors.Wrap(err, "read a quarantine")
	}

	var stored Quarantine
	if err := json.Unmarshal(found.Value, &stored); err != nil || stored != due {
		return false, errors.Wrap(err, "decode a quarantine")
	}

	value, err := json.Marshal(renewed)
	if err != nil {
		return false, errors.Wrap(err, "encode a quarantine")
	}

	result, err := q.options.Store.Txn(ctx, storer.Txn{
		Era:      found.Era,
		Compares: []storer.Compare{{Key: name, Target: storer.TargetMod, Number: found.ModRevision}},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: name, Value: value}},
	})

	return result.Succeeded, errors.Wrap(err, "renew a quarantine")
}

// startRelease lifts the quarantine of a part which an upstream answered, at this node at once.
func (q *Quarantiner) startRelease(wrong Quarantine) {
	if !q.lift(wrong, q.options.Self) {
		return
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	q.counters.Released++
	q.releases = append(q.releases, wrong)
}

// lift lifts a quarantine at this node, as the node in source saw an answer. It returns false if it wasn't in force.
func (q *Quarantiner) lift(wrong Quarantine, source string) bool {
	if !q.table.release(time.Now(), wrong) {
		return false
	}

	q.detector.unexplain(wrong.Key)
	q.detector.clear(wrong.Key)
	q.options.Logger.Info().Str("prompt_part", wrong.Part).Int("crashes", wrong.Crashes).Int("trials", wrong.Trials).
		Str("source", source).Msg("quarantine_released")

	return true
}

// startReleases returns the quarantines that the other nodes and the store are to lift, and marks the release as running.
func (q *Quarantiner) startReleases() []Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.releasing || len(q.releases) == 0 {
		return nil
	}

	q.releasing = true

	return q.releases
}

// sendReleases tells all nodes and the store which quarantines are lifted. It is repeated until the store has removed them.
func (q *Quarantiner) sendReleases(ctx context.Context, workers pond.Pool, releases []Quarantine) {
	q.callPeers(ctx, workers, func(ctx context.Context, peer string) {
		// Nodes that this doesn't reach learn of it from the store.
		_ = q.options.Peers.Notify(ctx, peer, MethodRelease, quarantineParams{Entries: releases})
	})

	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()

	keys := make([]Key, 0, len(releases))
	for _, released := range releases {
		keys = append(keys, released.Key)
	}

	err := q.options.Recorder.Release(ctx, keys)
	if err != nil {
		q.options.Logger.Warn().Err(err).Int("requests", len(keys)).Msg("quarantine_not_released")
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	q.releasing = false

	if err == nil {
		q.releases = q.releases[len(releases):]
	}
}

// HandleRelease handles MethodRelease.
func (q *Quarantiner) HandleRelease(_ context.Context, from string, params json.RawMessage) (any, error) {
	var told quarantineParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	for _, released := range told.Entries {
		q.lift(released, from)
	}

	return struct{}{}, nil
}
