package server

import (
	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/loader"
)

// members are the nodes of the fleet. Until they are probed, all that the settings name count as alive.
type members struct {
	nodes []distributor.Member
	names []string
}

func newMembers(settings loader.Settings) *members {
	self := distributor.Member{Name: settings.Node.Name, FailureDomain: settings.Node.FailureDomain}
	m := &members{nodes: []distributor.Member{self}}

	for _, peer := range settings.Peers.Nodes {
		if peer.Name != self.Name {
			m.nodes = append(m.nodes, distributor.Member{Name: peer.Name, FailureDomain: peer.FailureDomain})
		}
	}

	for _, node := range m.nodes {
		m.names = append(m.names, node.Name)
	}

	return m
}

// Live returns the names of the nodes that answer, this one included.
func (m *members) Live() []string {
	return m.names
}

// known is the number of nodes that may exist.
func (m *members) known() int {
	return len(m.names)
}

// treeMembers shows the members to the distributor.
type treeMembers struct {
	*members
}

// Live implements distributor.Members.
func (t treeMembers) Live() []distributor.Member {
	return t.nodes
}
