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

func newNodes(count, domains int) []lister.Node {
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

type holderMap map[string][]string

func (h holderMap) HoldersOf(service string) []string { return h[service] }

func TestLister_Balance(t *testing.T) {
	const callers = 5000

	for _, count := range []int{3, 9, 30, 100, 370} {
		l := lister.New(lister.Options{EntryLifetime: 10 * time.Second, Seed: 1})
		first := make(map[string]int)
		list := newNodes(count, min(count, 12))

		for range callers {
			first[l.List(lister.Caller{}, list).Entries[0].Node]++
		}

		share := float64(callers) / float64(count)
		largest := 0

		for _, n := range list {
			largest = max(largest, first[n.Name])
			// Five standard deviations of a uniform distribution of callers.
			assert.Assert(t, math.Abs(float64(first[n.Name])-share) < 5*math.Sqrt(share)+1, "%d nodes: %s", count, n.Name)
		}

		t.Logf("%d nodes: most callers at one node %.3f of the mean", count, float64(largest)/share)
	}
}

func TestLister_LoadedNodesGetFewerCallers(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1})
	list := newNodes(3, 3)
	list[0].LoadPercent = 75
	first := make(map[string]int)

	for range 9000 {
		first[l.List(lister.Caller{}, list).Entries[0].Node]++
	}

	// A quarter of the capacity is free, and all of it at the other two nodes: one in nine callers.
	assert.Assert(t, math.Abs(float64(first["entry-000"])-1000) < 150)
}

func TestLister_Steering(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1, Holders: holderMap{"assistente": {"entry-004", "entry-007"}}})

	for _, tt := range []struct {
		name   string
		caller lister.Caller
		first  []string
	}{
		{name: "holders first", caller: lister.Caller{Service: "assistente"}, first: []string{"entry-004", "entry-007"}},
		{name: "a holder in the caller's domain before others", caller: lister.Caller{Service: "assistente", FailureDomain: "domain-1"}, first: []string{"entry-004", "entry-007"}},
		{name: "the caller's domain", caller: lister.Caller{FailureDomain: "domain-2"}, first: []string{"entry-002", "entry-005", "entry-008"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 50 {
				list := l.List(tt.caller, newNodes(9, 3))
				seen := make(map[string]bool)

				for _, e := range list.Entries[:len(tt.first)] {
					seen[e.Node] = true
				}

				for _, name := range tt.first {
					assert.Assert(t, seen[name], "%v", list.Entries)
				}
			}
		})
	}
}

// A caller states its failure domain, and then that domain fails. If the list contained only nodes near the caller, it would have no
// address left.
func TestLister_AnswerOutlivesOneDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(2, 12).Draw(t, "domains")
		count := rapid.IntRange(domains, 60).Draw(t, "nodes")
		l := lister.New(lister.Options{Seed: rapid.Uint64().Draw(t, "seed"), Holders: holderMap{"s": {"entry-000", "entry-001"}}})
		list := newNodes(count, domains)

		for i := range list {
			list[i].LoadPercent = rapid.IntRange(0, 150).Draw(t, "load")
			list[i].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			list[i].Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
		}

		answer := l.List(lister.Caller{Service: "s", FailureDomain: "domain-0"}, list)
		usable := usableDomains(list)
		listed := make(map[string]bool)
		names := make(map[string]bool)

		for _, e := range answer.Entries {
			listed[e.FailureDomain] = true

			if names[e.Node] {
				t.Fatalf("%s is listed twice", e.Node)
			}

			names[e.Node] = true
		}

		if len(answer.Entries) > 8 {
			t.Fatalf("%d entries", len(answer.Entries))
		}

		if len(listed) < min(len(usable), 4) {
			t.Fatalf("%d of %d failure domains listed", len(listed), len(usable))
		}
	})
}

// usableDomains returns the failure domains with at least one node that is neither leaving nor suspect.
func usableDomains(list []lister.Node) map[string]bool {
	domains := make(map[string]bool)

	for _, n := range list {
		if !n.Leaving && !n.Suspect {
			domains[n.FailureDomain] = true
		}
	}

	return domains
}

// A node announces that it is leaving, or peers suspect it, and then a caller asks for entries. If all nodes were listed alike,
// callers would connect to a node that is about to stop or no longer responds.
func TestLister_LeavingAndSuspect(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1})
	list := newNodes(6, 3)
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

// All nodes are shutting down, for example because a whole site is replaced. If leaving nodes were always omitted, callers would get an
// empty list although the nodes still serve.
func TestLister_AllLeaving(t *testing.T) {
	l := lister.New(lister.Options{Seed: 1})
	list := newNodes(2, 2)
	list[0].Leaving = true
	list[1].Leaving = true

	assert.Equal(t, len(l.List(lister.Caller{}, list).Entries), 2)
}

func BenchmarkLister_List(b *testing.B) {
	l := lister.New(lister.Options{Seed: 1})
	list := newNodes(370, 12)

	for b.Loop() {
		l.List(lister.Caller{FailureDomain: "domain-3"}, list)
	}
}
