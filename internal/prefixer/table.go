package prefixer

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// blocksPerUpstream bounds the hints about one upstream.
	blocksPerUpstream = 4096
	// maxDoubt is the number of lost events after which an older hint is not used any more.
	maxDoubt = 512
)

// Kind says what an engine did with a block.
type Kind string

// The kinds of events; others change nothing.
const (
	KindStored  Kind = "stored"
	KindEvicted Kind = "evicted"
)

// Event tells that an engine stored or evicted one block.
type Event struct {
	// Sequence counts the events of one engine from 1; a jump shows that some are lost.
	Sequence int
	Kind     Kind
	// PrefixHash is the hash of the block and of all before it.
	PrefixHash uint64
}

// Table holds the hints about the upstreams of all services, in memory that is
// bounded for each upstream. It is safe for concurrent use. Its lock may be taken below that of a pool.
type Table struct {
	mu       sync.Mutex
	services map[string]map[string]*holding
}

// NewTable returns a table without hints.
func NewTable() *Table {
	return &Table{services: make(map[string]map[string]*holding)}
}

// holding is what one upstream probably has in its cache.
type holding struct {
	// newest is the highest sequence number that was taken.
	newest int
	// lost counts the events that never came.
	lost int
	// blocks has the value of lost at the time of each hint.
	blocks *simplelru.LRU[uint64, int]
}

// AppliedSequence returns the highest sequence number that was taken from an upstream; zero for none.
func (t *Table) AppliedSequence(service, upstream string) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	if h := t.services[service][upstream]; h != nil {
		return h.newest
	}

	return 0
}

// Apply adds the events of an upstream, in any order; those that were taken
// before change nothing. Last is the highest sequence number that the upstream
// gave out so far. One below what was taken means that the upstream began
// anew, with an empty cache: all hints about it go. An answer that was overtaken
// by a later one looks the same; then the next one brings all events again.
//
// After a jump in the numbers the hints stay: the lost event may have been an
// eviction of any of them, yet most still hold. Each lost event makes older
// hints a bit older, until they aren't used any more.
func (t *Table) Apply(service, upstream string, last int, events []Event) {
	t.mu.Lock()
	defer t.mu.Unlock()

	h := t.open(service, upstream)
	if last < h.newest {
		h.blocks.Purge()
		h.newest, h.lost = 0, 0
	}

	events = slices.Clone(events)
	slices.SortFunc(events, func(a, b Event) int { return a.Sequence - b.Sequence })

	for i := range events {
		h.take(events[i])
	}
}

func (h *holding) take(e Event) {
	if e.Sequence <= h.newest {
		return
	}

	if h.newest > 0 {
		h.lost += e.Sequence - h.newest - 1
	}

	h.newest = e.Sequence

	switch e.Kind {
	case KindStored:
		h.blocks.Add(e.PrefixHash, h.lost)
	case KindEvicted:
		h.blocks.Remove(e.PrefixHash)
	}
}

func (t *Table) open(service, upstream string) *holding {
	if t.services[service] == nil {
		t.services[service] = make(map[string]*holding)
	}

	h := t.services[service][upstream]
	if h == nil {
		// It fails for a size below 1 only.
		blocks, _ := simplelru.NewLRU[uint64, int](blocksPerUpstream, nil)
		h = &holding{blocks: blocks}
		t.services[service][upstream] = h
	}

	return h
}

// RetainUpstreams drops the hints about all upstreams of a service but those named.
func (t *Table) RetainUpstreams(service string, upstreams func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for name := range t.services[service] {
		if !upstreams(name) {
			delete(t.services[service], name)
		}
	}

	if len(t.services[service]) == 0 {
		delete(t.services, service)
	}
}

// CachedTokens returns the number of prompt tokens that an upstream probably needn't
// read again, for a prompt whose sampled prefixes are given; zero when nothing
// is known. A deep prefix stands for all of its blocks, also those whose own events are lost.
func (t *Table) CachedTokens(service, upstream string, prefixes []uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	h := t.services[service][upstream]
	if h == nil {
		return 0
	}

	for i := min(len(prefixes), maxSamples) - 1; i >= 0; i-- {
		if at, ok := h.blocks.Get(prefixes[i]); ok && h.lost-at <= maxDoubt {
			return BlockTokens << i
		}
	}

	return 0
}
