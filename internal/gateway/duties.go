package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"quincepath.example/quincepath/internal/gateway/leader"
	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/prober"
)

// lifeBase keeps the names of processes short, which the account of usage repeats for each node.
const lifeBase = 36

// mostCandidates is the number of nodes that stand for the platform's duties at once.
const mostCandidates = 4

func (n *Node) newTallier() *tallier.Tallier {
	options := tallier.Options{Incarnation: strconv.FormatUint(rand.Uint64(), lifeBase), Now: n.catalog.Now, TimeOfDay: time.Now}

	if settings := n.settings.Gateway.Duties; settings.ReportsUsage() {
		options.Window = settings.UsageWindow
	}

	return tallier.New(options)
}

// addDuties lets the node stand for the platform's duties, if there are any.
func (n *Node) addDuties(parts DutyBackends) {
	settings := n.settings.Gateway.Duties
	if !settings.ReportsUsage() && !settings.Scales() {
		return
	}

	options := leader.Options{
		Node:           n.settings.Node.Name,
		Self:           n.settings.Node.PeerListen,
		Incarnation:    uuid.NewString(),
		Store:          parts.Store,
		Platform:       parts.Platform,
		Peers:          n.messages,
		IsCandidate:    n.isCandidate,
		IsLeaving:      func() bool { return n.leaving() > 0 },
		Nodes:          n.answering,
		State:          n.catalog.State,
		Lease:          settings.Lease,
		CallsPerSecond: settings.CallsPerSecond,
		Scales:         settings.Scales(),
		Policy:         n.scalingPolicy,
		Now:            n.catalog.Now,
		Logger:         n.logger,
	}

	if settings.ReportsUsage() {
		options.Window, options.ReportDeadline = settings.UsageWindow, settings.UsageDue
	}

	n.leader = leader.New(options)
}

// scalingPolicy returns what is to be kept of upstreams; false while nothing shall be ordered.
func (n *Node) scalingPolicy() (scaler.Policy, bool) {
	settings := n.current.Load().Gateway.Duties

	return scaler.Policy{
		MinRegular: settings.RegularUpstreams, MaxFraction: settings.MostPart, MinFraction: settings.LeastPart,
	}, settings.OrderUpstreams
}

// isCandidate says whether this node is one of those that should take the duties. Only strong nodes do, in an order that
// all nodes know; it differs from that of the names, so that the duties don't lie where other work does.
func (n *Node) isCandidate() bool {
	if n.leaving() > 0 {
		return false
	}

	strong := slices.Clone(n.holders())
	slices.SortFunc(strong, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String("duties"+a), xxhash.Sum64String("duties"+b))
	})

	return slices.Contains(strong[:min(len(strong), mostCandidates)], n.settings.Node.PeerListen)
}

// answering returns the names of the nodes that may answer: all that aren't dead, this one included.
func (n *Node) answering() []string {
	names := []string{n.settings.Node.PeerListen}

	for _, member := range n.prober.Members() {
		if member.State != prober.Dead && member.Name != names[0] {
			names = append(names, member.Name)
		}
	}

	return names
}
