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
