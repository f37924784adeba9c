package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/sleeper"
)

// start gets the first tree and makes the node ready, as Ready tells.
func (d *Distributor) start(ctx context.Context) {
	asked := make(chan struct{})

	var wg sync.WaitGroup
	wg.Go(func() { d.startFromStore(ctx, asked) })
	wg.Go(func() { d.startFromPeers(ctx, asked) })
	wg.Wait()
}

// startFromStore asks the store until it answers or peers have made the node ready. It
// closes asked after the first try. Its pauses keep a fleet that starts during an
// outage from calling all at once when the store returns.
func (d *Distributor) startFromStore(ctx context.Context, asked chan<- struct{}) {
	var once sync.Once

	tried := func() { once.Do(func() { close(asked) }) }
	defer tried()

	if d.options.Store == nil {
		return
	}

	pause := newPause(longestStorePause)

	for ctx.Err() == nil {
		tree, err := d.readStore(ctx)
		if err == nil {
			d.apply(fullUpdate(tree), "store")
			d.becomeReady("store")

			return
		}

		tried()

		select {
		case <-time.After(pause.NextBackOff()):
		case <-d.ready:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor) readStore(ctx context.Context) (configurer.Tree, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	// The tree is read with two calls unless it changes meanwhile.
	d.counters.storeCalls.Add(2)

	tree, err := configurer.ReadTree(ctx, d.options.Store)
	if err != nil {
		d.counters.storeFailures.Add(1)
	}

	return tree, err
}

func (d *Distributor) startFromPeers(ctx context.Context, asked <-chan struct{}) {
	pause := newPause(longestPeerPause)

	for ctx.Err() == nil && !d.IsReady() {
		answered := d.askPeers(ctx)

		select {
		case <-asked:
		case <-ctx.Done():
			return
		}

		switch {
		case answered && d.newest() == "":
			d.becomeReady("peers")
		case d.options.Store == nil && len(d.somePeers(1)) == 0:
			d.becomeReady("settings")
		case !sleeper.Sleep(ctx, pause.NextBackOff()):
			return
		}
	}
}

// askPeers takes the trees of several peers and reports whether one that is ready answered.
// Each is asked even after another has answered: the first may be the one that is behind.
func (d *Distributor) askPeers(ctx context.Context) bool {
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		answered bool
	)

	for _, v := range d.somePeers(startPeers) {
		wg.Go(func() {
			result, err := d.pull(ctx, v.Name, d.table.Load().revision)
			if err != nil || !result.Ready {
				return
			}

			d.apply(result.update, v.Name)
			mu.Lock()
			defer mu.Unlock()

			answered = true
		})
	}

	wg.Wait()

	return answered
}

func newPause(longest time.Duration) *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	pause.MaxInterval = longest
	pause.Multiplier = 2

	return pause
}
