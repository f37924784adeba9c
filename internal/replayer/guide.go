package replayer

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/tracer"
)

// answersPerService is how many answers of GET /v1/entries the callers of one
// service share. Callers in use each have their own; with a single one here all
// requests of a service would go to one node until it is asked for again.
const answersPerService = 8

// guide holds the directories that callers go by, by service: one for all
// services when callers take all entries in turn.
type guide struct {
	byService   bool
	directories map[string][]*directory
}

func newGuide(client Doer, options Options, key string, events []tracer.Event) *guide {
	g := &guide{byService: options.ByService, directories: make(map[string][]*directory)}
	add := func(service string) {
		d := newDirectory(client, options.scheme(), options.Entries, key)
		d.service, d.inTurn = service, !options.ByService
		g.directories[service] = append(g.directories[service], d)
	}

	if !options.ByService {
		add("")

		return g
	}

	for _, v := range events {
		if g.directories[v.Service] != nil {
			continue
		}

		for range answersPerService {
			add(v.Service)
		}
	}

	return g
}

// of returns the directory of the caller with the given number.
func (g *guide) of(number int, service string) *directory {
	if !g.byService {
		service = ""
	}

	directories := g.directories[service]

	return directories[number%len(directories)]
}

// start asks for all answers at once, and keeps them fresh until ctx ends.
func (g *guide) start(ctx context.Context) error {
	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		failures error
	)

	for d := range g.all() {
		group.Go(func() {
			keep, err := d.refresh(ctx)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()

				failures = errors.CombineErrors(failures, err)

				return
			}

			go d.follow(ctx, keep)
		})
	}

	group.Wait()

	return failures
}

func (g *guide) all() func(yield func(*directory) bool) {
	return func(yield func(*directory) bool) {
		for _, directories := range g.directories {
			for _, d := range directories {
				if !yield(d) {
					return
				}
			}
		}
	}
}

// addresses returns the addresses that any caller knows, in their order.
func (g *guide) addresses() []string {
	var addresses []string

	for d := range g.all() {
		addresses = append(addresses, d.addresses()...)
	}

	slices.Sort(addresses)

	return slices.Compact(addresses)
}
