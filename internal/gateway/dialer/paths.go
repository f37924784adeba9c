package dialer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// minUnreached is the number of upstreams that must fail in a row, without one that is reached or answers, before this node
	// counts as cut off from all upstreams.
	minUnreached = 3
	// maxUnreached bounds the upstreams that are remembered for that, and unreachedRetention how long they are.
	maxUnreached       = 64
	unreachedRetention = 2 * time.Second
	// pathCheckInterval is the time between two checks whether lost paths work again, with jitter of as much.
	pathCheckInterval = 200 * time.Millisecond
	// maxPathChecks is the number of paths that are checked at the same time; maxHealingChecks applies instead once a check
	// has succeeded, as other paths are then likely to work as well.
	maxPathChecks    = 8
	maxHealingChecks = 64
	// peerAvoidance is how long a peer that could not help is only tried after others.
	peerAvoidance = time.Second
	// downRetention is how long an upstream that neither this node nor peers reached is not tried through peers again.
	downRetention = 300 * time.Millisecond
	// breakCheckInterval is the time for which a check after a broken exchange applies to further ones at the upstream.
	breakCheckInterval = time.Second
	// maxPathLogsPerSecond limits the log lines about paths.
	maxPathLogsPerSecond = 10
)

var (
	// ErrPathLost is returned for a peer's tunnel to an upstream that this node can't reach itself.
	ErrPathLost = errors.New("this node reaches the upstream only through other nodes")
	// ErrPeerUnavailable marks failures to reach an upstream through a peer that say nothing about the upstream.
	ErrPeerUnavailable = errors.New("the peer can't reach upstreams for others")
	// errNoConnectInTime is why a direct path is lost that neither works nor fails.
	errNoConnectInTime = errors.New("no connection in time")
)

// Detour reaches upstreams through other nodes.
type Detour interface {
	// Peers returns the nodes that may carry connections: those of this node's failure domain, and the others. They must not
	// be modified.
	Peers() (near, far []string)
	// Connect opens a connection to the upstream through a peer. Failures that say nothing about the upstream are marked with
	// ErrPeerUnavailable.
	Connect(ctx context.Context, peer string, upstream Upstream) (net.Conn, error)
}

// PathCounters are statistics of the ways to upstreams: Lost and AllLost are current values, the others count since the
// start.
type PathCounters struct {
	// Lost is the number of upstreams that this node reaches only through others.
	Lost int `json:"lost"`
	// AllLost is true while this node counts as cut off from all upstreams.
	AllLost bool `json:"all_lost"`
	// Losses and Restorations count changes.
	Losses       int64 `json:"losses"`
	Restorations int64 `json:"restorations"`
	// Tunnels counts connections that were opened through peers, PeerFailures those that peers could not open.
	Tunnels      int64 `json:"tunnels"`
	PeerFailures int64 `json:"peer_failures"`
	// Unreachable counts connections that could be opened neither directly nor through peers.
	Unreachable int64 `json:"unreachable"`
}

// paths is what a node knows of its ways to upstreams. It is safe for concurrent use.
//
// Lock order: only paths.mu.
type paths struct {
	logger zerolog.Logger

	mu sync.Mutex
	// lost holds the upstreams that this node reaches only through peers, by ID.
	lost map[string]*lostPath
	// unreached holds the upstreams that were not reached directly since one was or answered, with the time of the last attempt.
	unreached map[string]time.Time
	// hasUnreached is true if unreached has entries. It is read without the lock.
	hasUnreached atomic.Bool
	// avoided holds peers that could not help, with the time until which others are preferred.
	avoided map[string]time.Time
	// down holds the upstreams that this node and a peer in touch did not reach, with the time until which peers aren't asked for them.
	down map[string]time.Time
	// broken holds the checks after broken exchanges.
	broken map[string]*breakCheck
	// healing is true if the latest checks reached an upstream.
	healing  bool
	counters PathCounters
}

// lostPath is an upstream that is reached only through peers.
type lostPath struct {
	upstream Upstream
	// peer is the one that reached the upstream last.
	peer string
}

func newPaths() *paths {
	return &paths{
		logger:    zerolog.Nop(),
		lost:      make(map[string]*lostPath),
		unreached: make(map[string]time.Time),
		avoided:   make(map[string]time.Time),
		down:      make(map[string]time.Time),
		broken:    make(map[string]*breakCheck),
	}
}

// allLost reports whether this node counts as cut off from all upstreams. The caller holds p.mu.
func (p *paths) allLost(now time.Time) bool {
	count := 0

	for _, at := range p.unreached {
		if now.Sub(at) < unreachedRetention {
			count++
		}
	}

	return count >= minUnreached
}

// isAllLost reports whether this node counts as cut off from all upstreams.
func (p *paths) isAllLost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.allLost(now)
}

// isLost reports whether the upstream is to be reached through peers.
func (p *paths) isLost(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.lost[id] != nil || p.allLost(now)
}

// recordDirect records the result of a direct connection attempt, and reports whether it restored a lost path.
func (p *paths) recordDirect(id string, reached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !reached {
		if _, known := p.unreached[id]; known || len(p.unreached) < maxUnreached {
			p.unreached[id] = time.Now()
			p.hasUnreached.Store(true)
		}

		return false
	}

	p.clearUnreached()
	delete(p.down, id)

	path := p.lost[id]
	if path == nil {
		return false
	}

	delete(p.lost, id)
	p.counters.Restorations++
	p.logger.Info().Str("upstream", id).Str("peer", path.peer).Int("lost", len(p.lost)).Msg("upstream_path_restored")

	return true
}

// recordAnswer records that an upstream answered on a direct connection: this node isn't cut off from all of them, even if it opens no
// new connection to one that lives.
func (p *paths) recordAnswer() {
	if !p.hasUnreached.Load() {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.clearUnreached()
}

// clearUnreached records that this node reaches an upstream; p.mu is held.
func (p *paths) clearUnreached() {
	clear(p.unreached)
	p.hasUnreached.Store(false)
}

// recordTunnel records that a peer reached the upstream, and reports whether this node lost its own path with that. reason
// is why this node doesn't reach it.
func (p *paths) recordTunnel(upstream Upstream, peer string, reason error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counters.Tunnels++
	delete(p.avoided, peer)
	delete(p.down, upstream.ID)

	if path := p.lost[upstream.ID]; path != nil {
		path.peer = peer

		return false
	}

	p.lost[upstream.ID] = &lostPath{upstream: upstream, peer: peer}
	p.counters.Losses++
	p.logger.Info().Str("upstream", upstream.ID).Str("peer", peer).Int("lost", len(p.lost)).Bool("all", p.allLost(time.Now())).
		AnErr("reason", reason).Msg("upstream_path_lost")

	return true
}

// recordPeerFailure records that a peer reached no upstream.
func (p *paths) recordPeerFailure(peer string, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counters.PeerFailures++

	if errors.Is(err, ErrPeerUnavailable) {
		p.avoided[peer] = now.Add(peerAvoidance)
	}
}

// recordDown records that the upstream was reached in no way. isConfirmed is true if a peer that reaches others didn't reach it.
func (p *paths) recordDown(id string, now time.Time, isConfirmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counters.Unreachable++

	if isConfirmed {
		p.down[id] = now.Add(downRetention)
	}
}

// peers returns up to maxPeers peers in the order in which they are to be tried for an upstream: the one that reached it
// last, then alternately those of the own failure domain and others, and those that could not help lately only after them.
// It returns none while the upstream counts as down.
func (p *paths) peers(id string, near, far []string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	if now.Before(p.down[id]) {
		return nil
	}

	var chosen []string

	if path := p.lost[id]; path != nil && !now.Before(p.avoided[path.peer]) && (slices.Contains(near, path.peer) || slices.Contains(far, path.peer)) {
		chosen = append(chosen, path.peer)
	}

	nearOrder, farOrder := p.sample(near, now), p.sample(far, now)
	avoided := func(name string) bool { return now.Before(p.avoided[name]) }

	for _, wantAvoided := range []bool{false, true} {
		for i := range max(len(nearOrder), len(farOrder)) {
			for _, order := range [][]string{nearOrder, farOrder} {
				if i < len(order) && avoided(order[i]) == wantAvoided && !slices.Contains(chosen, order[i]) {
					chosen = append(chosen, order[i])
				}
			}
		}
	}

	return chosen[:min(len(chosen), maxPeers)]
}

// sample returns up to maxPeers of the names in random order, first those that aren't avoided. The caller holds p.mu.
func (p *paths) sample(names []string, now time.Time) []string {
	var usable, avoided []string

	if len(names) == 0 {
		return nil
	}

	for i, start := 0, rand.IntN(len(names)); i < len(names) && len(usable) < maxPeers; i++ {
		name := names[(start+i)%len(names)]
		if now.Before(p.avoided[name]) {
			avoided = append(avoided, name)
		} else {
			usable = append(usable, name)
		}
	}

	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })

	return append(usable, avoided[:min(len(avoided), maxPeers)]...)
}

// nextChecks returns the lost paths to be checked now, in random order.
func (p *paths) nextChecks() []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()

	limit := maxPathChecks
	if p.healing {
		limit = maxHealingChecks
	}

	checks := make([]Upstream, 0, min(limit, len(p.lost)))

	// The order of a map's iteration is random.
	for _, path := range p.lost {
		if len(checks) == limit {
			break
		}

		checks = append(checks, path.upstream)
	}

	return checks
}

func (p *paths) setHealing(healing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.healing = healing
}

// forgetUnlisted drops what is known of upstreams that are no longer listed, and what has expired.
func (p *paths) forgetUnlisted(listed func(id string) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for id := range p.lost {
		if !listed(id) {
			delete(p.lost, id)
		}
	}

	for id, at := range p.unreached {
		if !listed(id) || now.Sub(at) > unreachedRetention {
			delete(p.unreached, id)
		}
	}

	for name, until := range p.avoided {
		if now.After(until) {
			delete(p.avoided, name)
		}
	}

	for id, until := range p.down {
		if now.After(until) {
			delete(p.down, id)
		}
	}

	for id, check := range p.broken {
		if now.Sub(check.started) > breakCheckInterval && check.isDone() {
			delete(p.broken, id)
		}
	}
}

func (p *paths) snapshot() PathCounters {
	p.mu.Lock()
	defer p.mu.Unlock()

	counters := p.counters
	counters.Lost, counters.AllLost = len(p.lost), p.allLost(time.Now())

	return counters
}
