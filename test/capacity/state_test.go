package capacity_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/messenger"
)

// The tree of the size to design for.
const (
	designRegions       = 5
	designModels        = 22
	designServers       = 3800
	designOrganisations = 1100
	designNodes         = 370
)

// heldBytes is the memory in use that a collection can't free.
func heldBytes() int64 {
	runtime.GC()
	runtime.GC()

	var memory runtime.MemStats

	runtime.ReadMemStats(&memory)

	return int64(memory.HeapAlloc + memory.StackInuse)
}

// BenchmarkTree resolves a tree after a change of one branch, as each node does for each change.
func BenchmarkTree(b *testing.B) {
	for _, part := range []int{10, 3, 1} {
		b.Run(fmt.Sprintf("share=1of%d", part), func(b *testing.B) {
			before := heldBytes()
			branches := designTree(part)
			size := 0

			for _, v := range branches {
				size += len(v.Value)
			}

			resolver := configurer.NewResolver()
			snapshot, err := resolver.Resolve(branches)
			assert.NilError(b, err)
			kept := heldBytes() - before
			version := 0

			for b.Loop() {
				version++
				last := &branches[len(branches)-1]
				last.Revision = int64(1000 + version)
				last.Value = []byte(designService(designRegions-1, designModels-1, part, version))

				snapshot, err = resolver.Resolve(branches)
				assert.NilError(b, err)
			}

			runtime.KeepAlive(snapshot)
			b.ReportMetric(float64(kept)/1e6, "held_MB")
			b.ReportMetric(float64(size)/1e3, "text_KB")
			b.ReportMetric(float64(len(branches[len(branches)-1].Value)), "service_branch_B")
			b.ReportMetric(float64(len(branches[0].Value)), "root_B")
		})
	}
}

// designTree is the tree of that part of the design size, parents first.
func designTree(part int) []configurer.Branch {
	var root strings.Builder

	root.WriteString("organisations:\n")

	for i := range designOrganisations / part {
		fmt.Fprintf(&root, "  organisation-%04d:\n    key_hashes: [\"%064x\"]\n    weight: 1\n    requests_per_second: 50\n    concurrency: 100\n    tokens_per_second: 15000\n", i, i+1)
	}

	branches := []configurer.Branch{{Value: []byte(root.String()), Revision: 2}}

	for region := range designRegions {
		branches = append(branches, configurer.Branch{Path: fmt.Sprintf("region-%d", region), Value: []byte("# A region.\n"), Revision: 3})

		for model := range designModels {
			branches = append(branches, configurer.Branch{
				Path: fmt.Sprintf("region-%d/model-%02d", region, model), Value: []byte(designService(region, model, part, 0)), Revision: 4,
			})
		}
	}

	return branches
}

func designService(region, model, part, version int) string {
	var text strings.Builder

	// A model is one service in each region.
	fmt.Fprintf(&text, "service: model-%02d-%d\nkind: engine\ndefault_class: tier-1\nclasses:\n", model, region)

	for tier := 1; tier <= 5; tier++ {
		fmt.Fprintf(&text, "  tier-%d: {tier: %d, target: %dms, token_gap: 43ms, gap_limit: 1s, max_wait: %ds, repeatable: true, retry_budget: 0.1}\n", tier, tier, tier*1000+version%100, tier*10)
	}

	text.WriteString("upstreams:\n")

	for i := range designServers / designRegions / designModels / part {
		fmt.Fprintf(&text, "  server-%d-%02d-%02d: {address: \"http://10.%d.%d.%d:8000\", failure_domain: domain-%d, slots: 64}\n", region, model, i, region, model, i+1, i%12)
	}

	return text.String()
}

// BenchmarkLinks tells the memory of connections: each link counts with both of its ends, as in a full mesh.
func BenchmarkLinks(b *testing.B) {
	for _, count := range []int{30, 100, designNodes - 1} {
		b.Run(fmt.Sprintf("links=%d", count), func(b *testing.B) {
			for b.Loop() {
				linkMemory(b, count)
			}
		})
	}
}

func linkMemory(b *testing.B, count int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()

	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(b, err)

	peers := make(map[string]string)
	for i := range count {
		peers[fmt.Sprintf("node-%d", i)] = listener.Addr().String()
	}

	answering := messenger.New(messenger.Options{Self: "b", Credential: "secret", Logger: zerolog.Nop()})
	asking := messenger.New(messenger.Options{Self: "a", Credential: "secret", Peers: peers, Logger: zerolog.Nop()})

	go func() { _ = answering.Run(ctx, listener) }()

	before := heldBytes()

	for name := range peers {
		assert.NilError(b, asking.Notify(ctx, name, "none", nil))
	}

	b.ReportMetric(float64(heldBytes()-before)/float64(count)/1e3, "KB/link")
}
