package orderer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/storer"
)

var errTermEnded = errors.New("the lease has ended")

// loadRecord is a pending load as it is stored, so that the next orderer counts it too.
type loadRecord struct {
	Upstream string `json:"upstream"`
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	// StartedMS is when the load was ordered, in milliseconds since the Unix epoch by the orderer's clock.
	StartedMS int64 `json:"started_ms"`
}

// plannedOrder returns the order of the load. The state of its engine before the load is unknown and left empty.
func (r loadRecord) plannedOrder() plannedOrder {
	return plannedOrder{engine: engine{upstream: configurer.Upstream{Name: r.Upstream}}, order: Order{Kind: r.Kind, Name: r.Name}}
}

func loadsKey(service string) string {
	return servicePrefix(service) + "loads"
}

// recordLoads stores the pending loads. It must succeed before the order for a new one is sent.
func (o *Orderer) recordLoads(ctx context.Context, t *term) error {
	value, err := json.Marshal(o.loadLimiter.records())
	if err != nil {
		return errors.Wrap(err, "encode the pending loads")
	}

	callCtx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	result, err := o.options.Store.Txn(callCtx, storer.Txn{
		Compares: []storer.Compare{{Key: fencer.LeaseKey(servicePrefix(o.options.Service)), Target: storer.TargetValue, Value: t.LeaseValue}},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: loadsKey(o.options.Service), Value: value}},
	})
	if err == nil && !result.Succeeded {
		return errTermEnded
	}

	return err
}

// readPreviousLoads returns the stored loads of an earlier orderer, which may still be pending.
func (o *Orderer) readPreviousLoads(ctx context.Context) ([]loadRecord, error) {
	found, err := o.get(ctx, loadsKey(o.options.Service))
	if err != nil || found.Version == 0 {
		return nil, err
	}

	var records []loadRecord

	err = json.Unmarshal(found.Value, &records)

	return records, errors.Wrap(err, "decode the pending loads")
}

// records returns the pending loads as they are stored.
func (l *loadLimiter) records() []loadRecord {
	records := make([]loadRecord, 0, len(l.pending))
	for _, v := range l.pending {
		records = append(records, loadRecord{
			Upstream: v.engine.upstream.Name, Kind: v.order.Kind, Name: v.order.Name, StartedMS: v.startedAt.UnixMilli(),
		})
	}

	return records
}

// restore adds the loads of an earlier orderer that are not overdue. If a start time is in the future, because the clocks
// differ, the load counts as started now.
func (l *loadLimiter) restore(records []loadRecord, timeout time.Duration) {
	now := time.Now()

	for _, r := range records {
		age := max(now.Sub(time.UnixMilli(r.StartedMS)), 0)
		if age < timeout {
			next := r.plannedOrder()
			l.pending[next.key()] = pendingLoad{plannedOrder: next, startedAt: now.Add(-age)}
		}
	}
}
