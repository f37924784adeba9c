package gauger

import (
	"maps"
	"sync"
)

// count is a number of messages and their bytes.
type count struct {
	messages, bytes int64
}

// tallySnapshot is the content of a tally at one moment.
type tallySnapshot struct {
	methods map[string]count
	// nodes holds the bytes sent and received by each node.
	nodes map[string]int64
	// links is the number of open connections between nodes.
	links int
}

// tally counts the messages that pass the relays. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	methods map[string]count
	nodes   map[string]int64
	links   int
}

func newTally() *tally {
	return &tally{methods: make(map[string]count), nodes: make(map[string]int64)}
}

// add counts one message between two nodes; from is empty where the sender is not known.
func (t *tally) add(method, from, to string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	sum := t.methods[method]
	sum.messages++
	sum.bytes += int64(bytes)
	t.methods[method] = sum
	t.nodes[from] += int64(bytes)
	t.nodes[to] += int64(bytes)
}

func (t *tally) link(change int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.links += change
}

func (t *tally) snapshot() tallySnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := tallySnapshot{methods: maps.Clone(t.methods), nodes: maps.Clone(t.nodes), links: t.links}
	// What senders are not known of belongs to no node.
	delete(s.nodes, "")

	return s
}
