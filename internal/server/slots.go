package server

import (
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/granter"
	"quincepath.example/quincepath/internal/loader"
)

// newSlotter returns who grants slots under the node's routing policy.
func (n *Node) newSlotter() dispatcher.Slotter {
	if n.settings.Routing.Policy == loader.PolicyPowerOfTwo {
		return n.placer
	}

	options := granter.Options{
		Node:        n.identity.node,
		Incarnation: n.identity.incarnation,
		Policy:      granter.PolicyPerRequest,
	}

	if n.settings.Routing.Policy == loader.PolicyQueueCredits {
		options.Policy = granter.PolicyBatched
	}

	holder := granter.NewHolder(n.work, n.tree, n.members, n.messages, options)
	router := granter.NewRouter(n.work, holder, n.placer, n.tree, n.members, n.messages, options)

	n.messages.Handle(granter.MethodAsk, holder.HandleAsk)
	n.messages.Handle(granter.MethodRelease, holder.HandleRelease)
	n.messages.Handle(granter.MethodDecided, router.HandleDecided)
	n.messages.Handle(granter.MethodInFlight, router.HandleInFlight)

	return router
}

// staticMembers are the nodes that the settings name; all count as alive.
type staticMembers struct {
	names []string
}

func newStaticMembers(settings loader.Settings) *staticMembers {
	members := &staticMembers{names: []string{settings.Node.Name}}

	for _, peer := range settings.Peers.Nodes {
		if peer.Name != settings.Node.Name {
			members.names = append(members.names, peer.Name)
		}
	}

	return members
}

// Live returns the names of all nodes.
func (s *staticMembers) Live() []string {
	return s.names
}
