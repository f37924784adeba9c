package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// BenchmarkDecision is what a holder spends on one request: the choice, its first event and its end.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 30} {
		b.Run(fmt.Sprint(servers, "-servers"), func(b *testing.B) {
			p := engines(servers, 48)
			now := at(0)

			for i := range b.N {
				now = now.Add(10 * time.Millisecond)
				id := fmt.Sprint("r", i)
				_, _ = p.Ask(now, "node", notes(id, fmt.Sprint("s", i%300)))
				p.First(now.Add(5*time.Millisecond), id, nil)
				p.End(now.Add(6*time.Millisecond), id, balancer.Served)
			}
		})
	}
}
