package broker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// Guards against an upstream that gets nearly all requests, since its entry names far more slots than its service allows.
func TestOddSlotsDrawNoMoreThanTheServiceAllows(t *testing.T) {
	// A plain server accepts eight requests beyond its slots.
	const plainQueue, slots, allowed = 8, 2, 4

	for name, test := range map[string]struct {
		service cataloguer.Service
		most    int
	}{
		"connections": {cataloguer.Service{Name: service, ConnectionLimit: allowed}, allowed + plainQueue},
		"batch":       {cataloguer.Service{Name: service, Engine: &cataloguer.Engine{Slots: allowed, CacheTokens: 1 << 20, EventTokens: 1}}, allowed},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 1, 3, slots, func(t *testing.T, f *fleet) {
				f.listing.Upstreams[0].Slots = 1 << 16
				state := serviceState(f.listing)
				state.Configuration.Services = []cataloguer.Service{test.service}
				f.nodes["n0"].Update(state)

				counts := map[string]int{}

				for i := range 40 {
					asked := work(fmt.Sprint("r", i))
					asked.TimeLimit = 0

					if choice, ok := f.nodes["n0"].Choose(t.Context(), service, asked); ok {
						counts[choice.Upstream]++
					}
				}

				assert.Equal(t, counts["u0"], test.most, "%v", counts)
				assert.Assert(t, counts["u1"] >= slots && counts["u2"] >= slots, "%v", counts)
			})
		})
	}
}
