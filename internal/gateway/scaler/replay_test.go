package scaler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/gateway/scaler"
)

// Guards against other plans while upstreams aren't ordered by need. The golden file was written by the planner that knew no
// demand, over starts, reclaims, restarts of the planner and orders that take effect partly.
func TestPlansWithoutNeedAreAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))

	var plans strings.Builder

	for run := range 12 {
		policy := scaler.Policy{MinRegular: run % 3, MaxFraction: 0.6 + 0.1*float64(run%5), MinFraction: 0.25 * float64(run%4)}
		p := newFakePlatform(policy, 10*(run%7))

		for step := range 30 {
			if random.IntN(12) == 0 {
				p.planner = scaler.New()
			}

			orders := p.planner.Plan(0, p.policy, p.services, p.sizes)
			fmt.Fprintf(&plans, "%d.%d", run, step)

			for _, order := range orders {
				fmt.Fprintf(&plans, " %s,%t,%d", order.FailureDomain, order.Spot, order.Count)

				s := p.sizes[order.Pool]

				switch {
				case !order.Spot:
					s.Regular = order.Count
				case order.Count < s.Spot:
					s.Spot = order.Count
				default:
					s.Spot += random.IntN(order.Count - s.Spot + 1)
				}

				p.sizes[order.Pool] = s
			}

			plans.WriteByte('\n')

			for _, reclaimed := range slices.SortedFunc(maps.Keys(p.sizes), func(a, b scaler.Pool) int {
				return strings.Compare(a.FailureDomain, b.FailureDomain)
			}) {
				if s := p.sizes[reclaimed]; random.IntN(15) == 0 {
					p.sizes[reclaimed] = scaler.PoolSize{Regular: s.Regular, Draining: s.Spot}
				}
			}
		}
	}

	golden.Assert(t, plans.String(), "plans.golden")
}
