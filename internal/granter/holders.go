package granter

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/scheduler"
)

// probeInterval is the time between probes of an unresponsive holder.
const probeInterval = 250 * time.Millisecond

// RouterCounters are the counters of a router since it was created.
type RouterCounters struct {
	// Messages is the number of messages sent to holders on other nodes.
	Messages int64 `json:"messages"`
	// FallbackAttempts is the number of attempts that ran without a holder's grant.
	FallbackAttempts int64 `json:"without_holder"`
	// HolderFailures is the number of times that a holder became unresponsive.
	HolderFailures int64 `json:"silences"`
}

type routerCounters struct {
	messages atomic.Int64
	// fallbackAttempts and holderFailures are guarded by Router.mu.
	fallbackAttempts int64
	holderFailures   int64
}

// Counters returns a copy of the counters.
func (r *Router) Counters() RouterCounters {
	r.mu.Lock()
	defer r.mu.Unlock()

	return RouterCounters{
		Messages:         r.counters.messages.Load(),
		FallbackAttempts: r.counters.fallbackAttempts,
		HolderFailures:   r.counters.holderFailures,
	}
}

// Report contains the counters of slots that a node publishes.
type Report struct {
	// Entry holds the counters of this node's own requests.
	Entry RouterCounters `json:"entry"`
	// Pools holds the counters of the pools that this node holds or recently held, by pool.
	Pools map[string]scheduler.Stats `json:"pools"`
}

// Report returns all counters of this node in a form that expvar can publish.
func (r *Router) Report() Report {
	return Report{Entry: r.Counters(), Pools: r.holder.Stats()}
}

// holderOf returns the pool's holder among the live and responsive nodes, or "" if there are none.
func (r *Router) holderOf(pool string) string {
	live := r.members.Live()

	r.mu.Lock()
	if len(r.unresponsive) > 0 {
		live = slices.DeleteFunc(slices.Clone(live), func(node string) bool { return r.unresponsive[node] })
	}
	r.mu.Unlock()

	return r.placement.holder(live, pool)
}

// HoldersOf returns the nodes that hold the pools of a service, each once.
func (r *Router) HoldersOf(service string) []string {
	var holders []string

	for part := range poolCount(r.settings.Snapshot().Services[service]) {
		holder := r.holderOf(poolName(service, part))
		if holder != "" && !slices.Contains(holders, holder) {
			holders = append(holders, holder)
		}
	}

	return holders
}

// HeldUpstreams returns the upstreams of a service whose pools this node holds, by name.
func (r *Router) HeldUpstreams(service string) map[string]configurer.Upstream {
	settings := r.settings.Snapshot().Services[service]
	held := make(map[string]configurer.Upstream)

	for part := range poolCount(settings) {
		if r.holderOf(poolName(service, part)) == r.options.Node {
			maps.Copy(held, partOf(settings, part).Upstreams)
		}
	}

	return held
}

// markUnresponsive excludes a holder that didn't answer until it answers again.
// Meanwhile requests go to the next holder. Two holders of one pool make its load
// less even, but break no guarantee.
func (r *Router) markUnresponsive(holder string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.unresponsive[holder] || holder == r.options.Node {
		return
	}

	r.unresponsive[holder] = true
	r.counters.holderFailures++

	r.options.Logger.Warn().Str("holder", holder).AnErr("cause", cause).Msg("holder_silent")

	go r.probe(holder)
}

// probe pings an unresponsive holder until it answers or is no longer among the live nodes.
func (r *Router) probe(holder string) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()

	start := time.Now()

	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}

		answered := r.ping(holder)
		if answered || !slices.Contains(r.members.Live(), holder) {
			r.mu.Lock()
			delete(r.unresponsive, holder)
			r.mu.Unlock()

			r.options.Logger.Info().Str("holder", holder).Bool("answers", answered).Dur("silent_ms", time.Since(start)).Msg("holder_silence_ended")

			return
		}
	}
}

func (r *Router) ping(holder string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, r.options.HolderTimeout)
	defer cancel()

	return r.caller.Call(ctx, holder, MethodAsk, entryParams{}, &entryResult{}) == nil
}
