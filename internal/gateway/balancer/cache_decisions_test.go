package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against a change of decisions while cache tracking is off. The golden file was written by the code before cache
// tracking existed.
func TestDecisionsWithoutCacheTrackingAreUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 11))
	p := engines(6, 10)

	var (
		decisions strings.Builder
		running   []string
	)

	for i := range 800 {
		now := at(time.Duration(i) * 9 * time.Millisecond)
		work := notes(fmt.Sprint("n", i), fmt.Sprint("s", random.IntN(60)))

		if i%7 == 0 {
			work = chat(fmt.Sprint("c", i))
		}

		choice, decision := p.Acquire(now, "node", work)
		fmt.Fprintf(&decisions, "%s %d %s %.6f\n", work.ID, decision, choice.Upstream, choice.Loss)

		if decision == balancer.Granted {
			running = append(running, work.ID)
		}

		for len(running) > 20+random.IntN(40) {
			p.RecordFirstEvent(now, running[0], nil)
			p.RecordEnd(now, running[0], balancer.Served)
			running = running[1:]
		}

		for _, g := range p.GrantQueued(now) {
			fmt.Fprintf(&decisions, "%s %t %s %.6f\n", g.ID, g.Refused, g.Choice.Upstream, g.Choice.Loss)

			if !g.Refused {
				running = append(running, g.ID)
			}
		}
	}

	golden.Assert(t, decisions.String(), "decisions_without_cache_tracking.golden")
}
