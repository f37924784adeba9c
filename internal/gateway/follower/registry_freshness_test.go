package follower_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// A node that takes its list of nodes to be newer than it is would use a share of limits that newer nodes also use.
func TestNoNodeIsMissingThatWasListedBeforeTheProof(t *testing.T) {
	for _, count := range []int{9, 65} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, count)
			defer f.stop()

			// The list must be long enough that starting nodes receive it in several pages.
			for i := range 4_000 {
				f.upstreamIDs = append(f.upstreamIDs, fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)})))
			}

			time.Sleep(15 * time.Second)

			listedAt := make(map[string]time.Time)

			for i := range 80 {
				switch i {
				case 20:
					// Most nodes are rejected and update from others, whose responses are slow.
					f.update(func() {
						f.callDelay = 150 * time.Millisecond
						for name := range f.members {
							f.rejected[name] = name != "n3"
						}
					})
				case 40:
					f.update(func() { f.down = true })
				case 60:
					f.update(func() { f.down, f.rejected = false, map[string]bool{} })
				}

				if i%10 == 5 {
					f.start(t, fmt.Sprint("late", i), []string{"n1", "n2"})
				}

				name := fmt.Sprint("new", i)
				listedAt[name] = time.Now()
				f.update(func() {
					f.nodes = append(f.nodes, cataloguer.Node{Name: name})
					f.version += int64(i % 2)
				})

				time.Sleep(130 * time.Millisecond)
				f.checkFreshness(t, listedAt)
			}

			time.Sleep(20 * time.Second)

			f.mu.Lock()
			defer f.mu.Unlock()

			for _, m := range f.members {
				age, known := m.catalog.RegistryAge()
				assert.Assert(t, known && age < 5*time.Second, "%s: %v", m.name, age)
			}
		})
	}
}

// checkFreshness compares each node's registry with the nodes that were listed before its freshness time.
func (f *fleet) checkFreshness(t *testing.T, listedAt map[string]time.Time) {
	t.Helper()

	f.mu.Lock()
	defer f.mu.Unlock()

	for _, m := range f.members {
		age, known := m.catalog.RegistryAge()
		if !known {
			continue
		}

		freshAt, nodes := time.Now().Add(-age), m.catalog.State().Registry.Nodes

		for name, at := range listedAt {
			missing := !nodes.Contains(name)
			assert.Assert(t, !missing || !at.Before(freshAt), "%s lacks %s, listed %v before its freshness time", m.name, name, freshAt.Sub(at))
		}
	}
}
