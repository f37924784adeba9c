package server

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/prober"
)

// viewInterval is how often the view of live nodes is renewed without a change.
const viewInterval = time.Second

// memberView is what the node's parts see of the fleet. It is immutable.
type memberView struct {
	// live are the names of nodes that answer and stay, this one included unless it leaves; sorted.
	live []string
	// nodes are the same with their failure domains, for the settings tree; leaving ones included.
	nodes []distributor.Member
	// all are all members that are known, dead ones included.
	all []prober.Member
	// runs maps each live node to its incarnation as requests and claims name it.
	runs map[string]string
	// ended maps nodes to the incarnation that was heard before the one in runs, or before silence.
	ended map[string]string
	// unheard maps nodes that are not known to be dead, and have not told their
	// incarnation yet, to the time since which this is so.
	unheard map[string]time.Time
	// shards are the holders of the shards of claims, by number; none when live is empty.
	shards []string
}

// isMember says whether the node is known, dead or alive.
func (v *memberView) isMember(node string) bool {
	return slices.ContainsFunc(v.all, func(m prober.Member) bool { return m.Name == node })
}

// members knows the nodes of the fleet by probes. It is safe for concurrent use.
type members struct {
	prober *prober.Prober
	self   distributor.Member
	view   atomic.Pointer[memberView]
	// changed asks for a new view; it holds at most one.
	changed chan struct{}
	// newcomers are incarnations that claims name and the node has not heard of.
	newcomers newcomers
}

func (n *Node) newMembers() *members {
	node := n.settings.Node
	m := &members{
		self:      distributor.Member{Name: node.Name, FailureDomain: node.FailureDomain},
		changed:   make(chan struct{}, 1),
		newcomers: newcomers{since: make(map[string]time.Time)},
	}

	options := prober.DefaultOptions()
	options.Self = prober.VM{
		Name:          node.Name,
		Address:       node.Advertise,
		PeerAddress:   n.peerAddress(),
		FailureDomain: node.FailureDomain,
	}
	options.Incarnation = n.started.UnixMilli()
	options.Seed = n.identity.seed()
	options.LocalDigest = n.digest
	options.OnDigest = n.observeDigest
	options.OnStateChange = func(prober.Member) { m.refreshSoon() }

	m.prober = prober.New(options)
	m.prober.SetListedNodes(time.Now(), n.listedNodes(nil))
	m.refresh()

	return m
}

// peerAddress is where other nodes reach this one: as the settings list it, else
// the address that it listens on. That may be 0.0.0.0, which nobody reaches.
func (n *Node) peerAddress() string {
	for _, peer := range n.settings.Peers.Nodes {
		if peer.Name == n.settings.Node.Name {
			return peer.PeerAddress
		}
	}

	return n.settings.Node.PeerListen
}

// digest is what each heartbeat tells of this node.
func (n *Node) digest() prober.Digest {
	return prober.Digest{
		Revision:   n.distributor.Revision(),
		Load:       n.loadPercent(),
		Leaving:    n.drain.ShouldCloseConnections(),
		InstanceID: n.identity.incarnation,
	}
}

// loadPercent is how much of the node's places is taken.
func (n *Node) loadPercent() int {
	return 100 * n.runs.count() / n.settings.Node.MaxInFlight
}

func (n *Node) observeDigest(from string, digest prober.Digest) {
	n.distributor.PeerRevision(from, digest.Revision)
}

func (m *members) refreshSoon() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// refresh renews the view from the prober.
func (m *members) refresh() {
	all := m.prober.Members()
	view := &memberView{all: all, runs: make(map[string]string), unheard: make(map[string]time.Time)}

	for _, member := range all {
		if member.State != prober.Dead && member.Digest.InstanceID == "" {
			view.unheard[member.Name] = member.Since
		}
	}

	if !m.prober.Self().Leaving {
		view.live = append(view.live, m.self.Name)
	}

	view.nodes = append(view.nodes, m.self)

	for _, member := range m.prober.Live(time.Now()) {
		if member.Name == m.self.Name {
			continue
		}

		view.nodes = append(view.nodes, distributor.Member{Name: member.Name, FailureDomain: member.FailureDomain})
		view.runs[member.Name] = member.Digest.InstanceID

		if !member.Leaving {
			view.live = append(view.live, member.Name)
		}
	}

	slices.Sort(view.live)

	if last := m.view.Load(); last != nil && slices.Equal(last.live, view.live) {
		view.shards = last.shards
	} else {
		view.shards = spreadShards(view.live)
	}

	m.put(view)
}

// put replaces the view and keeps which incarnations it has ended.
func (m *members) put(view *memberView) {
	former := m.view.Load()
	if former == nil {
		former = &memberView{}
	}

	view.ended = maps.Clone(former.ended)

	for node, run := range former.runs {
		if run == "" || view.runs[node] == run {
			continue
		}

		if view.ended == nil {
			view.ended = make(map[string]string)
		}

		view.ended[node] = run
	}

	m.view.Store(view)
}

// follow renews the view on every change until ctx ends.
func (m *members) follow(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
		case <-m.changed:
		case <-ctx.Done():
			return
		}

		m.refresh()
	}
}

// Live returns the names of the nodes that answer and stay.
func (m *members) Live() []string {
	return m.view.Load().live
}

// leaving returns the names of the nodes that answer and are leaving.
func (m *members) leaving() []string {
	view := m.view.Load()

	var names []string

	for _, node := range view.nodes {
		if !slices.Contains(view.live, node.Name) {
			names = append(names, node.Name)
		}
	}

	return names
}

// peerAddress returns where a node that is not known to be dead answers other
// nodes. Nodes that joined after this one started stand in no settings file that
// it read: only their probes tell where they are.
func (m *members) peerAddress(node string) (string, bool) {
	member, ok := m.prober.Member(node)

	return member.PeerAddress, ok && member.State != prober.Dead && member.PeerAddress != ""
}

// known is the number of nodes that may exist, this one included.
func (m *members) known() int {
	return len(m.view.Load().all)
}

// treeMembers shows the members to the distributor.
type treeMembers struct {
	*members
}

// Live implements distributor.Members.
func (t treeMembers) Live() []distributor.Member {
	return t.view.Load().nodes
}

// listedNodes are the nodes of the settings, and those that joined and that the
// platform's list marks. Marked nodes are leaving.
func (n *Node) listedNodes(leaving map[string]bool) []prober.VM {
	nodes := make([]prober.VM, 0, len(n.settings.Peers.Nodes))
	named := make(map[string]bool, len(n.settings.Peers.Nodes))

	for _, peer := range n.settings.Peers.Nodes {
		named[peer.Name] = true
		nodes = append(nodes, prober.VM{
			Name:          peer.Name,
			Address:       peer.EntryAddress,
			PeerAddress:   peer.PeerAddress,
			FailureDomain: peer.FailureDomain,
			Leaving:       leaving[peer.Name],
		})
	}

	for name, marked := range leaving {
		if member, joined := n.members.prober.Member(name); marked && joined && !named[name] {
			nodes = append(nodes, prober.VM{
				Name:          name,
				Address:       member.Address,
				PeerAddress:   member.PeerAddress,
				FailureDomain: member.FailureDomain,
				Leaving:       true,
			})
		}
	}

	return nodes
}

// probePeers joins the prober to the network until ctx ends.
func (n *Node) probePeers(ctx context.Context) error {
	if n.settings.Node.PeerListen == "" || n.settings.Peers.Credential == "" {
		return nil
	}

	codec, err := prober.NewCodec(n.settings.Peers.Credential)
	if err != nil {
		return err
	}

	heartbeats, err := heartbeater.Listen(ctx, heartbeater.Options{
		Name:   n.identity.node,
		Listen: n.settings.Node.PeerListen,
		Codec:  codec,
		Prober: n.members.prober,
		Logger: n.logger,
	})
	if err != nil {
		return errors.Wrap(err, "probe peers")
	}

	n.heartbeats = heartbeats

	go func() {
		if err := heartbeats.Run(n.work); err != nil {
			n.logger.Error().Err(err).Msg("heartbeats_failed")
		}
	}()

	return nil
}

// peerStatuses describes the other nodes to operators.
func (n *Node) peerStatuses() []administrator.PeerStatus {
	var statuses []administrator.PeerStatus

	for _, member := range n.members.view.Load().all {
		if member.Name != n.identity.node {
			statuses = append(statuses, administrator.PeerStatus{
				Node:          member.Name,
				FailureDomain: member.FailureDomain,
				State:         peerState(member),
			})
		}
	}

	slices.SortFunc(statuses, func(a, b administrator.PeerStatus) int { return strings.Compare(a.Node, b.Node) })

	return statuses
}

func peerState(member prober.Member) string {
	switch {
	case member.State == prober.Dead:
		return "dead"
	case member.Leaving:
		return "leaving"
	case member.State == prober.Live:
		return "alive"
	default:
		return "doubted"
	}
}
