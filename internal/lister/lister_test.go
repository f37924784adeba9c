package lister_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/lister"
)

func nodes(count, domains int) []lister.Node {
	list := make([]lister.Node, 0, count)
	for i := range count {
		list = append(list, lister.Node{
			Name:          fmt.Sprintf("entry-%03d", i),
			Address:       fmt.Sprintf("10.0.0.%d:8080", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%domains),
		})
	}

	return list
}

type holders map[string][]string

func (h holders) HoldersOf(service string) []string { return h[service] }

func TestLister_Balance(t *testing.T) {
	const callers = 5000

	for _, count := range []int{3, 9, 30, 100, 370} {
		l := lister.New(lister.Options{EntryLifetime: 10 * time.Second, Seed: 1})
		first := make(map[string]int)
		list := nodes(count, min(count, 12))

		for range callers {
			first[l.List(lister.Caller{}, list).Entries[0].Node]++
		}

		share := float64(callers) / float64(count)
		largest := 0

		for _, n := range list {
			largest = max(largest, first[n.Name])
			// Five standard deviations of a fair draw.
			assert.Assert(t, math.Abs(float64(first[n.Name])-share) < 5*math.Sqrt(share)+1, "%d nodes: %s", count, n.Name)
		}

		t.Logf("%d nodes: most callers at one node %.3f of the mean", count, float64(largest)/share)
	}
}

func TestLister_LoadedNodesGetFewerCallers(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1})
	list := nodes(3, 3)
	list[0].LoadPercent = 75
	first := make(map[string]int)

	for range 9000 {
		first[l.List(lister.Caller{}, list).Entries[0].Node]++
	}

	// A quarter of the room beside two whole ones: a ninth of the callers.
	assert.Assert(t, math.Abs(float64(first["entry-000"])-1000) < 150)
}

func TestLister_Steering(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1, Holders: holders{"assistente": {"entry-004", "entry-007"}}})

	for _, tt := range []struct {
		name  string
		ask   lister.Caller
		first []string
	}{
		{name: "holders first", ask: lister.Caller{Service: "assistente"}, first: []string{"entry-004", "entry-007"}},
		{name: "a holder in the caller's domain before others", ask: lister.Caller{Service: "assistente", FailureDomain: "domain-1"}, first: []string{"entry-004", "entry-007"}},
		{name: "the caller's domain", ask: lister.Caller{FailureDomain: "domain-2"}, first: []string{"entry-002", "entry-005", "entry-008"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 50 {
				answer := l.List(tt.ask, nodes(9, 3))
				seen := make(map[string]bool)

				for _, e := range answer.Entries[:len(tt.first)] {
					seen[e.Node] = true
				}

				for _, name := range tt.first {
					assert.Assert(t, seen[name], "%v", answer.Entries)
				}
			}
		})
	}
}

// Symptom: a caller that kept its answer has no address left when its failure domain goes.
// Sequence: the caller asks with its own domain; the answer names only that domain; the domain fails.
// Cause: an order by nearness without a bound.
func TestLister_AnswerOutlivesOneDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(2, 12).Draw(t, "domains")
		count := rapid.IntRange(domains, 60).Draw(t, "nodes")
		l := lister.New(lister.Options{Seed: rapid.Uint64().Draw(t, "seed"), Holders: holders{"s": {"entry-000", "entry-001"}}})
		list := nodes(count, domains)

		for i := range list {
			list[i].LoadPercent = rapid.IntRange(0, 150).Draw(t, "load")
			list[i].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			list[i].Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
		}

		answer := l.List(lister.Caller{Service: "s", FailureDomain: "domain-0"}, list)
		possible := domainsOf(list)
		given := make(map[string]bool)
		names := make(map[string]bool)

		for _, e := range answer.Entries {
			given[e.FailureDomain] = true

			if names[e.Node] {
				t.Fatalf("%s stands twice", e.Node)
			}

			names[e.Node] = true
		}

		if len(answer.Entries) > 8 {
			t.Fatalf("%d entries", len(answer.Entries))
		}

		if len(given) < min(len(possible), 4) {
			t.Fatalf("%d domains of %d", len(given), len(possible))
		}
	})
}

// domainsOf returns the domains that have a staying node without suspicion.
func domainsOf(list []lister.Node) map[string]bool {
	domains := make(map[string]bool)

	for _, n := range list {
		if !n.Leaving && !n.Suspect {
			domains[n.FailureDomain] = true
		}
	}

	return domains
}

// Symptom: callers connect to a node that is about to stop, or that no longer answers.
// Sequence: the node announces its leaving, or peers suspect it; a caller asks.
// Cause: an answer made from all nodes alike.
func TestLister_LeavingAndSuspect(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1})
	list := nodes(6, 3)
	list[1].Leaving = true
	list[2].Suspect = true

	for range 100 {
		answer := l.List(lister.Caller{FailureDomain: "domain-2"}, list)
		assert.Equal(t, len(answer.Entries), 5)
		assert.Equal(t, answer.Entries[4].Node, "entry-002")

		for _, e := range answer.Entries {
			assert.Assert(t, e.Node != "entry-001")
		}
	}
}

// Symptom: a caller gets an empty list although nodes still serve.
// Sequence: all nodes are in a planned stop, as when a whole site is replaced.
// Cause: leaving nodes left out without regard to what remains.
func TestLister_AllLeaving(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1})
	list := nodes(2, 2)
	list[0].Leaving = true
	list[1].Leaving = true

	assert.Equal(t, len(l.List(lister.Caller{}, list).Entries), 2)
}

func BenchmarkLister_List(b *testing.B) {
	l := lister.New(lister.Options{Seed: 1})
	list := nodes(370, 12)

	for b.Loop() {
		l.List(lister.Caller{FailureDomain: "domain-3"}, list)
	}
}
