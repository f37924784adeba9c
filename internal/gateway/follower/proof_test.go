package follower_test

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// Guards against a node that takes its list of nodes for newer than it is, and uses a part of what newer ones share.
func TestNoNodeIsMissingThatWasListedBeforeTheProof(t *testing.T) {
	for _, count := range []int{9, 65} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, count)
			defer f.end()

			// A list that nodes which start get in several pages.
			for i := range 4_000 {
				f.ids = append(f.ids, fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)})))
			}

			time.Sleep(15 * time.Second)

			listedAt := make(map[string]time.Time)

			for i := range 80 {
				switch i {
				case 20:
					// Most nodes are turned away and learn from others, on answers that take long.
					f.change(func() {
						f.held = 150 * time.Millisecond
						for name := range f.parts {
							f.turnedAway[name] = name != "n3"
						}
					})
				case 40:
					f.change(func() { f.down = true })
				case 60:
					f.change(func() { f.down, f.turnedAway = false, map[string]bool{} })
				}

				if i%10 == 5 {
					f.start(t, fmt.Sprint("late", i), []string{"n1", "n2"})
				}

				name := fmt.Sprint("new", i)
				listedAt[name] = time.Now()
				f.change(func() {
					f.nodes = append(f.nodes, cataloguer.Node{Name: name})
					f.version += int64(i % 2)
				})

				time.Sleep(130 * time.Millisecond)
				f.checkProofs(t, listedAt)
			}

			time.Sleep(20 * time.Second)

			f.mu.Lock()
			defer f.mu.Unlock()

			for _, m := range f.parts {
				age, known := m.catalog.RegistryAge()
				assert.Assert(t, known && age < 5*time.Second, "%s: %v", m.name, age)
			}
		})
	}
}

// checkProofs compares what each node knows with what was listed when its proof was made.
func (f *fleet) checkProofs(t *testing.T, listedAt map[string]time.Time) {
	t.Helper()

	f.mu.Lock()
	defer f.mu.Unlock()

	for _, m := range f.parts {
		age, known := m.catalog.RegistryAge()
		if !known {
			continue
		}

		proven, nodes := time.Now().Add(-age), m.catalog.State().Registry.Nodes

		for name, at := range listedAt {
			missing := !slices.ContainsFunc(nodes, func(n cataloguer.Node) bool { return n.Name == name })
			assert.Assert(t, !missing || !at.Before(proven), "%s lacks %s, listed %v before its proof", m.name, name, proven.Sub(at))
		}
	}
}
