package quarantiner_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
)

// BenchmarkCheckOfParts measures what a request costs on its path: the keys of its parts, and their look-up at a node that holds a
// quarantine.
func BenchmarkCheckOfParts(b *testing.B) {
	for _, count := range []int{3, 300} {
		b.Run(fmt.Sprint(count, " parts"), func(b *testing.B) {
			q := quarantiner.New(quarantiner.Options{Live: func() []string { return nil }, Logger: zerolog.Nop()})
			_, err := q.HandleQuarantine(context.Background(), "peer", []byte(`{"entries":[{"key":"00000000000000000000000000000001","since":4102444800000,"part":"p"}]}`))
			assert.NilError(b, err)

			ids := make([]string, count)
			for i := range ids {
				ids[i] = fmt.Sprintf("%08x", i)
			}

			for b.Loop() {
				q.Check(quarantiner.Traits{Parts: quarantiner.NewParts("salon", ids)}, quarantiner.Key{})
			}
		})
	}
}

// BenchmarkAlive measures what each event of a stream costs while answers of other upstreams aren't known to be complete yet.
func BenchmarkAlive(b *testing.B) {
	q := quarantiner.New(quarantiner.Options{Logger: zerolog.Nop()})
	for i := range 2000 {
		q.AnsweredUntilClose(quarantiner.Run{Upstream: fmt.Sprint("u", i%20)})
	}

	for b.Loop() {
		q.Alive("other")
	}
}
