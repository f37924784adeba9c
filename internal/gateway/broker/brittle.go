package broker

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// BrittleCounters counts what upstreams say of their brittleness since the start of the node.
type BrittleCounters struct {
	// Active is the number of upstreams that are brittle by responses of the last seconds.
	Active int `json:"active"`
	// Named counts the responses that said so, Began the first of them, Ended the first that no longer did.
	Named int64 `json:"named"`
	Began int64 `json:"began"`
	Ended int64 `json:"ended"`
	// Expired counts the choices of brittle upstreams that arrived too late to be used.
	Expired int64 `json:"expired"`
}

// BrittleCounters returns the counters.
func (b *Broker) BrittleCounters() BrittleCounters {
	active, now := 0, time.Now()
	for _, pool := range b.usedPools() {
		active += len(pool.Brittle(now))
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	counters := b.brittle
	counters.Active = active

	return counters
}

// countBrittle applies a change to the counters.
func (b *Broker) countBrittle(change func(c *BrittleCounters)) {
	b.mu.Lock()
	defer b.mu.Unlock()

	change(&b.brittle)
}

// RecordBrittle implements relayer.Chooser.
func (b *Broker) RecordBrittle(id string, rejections int, named bool) bool {
	b.mu.Lock()
	r, ok := b.running[id]
	b.mu.Unlock()

	if !ok {
		return false
	}

	pool, now := b.pool(r.pool), time.Now()

	said := balancer.Brittleness{Upstream: r.upstream, Rejections: rejections, Ended: !named}
	changed := pool.SetBrittle(now, said)

	b.countBrittle(func(c *BrittleCounters) {
		switch {
		case named && changed:
			c.Named++
			c.Began++
		case named:
			c.Named++
		case changed:
			c.Ended++
		}
	})

	if named || changed {
		b.reportToHolders(r.pool, report{Pool: r.pool, ID: id, Brittle: &said})
	}

	return changed
}

// announceBrittle reports the brittle upstreams that this node knows to the holders of their pools, which may be new.
func (b *Broker) announceBrittle(now time.Time) {
	for name, pool := range b.usedPools() {
		for _, brittle := range pool.Brittle(now) {
			b.reportToHolders(name, report{Pool: name, Brittle: &brittle})
		}
	}
}
