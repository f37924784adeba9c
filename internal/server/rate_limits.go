package server

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"time"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/throttler"
	"quincepath.example/quincepath/internal/timekeeper"
)

const (
	// rateLimitPrefix is where the platform's store keeps the rate limits that upstreams named, by their addresses in base64.
	rateLimitPrefix = "/quincepath/rate_limits/"
	// rateLimitWriteInterval is the time between two looks for limits that the store lacks.
	rateLimitWriteInterval = time.Second
	// rateLimitReadInterval is the least time between two reads of them by this node, and rateLimitReadIntervalPerNode
	// stretches it, so that the whole fleet reads at most ten times a second. Nodes tell each other of changes meanwhile.
	rateLimitReadInterval        = 30 * time.Second
	rateLimitReadIntervalPerNode = 100 * time.Millisecond
	// rateLimitTimeout limits the reads and writes of one look.
	rateLimitTimeout = 2 * time.Second
)

// rateLimits admits requests to the upstreams that name rate limits, and keeps the limits in the platform's store.
type rateLimits struct {
	*throttler.Admitter

	node *Node
}

func (n *Node) newRateLimits() *rateLimits {
	l := &rateLimits{node: n}
	l.Admitter = throttler.NewAdmitter(throttler.AdmitterOptions{
		Self:    n.identity.node,
		Live:    n.members.Live,
		Leaving: n.members.leaving,
		Known:   n.members.known,
		Now:     timekeeper.SinceBoot,
		Peers:   n.messages,
		Logger:  n.logger,
	})
	n.messages.Handle(throttler.MethodAdmit, l.HandleAdmit)
	n.messages.Handle(throttler.MethodCount, l.HandleCount)
	n.messages.Handle(throttler.MethodLimit, l.HandleLimit)

	return l
}

// follow reads and writes what the platform's store holds until ctx ends. On a node without a platform, limits last as
// long as some node lives.
func (l *rateLimits) follow(ctx context.Context) {
	var readAt time.Time

	for {
		interval := max(rateLimitReadInterval, time.Duration(l.node.members.known())*rateLimitReadIntervalPerNode)
		if time.Since(readAt) >= interval && l.read(ctx) {
			readAt = time.Now()
		}

		if l.node.store != nil {
			l.write(ctx)
		}

		if !sleeper.Sleep(ctx, rateLimitWriteInterval) {
			return
		}
	}
}

// read reads the limits in the store and reports whether it could.
func (l *rateLimits) read(ctx context.Context) bool {
	if l.node.store == nil {
		l.Table().Update(time.Now(), l.upstreams(), nil, 0)

		return true
	}

	ctx, cancel := context.WithTimeout(ctx, rateLimitTimeout)
	defer cancel()

	listed, _, err := l.node.store.List(ctx, rateLimitPrefix)
	if err != nil {
		l.node.logger.Debug().Err(err).Msg("rate_limits_not_read")

		return false
	}

	var limits []throttler.Limit

	for _, item := range listed {
		var limit throttler.Limit
		if err := json.Unmarshal(item.Value, &limit); err != nil || rateLimitKey(limit.Upstream) != item.Key {
			l.node.logger.Warn().Err(err).Str("key", item.Key).Msg("entry_unreadable")

			continue
		}

		limits = append(limits, limit)
	}

	l.Table().Update(time.Now(), l.upstreams(), limits, 0)

	return true
}

// write writes the limits that the store lacks, and removes those that have ended.
func (l *rateLimits) write(ctx context.Context) {
	put, remove := l.Table().Unstored(time.Now(), l.Owns)
	if len(put)+len(remove) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, rateLimitTimeout)
	defer cancel()

	for _, limit := range put {
		value, err := json.Marshal(limit)
		if err == nil {
			_, err = l.node.store.Put(ctx, rateLimitKey(limit.Upstream), value, 0)
		}

		if err != nil {
			l.node.logger.Warn().Err(err).Str("upstream", limit.Upstream).Msg("rate_limits_not_stored")
		}
	}

	for _, upstream := range remove {
		if _, err := l.node.store.Delete(ctx, rateLimitKey(upstream)); err != nil {
			l.node.logger.Warn().Err(err).Str("upstream", upstream).Msg("rate_limits_not_stored")
		}
	}

	l.read(ctx)
}

// upstreams returns the addresses of all upstreams of the settings in force. Their start times are not known.
func (l *rateLimits) upstreams() throttler.StartTimes {
	listed := make(throttler.StartTimes)

	for _, service := range l.node.tree.Snapshot().Services {
		for _, upstream := range service.Upstreams {
			listed[upstream.Address] = 0
		}
	}

	return listed
}

func rateLimitKey(upstream string) string {
	return rateLimitPrefix + base64.RawURLEncoding.EncodeToString([]byte(upstream))
}
