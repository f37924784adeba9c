package lister_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/lister"
)

// A tenth of the size to design for, see docs/CAPACITY.md.
const (
	fleetNodes      = 37
	fleetServices   = 11
	fleetRate       = 2800.0
	answerSeconds   = 13.9
	callersOfOne    = 40
	keptSeconds     = 10
	reportedSeconds = 2
)

// crowd is a fleet in steps of a second: each caller has a fixed rate and keeps
// its entry, and a node's requests end after a mean time.
type crowd struct {
	list    *lister.Lister
	nodes   []lister.Node
	held    holders
	entry   [fleetServices][callersOfOne]int
	inside  [fleetNodes]float64
	places  float64
	reports [][fleetNodes]float64
}

func newCrowd(options lister.Options, places float64) *crowd {
	c := &crowd{places: places, nodes: nodes(fleetNodes, 12), held: holders{}}

	names := make([]string, 0, fleetNodes)
	for _, n := range c.nodes {
		names = append(names, n.Name)
	}

	// As holders are placed: at most one pool a node at this size.
	for s := range fleetServices {
		for part := range 2 {
			holder := chooser.New(names).Choose(fmt.Sprint(s, "#", part))
			names = slices.DeleteFunc(names, func(n string) bool { return n == holder })
			c.held[fmt.Sprint(s)] = append(c.held[fmt.Sprint(s)], holder)
		}
	}

	options.Holders, options.Seed = c.held, 1
	c.list = lister.New(options)

	return c
}

// second moves on by one and returns the shares of requests at a holder and beyond a node's places.
func (c *crowd) second(now int) (steered, refused float64) {
	const rate = fleetRate / fleetServices / callersOfOne

	c.reports = append(c.reports, c.inside)

	for i, inside := range c.reports[max(0, now-reportedSeconds)] {
		c.nodes[i].LoadPercent = int(100 * inside / c.places)
		c.inside[i] -= c.inside[i] / answerSeconds
	}

	for s := range c.entry {
		service := fmt.Sprint(s)

		for caller := range c.entry[s] {
			if now == 0 || (now+caller)%keptSeconds == 0 {
				first := c.list.List(lister.Caller{Service: service}, c.nodes).Entries[0].Node
				c.entry[s][caller] = slices.IndexFunc(c.nodes, func(n lister.Node) bool { return n.Name == first })
			}

			at := c.entry[s][caller]
			c.inside[at] += rate

			if slices.Contains(c.held[service], c.nodes[at].Name) {
				steered += rate
			}
		}
	}

	for i := range c.inside {
		refused += max(0, c.inside[i]-c.places)
		c.inside[i] = min(c.inside[i], c.places)
	}

	return steered / fleetRate, refused / fleetRate
}

// minute returns the means of the second minute.
func (c *crowd) minute() (steered, refused float64) {
	for now := range 120 {
		if s, r := c.second(now); now >= 60 {
			steered, refused = steered+s/60, refused+r/60
		}
	}

	return steered, refused
}

// Symptom: nodes refused requests while others idled. Sequence: callers obey GET
// /v1/entries; the answers of a pool's requests fill nine tenths of its holder's
// places. Cause: a holder was named first however full it was.
func TestLister_SteeringLeavesRoom(t *testing.T) {
	steered := make(map[float64]float64)

	for _, places := range []float64{2000, 3000, 4000} {
		var refused float64

		for _, below := range []int{1000, 80, 60, 0} {
			steered[places], refused = newCrowd(lister.Options{FullSteeringLoad: below}, places).minute()
			t.Logf("%.0f places, steered below %d: %.3f to a holder, %.3f refused", places, below, steered[places], refused)
		}

		assert.Assert(t, refused < 0.001)
	}

	assert.Assert(t, steered[2000] > 0.7)
	assert.Assert(t, steered[4000] > 0.99)
}
