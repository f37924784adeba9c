package follower

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/quarantiner"
)

const (
	// storeInterval is the time between two reads of the node that reads for all. Changes are in force after
	// it, a call and the way through the tree: well within the two seconds that operators get.
	storeInterval = 600 * time.Millisecond
	// substituteAge is the age of the proof at which the second node reads the store itself. It is above what
	// the first node's interval, that of the questions to it, and a tick of each add up to while all is well.
	substituteAge = 1250 * time.Millisecond
	// substituteAgeStep is added for each of the next places, up to quickSubstitutes: these nodes replace the first one
	// one by one. The last of nine must still be in time for the two seconds in which keys and routes are in force,
	// in case that the store turns all others away.
	substituteAgeStep = 50 * time.Millisecond
	quickSubstitutes  = 8
	// substituteAgeGrowth multiplies that age for each place behind them. While nobody can read, the number of nodes that
	// try grows with the logarithm of time and not with the fleet: some twelve in eight seconds. Otherwise 300 nodes would
	// call a store that turns them away, and every call is paid for.
	substituteAgeGrowth = 1.5
	// aloneReadAge is that of a node that no peer answers: nobody else can help it.
	aloneReadAge = substituteAge + quickSubstitutes*substituteAgeStep
	// startReadAge is that of a node that just started and whose peers know no configuration either: the seeds read the store first.
	// Some of the others do, spread over startSpread, in case that the store turns all seeds away.
	startReadAge = 2 * aloneReadAge
	startSpread  = aloneReadAge
	// readAgeSpread parts nodes that become due at the same time.
	readAgeSpread = 100 * time.Millisecond
	// aloneTime is the time without an answer of a peer after which a node takes itself to be alone.
	aloneTime = 1500 * time.Millisecond
	// storeTimeout bounds the first try of a read. One that takes longer is begun anew on another connection, with
	// more time: what is to be read may be longer than a narrow link carries in the first.
	storeTimeout     = 700 * time.Millisecond
	mostStoreTimeout = 2800 * time.Millisecond
	// wholeTimeout bounds a read of all that the store holds: two megabytes over a link of 20 Mbit/s, with its overhead.
	wholeTimeout = 2500 * time.Millisecond
	// sharerPart is the part of the nodes that take turns in trying a store that is away, and mostSharers the most of them. A
	// node of nine then tries every 1.8 s, so that a store that comes back for it alone is noticed within the two seconds in
	// which keys and routes are in force; one of many tries every 4.8 s, where operators allow for longer.
	sharerPart  = 3
	mostSharers = 8
	// outageTime is the time without a sound read after which entries may have lapsed in the store.
	outageTime = 2500 * time.Millisecond
)

// takeRead says whether this node is to read the store now, and notes that it does. It returns the time for the read.
func (f *Follower) takeRead(t *tree) (time.Duration, bool) {
	now := f.options.Catalog.Now()
	age := f.age()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.reading || now-f.readAt < f.pauseLocked(t) {
		return 0, false
	}

	readAge := f.readAgeLocked(t, now)
	if age <= readAge && !f.isHandedOverLocked(t, now, age) {
		return 0, false
	}

	if readAge > 0 {
		f.forgetOutageLocked(now - age)
	}

	f.reading, f.readAt = true, now
	f.counters.StoreReads++

	return min(storeTimeout*time.Duration(1+f.failedReads), mostStoreTimeout), true
}

// forgetOutageLocked counts failed reads anew if the store answered anyone since the last one; f.mu is held.
//
// A node that reads only while others can't has no sound read of its own between two outages. With the count of the
// last outage all such nodes wait equally long from their first read on, in place of taking turns: from the second
// outage on, a store that returned is called after up to 1.3 s; with turns, after 0.7 s (nine nodes, 1,200 outages, virtual time).
//
// It isn't for the nodes that read at once: one that the store turns away, while it serves others, would call it each storeInterval.
func (f *Follower) forgetOutageLocked(provenAt time.Duration) {
	if provenAt > f.readAt {
		f.failedReads = 0
	}
}

// pauseLocked is the time between the begins of two reads; f.mu is held. After reads that failed nodes take turns, by their
// places in the order: the first tries of all come within half a second, and if the next ones did too, a store that
// returned right after them would not be noticed for a whole round.
func (f *Follower) pauseLocked(t *tree) time.Duration {
	sharers := min(max(len(t.order)/sharerPart, 2), mostSharers)

	switch f.failedReads {
	case 0:
		return storeInterval
	case 1:
		return time.Duration(1+t.rank%sharers) * storeInterval
	default:
		return time.Duration(sharers) * storeInterval
	}
}

// spreadLocked returns a random time below the limit; f.mu is held.
func (f *Follower) spreadLocked(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// readAgeLocked is the age of the proof above which this node reads the store itself; f.mu is held.
func (f *Follower) readAgeLocked(t *tree, now time.Duration) time.Duration {
	state := f.options.Catalog.State()
	seeds := f.options.Seeds()
	isSeed := len(seeds) == 0 || slices.Contains(seeds, f.options.Self.Name)
	// A node that just started knows few of the others; it isn't the first one for being the first of these.
	isFirst := t.rank == 0 && 2*len(t.order) > len(state.Registry.Nodes) && (len(t.order) > 1 || isSeed)
	isAlone := now-max(f.heardAt, f.startedAt) > aloneTime

	switch {
	case f.substitute || state.HasConfiguration() && isFirst || !state.HasConfiguration() && isSeed:
		return 0
	case isAlone:
		return aloneReadAge + f.spreadLocked(readAgeSpread)
	case !state.HasConfiguration():
		return startReadAge + f.spreadLocked(startSpread)
	case len(t.order) == 1:
		// It just started: peers answer it, but it doesn't know yet which of them live.
		return aloneReadAge + f.spreadLocked(readAgeSpread)
	default:
		return substituteAgeOf(t.rank) + lag(t) + f.spreadLocked(readAgeSpread)
	}
}

// substituteAgeOf is the read age of a node by its rank in the order of all.
func substituteAgeOf(rank int) time.Duration {
	quick := substituteAge + time.Duration(min(max(rank-1, 0), quickSubstitutes))*substituteAgeStep
	behind := max(rank-1-quickSubstitutes, 0)

	// Above an hour the exact time says nothing, and more would not fit in a duration.
	const mostBehind = 40

	return time.Duration(float64(quick) * math.Pow(substituteAgeGrowth, float64(min(behind, mostBehind))))
}

// lag is by how much the proof of a node is older than that of the nodes right below the first one.
func lag(t *tree) time.Duration {
	return time.Duration(max(t.depth-1, 0)) * (peerInterval + tick)
}

// read reads the store once.
func (f *Follower) read(ctx context.Context, timeout time.Duration) {
	defer func() {
		f.mu.Lock()
		f.reading = false
		f.mu.Unlock()
	}()

	catalog := f.options.Catalog
	begun := catalog.Now()
	// Nobody reached the store for a while: entries may have lapsed that come back.
	age, known := catalog.ConfigurationAge()
	afterOutage := known && age > outageTime
	wasStale := isStale(f.tree(), f.age())

	err := f.readChanges(ctx, timeout, begun, afterOutage)
	if errors.Is(err, ErrHistoryCompacted) {
		err = f.readWhole(ctx, begun, afterOutage)
	}

	if err != nil {
		f.noteStore(err)
		f.handOver(ctx, catalog.Now()-begun, timeout)

		return
	}

	f.noteSound(begun)

	if wasStale {
		// Nobody expects this node to know more than others.
		f.spreadFromStore(ctx)
	}
}

// readChanges brings what is known up to the store's present revision. It returns ErrHistoryCompacted if all must be read.
func (f *Follower) readChanges(ctx context.Context, timeout, begun time.Duration, afterOutage bool) error {
	if !f.chooseBase() {
		return ErrHistoryCompacted
	}

	reading, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	revision, err := f.options.Store.Revision(reading)
	if err != nil {
		return err
	}

	if revision < f.stored.Revision {
		return ErrHistoryCompacted
	}

	if revision > f.stored.Revision {
		changes, err := f.options.Store.Changes(reading, f.stored.Revision)
		if err != nil {
			return err
		}

		// The list of changes may lag behind the store; without this check a key that was taken away could be honoured
		// for longer than it may, by a proof that it is still there.
		if changes.Revision < revision {
			return ErrHistoryCompacted
		}

		f.takeChanges(ctx, changes, begun)
	}

	f.options.Catalog.MarkConfigurationFresh(f.options.Catalog.State().Configuration.Version, begun)
	f.takeStored(ctx, begun, afterOutage)

	return nil
}

// chooseBase chooses what changes are to be read against: the last read or, where it is newer, what peers told.
func (f *Follower) chooseBase() bool {
	state := f.options.Catalog.State()
	// What the catalog keeps of lapsed entries is not what the store holds.
	if state.Registry.RetainedUpstreams == 0 && state.Registry.Revision > f.stored.Revision {
		f.stored = state.Registry
	}

	return state.HasConfiguration() && f.stored.Revision > 0
}

// takeChanges takes in what was written to the store.
func (f *Follower) takeChanges(ctx context.Context, changes Changes, begun time.Duration) {
	if changes.Configuration != nil {
		f.takeConfiguration(ctx, *changes.Configuration, begun)
	}

	change := cataloguer.RegistryDelta{
		Revision:          changes.Revision,
		UnreadableEntries: f.stored.UnreadableEntries,
		Upstreams:         cataloguer.ListDelta[cataloguer.Upstream]{Put: changes.Upstreams, Remove: changes.RemovedUpstreams},
		Nodes:             cataloguer.ListDelta[cataloguer.Node]{Put: changes.Nodes, Remove: changes.RemovedNodes},

		Quarantined: cataloguer.ListDelta[quarantiner.Quarantine]{Put: changes.Quarantined, Remove: changes.RemovedQuarantines},
	}
	f.stored = change.Apply(&f.stored)
}

// readWhole reads all that the store holds.
func (f *Follower) readWhole(ctx context.Context, begun time.Duration, afterOutage bool) error {
	reading, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()

	f.count(func(c *Counters) { c.FullReads++ })

	configuration, revision, err := f.options.Store.Configuration(reading)
	if err != nil {
		return err
	}

	if configuration.Version == 0 {
		// The operators have written none yet, so there is nothing to serve.
		return nil
	}

	f.takeConfiguration(ctx, configuration, begun)

	registry, err := f.options.Store.Registry(reading)
	if err != nil {
		return err
	}

	// The lists are newer than the configuration, so changes must be read from where that one was.
	registry.Revision = revision
	f.stored = registry
	f.takeStored(ctx, begun, afterOutage)

	return nil
}

func (f *Follower) takeConfiguration(ctx context.Context, configuration cataloguer.Configuration, begun time.Duration) {
	if f.options.Catalog.ApplyConfiguration(configuration, begun) {
		f.logConfiguration("store", begun)
		f.spreadFromStore(ctx)
	}
}

// takeStored takes in the registry as the store had it at begun.
func (f *Follower) takeStored(ctx context.Context, begun time.Duration, afterOutage bool) {
	if f.options.Catalog.ApplyFreshRegistry(f.stored, afterOutage, begun) {
		f.logRegistry("store")
		f.spreadFromStore(ctx)
	}
}

// noteSound records a sound read that was begun at the given time.
func (f *Follower) noteSound(begun time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeLost {
		f.storeLost = false
		line := f.options.Logger.Info()

		if f.soundAt >= 0 {
			line = line.Dur("after_ms", begun-f.soundAt)
		}

		line.Msg("store_regained")
	}

	f.soundAt, f.failedReads = begun, 0
	f.reader, f.provenAt = f.options.Self.Name, begun
	f.substitute = f.options.Catalog.State().HasConfiguration()
}

func (f *Follower) noteStore(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.failedReads++
	f.counters.FailedReads++
	f.substitute = false

	if !f.storeLost {
		f.storeLost = true
		f.options.Logger.Warn().Err(err).Msg("store_lost")
	}
}

func (f *Follower) logConfiguration(source string, begun time.Duration) {
	state := f.options.Catalog.State()
	f.options.Logger.Info().
		Int64("version", state.Configuration.Version).
		Int("routes", len(state.Configuration.Routes)).
		Str("source", source).
		Dur("took_ms", f.options.Catalog.Now()-begun).
		Msg("configuration_applied")
}

func (f *Follower) logRegistry(source string) {
	registry := f.options.Catalog.State().Registry
	f.options.Logger.Info().
		Int64("revision", registry.Revision).
		Int("upstreams", len(registry.Upstreams)).
		Int("nodes", len(registry.Nodes)).
		Str("source", source).
		Msg("registry_applied")
}
