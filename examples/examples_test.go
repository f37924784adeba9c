// Package examples_test checks that the examples load, fit together and have the sizes of today's deployments.
package examples_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const nodes = 9

// deployment is what an example must hold.
type deployment struct {
	region         string
	failureDomains []string
	// upstreams is the number of servers by service.
	upstreams map[string]int
	// classes are the class names by service.
	classes map[string][]string
	// onlyOnce are the classes that must not be repeatable.
	onlyOnce []string
	// first are the classes of the top tier.
	first []string
}

var deployments = map[string]deployment{
	"barbagallo": {
		region:         "sicilia-est",
		failureDomains: []string{"acireale-sala", "catania-sala", "siracusa-sala"},
		upstreams:      map[string]int{"assistente": 12, "banco": 3},
		classes:        map[string][]string{"assistente": {"care_notes", "counter_lookup", "owner_chat"}, "banco": {"booking", "lookup"}},
		onlyOnce:       []string{"booking"},
		first:          []string{"booking", "counter_lookup", "lookup"},
	},
	"le-goff": {
		region:         "breizh",
		failureDomains: []string{"brest", "quimper", "rennes", "vannes"},
		upstreams:      map[string]int{"acces-site": 4, "redacteur": 20},
		classes:        map[string][]string{"acces-site": {"check_in", "clearance"}, "redacteur": {"contract_review", "crew_answer", "renewal_draft"}},
		onlyOnce:       []string{"check_in", "renewal_draft"},
		first:          []string{"check_in", "clearance", "crew_answer"},
	},
}

func loadNodes(t *testing.T, example string) []loader.Settings {
	t.Helper()

	files, err := filepath.Glob(filepath.Join(example, "nodes", "*.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), nodes)

	loaded := make([]loader.Settings, 0, nodes)

	for _, v := range files {
		settings, err := loader.Load(v)
		assert.NilError(t, err)
		assert.Equal(t, settings.Node.Name+".yaml", filepath.Base(v))
		loaded = append(loaded, settings)
	}

	return loaded
}

// peerOf is the entry that a node's peers must have for it.
func peerOf(n loader.Node) loader.Peer {
	return loader.Peer{Name: n.Name, PeerAddress: n.PeerListen, EntryAddress: n.Advertise, FailureDomain: n.FailureDomain}
}

func sorted(set map[string]bool) []string {
	var names []string
	for k := range set {
		names = append(names, k)
	}

	slices.Sort(names)

	return names
}

func TestNodesFitTogether(t *testing.T) {
	for example, want := range deployments {
		t.Run(example, func(t *testing.T) {
			loaded := loadNodes(t, example)
			domains, addresses := map[string]bool{}, map[string]bool{}

			for _, v := range loaded {
				domains[v.Node.FailureDomain] = true
				addresses[v.Node.Listen] = true

				assert.Equal(t, v.Node.Region, want.region)
				assert.Equal(t, v.Peers.Credential, loaded[0].Peers.Credential)
				assert.Equal(t, len(v.Operators.KeyHashes), 1)

				var others []loader.Peer

				for _, o := range loaded {
					if o.Node.Name != v.Node.Name {
						others = append(others, peerOf(o.Node))
					}
				}

				assert.DeepEqual(t, v.Peers.Nodes, others)
			}

			assert.DeepEqual(t, sorted(domains), want.failureDomains)
			assert.Equal(t, len(addresses), nodes)
		})
	}
}

// loadTree edits the branches into an empty tree, parents first, as README.md says.
func loadTree(t *testing.T, example string) configurer.Snapshot {
	t.Helper()

	editor := configurer.NewEditor(keeper.NewLocal(keeper.NewStore(keeper.StoreOptions{}), nil), configurer.EditorOptions{})
	root := filepath.Join(example, "tree")

	var paths []string

	assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			paths = append(paths, strings.TrimSuffix(strings.TrimPrefix(path, root+"/"), ".yaml"))
		}

		return err
	}))

	depth := func(path string) int {
		if path == "root" {
			return -1
		}

		return strings.Count(path, "/")
	}
	slices.SortStableFunc(paths, func(a, b string) int { return depth(a) - depth(b) })

	for i, v := range paths {
		text, err := os.ReadFile(filepath.Join(root, v+".yaml"))
		assert.NilError(t, err)

		branch := v
		if v == "root" {
			branch = ""
		}

		_, err = editor.Edit(t.Context(), configurer.Edit{Branch: branch, Value: text, ChangeID: fmt.Sprint("c", i), Author: "test"})
		assert.NilError(t, err, v)
	}

	tree, err := editor.Tree(t.Context())
	assert.NilError(t, err)

	snapshot, err := configurer.Resolve(tree.Branches)
	assert.NilError(t, err)

	return snapshot
}

func TestTreesHaveTodaysServices(t *testing.T) {
	for example, want := range deployments {
		t.Run(example, func(t *testing.T) {
			snapshot := loadTree(t, example)
			assert.Equal(t, len(snapshot.Services), len(want.upstreams))

			for name, service := range snapshot.Services {
				assert.Equal(t, len(service.Upstreams), want.upstreams[name], name)
				assert.Equal(t, len(service.Organisations), 10, name)
				assert.Equal(t, service.Branch, want.region+"/"+name)
				checkClasses(t, service, want)
				checkUpstreams(t, service, want)
			}
		})
	}
}

func checkClasses(t *testing.T, service configurer.Service, want deployment) {
	t.Helper()

	names := map[string]bool{}

	for name, class := range service.Classes {
		names[name] = true
		assert.Equal(t, class.Repeatable, !slices.Contains(want.onlyOnce, name), name)
		assert.Equal(t, class.Tier == 1, slices.Contains(want.first, name), name)
		assert.Assert(t, class.Tier == 1 || class.GuaranteedShare > 0, "%s may wait forever", name)
	}

	assert.DeepEqual(t, sorted(names), want.classes[service.Name])
}

func checkUpstreams(t *testing.T, service configurer.Service, want deployment) {
	t.Helper()

	domains, addresses := map[string]bool{}, map[string]bool{}
	for _, v := range service.Upstreams {
		domains[v.FailureDomain] = true
		addresses[v.Address] = true
	}

	assert.DeepEqual(t, sorted(domains), want.failureDomains)
	assert.Equal(t, len(addresses), len(service.Upstreams))
}
