package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// BenchmarkDecision measures a holder's cost of one request: the choice, its first event and its end.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 30} {
		b.Run(fmt.Sprint(servers, "-servers"), func(b *testing.B) {
			p := engines(servers, 48)
			now := at(0)

			for i := range b.N {
				now = now.Add(10 * time.Millisecond)
				id := fmt.Sprint("r", i)
				_, _ = p.Acquire(now, "node", notes(id, fmt.Sprint("s", i%300)))
				p.RecordFirstEvent(now.Add(5*time.Millisecond), id, nil)
				p.RecordEnd(now.Add(6*time.Millisecond), id, balancer.Served)
			}
		})
	}
}

// BenchmarkFullQueue measures a holder's cost of one request while hundreds are queued: it asks, is queued,
// gets a server, has its first event, and ends.
func BenchmarkFullQueue(b *testing.B) {
	const (
		waiting = 600
		// step is the interval between requests at about 600 a second.
		step = 1600 * time.Microsecond
	)

	p := engines(30, 16)
	now := at(0)

	var running []string

	place := func(id string) {
		p.RecordFirstEvent(now, id, nil)
		running = append(running, id)
	}

	ask := func(i int) {
		work := notes(fmt.Sprint("r", i), fmt.Sprint("s", i%600))
		work.TimeLimit = time.Hour
		work.Target = 0

		if _, decision := p.Acquire(now, "node", work); decision == balancer.Granted {
			place(work.ID)
		}
	}

	next := 0
	for ; p.QueueLength() < waiting; next++ {
		ask(next)
	}

	for b.Loop() {
		now = now.Add(step)
		ask(next)
		next++

		p.RecordEnd(now, running[0], balancer.Served)
		running = running[1:]

		for _, g := range p.GrantQueued(now) {
			place(g.ID)
		}
	}
}

// BenchmarkDecisionByCaches measures a holder's cost of one request among 90 engines with the estimate and with reports, at 300
// requests a second.
func BenchmarkDecisionByCaches(b *testing.B) {
	const servers = 90

	for _, reported := range []bool{false, true} {
		b.Run(fmt.Sprint("reported=", reported), func(b *testing.B) {
			upstreams := make([]balancer.Upstream, servers)
			for i := range upstreams {
				upstreams[i] = balancer.Upstream{ID: fmt.Sprint("e", i), Slots: 48}
			}

			p := balancer.NewPool(balancer.Options{CacheTracking: reported})
			p.SetUpstreams(start, upstreams, balancer.Engine{CacheTokens: 300_000, EventTokens: 3, ReportsCache: true})
			now := at(0)

			for i, upstream := range upstreams {
				p.ReplaceCache(now, balancer.CacheList{Upstream: upstream.ID, Epoch: "e", Parts: []balancer.PromptPart{{ID: fmt.Sprint("s", i), Tokens: 6300}}})
			}

			for i := range b.N {
				now = now.Add(3333 * time.Microsecond)
				id := fmt.Sprint("r", i)
				_, _ = p.Acquire(now, "node", notes(id, fmt.Sprint("s", i%300)))
				p.RecordFirstEvent(now.Add(5*time.Millisecond), id, nil)
				p.RecordEnd(now.Add(6*time.Millisecond), id, balancer.Served)

				if i%30 == 0 {
					p.ExpireCaches(now)
				}

				if i%300 == 0 {
					for _, upstream := range upstreams {
						p.ApplyCacheEvents(now, balancer.CacheEvents{Upstream: upstream.ID, Epoch: "e"})
					}
				}
			}
		})
	}
}
