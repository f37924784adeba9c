package server

import (
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/granter"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/scheduler"
)

// newSlotter returns who grants slots under the node's routing policy.
func (n *Node) newSlotter() dispatcher.SlotGranter {
	if n.settings.Routing.Policy == loader.PolicyPowerOfTwo {
		return n.placer
	}

	options := granter.Options{
		Node:          n.identity.node,
		Incarnation:   n.identity.incarnation,
		MessagePolicy: granter.MessagePerRequest,
		Logger:        n.logger,
		Pool: scheduler.Options{
			EnginePriority: n.settings.Routing.EnginePriority,
			Oversubscribe:  n.settings.Routing.Oversubscribe,
			CacheHints:     n.prefixes,
		},
	}

	if n.settings.Routing.Policy == loader.PolicyQueueCredits {
		options.MessagePolicy = granter.MessageBatched
	}

	holder := granter.NewHolder(n.work, n.tree, n.members, n.messages, options)
	router := granter.NewRouter(n.work, holder, n.placer, n.tree, n.members, n.messages, options)

	n.router = router
	n.messages.Handle(granter.MethodAsk, holder.HandleAsk)
	n.messages.Handle(granter.MethodRelease, holder.HandleRelease)
	n.messages.Handle(granter.MethodDecided, router.HandleDecided)
	n.messages.Handle(granter.MethodInFlight, router.HandleInFlight)

	return router
}
