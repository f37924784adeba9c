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

var errTermOver = errors.New("the lease has ended")

// loadRecord is a load under way as the store keeps it, so that the next orderer counts it too.
type loadRecord struct {
	Upstream string `json:"upstream"`
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	// StartedMS is when it was ordered, in milliseconds since 1970 by the orderer's clock.
	StartedMS int64 `json:"started_ms"`
}

// planned returns the load without what its engine held before it.
func (r loadRecord) planned() planned {
	return planned{engine: engine{upstream: configurer.Upstream{Name: r.Upstream}}, order: Order{Kind: r.Kind, Name: r.Name}}
}

func loadsKey(service string) string {
	return servicePrefix(service) + "loads"
}

// recordLoads writes down the loads under way. It must succeed before a new one is ordered.
func (o *Orderer) recordLoads(ctx context.Context, t *term) error {
	value, err := json.Marshal(o.loads.records())
	if err != nil {
		return errors.Wrap(err, "encode the loads under way")
	}

	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	result, err := o.options.Store.Txn(call, storer.Txn{
		Compares: []storer.Compare{{Key: fencer.LeaseKey(servicePrefix(o.options.Service)), Target: storer.TargetValue, Value: t.LeaseValue}},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: loadsKey(o.options.Service), Value: value}},
	})
	if err == nil && !result.Succeeded {
		return errTermOver
	}

	return err
}

// formerLoads returns the loads that an earlier orderer may have left under way.
func (o *Orderer) formerLoads(ctx context.Context) ([]loadRecord, error) {
	found, err := o.get(ctx, loadsKey(o.options.Service))
	if err != nil || found.Version == 0 {
		return nil, err
	}

	var records []loadRecord

	err = json.Unmarshal(found.Value, &records)

	return records, errors.Wrap(err, "decode the loads under way")
}

// records returns the loads under way.
func (l *loadLimiter) records() []loadRecord {
	records := make([]loadRecord, 0, len(l.pending))
	for _, v := range l.pending {
		records = append(records, loadRecord{
			Upstream: v.engine.upstream.Name, Kind: v.order.Kind, Name: v.order.Name, StartedMS: v.at.UnixMilli(),
		})
	}

	return records
}

// adopt counts the loads of an earlier orderer that are not overdue. One of a clock that runs ahead counts from now.
func (l *loadLimiter) adopt(records []loadRecord, timeout time.Duration) {
	now := time.Now()

	for _, r := range records {
		age := max(now.Sub(time.UnixMilli(r.StartedMS)), 0)
		if age < timeout {
			next := r.planned()
			l.pending[next.key()] = load{planned: next, at: now.Add(-age)}
		}
	}
}
