package follower

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// substituteAge is the configuration age at which the second node reads the store itself. It exceeds the sum of
	// the root's read interval, the interval of pulls from it and a tick of each, which is the highest age in normal
	// operation.
	substituteAge = 1250 * time.Millisecond
	// substituteAgeStep is added for each following rank, up to linearSubstitutes ranks: these nodes replace the root
	// one by one. The last of nine must still meet the two seconds in which changes of keys and routes take effect,
	// in case the store rejects all others.
	substituteAgeStep = 50 * time.Millisecond
	linearSubstitutes = 8
	// substituteAgeGrowth multiplies that age for each rank behind them. While no node can read, the number of nodes
	// that try grows with the logarithm of time and not with the fleet: about twelve in eight seconds. Otherwise 300
	// nodes would call a store that rejects them, and every call is paid for.
	substituteAgeGrowth = 1.5
	// isolatedReadAge is the read age of a node that no peer answers, as no other node can help it.
	isolatedReadAge = substituteAge + linearSubstitutes*substituteAgeStep
	// startReadAge is the read age of a node that just started and whose peers have no configuration either, or that
	// can't know its rank yet: the seeds read the store first. The others follow by their rank, in case the store
	// rejects all seeds.
	startReadAge = 2 * isolatedReadAge
	// firstAnswerTime is how long a seed that has just started waits at most for the answers of the other seeds.
	firstAnswerTime = 150 * time.Millisecond
	// statefulPeerTime is how long after such an answer a node without a state goes on asking its peers.
	statefulPeerTime = 3 * time.Second
	// startTime is how long after its start a node may know too few others to know its rank.
	startTime = 10 * time.Second
	// readAgeJitter separates nodes that become due at the same time.
	readAgeJitter = 100 * time.Millisecond
	// isolationTimeout is the time without an answered pull after which a node considers itself isolated.
	isolationTimeout = 1500 * time.Millisecond
)

// readAgeLocked returns the configuration age above which this node reads the store itself. f.mu must be held.
func (f *Follower) readAgeLocked(t *tree, now time.Duration) time.Duration {
	state := f.options.Catalog.State()
	isSeed := f.isSeed()
	// A node that just started knows few others, so having the lowest rank among them doesn't make it the root.
	isFirst := t.rank == 0 && f.knowsMostLocked(t, state) && (len(t.order) > 1 || isSeed || f.absentNodesLocked(t) > 0)
	// A node that a peer told to wait is not isolated meanwhile.
	isIsolated := now-max(f.lastAnsweredPullAt, f.createdAt, f.retryAt) > isolationTimeout

	hasState := state.IsComplete()
	// An older copy of the store may lack what the other nodes know, so a seed that has just started asks them first.
	startsAlone := isSeed && now-f.statefulPeerAt > statefulPeerTime

	switch {
	case f.readsAtOnceLocked(hasState, isFirst):
		return 0
	case !hasState && startsAlone && f.hasAskedSeedsLocked():
		return 0
	case !hasState && startsAlone:
		return firstAnswerTime
	case isIsolated:
		return isolatedReadAge + f.jitterLocked(readAgeJitter)
	case !hasState || now-f.createdAt < startTime && f.isRankUnknownLocked(t, state):
		return startReadAge + f.startRankAge(state.Registry.Nodes.Len()) + f.jitterLocked(readAgeJitter)
	case len(t.order) == 1:
		// Peers answer this node, but it doesn't know which of them are live.
		return isolatedReadAge + f.jitterLocked(readAgeJitter)
	default:
		return substituteAgeForRank(t.rank) + propagationLag(t) + f.jitterLocked(readAgeJitter)
	}
}

// isSeed reports whether this node is a seed, as each node is if the settings name none.
func (f *Follower) isSeed() bool {
	seeds := f.options.Seeds()

	return len(seeds) == 0 || slices.Contains(seeds, f.options.Self.Name)
}

// readsAtOnceLocked reports whether this node reads the store whatever the age of its configuration. f.mu must be held.
func (f *Follower) readsAtOnceLocked(hasState, isFirst bool) bool {
	if !hasState && f.starting.reads {
		return true
	}

	return f.isSubstitute || f.peerLacksEra || hasState && isFirst
}

// hasAskedSeedsLocked reports whether each other seed has answered this seed since its start, or failed to. Other nodes don't read the
// store at their start, so they have nothing to ask before. f.mu must be held.
func (f *Follower) hasAskedSeedsLocked() bool {
	seeds := f.options.Seeds()

	return !slices.Contains(seeds, f.options.Self.Name) || f.startPulls >= len(seeds)-1
}

// isRankUnknownLocked reports whether this node's rank among the nodes that it knows says little about its rank among all: it is
// not listed, as the others that start with it, or it knows less than half of the listed nodes that may be live. At a start of
// 1,000 nodes hundreds of them would be among the first nine of the few that each one knows, and read the store. f.mu must be held.
func (f *Follower) isRankUnknownLocked(t *tree, state *cataloguer.State) bool {
	return !state.Registry.Nodes.Contains(f.options.Self.Name) || !f.knowsMostLocked(t, state)
}

// knowsMostLocked reports whether more than half as many nodes are known to be live as are listed and may be live. Nodes that were removed
// stay listed for long: if they counted, the few that are left of many would never know most. f.mu must be held.
func (f *Follower) knowsMostLocked(t *tree, state *cataloguer.State) bool {
	return 2*len(t.order) > state.Registry.Nodes.Len()-f.absentNodesLocked(t)
}

// absentNodesLocked returns the number of listed nodes that are known to be dead or leaving. A node that has just started takes it from its
// peers: they may restart before its own probes of the absent ones have failed. f.mu must be held.
func (f *Follower) absentNodesLocked(t *tree) int {
	absent := 0
	if f.options.AbsentNodes != nil {
		absent = f.options.AbsentNodes()
	}

	heard := f.heardAbsent.nodes
	if heard == 0 || f.options.Catalog.Now()-f.createdAt >= startTime {
		return absent
	}

	// The peer didn't count itself.
	if !slices.Contains(t.order, f.heardAbsent.from) {
		heard++
	}

	return max(absent, heard)
}

// startRankAge returns how much longer than others a node waits that just started. The nodes don't know each other yet, so
// each takes a rank among those that wait or are listed by the hash of its name. f.mu must be held.
func (f *Follower) startRankAge(listed int) time.Duration {
	fraction := chooser.Fraction(xxhash.Sum64String(f.options.Self.Name))

	return substituteAgeForRank(1+int(fraction*float64(max(f.waitingNodes, listed)))) - substituteAge
}

// substituteAgeForRank returns the read age of a node by its rank.
func substituteAgeForRank(rank int) time.Duration {
	linear := substituteAge + time.Duration(min(max(rank-1, 0), linearSubstitutes))*substituteAgeStep
	exponent := max(rank-1-linearSubstitutes, 0)

	// Above an hour the exact age doesn't matter, and higher exponents would overflow a duration.
	const maxExponent = 40

	return time.Duration(float64(linear) * math.Pow(substituteAgeGrowth, float64(min(exponent, maxExponent))))
}

// propagationLag returns by how much a node's configuration is older than that of the root's children.
func propagationLag(t *tree) time.Duration {
	return time.Duration(max(t.depth-1, 0)) * (pullInterval + tickInterval)
}
