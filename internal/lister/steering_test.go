package lister_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/lister"
)

// The fleet has a tenth of the design size, see docs/CAPACITY.md.
const (
	fleetNodes             = 37
	fleetServices          = 11
	requestsPerSecond      = 2800.0
	responseSeconds        = 13.9
	callersPerService      = 40
	entryLifetimeSeconds   = 10
	loadReportDelaySeconds = 2
)

// fleetModel models a fleet in steps of one second. Each caller sends requests at a fixed rate to its entry, which it keeps for
// entryLifetimeSeconds. A request takes responseSeconds on average.
type fleetModel struct {
	lister      *lister.Lister
	nodes       []lister.Node
	holders     holderMap
	entryOf     [fleetServices][callersPerService]int
	inFlight    [fleetNodes]float64
	capacity    float64
	loadReports [][fleetNodes]float64
}

func newFleetModel(options lister.Options, capacity float64) *fleetModel {
	m := &fleetModel{capacity: capacity, nodes: newNodes(fleetNodes, 12), holders: holderMap{}}

	names := make([]string, 0, fleetNodes)
	for _, n := range m.nodes {
		names = append(names, n.Name)
	}

	// As in production, a node holds at most one pool at this size.
	for s := range fleetServices {
		for part := range 2 {
			holder := chooser.New(names).Choose(fmt.Sprint(s, "#", part))
			names = slices.DeleteFunc(names, func(n string) bool { return n == holder })
			m.holders[fmt.Sprint(s)] = append(m.holders[fmt.Sprint(s)], holder)
		}
	}

	options.Holders, options.Seed = m.holders, 1
	m.lister = lister.New(options)

	return m
}

// step advances the model by one second. It returns the share of requests that arrive at a holder, and the share that exceeds the
// capacity of a node.
func (m *fleetModel) step(now int) (steered, refused float64) {
	const rate = requestsPerSecond / fleetServices / callersPerService

	m.loadReports = append(m.loadReports, m.inFlight)

	for i, inFlight := range m.loadReports[max(0, now-loadReportDelaySeconds)] {
		m.nodes[i].LoadPercent = int(100 * inFlight / m.capacity)
		m.inFlight[i] -= m.inFlight[i] / responseSeconds
	}

	for s := range m.entryOf {
		service := fmt.Sprint(s)

		for caller := range m.entryOf[s] {
			if now == 0 || (now+caller)%entryLifetimeSeconds == 0 {
				first := m.lister.List(lister.Caller{Service: service}, m.nodes).Entries[0].Node
				m.entryOf[s][caller] = slices.IndexFunc(m.nodes, func(n lister.Node) bool { return n.Name == first })
			}

			entry := m.entryOf[s][caller]
			m.inFlight[entry] += rate

			if slices.Contains(m.holders[service], m.nodes[entry].Name) {
				steered += rate
			}
		}
	}

	for i := range m.inFlight {
		refused += max(0, m.inFlight[i]-m.capacity)
		m.inFlight[i] = min(m.inFlight[i], m.capacity)
	}

	return steered / requestsPerSecond, refused / requestsPerSecond
}

// run runs the model for two minutes and returns the means of the second minute.
func (m *fleetModel) run() (steered, refused float64) {
	for now := range 120 {
		if s, r := m.step(now); now >= 60 {
			steered, refused = steered+s/60, refused+r/60
		}
	}

	return steered, refused
}

// Callers follow GET /v1/entries, and the requests of one pool fill 90% of its holder's capacity. If a holder were listed first
// regardless of its load, nodes would refuse requests while others idle.
func TestLister_SteeringLeavesRoom(t *testing.T) {
	steered := make(map[float64]float64)

	for _, capacity := range []float64{2000, 3000, 4000} {
		var refused float64

		for _, fullSteeringLoad := range []int{1000, 80, 60, 0} {
			steered[capacity], refused = newFleetModel(lister.Options{FullSteeringLoad: fullSteeringLoad}, capacity).run()
			t.Logf("capacity %.0f, full steering below %d%%: %.3f to a holder, %.3f refused", capacity, fullSteeringLoad, steered[capacity], refused)
		}

		assert.Assert(t, refused < 0.001)
	}

	assert.Assert(t, steered[2000] > 0.7)
	assert.Assert(t, steered[4000] > 0.99)
}
