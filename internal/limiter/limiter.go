package limiter

import (
	"maps"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/pkg/classifier"
)

// Limiter admits requests on one node within its shares. It is safe for
// concurrent use and calls nothing but its Source while it holds its lock.
type Limiter struct {
	options     Options
	source      Source
	self        string
	incarnation uint64

	mu     sync.Mutex
	known  int
	view   view
	owners *chooser.Chooser
	// number is that of the last report. One series for all limits: a limit that was
	// forgotten and is used again would else begin anew, and its owner take the
	// reports for late ones.
	number  uint64
	entries map[Key]*entry
	// refused counts refusals by reason.
	refused map[string]int64
}

// New returns a limiter without any share until SetNodes names the live nodes.
// The incarnation must differ between two lives of a node.
func New(options Options, source Source, self string, incarnation uint64) *Limiter {
	options = options.withDefaults()

	return &Limiter{
		options:     options,
		source:      source,
		self:        self,
		incarnation: incarnation,
		view:        view{options: options},
		owners:      chooser.New([]string{self}),
		entries:     make(map[Key]*entry),
		refused:     make(map[string]int64),
	}
}

// SetNodes tells which nodes answer, this one included, and how many are known
// to exist. The part of known nodes that don't answer is left to them.
func (l *Limiter) SetNodes(now time.Time, live []string, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	division := newDivision(l.options, len(live), known)
	owners := l.owners.WithNodes(live)
	l.known = known

	if owners == l.owners && division == l.view.current {
		return
	}

	l.owners = owners
	l.view.set(now, division)

	for key, e := range l.entries {
		owner := l.owners.Choose(key.text())
		if owner == e.owner {
			continue
		}

		// The new owner must hear at once of what its predecessor lent.
		e.asked = e.holds() || e.inFlight > 0
		e.owner = owner
	}
}

// RequestReports makes the next reports hold the keys, whatever they are used for here.
func (l *Limiter) RequestReports(now time.Time, keys []Key) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, key := range keys {
		if e := l.find(now, key); e != nil {
			e.asked = true
		}
	}
}

// ShouldWaitForLease says whether a request would be refused only since the node has no lease
// yet, while it asks for one: the request may then wait for the answer, for a
// period at most. Refused at once, it would meet a limit of which its
// organisation uses next to nothing, whenever a few callers come to a quiet node.
func (l *Limiter) ShouldWaitForLease(now time.Time, service, organisation, class string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, name := range [...]string{class, ""} {
		e := l.find(now, Key{Service: service, Organisation: organisation, Class: name})
		if e != nil && e.awaits(now, l.options, &l.view) {
			return true
		}
	}

	return false
}

// Admit takes one request in, or says why not and when to come back. Every
// admitted request needs one call of Done. What the limit by class refuses is no
// demand on the organisation's whole limit, so the limit by class is asked first.
func (l *Limiter) Admit(now time.Time, service, organisation, class string) (Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	byClass := l.find(now, Key{Service: service, Organisation: organisation, Class: class})
	whole := l.find(now, Key{Service: service, Organisation: organisation})

	for _, e := range [...]*entry{byClass, whole} {
		if e == nil {
			continue
		}

		if code, retryAfter := e.check(now, l.options); code != classifier.OK {
			refusal := Refusal{Code: code, ByClass: e == byClass, RetryAfter: retryAfter}
			l.refused[refusal.Reason()]++

			return refusal, false
		}
	}

	for _, e := range [...]*entry{byClass, whole} {
		if e != nil {
			e.take(now)
		}
	}

	return Refusal{}, true
}

// Done ends an admitted request that generated the given number of tokens. They
// are paid afterwards, since nobody knows the length of an answer in advance.
func (l *Limiter) Done(now time.Time, service, organisation, class string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, name := range [...]string{"", class} {
		e := l.entries[Key{Service: service, Organisation: organisation, Class: name}]
		if e != nil {
			e.refresh(now, &l.view)
			e.finish(now, tokens)
		}
	}
}

// RefusalCounts returns the number of refusals by reason since the start.
func (l *Limiter) RefusalCounts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return maps.Clone(l.refused)
}

// Allowed returns the share that the node has of a limit now.
func (l *Limiter) Allowed(now time.Time, key Key) Amounts {
	l.mu.Lock()
	defer l.mu.Unlock()

	if e := l.find(now, key); e != nil {
		return e.allowed
	}

	return Amounts{}
}

// find returns the state of a limit with its share brought up to now, or nil when there is no limit.
func (l *Limiter) find(now time.Time, key Key) *entry {
	limits := l.source.Limits(key)
	e := l.entries[key]

	if e == nil {
		if limits == (Amounts{}) {
			return nil
		}

		e = newEntry(now, limits, &l.view)
		e.owner = l.owners.Choose(key.text())
		l.entries[key] = e
	}

	// Leases by other settings are out of date; the owner must not lend by them for long.
	if e.limits != limits {
		e.limits = limits
		e.asked = e.asked || e.holds()
	}

	e.refresh(now, &l.view)

	return e
}

// DueReports returns the reports that are due, by the node that owns the limits.
// It also drops limits that were not used for a while.
func (l *Limiter) DueReports(now time.Time) map[string][]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()

	var reports map[string][]Demand

	for key, e := range l.entries {
		e.refresh(now, &l.view)

		if e.forgettable(now, l.options) {
			delete(l.entries, key)

			continue
		}

		if !e.due(now, l.options, &l.view) {
			continue
		}

		if reports == nil {
			reports = make(map[string][]Demand)
		}

		l.number++
		demand := e.report(now, key, l.number, &l.view)
		demand.Incarnation = l.incarnation
		demand.KnownNodes = l.known
		reports[e.owner] = append(reports[e.owner], demand)
	}

	return reports
}

// Apply takes the owner's answers. An answer to any but the last report is dropped.
func (l *Limiter) Apply(now time.Time, shares []LeaseReply) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, share := range shares {
		e := l.entries[share.Key]
		if e == nil || share.Sequence != e.number {
			continue
		}

		e.refresh(now, &l.view)
		e.apply(share, l.options, l.view.even(now, e.limits))
		e.refresh(now, &l.view)
	}
}
