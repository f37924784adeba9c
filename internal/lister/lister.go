// Package lister returns the ordered list of node addresses that a caller should use.
//
// There is no load balancer in front of the nodes; the order of the lists balances the load instead. Most callers connect to the
// first addresses. The others are fallbacks and are therefore spread over several failure domains.
package lister

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Node is a node that a list may contain.
type Node struct {
	Name          string
	Address       string
	FailureDomain string
	// Suspect nodes are listed after all others.
	Suspect bool
	// Leaving nodes are omitted unless all nodes are leaving.
	Leaving bool
	// LoadPercent is the utilisation of the node. Nodes with a higher load are listed first for fewer callers.
	LoadPercent int
}

// HolderLookup returns the nodes that hold the pools of a service. Callers of the service should preferably use these.
type HolderLookup interface {
	HoldersOf(service string) []string
}

// Options configures a Lister.
type Options struct {
	// MaxEntries is the maximum number of entries in a list. 0 means 8.
	MaxEntries int
	// EntryLifetime is how long a caller may use a list.
	EntryLifetime time.Duration
	// Seed is the seed of the random order.
	Seed uint64
	// Holders may be nil.
	Holders HolderLookup
	// FullSteeringLoad is the load in percent below which a holder is listed first for all callers of its services. 0 means 50.
	// From there to NoSteeringLoad, the share of these callers falls to zero.
	FullSteeringLoad int
	// NoSteeringLoad is the load in percent from which a holder is not preferred. 0 means 90.
	NoSteeringLoad int
}

// Caller is what a caller states about itself. Both fields may be empty.
type Caller struct {
	Service       string
	FailureDomain string
}

// Entry is one address of a list.
type Entry struct {
	Node          string
	Address       string
	FailureDomain string
}

// EntryList is a list of at most Options.MaxEntries entries, the best first.
type EntryList struct {
	Entries []Entry
	// Lifetime is how long the caller may use the list.
	Lifetime time.Duration
}

const (
	defaultMaxEntries = 8
	// minFreeFraction is the free fraction that is assumed for a full node.
	minFreeFraction = 0.05

	defaultFullSteeringLoad = 50
	defaultNoSteeringLoad   = 90
)

// Lister returns lists of entries. It is safe for concurrent use.
type Lister struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a Lister.
func New(options Options) *Lister {
	if options.MaxEntries <= 0 {
		options.MaxEntries = defaultMaxEntries
	}

	if options.FullSteeringLoad <= 0 {
		options.FullSteeringLoad = defaultFullSteeringLoad
	}

	if options.NoSteeringLoad <= 0 {
		options.NoSteeringLoad = defaultNoSteeringLoad
	}

	return &Lister{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
}

// candidate is a node with the values by which it is ordered.
type candidate struct {
	Node
	// sortKey is a random number that tends to be smaller for nodes with a lower load. The smallest is first.
	sortKey float64
	// mayPrefer is true if the load of the node allows this caller to be steered to it as a holder.
	mayPrefer bool
	// domainRank is the position of the node within its failure domain.
	domainRank int
}

// List returns the list of entries for one caller. The nodes include this node and no dead nodes.
func (l *Lister) List(caller Caller, nodes []Node) EntryList {
	available := excludeLeaving(nodes)
	candidates := l.shuffle(available)

	chosen := l.choosePreferred(caller, candidates)
	chosen = append(chosen, alternateDomains(candidates, chosen)...)

	// A stable sort keeps the order above among suspects and among the others.
	slices.SortStableFunc(chosen, func(a, b *candidate) int { return falseFirst(a.Suspect, b.Suspect) })

	list := EntryList{Lifetime: l.options.EntryLifetime, Entries: make([]Entry, 0, l.options.MaxEntries)}

	for _, c := range chosen[:min(len(chosen), l.options.MaxEntries)] {
		list.Entries = append(list.Entries, Entry{Node: c.Name, Address: c.Address, FailureDomain: c.FailureDomain})
	}

	return list
}

// excludeLeaving returns the nodes that are not leaving, or all nodes if all are leaving, since these still serve for a while.
func excludeLeaving(nodes []Node) []Node {
	var staying []Node

	for _, n := range nodes {
		if !n.Leaving {
			staying = append(staying, n)
		}
	}

	if len(staying) == 0 {
		return nodes
	}

	return staying
}

// shuffle returns the nodes in a weighted random order. A node with half the free capacity of another gets half as many callers.
func (l *Lister) shuffle(nodes []Node) []*candidate {
	l.mu.Lock()
	defer l.mu.Unlock()

	candidates := make([]*candidate, 0, len(nodes))
	for _, n := range nodes {
		candidates = append(candidates, &candidate{Node: n, sortKey: l.random.ExpFloat64() / freeFraction(n.LoadPercent), mayPrefer: l.isSteeredToLocked(n.LoadPercent)})
	}

	slices.SortFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.sortKey, b.sortKey) })

	return candidates
}

// isSteeredToLocked reports whether a holder with the given load should be preferred for one more caller.
//
// Steering all callers of a service to its holder needs the fewest messages between nodes. However, a service with more requests than
// its holder can run at once would fill the holder, which would then refuse them and those of its other services while other
// nodes idle. With a single threshold, all callers would oscillate between the holder and other nodes, because loads are
// seconds old and lists are used even longer. The share of steered callers therefore falls as the load rises, and the load
// reaches an equilibrium. The caller holds l.mu.
func (l *Lister) isSteeredToLocked(load int) bool {
	full, none := l.options.FullSteeringLoad, l.options.NoSteeringLoad
	if load < full {
		return true
	}

	return load < none && l.random.IntN(none-full) < none-load
}

// freeFraction returns the free fraction of a node's capacity. It is greater than 0 for a full node, since the load is seconds old.
func freeFraction(load int) float64 {
	return math.Max(float64(100-load)/100, minFreeFraction)
}

// choosePreferred chooses up to half of the list: holders of the service's pools, then nodes in the caller's failure domain.
func (l *Lister) choosePreferred(caller Caller, candidates []*candidate) []*candidate {
	var holders []string
	if caller.Service != "" && l.options.Holders != nil {
		holders = l.options.Holders.HoldersOf(caller.Service)
	}

	isHolder := func(c *candidate) bool { return c.mayPrefer && slices.Contains(holders, c.Name) }
	isLocal := func(c *candidate) bool { return caller.FailureDomain != "" && c.FailureDomain == caller.FailureDomain }

	chosen := l.appendMatching(nil, candidates, func(c *candidate) bool { return isHolder(c) && isLocal(c) })
	chosen = l.appendMatching(chosen, candidates, isHolder)

	return l.appendMatching(chosen, candidates, isLocal)
}

// appendMatching appends matching candidates that are neither suspect nor chosen, until half of the list is filled.
func (l *Lister) appendMatching(chosen, candidates []*candidate, matches func(*candidate) bool) []*candidate {
	for _, c := range candidates {
		if len(chosen) >= max(l.options.MaxEntries/2, 1) {
			break
		}

		if c.Suspect || !matches(c) || slices.Contains(chosen, c) {
			continue
		}

		chosen = append(chosen, c)
	}

	return chosen
}

// alternateDomains returns the other candidates in an order that alternates between failure domains, those not yet chosen first.
func alternateDomains(candidates, chosen []*candidate) []*candidate {
	ranks := make(map[string]int)
	for _, c := range chosen {
		ranks[c.FailureDomain]++
	}

	var rest []*candidate

	// Suspects are ranked last, so that they do not take the first position of their domain from a node that responds.
	for _, suspect := range []bool{false, true} {
		for _, c := range candidates {
			if c.Suspect != suspect || slices.Contains(chosen, c) {
				continue
			}

			c.domainRank = ranks[c.FailureDomain]
			ranks[c.FailureDomain]++
			rest = append(rest, c)
		}
	}

	slices.SortStableFunc(rest, func(a, b *candidate) int {
		if a.Suspect != b.Suspect {
			return falseFirst(a.Suspect, b.Suspect)
		}

		return a.domainRank - b.domainRank
	})

	return rest
}

// falseFirst compares a and b so that false sorts before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
