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

// probeEvery is the time between questions to a silent holder.
const probeEvery = 250 * time.Millisecond

// RouterCounters count since the router was made.
type RouterCounters struct {
	// Messages counts messages sent to holders on other nodes.
	Messages int64 `json:"messages"`
	// FallbackAttempts counts attempts that ran without a holder's grant.
	FallbackAttempts int64 `json:"without_holder"`
	// HolderFailures counts the times at which a holder became silent.
	HolderFailures int64 `json:"silences"`
}

type routerCounters struct {
	messages atomic.Int64
	// WithoutHolder and Silences are guarded by Router.mu.
	WithoutHolder int64
	Silences      int64
}

// Counters returns a copy of the counters.
func (r *Router) Counters() RouterCounters {
	r.mu.Lock()
	defer r.mu.Unlock()

	return RouterCounters{
		Messages:         r.counters.messages.Load(),
		FallbackAttempts: r.counters.WithoutHolder,
		HolderFailures:   r.counters.Silences,
	}
}

// Report is what a node publishes about slots.
type Report struct {
	// Entry counts for the requests of this node.
	Entry RouterCounters `json:"entry"`
	// Pools holds the counters of the pools that this node holds or held lately, by pool.
	Pools map[string]scheduler.Stats `json:"pools"`
}

// Report returns all counters of this node, ready for expvar.
func (r *Router) Report() Report {
	return Report{Entry: r.Counters(), Pools: r.holder.Stats()}
}

// holderOf returns the pool's holder among the live nodes that answer, or "".
func (r *Router) holderOf(pool string) string {
	live := r.members.Live()

	r.mu.Lock()
	if len(r.silent) > 0 {
		live = slices.DeleteFunc(slices.Clone(live), func(node string) bool { return r.silent[node] })
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

// suspect keeps a silent holder from being asked until it answers again. The
// next holder is asked meanwhile; two holders cost some balance and no promise.
func (r *Router) suspect(peer string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.silent[peer] || peer == r.options.Node {
		return
	}

	r.silent[peer] = true
	r.counters.Silences++

	r.options.Logger.Warn().Str("holder", peer).AnErr("cause", cause).Msg("holder_silent")

	go r.probe(peer)
}

// probe asks a silent holder until it answers or is no longer among the live nodes.
func (r *Router) probe(peer string) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()

	began := time.Now()

	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}

		answers := r.answers(peer)
		if answers || !slices.Contains(r.members.Live(), peer) {
			r.mu.Lock()
			delete(r.silent, peer)
			r.mu.Unlock()

			r.options.Logger.Info().Str("holder", peer).Bool("answers", answers).Dur("silent_ms", time.Since(began)).Msg("holder_silence_ended")

			return
		}
	}
}

func (r *Router) answers(peer string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, r.options.HolderTimeout)
	defer cancel()

	return r.caller.Call(ctx, peer, MethodAsk, askParams{}, &askResult{}) == nil
}
