package limiter

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/chooser"
)

// Owner lends out the limits that this node owns. It is safe for concurrent use.
//
// What is lent, plus the base shares of all nodes, never exceeds a limit:
//   - A smaller lease counts at its old size until the node says that it knows, or
//     the old lease ends. A node counts its lease from before its report, the
//     owner from its answer, so the owner's ends later and no clocks are compared.
//   - The concurrency of a silent node counts for Options.MaxRunAfterLease longer, since
//     requests run on.
//   - A new owner lends no more than nodes say they hold, and one whose view of the
//     nodes changed no more than by the smallest lately, until all known nodes
//     have reported or nothing can be left of what others lent.
//   - An owner that was frozen begins anew, after a time in which it learns whether
//     it still is the owner: others may have lent meanwhile what it counts as free.
type Owner struct {
	options Options
	source  Source
	self    string

	mu     sync.Mutex
	known  int
	live   []string
	view   view
	owners *chooser.Chooser
	// epoch counts the views of the nodes, changed is when the last came.
	epoch   uint64
	changed time.Time
	// seen is when the owner last ran; quietUntil is until when it answers nobody.
	seen       time.Time
	quietUntil time.Time
	leases     map[Key]*leaseSet
}

// NewOwner returns an owner that lends nothing new until its predecessor's leases have ended.
func NewOwner(now time.Time, options Options, source Source, self string) *Owner {
	options = options.withDefaults()

	return &Owner{
		options: options,
		source:  source,
		self:    self,
		view:    view{options: options},
		owners:  chooser.New(nil),
		changed: now,
		seen:    now,
		leases:  make(map[Key]*leaseSet),
	}
}

// SetNodes tells which nodes answer, this one included, and how many are known
// to exist. Limits that have another owner now are forgotten.
func (o *Owner) SetNodes(now time.Time, live []string, known int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.noticeFreeze(now)

	owners := o.owners.WithNodes(live)

	if owners == o.owners && o.known == known {
		return
	}

	o.owners = owners
	o.live = live
	o.known = known
	o.view.set(now, newDivision(o.options, len(live), known))
	o.epoch++
	o.changed = now

	for key := range o.leases {
		if !o.owns(key) {
			delete(o.leases, key)
		}
	}
}

// noticeFreeze forgets all leases after a pause that others may have noticed.
func (o *Owner) noticeFreeze(now time.Time) {
	if now.Sub(o.seen) > o.options.MaxDetectionTime {
		o.epoch++
		o.changed = now
		o.quietUntil = now.Add(o.options.MaxDetectionTime)
		clear(o.leases)
	}

	o.seen = now
}

func (o *Owner) owns(key Key) bool {
	return o.owners.Choose(key.text()) == o.self
}

// Report takes a node's demand and returns its lease. It returns false when this
// node doesn't own the limit in its own view, knows a later report, or was frozen.
func (o *Owner) Report(now time.Time, node string, demand Demand) (LeaseReply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.noticeFreeze(now)

	if now.Before(o.quietUntil) || !o.owns(demand.Key) {
		return LeaseReply{}, false
	}

	s := o.leases[demand.Key]
	if s == nil {
		s = newLeaseSet(o.changed.Add(o.options.lapse()))
		o.leases[demand.Key] = s
	}

	l := s.of(node)
	if !l.update(now, demand, o.options) {
		return LeaseReply{}, false
	}

	if demand.KnownNodes == o.known {
		s.hear(node, o.epoch, o.live, o.known)
	}

	pool := o.pool(now, s, o.source.Limits(demand.Key))
	lent := s.part(now, l, pool, len(o.live)).atMost(pool.minus(s.others(now, node, o.options)))

	if now.Before(s.graceEnds) {
		lent = lent.atMost(demand.Held)
	}

	lent = lent.whole().brief()
	l.grant(now, lent, o.options.LeaseDuration)
	s.unsettled = true

	return LeaseReply{Key: demand.Key, Sequence: demand.Sequence, Leased: lent}, true
}

// pool is what may be lent of a limit.
func (o *Owner) pool(now time.Time, s *leaseSet, limits Amounts) Amounts {
	if s.complete == o.epoch {
		return o.view.current.pool(limits)
	}

	return o.view.pool(now, limits)
}

// ReportRequests returns the limits that nodes are to report on, by node, so that some
// node that wants more can have it: those who hold more than their part, those
// who may have more, and all who have not reported since the nodes changed.
func (o *Owner) ReportRequests(now time.Time) map[string][]Key {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.noticeFreeze(now)

	if now.Before(o.quietUntil) {
		return nil
	}

	var asks map[string][]Key

	for key, s := range o.leases {
		if !s.unsettled || now.Before(s.nextAsk) {
			continue
		}

		s.nextAsk = now.Add(o.options.ReportPeriod)

		for _, node := range o.toAsk(now, s, o.source.Limits(key)) {
			if asks == nil {
				asks = make(map[string][]Key)
			}

			asks[node] = append(asks[node], key)
		}
	}

	return asks
}

func (o *Owner) toAsk(now time.Time, s *leaseSet, limits Amounts) []string {
	even := o.view.current.even(limits)
	s.unsettled = s.short(now, even)

	if !s.unsettled {
		return nil
	}

	var nodes []string

	if s.complete != o.epoch && now.Sub(o.changed) < o.options.lapse() {
		nodes = s.unheard(o.epoch, o.live)
	}

	if now.Before(s.graceEnds) {
		return nodes
	}

	pool := o.pool(now, s, limits)

	return append(nodes, s.misfits(now, s.levels(now, pool), pool.minus(s.others(now, "", o.options)), even)...)
}

// Sweep forgets limits that nobody holds a lease of. It is to be called every few seconds.
func (o *Owner) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.noticeFreeze(now)

	for key, s := range o.leases {
		for node, l := range s.byNode {
			if l.counted(now, o.options) == (Amounts{}) && !now.Before(l.expires) {
				delete(s.byNode, node)
			}
		}

		if len(s.byNode) == 0 && now.Sub(o.changed) >= o.options.lapse() {
			delete(o.leases, key)
		}
	}
}
