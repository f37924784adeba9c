package prefixer

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxHintsPerUpstream bounds the memory for one upstream; the least recently used hints are evicted.
	maxHintsPerUpstream = 4096
	// maxLostEvents is the number of events that may be lost after a hint was stored before it is ignored.
	maxLostEvents = 512
)

// Kind is what an engine did with a block.
type Kind string

// The known kinds of events. Other kinds leave the hints unchanged.
const (
	KindStored  Kind = "stored"
	KindEvicted Kind = "evicted"
)

// Event reports that an engine stored or evicted one block.
type Event struct {
	// Sequence numbers the events of one engine from 1; a gap means that events were lost.
	Sequence int
	Kind     Kind
	// PrefixHash is the hash of the block and all preceding blocks.
	PrefixHash uint64
}

// Table holds the hints about the upstreams of all services. Its memory is bounded
// per upstream. It is safe for concurrent use. Its lock may be acquired while the lock of a pool is held.
type Table struct {
	mu       sync.Mutex
	services map[string]map[string]*upstreamHints
}

// NewTable returns a table without hints.
func NewTable() *Table {
	return &Table{services: make(map[string]map[string]*upstreamHints)}
}

// upstreamHints are the prefixes that one upstream probably has in its cache.
type upstreamHints struct {
	// appliedSequence is the highest sequence number applied.
	appliedSequence int
	// lostEvents counts the events missing from the sequence.
	lostEvents int
	// lostEventsWhenStored maps a prefix hash to the value of lostEvents when its hint was stored.
	lostEventsWhenStored *simplelru.LRU[uint64, int]
}

// AppliedSequence returns the highest sequence number applied for an upstream, or 0 if there is none.
func (t *Table) AppliedSequence(service, upstream string) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	if h := t.services[service][upstream]; h != nil {
		return h.appliedSequence
	}

	return 0
}

// Apply updates the hints from the events of an upstream, which may be in any
// order. Events up to the applied sequence number are ignored. last is the highest
// sequence number that the upstream has assigned so far. If it is lower than the
// applied one, the upstream restarted with an empty cache and all its hints are
// removed. A response overtaken by a later one looks the same; the next response
// then contains all events again.
//
// A gap in the sequence keeps the hints: the lost event may have evicted any one of
// them, but most are still correct. The lost events are counted, and a hint is
// ignored once more than maxLostEvents were lost after it was stored.
func (t *Table) Apply(service, upstream string, last int, events []Event) {
	t.mu.Lock()
	defer t.mu.Unlock()

	h := t.getOrCreate(service, upstream)
	if last < h.appliedSequence {
		h.lostEventsWhenStored.Purge()
		h.appliedSequence, h.lostEvents = 0, 0
	}

	events = slices.Clone(events)
	slices.SortFunc(events, func(a, b Event) int { return a.Sequence - b.Sequence })

	for i := range events {
		h.apply(events[i])
	}
}

func (h *upstreamHints) apply(e Event) {
	if e.Sequence <= h.appliedSequence {
		return
	}

	if h.appliedSequence > 0 {
		h.lostEvents += e.Sequence - h.appliedSequence - 1
	}

	h.appliedSequence = e.Sequence

	switch e.Kind {
	case KindStored:
		h.lostEventsWhenStored.Add(e.PrefixHash, h.lostEvents)
	case KindEvicted:
		h.lostEventsWhenStored.Remove(e.PrefixHash)
	}
}

func (t *Table) getOrCreate(service, upstream string) *upstreamHints {
	if t.services[service] == nil {
		t.services[service] = make(map[string]*upstreamHints)
	}

	h := t.services[service][upstream]
	if h == nil {
		// NewLRU fails only for a size below 1.
		lru, _ := simplelru.NewLRU[uint64, int](maxHintsPerUpstream, nil)
		h = &upstreamHints{lostEventsWhenStored: lru}
		t.services[service][upstream] = h
	}

	return h
}

// RetainUpstreams removes the hints about all upstreams of a service that are not listed.
func (t *Table) RetainUpstreams(service string, listed func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for name := range t.services[service] {
		if !listed(name) {
			delete(t.services[service], name)
		}
	}

	if len(t.services[service]) == 0 {
		delete(t.services, service)
	}
}

// CachedTokens returns the number of prompt tokens that an upstream probably doesn't
// have to process again, given the sampled prefix hashes of the prompt; zero when
// unknown. A hint for a prefix covers all of its blocks, including those whose own events were lost.
func (t *Table) CachedTokens(service, upstream string, prefixes []uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	h := t.services[service][upstream]
	if h == nil {
		return 0
	}

	for i := min(len(prefixes), maxSampleDepths) - 1; i >= 0; i-- {
		if lostBefore, ok := h.lostEventsWhenStored.Get(prefixes[i]); ok && h.lostEvents-lostBefore <= maxLostEvents {
			return BlockTokens << i
		}
	}

	return 0
}
