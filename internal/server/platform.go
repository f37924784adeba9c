package server

import (
	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/connector"
)

// connectPlatform makes the client of the platform's store; it connects when first used.
func (n *Node) connectPlatform() error {
	if len(n.settings.Platform.Addresses) == 0 {
		return nil
	}

	store, err := connector.New(connector.Options{
		Addresses:   n.settings.Platform.Addresses,
		Token:       n.settings.Platform.Token,
		CallTimeout: n.settings.Platform.CallTimeout,
	})
	if err != nil {
		return err
	}

	n.store = store
	n.claims = claimer.New(n.work, store, claimer.Options{
		Node:        n.identity.node,
		Incarnation: n.identity.incarnation,
		Caller:      n.messages,
	})
	n.messages.Handle(claimer.MethodWrite, n.claims.HandleWrite)
	n.editor = configurer.NewEditor(store, configurer.EditorOptions{})

	return nil
}
