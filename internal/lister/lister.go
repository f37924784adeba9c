// Package lister decides which addresses a caller is told to use, in order.
//
// Nothing balances in front of the nodes: the order of each answer does. The
// first addresses are where most callers connect, the rest are kept for when
// these fail, so they stand in several failure domains.
package lister

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Node is one node that an answer may name.
type Node struct {
	Name          string
	Address       string
	FailureDomain string
	// Suspect nodes stand behind all others.
	Suspect bool
	// Leaving nodes are left out while any other is known.
	Leaving bool
	// LoadPercent is the use of the node in percent; more load means fewer callers.
	LoadPercent int
}

// HolderLookup names the nodes that hold the pools of a service; callers of the service do best there.
type HolderLookup interface {
	HoldersOf(service string) []string
}

// Options are the fixed parameters of a Lister.
type Options struct {
	// MaxEntries bounds the entries of an answer; 0 means 8.
	MaxEntries int
	// EntryLifetime is how long a caller keeps an answer.
	EntryLifetime time.Duration
	// Seed makes the order repeatable.
	Seed uint64
	// Holders may be nil.
	Holders HolderLookup
	// FullSteeringLoad is the load in percent up to which a holder is named first to all
	// callers of its services; 0 means 50. From there to SteerNone ever fewer are.
	FullSteeringLoad int
	// NoSteeringLoad is the load from which a holder is not preferred; 0 means 90.
	NoSteeringLoad int
}

// Caller is what a caller tells about itself; both may be empty.
type Caller struct {
	Service       string
	FailureDomain string
}

// Entry is one address of an answer.
type Entry struct {
	Node          string
	Address       string
	FailureDomain string
}

// EntryList is an ordered list, best first, never longer than Options.Max.
type EntryList struct {
	Entries []Entry
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
}

const (
	defaultMax = 8
	// leastRoom is the free part that a full node counts with.
	leastRoom = 0.05

	defaultSteerBelow = 50
	defaultSteerNone  = 90
)

// Lister makes the answers. It is safe for concurrent use.
type Lister struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a Lister.
func New(options Options) *Lister {
	if options.MaxEntries <= 0 {
		options.MaxEntries = defaultMax
	}

	if options.FullSteeringLoad <= 0 {
		options.FullSteeringLoad = defaultSteerBelow
	}

	if options.NoSteeringLoad <= 0 {
		options.NoSteeringLoad = defaultSteerNone
	}

	return &Lister{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
}

// candidate is a node with what orders it.
type candidate struct {
	Node
	// key is a random number that favours nodes with little load; least first.
	key float64
	// steered says whether this caller would be sent to the node as a holder.
	steered bool
	// rank is the place of the node in its failure domain.
	rank int
}

// List returns the answer for one caller. The nodes include this one; none may be dead.
func (l *Lister) List(caller Caller, nodes []Node) EntryList {
	usable := withoutLeaving(nodes)
	candidates := l.draw(usable)

	chosen := l.prefer(caller, candidates)
	chosen = append(chosen, spread(candidates, chosen)...)

	// Stable: among nodes of equal standing the order made above stays.
	slices.SortStableFunc(chosen, func(a, b *candidate) int { return compareBool(a.Suspect, b.Suspect) })

	answer := EntryList{Lifetime: l.options.EntryLifetime, Entries: make([]Entry, 0, l.options.MaxEntries)}

	for _, c := range chosen[:min(len(chosen), l.options.MaxEntries)] {
		answer.Entries = append(answer.Entries, Entry{Node: c.Name, Address: c.Address, FailureDomain: c.FailureDomain})
	}

	return answer
}

// withoutLeaving drops leaving nodes, but not the last ones: they still serve for a while.
func withoutLeaving(nodes []Node) []Node {
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

// draw gives each node its random key and sorts by it. A node with half the room gets half the callers.
func (l *Lister) draw(nodes []Node) []*candidate {
	l.mu.Lock()
	defer l.mu.Unlock()

	candidates := make([]*candidate, 0, len(nodes))
	for _, n := range nodes {
		candidates = append(candidates, &candidate{Node: n, key: l.random.ExpFloat64() / room(n.LoadPercent), steered: l.steers(n.LoadPercent)})
	}

	slices.SortFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.key, b.key) })

	return candidates
}

// steers says whether a holder with this load is to get one more caller.
//
// All callers of a service at its holder would be the least messages, but a
// service with more callers than its holder has places would fill it, and the
// holder would refuse them, and those of its other services, while others
// idle. A single threshold would send all callers to and fro, since loads are
// seconds old and answers kept longer; so their share falls with the load, and
// the load settles where the share fits. The caller holds l.mu.
func (l *Lister) steers(load int) bool {
	below, none := l.options.FullSteeringLoad, l.options.NoSteeringLoad
	if load < below {
		return true
	}

	return load < none && l.random.IntN(none-below) < none-load
}

// room is the part of a node that is free. A full node keeps a little, since its load is old by seconds.
func room(load int) float64 {
	return math.Max(float64(100-load)/100, leastRoom)
}

// prefer picks up to half of the answer: nodes that hold the service's pools, else nodes of the caller's failure domain.
func (l *Lister) prefer(caller Caller, candidates []*candidate) []*candidate {
	var holders []string
	if caller.Service != "" && l.options.Holders != nil {
		holders = l.options.Holders.HoldersOf(caller.Service)
	}

	held := func(c *candidate) bool { return c.steered && slices.Contains(holders, c.Name) }
	near := func(c *candidate) bool { return caller.FailureDomain != "" && c.FailureDomain == caller.FailureDomain }

	chosen := l.take(nil, candidates, func(c *candidate) bool { return held(c) && near(c) })
	chosen = l.take(chosen, candidates, held)

	return l.take(chosen, candidates, near)
}

func (l *Lister) take(chosen, candidates []*candidate, fits func(*candidate) bool) []*candidate {
	for _, c := range candidates {
		if len(chosen) >= max(l.options.MaxEntries/2, 1) {
			break
		}

		if c.Suspect || !fits(c) || slices.Contains(chosen, c) {
			continue
		}

		chosen = append(chosen, c)
	}

	return chosen
}

// spread orders the rest so that failure domains alternate, those not yet chosen first.
func spread(candidates, chosen []*candidate) []*candidate {
	ranks := make(map[string]int)
	for _, c := range chosen {
		ranks[c.FailureDomain]++
	}

	var rest []*candidate

	// Suspects rank behind: they must not take their domain's place from a node that answers.
	for _, suspect := range []bool{false, true} {
		for _, c := range candidates {
			if c.Suspect != suspect || slices.Contains(chosen, c) {
				continue
			}

			c.rank = ranks[c.FailureDomain]
			ranks[c.FailureDomain]++
			rest = append(rest, c)
		}
	}

	slices.SortStableFunc(rest, func(a, b *candidate) int {
		if a.Suspect != b.Suspect {
			return compareBool(a.Suspect, b.Suspect)
		}

		return a.rank - b.rank
	})

	return rest
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
