package bencher

import (
	"context"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/placer"
	"quincepath.example/quincepath/pkg/classifier"
)

// baselineName stands in tables.
const baselineName = "power_of_two"

// baseline lets every node decide for itself by lagged reports and power of two choices.
type baseline struct {
	answerer Answerer
	placers  [nodes]*placer.PowerOfTwo
}

type fixedSettings configurer.Snapshot

// Snapshot implements placer.Snapshotter.
func (f fixedSettings) Snapshot() configurer.Snapshot { return configurer.Snapshot(f) }

// NewBaseline returns the baseline policy.
func NewBaseline(world World) Policy {
	b := &baseline{answerer: world.Answerer}
	for i := range b.placers {
		b.placers[i] = placer.NewPowerOfTwo(fixedSettings(world.Shop.Settings), world.Seed*nodes+uint64(i))
	}

	return b
}

// Name implements Policy.
func (b *baseline) Name() string { return baselineName }

// Entry implements Policy.
func (b *baseline) Entry(_ string, random int) int { return random % nodes }

// Acquire implements Policy.
func (b *baseline) Acquire(r *Request) {
	slot, err := b.placers[r.Node].Acquire(context.Background(), r.ask(0))
	if err != nil {
		b.answerer.Refuse(r, classifier.From(err))

		return
	}

	b.answerer.Grant(r, slot)
}

// Abandon implements Policy; nothing waits here.
func (b *baseline) Abandon(*Request) {}

// Release implements Policy.
func (b *baseline) Release(r *Request, slot dispatcher.Slot, outcome dispatcher.Outcome) {
	b.placers[r.Node].Release(slot, r.ask(0), outcome)
}

// Report implements Policy.
func (b *baseline) Report(upstream configurer.Upstream, load placer.Load) {
	for _, p := range b.placers {
		p.Report(upstream.Address, load)
	}
}

// Traffic implements Policy; nodes do not talk.
func (b *baseline) Traffic() Traffic { return Traffic{} }
