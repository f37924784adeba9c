package gateway

import (
	"cmp"
	"context"
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

// processIDBase is the number base of process IDs. It keeps them short, since usage records contain one for each node.
const processIDBase = 36

// maxDutyCandidates is the maximum number of nodes that compete for the platform's duties at the same time.
const maxDutyCandidates = 4

func (n *Node) newTallier() *tallier.Tallier {
	options := tallier.Options{Incarnation: strconv.FormatUint(rand.Uint64(), processIDBase), Now: n.catalog.Now, TimeOfDay: time.Now}

	if settings := n.settings.Gateway.Duties; settings.ReportsUsage() {
		options.Window = settings.UsageWindow
	}

	return tallier.New(options)
}

// addLeader makes the node a candidate for the platform's duties, if the settings enable any.
func (n *Node) addLeader(backends DutyBackends) {
	settings := n.settings.Gateway.Duties
	if !settings.ReportsUsage() && !settings.Scales() {
		return
	}

	options := leader.Options{
		Node:           n.settings.Node.Name,
		Self:           n.settings.Node.PeerListen,
		Incarnation:    uuid.NewString(),
		Store:          backends.Store,
		Platform:       backends.Platform,
		Peers:          n.messages,
		IsCandidate:    n.isDutyCandidate,
		IsLeaving:      func() bool { return n.leavingFor() > 0 },
		Nodes:          n.nodesNotDead,
		State:          n.catalog.State,
		Lease:          settings.Lease,
		CallsPerSecond: settings.CallsPerSecond,
		Scales:         settings.Scales(),
		Policy:         n.scalingPolicy,
		MeasureDemand:  n.measureDemand,
		Now:            n.catalog.Now,
		Logger:         n.logger,
	}

	if settings.ReportsUsage() {
		options.Window, options.ReportDeadline = settings.UsageWindow, settings.UsageDue
	}

	n.leader = leader.New(options)
}

// scalingPolicy returns the policy for the number of upstreams, and false while ordering upstreams is disabled.
func (n *Node) scalingPolicy() (scaler.Policy, bool) {
	settings := n.current.Load().Gateway.Duties

	return scaler.Policy{
		MinRegular: settings.RegularUpstreams, MaxFraction: settings.MostPart, MinFraction: settings.LeastPart,
		ByNeed: settings.OrderByNeed,
	}, settings.OrderUpstreams
}

// measureDemand returns the demand of services.
func (n *Node) measureDemand(ctx context.Context, services []string) map[string]scaler.Demand {
	demands := make(map[string]scaler.Demand, len(services))

	for service, u := range n.broker.Utilisation(ctx, services) {
		demands[service] = scaler.Demand{
			Work: u.Load(), Running: u.Servers,
			Queued: u.Queued, Late: u.Late, Refused: u.Refused, InProgress: u.InProgress,
		}
	}

	return demands
}

// isDutyCandidate reports whether this node should compete for the duties. The candidates are the first strong nodes in
// a hash order that is the same on all nodes and differs from the order of the names, so that the duties don't fall to
// nodes that already have other work.
func (n *Node) isDutyCandidate() bool {
	if n.leavingFor() > 0 {
		return false
	}

	strong := slices.Clone(n.strongNodes())
	slices.SortFunc(strong, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String("duties"+a), xxhash.Sum64String("duties"+b))
	})

	return slices.Contains(strong[:min(len(strong), maxDutyCandidates)], n.settings.Node.PeerListen)
}

// nodesNotDead returns the names of all nodes that may respond, including suspected and leaving ones and this node.
func (n *Node) nodesNotDead() []string {
	names := []string{n.settings.Node.PeerListen}

	for _, member := range n.prober.Members() {
		if member.State != prober.Dead && member.Name != names[0] {
			names = append(names, member.Name)
		}
	}

	return names
}
