package limiter

import (
	"maps"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/pkg/classifier"
)

// Limiter admits requests on one node within the node's shares. It is safe for
// concurrent use. While it holds its lock, it calls nothing but its Source.
type Limiter struct {
	options     Options
	source      Source
	self        string
	incarnation uint64

	mu         sync.Mutex
	knownNodes int
	view       view
	owners     *chooser.Chooser
	// sequence is the sequence number of the last report. All limits share it: with a
	// counter for each limit, one that was evicted and used again would restart at one,
	// and its owner would drop the reports as late.
	sequence uint64
	states   map[Key]*limitState
	// refusalCounts is keyed by Refusal.Reason.
	refusalCounts map[string]int64
}

// New returns a limiter that has no shares until SetNodes is called. The incarnation
// must differ each time a node starts.
func New(options Options, source Source, self string, incarnation uint64) *Limiter {
	options = options.withDefaults()

	return &Limiter{
		options:       options,
		source:        source,
		self:          self,
		incarnation:   incarnation,
		view:          view{options: options},
		owners:        chooser.New([]string{self}),
		states:        make(map[Key]*limitState),
		refusalCounts: make(map[string]int64),
	}
}

// SetNodes sets the nodes that respond, including this one, and the number of nodes
// known to exist. The part of a limit that belongs to known nodes that don't respond is
// reserved for them.
func (l *Limiter) SetNodes(now time.Time, live []string, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	division := newDivision(l.options, len(live), known)
	owners := l.owners.WithNodes(live)
	l.knownNodes = known

	if owners == l.owners && division == l.view.current {
		return
	}

	l.owners = owners
	l.view.set(now, division)

	for key, state := range l.states {
		owner := l.owners.Choose(key.ownerKey())
		if owner == state.owner {
			continue
		}

		// The new owner must learn at once what its predecessor leased out.
		state.mustReport = state.trackedByOwner() || state.inFlight > 0
		state.owner = owner
	}
}

// RequestReports includes the limits in the next reports, whether or not they are in
// use on this node.
func (l *Limiter) RequestReports(now time.Time, keys []Key) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, key := range keys {
		if state := l.stateOf(now, key); state != nil {
			state.mustReport = true
		}
	}
}

// ShouldWaitForLease reports whether a request would be refused only because the node
// has no lease yet, while it is requesting one. Such a request may wait for the reply,
// for one period at most. Otherwise, when a few requests arrive at a node without a
// lease, some would be refused although their organisation uses almost none of its
// limit.
func (l *Limiter) ShouldWaitForLease(now time.Time, service, organisation, class string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, name := range [...]string{class, ""} {
		state := l.stateOf(now, Key{Service: service, Organisation: organisation, Class: name})
		if state != nil && state.shouldWaitForLease(now, l.options, &l.view) {
			return true
		}
	}

	return false
}

// Admit admits one request, or returns why it is refused and when to retry. Every
// admitted request needs one call of Done. The limit by class is checked first, since a
// request that it refuses must not count as demand on the organisation's limit over all
// classes.
func (l *Limiter) Admit(now time.Time, service, organisation, class string) (Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	classState := l.stateOf(now, Key{Service: service, Organisation: organisation, Class: class})
	organisationState := l.stateOf(now, Key{Service: service, Organisation: organisation})

	for _, state := range [...]*limitState{classState, organisationState} {
		if state == nil {
			continue
		}

		if code, retryAfter := state.check(now, l.options); code != classifier.OK {
			refusal := Refusal{Code: code, ByClass: state == classState, RetryAfter: retryAfter}
			l.refusalCounts[refusal.Reason()]++

			return refusal, false
		}
	}

	for _, state := range [...]*limitState{classState, organisationState} {
		if state != nil {
			state.start(now)
		}
	}

	return Refusal{}, true
}

// Done ends an admitted request that generated the given number of tokens. They are
// charged only now because the length of an answer isn't known in advance.
func (l *Limiter) Done(now time.Time, service, organisation, class string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, name := range [...]string{"", class} {
		state := l.states[Key{Service: service, Organisation: organisation, Class: name}]
		if state != nil {
			state.refresh(now, &l.view)
			state.finish(now, tokens)
		}
	}
}

// RefusalCounts returns the number of refusals by reason since the limiter was created.
func (l *Limiter) RefusalCounts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return maps.Clone(l.refusalCounts)
}

// Allowed returns the node's current share of a limit.
func (l *Limiter) Allowed(now time.Time, key Key) Amounts {
	l.mu.Lock()
	defer l.mu.Unlock()

	if state := l.stateOf(now, key); state != nil {
		return state.allowed
	}

	return Amounts{}
}

// stateOf returns the state of a limit, updated to now, or nil if there is no such
// limit.
func (l *Limiter) stateOf(now time.Time, key Key) *limitState {
	limits := l.source.Limits(key)
	state := l.states[key]

	if state == nil {
		if limits == (Amounts{}) {
			return nil
		}

		state = newLimitState(now, limits, &l.view)
		state.owner = l.owners.Choose(key.ownerKey())
		l.states[key] = state
	}

	// Leases granted under earlier settings are outdated; the owner must not rely on
	// them for long.
	if state.limits != limits {
		state.limits = limits
		state.mustReport = state.mustReport || state.trackedByOwner()
	}

	state.refresh(now, &l.view)

	return state
}

// DueReports returns the reports that are due, keyed by the node that owns the limits.
// It also evicts limits that haven't been used for a while.
func (l *Limiter) DueReports(now time.Time) map[string][]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()

	var reports map[string][]Demand

	for key, state := range l.states {
		state.refresh(now, &l.view)

		if state.canEvict(now, l.options) {
			delete(l.states, key)

			continue
		}

		if !state.isReportDue(now, l.options, &l.view) {
			continue
		}

		if reports == nil {
			reports = make(map[string][]Demand)
		}

		l.sequence++
		demand := state.newDemand(now, key, l.sequence, &l.view)
		demand.Incarnation = l.incarnation
		demand.KnownNodes = l.knownNodes
		reports[state.owner] = append(reports[state.owner], demand)
	}

	return reports
}

// Apply applies the owner's replies. It drops replies to any report but the last.
func (l *Limiter) Apply(now time.Time, replies []LeaseReply) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, reply := range replies {
		state := l.states[reply.Key]
		if state == nil || reply.Sequence != state.sequence {
			continue
		}

		state.refresh(now, &l.view)
		state.applyReply(reply, l.options, l.view.evenShare(now, state.limits))
		state.refresh(now, &l.view)
	}
}
