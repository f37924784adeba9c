package follower

import (
	"context"
	"math/rand/v2"
	"time"
)

// takeRead says whether this node is to read the store now, and notes that it does.
func (f *Follower) takeRead(rank int) bool {
	now := f.options.Catalog.Now()
	age, known := f.options.Catalog.Age()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.reading || now-f.readAt < storeInterval {
		return false
	}

	due := rank == 0 || !known || age > patienceOf(rank)+rand.N(patienceSpread)
	if !due {
		return false
	}

	f.reading, f.readAt = true, now

	return true
}

func patienceOf(rank int) time.Duration {
	return patience + time.Duration(min(max(rank-1, 0), patienceSteps))*patienceStep
}

// read reads the store once: the configuration, then the lists.
func (f *Follower) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	defer func() {
		f.mu.Lock()
		f.reading = false
		f.mu.Unlock()
	}()

	catalog := f.options.Catalog
	begun := catalog.Now()
	age, known := catalog.Age()
	// Nobody reached the store for a while: entries may have lapsed that come back.
	afterOutage := known && age > outageTime

	configuration, revision, err := f.options.Store.Configuration(ctx)
	if err != nil {
		f.noteStore(err)

		return
	}

	changed := false

	if configuration.Version > 0 {
		changed = catalog.Configure(configuration, begun)
	}

	if changed {
		f.logConfiguration("store", begun)
		f.spreadFromStore(ctx)
	}

	if state := catalog.State(); revision > 0 && revision <= state.Registry.Revision && state.Registry.Kept == 0 {
		f.noteSound()

		return
	}

	registry, err := f.options.Store.Registry(ctx)
	if err != nil {
		f.noteStore(err)

		return
	}

	f.noteSound()

	changed = catalog.Register(registry, afterOutage)
	if changed {
		f.logRegistry("store")
		f.spreadFromStore(ctx)
	}
}

// noteSound records a sound read.
func (f *Follower) noteSound() {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeLost {
		f.storeLost = false
		f.options.Logger.Info().Dur("after_ms", now-f.soundAt).Msg("store_regained")
	}

	f.soundAt = now
}

func (f *Follower) noteStore(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()

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
