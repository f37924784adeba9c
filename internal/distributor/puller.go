package distributor

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/sleeper"
)

// pullLoop fetches newer trees from the peers that are heard to have them, one at a time.
func (d *Distributor) pullLoop(ctx context.Context) {
	for {
		select {
		case <-d.pullWanted:
		case <-ctx.Done():
			return
		}

		for peer := d.newest(); peer != "" && ctx.Err() == nil; peer = d.newest() {
			if !d.pullNewer(ctx, peer) && !sleeper.Sleep(ctx, d.jitter(pullPause)) {
				return
			}
		}
	}
}

// newest returns the peer with the highest revision above this node's, any of them if several have it.
func (d *Distributor) newest() string {
	own := d.table.Load().revision

	d.mu.Lock()
	defer d.mu.Unlock()

	var (
		best    string
		highest = own
		equal   int
	)

	for peer, revision := range d.heard {
		switch {
		case revision <= own:
			delete(d.heard, peer)
		case revision > highest:
			best, highest, equal = peer, revision, 1
		case revision == highest:
			equal++
			if d.random.IntN(equal) == 0 {
				best = peer
			}
		}
	}

	return best
}

// pullNewer fetches from a peer. A peer that fails is forgotten until it is heard again: it
// may be dead, and others have what it had.
func (d *Distributor) pullNewer(ctx context.Context, peer string) bool {
	if d.pullOnce(ctx, peer) {
		return true
	}

	d.mu.Lock()
	delete(d.heard, peer)
	d.mu.Unlock()

	return false
}

// pullOnce fetches the difference, or the full tree when the difference doesn't fit.
func (d *Distributor) pullOnce(ctx context.Context, peer string) bool {
	result, err := d.pull(ctx, peer, d.table.Load().revision)
	if err != nil || !result.Ready {
		return false
	}

	if d.apply(result.update, peer) {
		return true
	}

	if result.Revision <= d.table.Load().revision {
		return false
	}

	result, err = d.pull(ctx, peer, 0)

	return err == nil && result.Ready && d.apply(result.update, peer)
}

func (d *Distributor) pull(ctx context.Context, peer string, from int64) (pullResult, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()

	d.counters.pulls.Add(1)

	var result pullResult

	err := d.options.Caller.Call(ctx, peer, MethodPull, pullParams{FromRevision: from}, &result)
	if err != nil {
		d.counters.pullFailures.Add(1)
	}

	return result, err
}

// somePeers returns up to count live peers, chosen at random.
func (d *Distributor) somePeers(count int) []Member {
	var peers []Member

	for _, v := range d.options.Members.Live() {
		if v.Name != d.options.Self.Name {
			peers = append(peers, v)
		}
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	count = min(count, len(peers))
	for i := range count {
		k := i + d.random.IntN(len(peers)-i)
		peers[i], peers[k] = peers[k], peers[i]
	}

	return peers[:count]
}

// jitter returns a time between half of wait and one and a half of it.
func (d *Distributor) jitter(wait time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	return wait/2 + time.Duration(d.random.Int64N(int64(wait)))
}
