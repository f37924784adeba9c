package broker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/chooser"
)

// Guards against a demand that is made up while holders are silent, and against one that is lost although a standby knows it.
func TestUtilisationOfSilentHolders(t *testing.T) {
	withFleet(t, 4, 3, 10, func(t *testing.T, f *fleet) {
		chosen := chooser.New(f.live()).ChooseN(service+"/0", 2)
		_, others := f.holder()
		asking := f.nodes[others[0]]
		choose(f, others, 3, "r")

		// The first question starts the measurement of the rate.
		ctx := context.Background()
		asking.Utilisation(ctx, []string{service})
		time.Sleep(time.Second)

		u, known := asking.Utilisation(ctx, []string{service, "other"})[service]
		assert.Assert(t, known)
		assert.Equal(t, u.InProgress, 6)
		assert.Equal(t, u.Servers, 3)

		f.mark(f.unresponsive, chosen[0])
		asking.Utilisation(ctx, []string{service})
		time.Sleep(time.Second)

		u, known = asking.Utilisation(ctx, []string{service})[service]
		assert.Assert(t, known)
		assert.Equal(t, u.InProgress, 6)

		f.mark(f.unresponsive, chosen[1])

		askedAt := time.Now()
		_, known = asking.Utilisation(ctx, []string{service})[service]
		assert.Assert(t, !known)
		assert.Assert(t, time.Since(askedAt) < time.Second)
	})
}

// Guards against refusals that nobody hears of, or that count again and again.
func TestUtilisationCountsRefusalsOnce(t *testing.T) {
	withFleet(t, 4, 1, 1, func(t *testing.T, f *fleet) {
		chosen := chooser.New(f.live()).ChooseN(service+"/0", 2)
		holder := f.nodes[chosen[0]]
		ctx := context.Background()
		holder.Utilisation(ctx, []string{service})

		for i := range 30 {
			go choose(f, []string{chosen[1]}, 1, string(rune('a'+i)))
		}

		time.Sleep(2500 * time.Millisecond)

		u, known := holder.Utilisation(ctx, []string{service})[service]
		assert.Assert(t, known)
		assert.Assert(t, u.Refused > 0, "%+v", u)

		time.Sleep(time.Second)

		again := holder.Utilisation(ctx, []string{service})[service]
		assert.Assert(t, again.Refused < u.Refused, "%+v", again)
		// Lets the requests end that are still queued.
		time.Sleep(20 * time.Second)
	})
}
