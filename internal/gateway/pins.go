package gateway

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/archiver"
	"quincepath.example/quincepath/internal/gateway/pinner"
)

// newPinner returns the pinner, whose records the strong nodes hold. The stores of versions and of the archive may be nil.
func (n *Node) newPinner(versions pinner.VersionStore, archive archiver.Store) *pinner.Pinner {
	options := pinner.Options{
		Self:          n.settings.Node.PeerListen,
		Live:          n.strongNodes,
		Leaving:       n.leavingNodes,
		Listed:        n.listedNodes,
		Whole:         func() bool { return n.currentRoster().whole },
		FailureDomain: n.failureDomain,
		Now:           n.catalog.Now,
		Peers:         n.messages,
		Logger:        n.logger,
		VersionStore:  versions,

		StreamLifetime: func() time.Duration {
			configuration := n.catalog.State().Configuration

			return configuration.StreamLifetime()
		},
	}

	if archive != nil {
		options.Archive = archiver.New(archive, n.catalog.Now)
	}

	return pinner.New(options)
}

// listedNodes returns the names of the listed nodes, sorted. They must not be modified.
func (n *Node) listedNodes() []string {
	return n.currentRoster().listed
}

// failureDomain returns the failure domain of a listed node, or "" if it isn't known.
func (n *Node) failureDomain(node string) string {
	listed, _ := n.catalog.State().Registry.Nodes.Get(node)

	return listed.FailureDomain
}
