package server

import (
	"maps"
	"reflect"
	"slices"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/connector"
	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/limiter"
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
	n.vms = n.newVMList()
	n.claims = n.newClaims(store)
	n.messages.Handle(claimer.MethodWrite, n.claims.HandleWrite)
	n.editor = configurer.NewEditor(store, configurer.EditorOptions{})

	return nil
}

// newDistributor returns what keeps the settings in force up to date.
func (n *Node) newDistributor() *distributor.Distributor {
	options := distributor.Options{
		Self:    n.members.self,
		Caller:  n.messages,
		Members: treeMembers{n.members},
		Initial: n.tree.Snapshot(),
		Logger:  n.logger,
	}

	// A nil pointer in the interface would not count as no store.
	if n.store != nil {
		options.Store = n.store
	}

	n.messages.Handle(limiter.MethodReport, n.limits.owner.HandleReport)
	n.messages.Handle(limiter.MethodRequestReports, n.limits.local.HandleReportRequest)

	created := distributor.New(options)
	created.Subscribe(n.applyTree)
	n.messages.Handle(distributor.MethodPull, created.HandlePull)
	n.messages.Handle(distributor.MethodAnnounce, created.HandleAnnounce)

	return created
}

// applyTree puts a settings tree in force on this node.
func (n *Node) applyTree(snapshot configurer.Snapshot) {
	before := n.tree.set(snapshot)
	n.setPools(before, snapshot)
}

// setPools tells the ejector which upstreams are compared with each other, where that
// is not as it was before. Services that are gone are forgotten.
func (n *Node) setPools(before, snapshot configurer.Snapshot) {
	for name, service := range snapshot.Services {
		if !sameMap(before.Services[name].Upstreams, service.Upstreams) {
			n.ejector.SetMembers(name, slices.Sorted(maps.Keys(service.Upstreams)))
		}
	}

	for name := range before.Services {
		if _, ok := snapshot.Services[name]; !ok {
			n.ejector.SetMembers(name, nil)
		}
	}
}

// sameMap reports whether two maps are one, which snapshots share while nothing in it changes.
func sameMap(a, b map[string]configurer.Upstream) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
