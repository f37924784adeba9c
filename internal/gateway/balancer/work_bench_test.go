package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// BenchmarkScarceRoom measures a holder's cost of Acquire and GrantQueued with 300 queued requests and 90 servers: with each
// step a request asks and another one ends. It compares counting requests with counting work.
func BenchmarkScarceRoom(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("work_admission=", on), func(b *testing.B) {
			p := balancer.NewPool(balancer.Options{WorkAdmission: on})
			p.SetUpstreams(start, numberedUpstreams(90, 8), balancer.Engine{CacheTokens: 300_000, EventTokens: 3})

			now := at(0)
			next := 0

			var running []string

			place := func(id string) {
				p.RecordFirstEvent(now, id, nil)
				running = append(running, id)
			}
			ask := func() {
				work := notes(fmt.Sprint("r", next), fmt.Sprint("s", next%600))
				work.TimeLimit, work.Target = time.Hour, time.Hour
				work.Organisation = fmt.Sprint("o", next%20)
				next++

				if _, decision := p.Acquire(now, "node", work); decision == balancer.Granted {
					place(work.ID)
				}
			}

			// The reserve for urgent requests at the start has ended.
			ask()

			now = now.Add(warm)

			for p.QueueLength() < 300 {
				now = now.Add(time.Millisecond)
				ask()
			}

			for b.Loop() {
				now = now.Add(1600 * time.Microsecond)
				ask()
				p.RecordEnd(now, running[0], balancer.Served)
				running = running[1:]

				for _, g := range p.GrantQueued(now) {
					place(g.ID)
				}
			}

			b.ReportMetric(float64(p.QueueLength()), "queued")
		})
	}
}

func numberedUpstreams(count, slots int) []balancer.Upstream {
	upstreams := make([]balancer.Upstream, 0, count)
	for i := range count {
		upstreams = append(upstreams, balancer.Upstream{ID: fmt.Sprint("u", i), Slots: slots})
	}

	return upstreams
}
