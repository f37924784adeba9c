package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// largeTree has the size to design for: 1,100 organisations at the root, 22 services in 5 regions, 3,800 servers.
func largeTree() []configurer.Branch {
	var root strings.Builder

	root.WriteString("levels:\n  gold: {tier: 1, target: 300ms, gap_limit: 2s, max_wait: 5s}\norganisations:\n")
	for i := range 1100 {
		fmt.Fprintf(&root, "  shop-%d: {key_hashes: [\"%064x\"], weight: 1, requests_per_second: 10}\n", i, i)
	}

	branches := []configurer.Branch{{Path: "", Value: []byte(root.String()), Revision: 1}}
	for i := range 22 {
		var text strings.Builder

		text.WriteString("kind: engine\ndefault_class: chat\nclasses:\n  chat: {level: gold}\nupstreams:\n")
		for k := range 173 {
			fmt.Fprintf(&text, "  u%d: {address: \"http://10.0.%d.%d:8000\", failure_domain: d%d, slots: 8}\n", k, i, k, k%12)
		}

		branches = append(branches, configurer.Branch{Path: fmt.Sprintf("region-%d/model-%d", i%5, i), Value: []byte(text.String()), Revision: 2})
	}

	return branches
}

func BenchmarkResolveWhole(b *testing.B) {
	branches := largeTree()
	for b.Loop() {
		_, err := configurer.Resolve(branches)
		assert.NilError(b, err)
	}
}

func BenchmarkResolveOneChangedBranch(b *testing.B) {
	for at, name := range map[int]string{0: "root", 5: "service"} {
		b.Run(name, func(b *testing.B) {
			branches := largeTree()
			r := configurer.NewResolver()
			text := string(branches[at].Value)

			for i := 0; b.Loop(); i++ {
				branches[at].Value = fmt.Appendf(nil, "%s# %d\n", text, i)
				_, err := r.Resolve(branches)
				assert.NilError(b, err)
			}
		})
	}
}
