package claimer

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

const (
	// storedFormat numbers the format of heads and segments: 1 was JSON in 16 shards without a layout key.
	storedFormat = 2
	// layoutKey holds the layout that all nodes must agree on.
	layoutKey = "claims/layout"
)

var errLayout = errors.New("the claims in the store have a layout that this program doesn't know")

// layout is the value of layoutKey. It is written once, before the first claim, and never changed.
type layout struct {
	Format int `json:"format"`
	Shards int `json:"shards"`
}

// layoutValue is compared byte by byte; every write of a shard compares it. Two
// programs that count shards differently would look for one key in two of them and
// both run it; one would notice only by the doubled booking.
var layoutValue, _ = json.Marshal(layout{Format: storedFormat, Shards: Shards})

func layoutCompare() storer.Compare {
	return storer.Compare{Key: layoutKey, Target: storer.TargetValue, Value: layoutValue}
}

// agree makes sure that the store has this program's layout. It writes it only where no claims stand.
func (c *Claimer) agree(ctx context.Context) error {
	if c.agreed.Load() {
		return nil
	}

	c.stats.reads.Add(1)

	kv, _, err := c.store.Get(ctx, layoutKey)
	if err != nil {
		return err
	}

	if kv.ModRevision == 0 {
		kv, err = c.createLayout(ctx)
	}

	if errors.Is(err, storer.ErrUnknown) {
		// The layout may stand all the same. Another program's can't be mistaken for this one's.
		kv, _, err = c.store.Get(ctx, layoutKey)
	}

	if err == nil {
		err = checkLayout(kv)
	}

	c.agreed.Store(err == nil)

	return err
}

// createLayout writes the layout of an empty store and returns what then stands there.
func (c *Claimer) createLayout(ctx context.Context) (storer.KeyValue, error) {
	txn := storer.Txn{
		Compares: []storer.Compare{{Key: layoutKey, Target: storer.TargetCreate}},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: layoutKey, Value: layoutValue}},
		Failure:  []storer.Op{{Kind: storer.OpRange, Key: layoutKey}},
	}
	// Heads without a layout are those of format 1.
	for shard := range Shards {
		txn.Compares = append(txn.Compares, storer.Compare{Key: newJournal(shard).headKey(), Target: storer.TargetCreate})
	}

	c.stats.writes.Add(1)

	result, err := c.store.Txn(ctx, txn)
	if err != nil {
		return storer.KeyValue{}, err
	}

	if result.Succeeded {
		return storer.KeyValue{Key: layoutKey, Value: layoutValue}, nil
	}

	for _, kv := range found(result) {
		return kv, nil
	}

	return storer.KeyValue{Value: []byte("none, format 1")}, nil
}

func checkLayout(kv storer.KeyValue) error {
	if bytes.Equal(kv.Value, layoutValue) {
		return nil
	}

	return errors.Mark(errors.Newf("%s (it has %.100q, known is %s)", errLayout, kv.Value, layoutValue), errLayout)
}

// disagree is called when a write found another layout, or none.
func (c *Claimer) disagree(err error) {
	if errors.Is(err, errLayout) {
		c.agreed.Store(false)
		c.notify(Notice{Event: NoticeLayout, Err: err})
	}
}
