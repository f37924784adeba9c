package limiter

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/chooser"
)

// Owner leases out the limits that this node owns. It is safe for concurrent use.
//
// The sum of all leases and of the base shares of all nodes never exceeds a limit:
//
//   - A reduced lease counts at its old size until the node acknowledges the new one or
//     the old one expires. A node counts its lease from before it sends its report, the
//     owner from when it replies. The owner's lease thus expires later, without
//     comparing clocks.
//   - The concurrency of a node that stops reporting counts for
//     Options.MaxRunAfterLease longer, since its requests may still be running.
//   - A new owner leases no more than nodes report that they hold. An owner whose set
//     of nodes has changed leases no more than the least that recent sets of nodes
//     allow. This lasts until all known nodes have reported, or until no lease from
//     other owners can remain.
//   - An owner that was frozen drops all leases and waits until it has learned whether
//     it still is the owner: another owner may meanwhile have leased what it counts as
//     free.
type Owner struct {
	options Options
	source  Source
	self    string

	mu         sync.Mutex
	knownNodes int
	liveNodes  []string
	view       view
	owners     *chooser.Chooser
	// epoch is incremented with each change of the set of nodes; nodesChangedAt is when
	// it last changed.
	epoch          uint64
	nodesChangedAt time.Time
	// lastActive is when the owner last ran. Until pausedUntil, it answers no reports.
	lastActive  time.Time
	pausedUntil time.Time
	leases      map[Key]*leaseSet
}

// NewOwner returns an owner that renews what nodes hold, but leases nothing more until
// the leases of its predecessor have expired or all known nodes have reported.
func NewOwner(now time.Time, options Options, source Source, self string) *Owner {
	options = options.withDefaults()

	return &Owner{
		options:        options,
		source:         source,
		self:           self,
		view:           view{options: options},
		owners:         chooser.New(nil),
		nodesChangedAt: now,
		lastActive:     now,
		leases:         make(map[Key]*leaseSet),
	}
}

// SetNodes sets the nodes that respond, including this one, and the number of nodes
// known to exist. Limits that now have another owner are dropped.
func (o *Owner) SetNodes(now time.Time, live []string, known int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.detectPause(now)

	owners := o.owners.WithNodes(live)

	if owners == o.owners && o.knownNodes == known {
		return
	}

	o.owners = owners
	o.liveNodes = live
	o.knownNodes = known
	o.view.set(now, newDivision(o.options, len(live), known))
	o.epoch++
	o.nodesChangedAt = now

	for key := range o.leases {
		if !o.owns(key) {
			delete(o.leases, key)
		}
	}
}

// detectPause drops all leases if this node was frozen for so long that other nodes may
// have replaced it.
func (o *Owner) detectPause(now time.Time) {
	if now.Sub(o.lastActive) > o.options.MaxDetectionTime {
		o.epoch++
		o.nodesChangedAt = now
		o.pausedUntil = now.Add(o.options.MaxDetectionTime)
		clear(o.leases)
	}

	o.lastActive = now
}

func (o *Owner) owns(key Key) bool {
	return o.owners.Choose(key.ownerKey()) == o.self
}

// Report applies a node's demand and returns its lease. It returns false if this node
// doesn't own the limit as far as it knows, already has a later report, or was frozen.
func (o *Owner) Report(now time.Time, node string, demand Demand) (LeaseReply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.detectPause(now)

	if now.Before(o.pausedUntil) || !o.owns(demand.Key) {
		return LeaseReply{}, false
	}

	s := o.leases[demand.Key]
	if s == nil {
		s = newLeaseSet(o.nodesChangedAt.Add(o.options.leaseDrainTime()))
		o.leases[demand.Key] = s
	}

	l := s.leaseFor(node)
	if !l.update(now, demand, o.options) {
		return LeaseReply{}, false
	}

	if demand.KnownNodes == o.knownNodes {
		s.recordReport(node, o.epoch, o.liveNodes, o.knownNodes)
	}

	leasable := o.leasable(now, s, o.source.Limits(demand.Key))
	leased := s.shareOf(now, l, leasable, len(o.liveNodes)).atMost(leasable.minus(s.reservedByOthers(now, node, o.options)))

	if now.Before(s.graceEndsAt) {
		leased = leased.atMost(demand.Held)
	}

	leased = leased.floorConcurrency().roundDown()
	l.grant(now, leased, o.options.LeaseDuration)
	s.maybeUnmet = true

	return LeaseReply{Key: demand.Key, Sequence: demand.Sequence, Leased: leased}, true
}

// leasable returns the part of a limit that may be leased.
func (o *Owner) leasable(now time.Time, s *leaseSet, limits Amounts) Amounts {
	if s.completeEpoch == o.epoch {
		return o.view.current.leasable(limits)
	}

	return o.view.leasable(now, limits)
}

// ReportRequests returns the limits that nodes should report on, by node, so that a
// node that wants more can get it: from nodes that hold more than their fair share,
// nodes that may have more, and all nodes that haven't reported since the set of nodes
// changed.
func (o *Owner) ReportRequests(now time.Time) map[string][]Key {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.detectPause(now)

	if now.Before(o.pausedUntil) {
		return nil
	}

	var requests map[string][]Key

	for key, s := range o.leases {
		if !s.maybeUnmet || now.Before(s.nextRequestAt) {
			continue
		}

		s.nextRequestAt = now.Add(o.options.ReportPeriod)

		for _, node := range o.nodesToRequest(now, s, o.source.Limits(key)) {
			if requests == nil {
				requests = make(map[string][]Key)
			}

			requests[node] = append(requests[node], key)
		}
	}

	return requests
}

func (o *Owner) nodesToRequest(now time.Time, s *leaseSet, limits Amounts) []string {
	even := o.view.current.evenShare(limits)
	s.maybeUnmet = s.hasUnmetDemand(now, even)

	if !s.maybeUnmet {
		return nil
	}

	var nodes []string

	if s.completeEpoch != o.epoch && now.Sub(o.nodesChangedAt) < o.options.leaseDrainTime() {
		nodes = s.notReported(o.epoch, o.liveNodes)
	}

	if now.Before(s.graceEndsAt) {
		return nodes
	}

	leasable := o.leasable(now, s, limits)

	return append(nodes, s.nodesToAdjust(now, s.fairLevels(now, leasable), leasable.minus(s.reservedByOthers(now, "", o.options)), even)...)
}

// Sweep drops limits on which no node holds a lease. It should be called every few
// seconds: a gap longer than Options.MaxDetectionTime counts as a freeze.
func (o *Owner) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.detectPause(now)

	for key, s := range o.leases {
		for node, l := range s.byNode {
			if l.reserved(now, o.options) == (Amounts{}) && !now.Before(l.expires) {
				delete(s.byNode, node)
			}
		}

		if len(s.byNode) == 0 && now.Sub(o.nodesChangedAt) >= o.options.leaseDrainTime() {
			delete(o.leases, key)
		}
	}
}
