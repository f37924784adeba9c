package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	// storeReadInterval is the time between two reads of the node that reads for all. A change takes effect after
	// this interval, a call and the propagation through the tree: well within the two seconds that operators are
	// promised.
	storeReadInterval = 600 * time.Millisecond
	// storeTimeout bounds the first attempt of a read. A read that takes longer is retried on another connection with
	// more time, as its data may exceed what a slow link transfers in the first attempt.
	storeTimeout    = 700 * time.Millisecond
	maxStoreTimeout = 2800 * time.Millisecond
	// partTimeout bounds the time between two parts of a read of the whole store. The whole may take as long as it is large:
	// 10,000 upstreams are 4 MB, nearly two seconds over a 20 Mbit/s link.
	partTimeout = 1500 * time.Millisecond
	// nodesPerRetrySlot and maxRetrySlots set the number of slots in which nodes take turns to retry an unavailable
	// store. A node of nine retries every 1.8 s, so that a store that returns for it alone is noticed within the two
	// seconds in which changes of keys and routes take effect; one of many retries every 4.8 s, where operators allow
	// more time.
	nodesPerRetrySlot = 3
	maxRetrySlots     = 8
)

// scheduleRead reports whether this node is due to read the store, and records that the read starts. It returns the
// timeout of the read.
func (f *Follower) scheduleRead(t *tree) (time.Duration, bool) {
	now := f.options.Catalog.Now()
	age := f.age()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.reading || now-f.lastReadAt < f.readIntervalLocked(t) {
		return 0, false
	}

	readAge := f.readAgeLocked(t, now)
	if age <= readAge && !f.isHandoverDueLocked(t, now, age) {
		return 0, false
	}

	if readAge > 0 {
		f.resetFailedReadsLocked(now - age)
		f.logStoreReader(t, now, age)
	}

	f.reading, f.lastReadAt = true, now
	f.counters.StoreReads++

	return min(storeTimeout*time.Duration(1+f.failedReads), maxStoreTimeout), true
}

// logStoreReader logs that this node reads the store although it isn't expected to, and why that may be. f.mu must be held.
func (f *Follower) logStoreReader(t *tree, now, age time.Duration) {
	state := f.options.Catalog.State()

	f.options.Logger.Info().
		Int("rank", t.rank).
		Bool("rank_unknown", f.isRankUnknownLocked(t, state)).
		Int("live", len(t.order)).
		Int("listed", state.Registry.Nodes.Len()).
		Dur("running_ms", now-f.createdAt).
		Str("parent", t.parent).
		Dur("age_ms", age).
		Dur("unanswered_ms", now-max(f.lastAnsweredPullAt, f.createdAt)).
		Int("failed_pulls", f.unansweredPulls).
		Msg("store_reader")
}

// resetFailedReadsLocked resets the count of failed reads if the store answered any node since this node's last read.
// f.mu must be held.
//
// A node that reads only while others can't has no successful read of its own between two outages. If it kept the
// count of the last outage, all such nodes would wait equally long from their first read on instead of taking turns.
// A store that returned was then called after up to 1.3 s from the second outage on; with turns, after 0.7 s (nine
// nodes, 1,200 outages, virtual time).
//
// It must not be called for nodes with read age 0: one that the store rejects, while it serves others, would call it
// every storeReadInterval.
func (f *Follower) resetFailedReadsLocked(freshAt time.Duration) {
	if freshAt > f.lastReadAt {
		f.failedReads = 0
	}
}

// readIntervalLocked returns the time between the starts of two reads. f.mu must be held. After failed reads, nodes
// take turns by their rank. The first attempts of all nodes fall within half a second; if the next ones did too, a
// store that returned right after them would go unnoticed for a whole round.
func (f *Follower) readIntervalLocked(t *tree) time.Duration {
	slots := min(max(len(t.order)/nodesPerRetrySlot, 2), maxRetrySlots)

	switch f.failedReads {
	case 0:
		return storeReadInterval
	case 1:
		return time.Duration(1+t.rank%slots) * storeReadInterval
	default:
		return time.Duration(slots) * storeReadInterval
	}
}

// jitterLocked returns a random duration below the limit. f.mu must be held.
func (f *Follower) jitterLocked(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// read reads the store once.
func (f *Follower) read(ctx context.Context, timeout time.Duration) {
	defer func() {
		f.mu.Lock()
		f.reading = false
		f.mu.Unlock()
	}()

	catalog := f.options.Catalog
	startedAt := catalog.Now()
	pausedBefore := f.paused()
	// The age is 0 if there is no configuration.
	age, _ := catalog.ConfigurationAge()
	wasStale := isStale(f.tree(), f.age())
	hadState := f.hasState()

	err := f.readChanges(ctx, timeout, startedAt, age)
	if errors.Is(err, ErrHistoryCompacted) {
		err = f.readAll(ctx, startedAt, age)
	}

	if err != nil {
		f.recordReadFailure(err, f.paused() > pausedBefore)
		f.requestHandover(ctx, catalog.Now()-startedAt, timeout)

		return
	}

	f.recordReadSuccess(startedAt)

	if wasStale {
		// Other nodes don't expect this node to have newer state than they do.
		f.notifyStoreChange(ctx)
	}

	if f.options.NodeLister != nil && !hadState && f.hasState() {
		f.offerState(ctx)
	}
}

// readChanges updates the catalog to the store's current revision. It returns ErrHistoryCompacted if a full read is
// needed.
func (f *Follower) readChanges(ctx context.Context, timeout, startedAt, age time.Duration) error {
	if !f.selectBase() || f.lacksVersions(startedAt) {
		return ErrHistoryCompacted
	}

	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	position, err := f.options.Store.Position(readCtx)
	if err != nil {
		return err
	}

	if err := f.checkEra(position); err != nil {
		return err
	}

	base := f.storeRegistry.Position
	position.Resets = base.Resets

	// After a return from an older copy the revisions that this node knows may stand for other changes.
	if !position.HasHistoryOf(base) || position.IsBefore(base) {
		return ErrHistoryCompacted
	}

	if base.IsBefore(position) {
		changes, err := f.options.Store.Changes(readCtx, base)
		if err != nil {
			return err
		}

		changes.Position.Resets = base.Resets

		// The list of changes may lag behind the store. Without this check the old configuration would be marked as
		// fresh, and a revoked key accepted for longer than allowed.
		if changes.Position.IsBefore(position) {
			return ErrHistoryCompacted
		}

		f.applyChanges(ctx, changes, startedAt)
	}

	f.options.Catalog.MarkConfigurationFresh(f.options.Catalog.State().Configuration.Version, startedAt)
	f.applyStoreRegistry(ctx, startedAt, age)

	return nil
}

// checkEra returns an error if a read is from an earlier era than one that this node knows from other nodes.
func (f *Follower) checkEra(read storer.Position) error {
	if known := f.options.Catalog.State().Registry.Position; read.Era < known.Era {
		return errors.Wrapf(storer.ErrEarlierEra, "era %d after %d", read.Era, known.Era)
	}

	return nil
}

// continued returns the position of a read that began when base was known. A store whose reads are linearizable never goes back but by
// a return from an older copy, also if it doesn't name its eras.
func continued(base, read storer.Position) storer.Position {
	if read.Era == base.Era {
		read.Resets = base.Resets

		if read.IsBefore(base) {
			read.Resets++
		}
	}

	return read
}

// selectBase selects the base to which changes are applied: the last read or, if it is newer, the registry from
// peers. It reports whether there is one.
func (f *Follower) selectBase() bool {
	state := f.options.Catalog.State()
	// Expired entries that the catalog retains are not in the store.
	if state.Registry.RetainedUpstreams == 0 && f.storeRegistry.Position.IsBefore(state.Registry.Position) {
		f.storeRegistry = state.Registry
	}

	return state.HasConfiguration() && f.storeRegistry.Position.IsKnown()
}

// applyChanges applies the changes that were read from the store.
func (f *Follower) applyChanges(ctx context.Context, changes Changes, startedAt time.Duration) {
	if changes.Configuration != nil {
		f.applyConfiguration(ctx, *changes.Configuration, startedAt)
	}

	delta := cataloguer.RegistryDelta{
		Position:          changes.Position,
		UnreadableEntries: f.storeRegistry.UnreadableEntries,
		Upstreams:         cataloguer.ListDelta[cataloguer.Upstream]{Put: changes.Upstreams, Remove: changes.GoneUpstreams},
		Nodes:             cataloguer.ListDelta[cataloguer.Node]{Put: changes.Nodes, Remove: changes.GoneNodes},

		Quarantined: cataloguer.ListDelta[quarantiner.Quarantine]{Put: changes.Quarantined, Remove: changes.Released},
		Limits:      cataloguer.ListDelta[throttler.Limit]{Put: changes.Limits, Remove: changes.GoneLimits},
	}
	f.storeRegistry = f.storeRegistry.Apply(&delta)
}

// readAll reads the whole content of the store.
func (f *Follower) readAll(ctx context.Context, startedAt, age time.Duration) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	timer := time.AfterFunc(partTimeout, cancel)
	defer timer.Stop()

	f.count(func(c *Counters) { c.FullReads++ })

	base := f.options.Catalog.State().Registry.Position

	configuration, position, err := f.options.Store.Configuration(readCtx)
	if err != nil {
		return err
	}

	if err := f.checkEra(position); err != nil {
		return err
	}

	position = continued(base, position)

	if configuration.Version == 0 && !f.options.Catalog.State().HasConfiguration() {
		// The operators have not written a configuration yet, so there is nothing to serve.
		return nil
	}

	f.applyConfiguration(ctx, configuration, startedAt)
	// An older copy of the store may hold an older configuration until the operators have written theirs again.
	f.options.Catalog.MarkConfigurationFresh(max(configuration.Version, f.options.Catalog.State().Configuration.Version), startedAt)
	timer.Reset(partTimeout)

	listing, err := f.options.Store.Registry(readCtx, func() { timer.Reset(partTimeout) })
	if err != nil {
		return err
	}

	if listing.Era != position.Era || listing.Revision < position.Revision {
		return storer.ErrEraChanged
	}

	// The lists are newer than the configuration, so the next changes must be read from the configuration's position.
	listing.Position = position
	f.storeRegistry = cataloguer.NewRegistry(listing)
	f.applyStoreRegistry(ctx, startedAt, age)

	return nil
}

func (f *Follower) applyConfiguration(ctx context.Context, configuration cataloguer.Configuration, startedAt time.Duration) {
	if f.options.Catalog.ApplyConfiguration(configuration, startedAt) {
		f.logConfiguration("store", startedAt)
		f.notifyStoreChange(ctx)
	}
}

// applyStoreRegistry applies the registry as of the read that started at startedAt, when the configuration had the given age.
func (f *Follower) applyStoreRegistry(ctx context.Context, startedAt, age time.Duration) {
	registry := f.recordVersions(ctx, f.storeRegistry)

	var changed bool

	if outage, ok := f.outageBefore(ctx, &registry, startedAt, age); ok {
		changed = f.options.Catalog.ApplyRegistryAfterOutage(registry, outage.end, startedAt)
	} else {
		changed = f.options.Catalog.ApplyFreshRegistry(registry, false, startedAt)
	}

	returned := f.logStoreReturns("store")

	if changed {
		f.logRegistry("store")
	}

	if changed || returned {
		f.notifyStoreChange(ctx)
	}
}

// logStoreReturns logs each return of the store from an older copy that this node has noticed, and reports whether there was one.
func (f *Follower) logStoreReturns(source string) bool {
	returns := f.options.Catalog.TakeStoreReturns()
	for _, r := range returns {
		f.options.Logger.Warn().
			Int64("era_before", r.From.Era).Int64("revision_before", r.From.Revision).
			Int64("era", r.To.Era).Int64("revision", r.To.Revision).Int64("resets", r.To.Resets).
			Int("lost_upstreams", r.LostUpstreams).Int("lost_nodes", r.LostNodes).
			Int("lost_quarantines", r.LostQuarantined).Int("lost_rate_limits", r.LostLimits).
			Int("kept_leaving", r.KeptDraining).Int("held_departed", r.HeldDeparted).
			Int64("version", f.options.Catalog.State().Configuration.Version).
			Str("source", source).
			Msg("store_returned_from_copy")
	}

	return len(returns) > 0
}

// recordReadSuccess records a successful read that started at startedAt.
func (f *Follower) recordReadSuccess(startedAt time.Duration) {
	paused := f.paused()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeUnavailable {
		f.storeUnavailable = false
		event := f.options.Logger.Info()

		if f.lastGoodReadAt >= 0 {
			event = event.Dur("after_ms", startedAt-f.lastGoodReadAt)
		}

		event.Msg("store_regained")
	}

	f.lastGoodReadAt, f.failedReads = startedAt, 0
	f.reader, f.freshAt = f.options.Self.Name, startedAt
	f.contact.confirm(startedAt, paused)
	f.isSubstitute = f.options.Catalog.State().HasConfiguration()
}

// recordReadFailure records a failed read. If the process stood still meanwhile, the store may have answered in time.
func (f *Follower) recordReadFailure(err error, stoodStill bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.failedReads++
	if !stoodStill {
		f.contact.failedReads++
	}

	f.counters.FailedReads++
	f.isSubstitute = false

	if !f.storeUnavailable {
		f.storeUnavailable = true
		f.options.Logger.Warn().Err(err).Msg("store_lost")
	}
}
