package leader

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// demandKey is the key of the demand in the store.
	demandKey = "demand"
	// measureInterval is the time between two measurements of the demand.
	measureInterval = time.Second
	// measureTimeout is the timeout of a measurement. The demand of services that take longer is unknown.
	measureTimeout = 900 * time.Millisecond
	// demandSaveInterval is the minimum time between two writes of the demand to the store, unless more upstreams are to run
	// than before: the next holder must not order fewer.
	demandSaveInterval = 5 * time.Second
)

// demandExchange passes measurements and states between the measurement of the demand and the planning of orders in one
// term. It is safe for concurrent use.
type demandExchange struct {
	mu sync.Mutex
	// measured holds the demand of the services that were measured last; nil once it was taken.
	measured map[string]scaler.Demand
	// restored is the state that was read from the store; nil before that and once it was taken.
	restored scaler.State
	// current is the state of the planner.
	current scaler.State
}

func (e *demandExchange) setMeasured(measured map[string]scaler.Demand) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.measured = measured
}

func (e *demandExchange) setRestored(state scaler.State) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.restored = state
}

// pass gives a planner the restored state and the measurements that are new.
func (e *demandExchange) pass(now time.Duration, planner *scaler.Planner) (restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.restored != nil {
		planner.Restore(now, e.restored)
		e.restored, restored = nil, true
	}

	for service, demand := range e.measured {
		planner.Observe(now, service, demand)
	}

	e.measured = nil

	return restored
}

func (e *demandExchange) setCurrent(state scaler.State) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.current = state
}

func (e *demandExchange) currentState() scaler.State {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.current
}

// measureDemand measures the demand and keeps the planner's state in the store until ctx is done or the term has ended.
func (l *Leader) measureDemand(ctx context.Context, t *activeTerm, exchange *demandExchange) {
	record := demandRecord{store: l.options.Store}

	for ctx.Err() == nil && !t.Ended() {
		startedAt := l.options.Now()

		if policy, enabled := l.options.Policy(); enabled && policy.ByNeed {
			l.updateDemand(ctx, t, exchange, &record)
		}

		sleeper.Sleep(ctx, max(measureInterval-(l.options.Now()-startedAt), minPause))
	}
}

func (l *Leader) updateDemand(ctx context.Context, t *activeTerm, exchange *demandExchange, record *demandRecord) {
	if !record.restored {
		err := l.withStoreTimeout(ctx, func(ctx context.Context) error {
			state, err := record.load(ctx)
			if err == nil {
				exchange.setRestored(state)
			}

			return err
		})
		if err != nil {
			l.options.Logger.Warn().Err(err).Msg("demand_not_read")

			return
		}
	}

	l.measureOnce(ctx, exchange)

	state := exchange.currentState()
	if !t.Valid() || l.options.Now()-record.savedAt < demandSaveInterval && !state.IsAbove(record.state) {
		return
	}

	record.savedAt = l.options.Now()

	err := l.withStoreTimeout(ctx, func(ctx context.Context) error { return record.save(ctx, t, state) })
	if err != nil {
		l.options.Logger.Warn().Err(err).Msg("demand_not_kept")
	}
}

// measureOnce measures the demand of the services whose upstreams are ordered.
func (l *Leader) measureOnce(ctx context.Context, exchange *demandExchange) {
	services := scaledServices(l.options.State())
	if len(services) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()

	measured := l.options.MeasureDemand(ctx, services)
	exchange.setMeasured(measured)
	l.status.countMeasurements(len(measured), len(services)-len(measured))
}

// scaledServices returns the names of the services for which spot upstreams can be ordered.
func scaledServices(state *cataloguer.State) []string {
	var names []string

	for _, service := range state.Configuration.Services {
		if service.Scaling.HasSpot() {
			names = append(names, service.Name)
		}
	}

	return names
}

// demandRecord is the demand as it is kept in the store. It is not safe for concurrent use.
type demandRecord struct {
	store collector.Store
	// restored is set once the state of the former holder was read.
	restored bool
	// saved is the value in the store at revision in era; loaded is false if it isn't known. state is what was written last.
	saved         []byte
	state         scaler.State
	revision, era int64
	loaded        bool
	savedAt       time.Duration
}

// load reads the record. It returns an empty state if there is none, or if it can't be decoded: it is only as good as the
// measurements of the last minutes.
func (r *demandRecord) load(ctx context.Context) (scaler.State, error) {
	found, _, err := r.store.Get(ctx, demandKey)
	if err != nil {
		return nil, err
	}

	state := make(scaler.State)
	if found.Version > 0 && json.Unmarshal(found.Value, &state) != nil {
		state = make(scaler.State)
	}

	r.saved, r.revision, r.era, r.loaded, r.restored, r.state = found.Value, found.ModRevision, found.Era, true, true, state

	return state, nil
}

// save writes the record if it has changed and no other term has begun. After an error it is read again first, as the write may have been
// applied.
func (r *demandRecord) save(ctx context.Context, t *activeTerm, state scaler.State) error {
	value, err := json.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encode the demand")
	}

	if !r.loaded {
		if _, err := r.load(ctx); err != nil {
			return err
		}
	}

	if len(state) == 0 || bytes.Equal(value, r.saved) {
		return nil
	}

	r.loaded = false

	if r.era != t.Era {
		return collector.ErrTermOfEarlierEra
	}

	result, err := r.store.Txn(ctx, storer.Txn{
		Era:      r.era,
		Compares: []storer.Compare{{Key: demandKey, Target: storer.TargetMod, Number: r.revision}, t.Guard},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: demandKey, Value: value}},
	})

	switch {
	case err != nil:
		return err
	case !result.Succeeded:
		return errors.New("another node wrote the demand, or holds the duties since")
	}

	r.saved, r.revision, r.loaded, r.state = value, result.Revision, true, state

	return nil
}
