package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/storer"
)

// vmFleet joins lists of VMs by fake messages and counts reads of the platform.
type vmFleet struct {
	members []distributor.Member
	lists   map[string]*vmList
	// down nodes take no messages, but count as live.
	down  map[string]bool
	vms   storer.VMList
	out   bool
	reads int
}

func newVMFleet(domains, each int) *vmFleet {
	f := &vmFleet{lists: map[string]*vmList{}, down: map[string]bool{}}

	for i := range domains * each {
		member := distributor.Member{Name: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)}
		f.members = append(f.members, member)
		f.lists[member.Name] = &vmList{
			self: member.Name, reader: f, caller: f,
			watchers: func() []string { return distributor.Watchers(member, f.members) },
		}
	}

	return f
}

// VMs implements vmReader.
func (f *vmFleet) VMs(context.Context) (storer.VMList, error) {
	f.reads++
	if f.out {
		return storer.VMList{}, errors.New("the platform is out")
	}

	return f.vms, nil
}

// Call implements peerCaller.
func (f *vmFleet) Call(ctx context.Context, peer, _ string, _, result any) error {
	if f.down[peer] {
		return errors.New("no answer")
	}

	answer, err := f.lists[peer].handleLeaving(ctx, "", nil)
	if err != nil {
		return err
	}

	encoded, err := json.Marshal(answer)
	if err != nil {
		return err
	}

	return json.Unmarshal(encoded, result)
}

// round has all nodes look, watchers first, and returns reads of the platform.
func (f *vmFleet) round(t *testing.T, expected ...string) int {
	t.Helper()

	f.reads = 0
	nodes := slices.Clone(f.members)
	slices.SortStableFunc(nodes, func(a, b distributor.Member) int { return f.rank(a) - f.rank(b) })

	for _, v := range nodes {
		leaving, _, err := f.lists[v.Name].refresh(t.Context())
		assert.Assert(t, err != nil == (f.out && f.rank(v) == 0))

		if err == nil {
			assert.DeepEqual(t, leaving, expected)
		}
	}

	return f.reads
}

// rank is 0 for watchers.
func (f *vmFleet) rank(v distributor.Member) int {
	if slices.Contains(distributor.Watchers(v, f.members), v.Name) {
		return 0
	}

	return 1
}

// Symptom: the list of VMs was the largest part of what a node without callers
// sent and received. Sequence: each of 370 nodes reads 370 VMs. Cause: the few
// marks that all of them need are the same.
func TestOnlyWatchersReadTheList(t *testing.T) {
	f := newVMFleet(3, 10)
	f.vms.VMs = []storer.VM{{Name: "e1", State: "leaving"}, {Name: "e2", State: "running"}}

	assert.Equal(t, f.round(t, "e1"), 6)

	f.out = true
	assert.Equal(t, f.round(t, "e1"), 6, "an outage must not send the others to the platform")

	f.out = false
	f.vms.VMs = []storer.VM{{Name: "e2", State: "leaving"}}

	watchers := distributor.Watchers(f.members[0], f.members)
	f.down[watchers[0]] = true
	assert.Equal(t, f.round(t, "e2"), 6, "the second watcher answers")

	f.down[watchers[1]] = true
	assert.Equal(t, f.round(t, "e2"), 6+8, "nodes whose watchers are silent read themselves")
}

func TestListPause(t *testing.T) {
	for _, v := range []struct {
		nodes int
		read  bool
		least time.Duration
	}{{3, true, 5 * time.Second}, {3, false, 5 * time.Second}, {370, true, 37 * time.Second}, {370, false, 9250 * time.Millisecond}} {
		pause := listPause(v.nodes, v.read)
		assert.Assert(t, pause >= v.least && pause <= v.least*5/4, "%d nodes: %s", v.nodes, pause)
	}
}
