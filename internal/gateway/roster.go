package gateway

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/prober"
	"quincepath.example/quincepath/internal/throttler"
)

// roster is what a node derives from its view of the other nodes. It is immutable.
type roster struct {
	// version, nodes, dead, leaving and ready are the inputs: the version of the prober's roster, the listed nodes, how many of them are
	// known to be dead, and whether this node is leaving and accepts requests.
	version        uint64
	nodes          cataloguer.Index[cataloguer.Node]
	dead           int
	leaving, ready bool
	// spread is true if weaker nodes are strong enough too.
	spread bool

	// live are the nodes that respond and are not leaving, this one first; departing are the others that respond and are leaving.
	live, departing []string
	// near are the other live nodes in this node's failure domain, far those in others.
	near, far []string
	// strong are the live nodes with enough capacity to decide for others, sorted by name.
	strong []string
	// entries are the nodes that callers may use.
	entries []entry
	// absent is the number of listed nodes that are known to be dead or leaving.
	absent int
	// limitShare is the part of the upstreams' rate limits that this node may use together with those that it reaches.
	limitShare float64
	// listed are the names of the listed nodes, sorted.
	listed []string
	// whole is true if all listed nodes respond.
	whole bool
}

// currentRoster returns the roster, which is derived anew only if one of its inputs changed: it is asked for dozens of times
// a second, and deriving it takes time in proportion to the fleet.
func (n *Node) currentRoster() *roster {
	members := n.prober.Roster(time.Now())
	nodes := n.catalog.State().Registry.Nodes
	leaving, ready := n.leavingFor() > 0, n.ready()

	known := n.roster.Load()
	if known != nil && known.version == members.Version && known.nodes.Equal(&nodes) && known.leaving == leaving && known.ready == ready {
		return known
	}

	next := &roster{version: members.Version, nodes: nodes, leaving: leaving, ready: ready, dead: members.Dead}
	next.spread = n.settings.Gateway.Scheduling.SpreadHolders
	next.derive(members.Members, n.settings.Node)
	n.roster.Store(next)

	return next
}

// derive sets the fields that follow from the inputs.
func (r *roster) derive(members []prober.Member, node loader.Node) {
	self := node.PeerListen

	for listed := range r.nodes.All() {
		r.listed = append(r.listed, listed.Name)
	}

	r.live = []string{self}
	r.absent = r.dead
	listed := 0

	if r.nodes.Contains(self) {
		listed++
	}

	if r.ready {
		r.addEntry(self, node.Advertise)
	}

	for _, member := range members {
		if member.Name == self {
			continue
		}

		if r.nodes.Contains(member.Name) {
			listed++
		}

		if isEntry(&member) {
			r.addEntry(member.Name, member.Address)
		}

		if member.Leaving {
			r.departing = append(r.departing, member.Name)

			if r.nodes.Contains(member.Name) {
				r.absent++
			}

			continue
		}

		r.live = append(r.live, member.Name)

		if member.FailureDomain == node.FailureDomain {
			r.near = append(r.near, member.Name)
		} else {
			r.far = append(r.far, member.Name)
		}
	}

	r.weighUnknown()
	r.limitShare = throttler.Share(listed, r.nodes.Len())
	r.whole = listed > 0 && listed == r.nodes.Len()
	r.strong = r.strongNodes(self)
}

// strongNodes returns the live nodes with enough capacity to decide for others. A weak node that decides for a large
// pool responds late, and all others would wait for it before they continue alone.
func (r *roster) strongNodes(self string) []string {
	split := cataloguer.SplitByCapacity
	if r.spread {
		split = cataloguer.SplitForSpreading
	}

	strong, _ := split(r.live, &r.nodes)

	// live always includes this node, also while it is leaving.
	if r.leaving {
		strong = slices.DeleteFunc(strong, func(name string) bool { return name == self })
	}

	if len(strong) == 0 {
		strong = slices.Clone(r.live)
	}

	slices.Sort(strong)

	return strong
}

// nodeCapacity returns the capacity of a node, 0 if it isn't known.
func (n *Node) nodeCapacity(name string) float64 {
	nodes := n.catalog.State().Registry.Nodes
	node, _ := nodes.Get(name)

	return node.Capacity
}
