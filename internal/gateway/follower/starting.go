package follower

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// listDelay is how long a node that has just started waits for the answer of a seed before it lists the nodes itself. A
	// seed that runs answers within some milliseconds. listSpread spreads the nodes that start together.
	listDelay  = 100 * time.Millisecond
	listSpread = 300 * time.Millisecond
	// listTimeout bounds the listing.
	listTimeout = 300 * time.Millisecond
	// startReaders is the number of listed nodes that read the store at a start without seeds: enough that one of them runs,
	// and a constant, since each read is paid for and a list of 10,000 upstreams is 4 MB.
	startReaders = 8
	// maxOffered limits the nodes to which one node offers its first state. startReaders nodes together reach 2,000.
	maxOffered = 256
)

// NodeLister lists the nodes of the deployment.
type NodeLister interface {
	// Nodes returns the listed nodes, at least some hundred of them in the same order for all callers. The list may be seconds
	// old.
	Nodes(ctx context.Context) ([]cataloguer.Node, error)
}

// starting is the progress of a start without seeds. Follower.mu guards it.
//
// Without it, only the seeds read the store at a start, and all other nodes wait for them. If all nodes of a fleet lose
// power and the seeds are the last ones to return, no request is served before they have read the store, although most
// nodes have been running for half a second. With it, a node that no seed answers lists the nodes, the first startReaders
// of them read the store, and each of these offers its state to the others, which pass it on.
type starting struct {
	// listed is set once the listing has started.
	listed bool
	// reads is set if this node is one of those that read the store.
	reads bool
}

// listDelayOf returns the time after its start at which a node lists the nodes.
func listDelayOf(name string) time.Duration {
	return listDelay + time.Duration(chooser.Fraction(xxhash.Sum64String(name))*float64(listSpread))
}

// scheduleListing reports whether this node should list the nodes now, and records that it does.
func (f *Follower) scheduleListing() bool {
	if f.options.NodeLister == nil || f.hasState() || f.isSeed() {
		return false
	}

	now := f.options.Catalog.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.starting.listed || f.lastAnsweredPullAt >= f.createdAt || now-f.createdAt < listDelayOf(f.options.Self.Name) {
		return false
	}

	f.starting.listed = true

	return true
}

// listNodes lists the nodes and decides whether this one is among those that read the store.
func (f *Follower) listNodes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()

	nodes, err := f.options.NodeLister.Nodes(ctx)
	rank := startRank(f.options.Self.Name, nodes)
	reads := err == nil && rank >= 0 && rank < startReaders

	f.mu.Lock()
	f.starting.reads = reads
	f.counters.StartListings++
	f.mu.Unlock()

	f.options.Logger.Info().AnErr("reason", err).Int("listed", len(nodes)).Int("rank", rank).Bool("reads_store", reads).Msg("start_without_seeds")

	if reads {
		f.wakeLoop()
	}
}

// startRank returns a node's position among the listed nodes, the strong ones first; -1 if it isn't listed.
func startRank(self string, nodes []cataloguer.Node) int {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}

	registry := cataloguer.NewRegistry(cataloguer.Listing{Nodes: nodes})

	return slices.Index(orderNodes(names, &registry.Nodes), self)
}

// offerState offers the first state that this node has read to other listed nodes. Each that receives it takes over half of
// those that remain.
func (f *Follower) offerState(ctx context.Context) {
	var names []string
	for node := range f.options.Catalog.State().Registry.Nodes.All() {
		names = append(names, node.Name)
	}

	// Several nodes offer the state at once; each begins with others.
	f.mu.Lock()
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	f.mu.Unlock()

	f.takeOver(ctx, names[:min(len(names), maxOffered)])
}
