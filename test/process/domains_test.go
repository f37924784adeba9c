package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// mostEntries is how many entries an answer of GET /v1/entries names at most.
const mostEntries = 8

// Symptom: a rack loses its power, and callers elsewhere wait, or a booking stands twice in the book.
// Events: under load all three nodes of a failure domain are killed at once, and the platform's store goes down with them; it returns, and they start again.
// Cause: holders of pools and shards, watchers of the tree and a third of the entries go in one moment, and no store is there to ask.
func TestFailureDomainIsKilledDuringAnOutage(t *testing.T) {
	t.Parallel()

	f := newTreeFleet(t, 9)
	gone, rest := f.domain("siracusa-sala")
	options := f.replayOptions()
	events := mix(600, 40, 12*time.Second)
	reached := milestones(&options, len(events)/4, len(events)/2)
	done := inBackground(t, options, events)
	watched := f.watchRevisions(t, f.revision(t, 0))

	<-reached[0]
	f.killAll(gone)
	switchOn(t, f.platform, map[string]any{"outage": true})

	f.lookUpOnce(t, rest)
	f.shown(t, rest, gone, "dead")
	f.listed(t, rest, rest, len(rest))

	<-reached[1]
	switchOn(t, f.platform, map[string]any{"outage": false})

	for _, i := range gone {
		f.nodes[i] = f.startNode(t, i)
	}

	result := <-done
	f.checkPromises(t, result)
	assert.Assert(t, callsBeyondFirst(result) > 0, "no caller noticed the kills")
	f.checkHealed(t, gone)
	assert.DeepEqual(t, watched(), []string(nil))
	t.Logf("%d events, bookings ended %v, calls beyond the first %d", len(result.Outcomes), endings(result, "booking"), callsBeyondFirst(result))
}

// Symptom: callers of a site that lost its line hang, or are served by yesterday's settings after the line is back.
// Events: under load a failure domain is cut off from the others and from the platform; a change is made outside; the cut is healed.
// Cause: three nodes that still hear each other could take themselves for the whole fleet; calls to the platform go silent and don't fail.
//
// After the heal a chat or a note sometimes waited for 30 s and more: connections that had gone silent in the cut were kept for as long as short
// calls used them, and a holder forgot an entry before it asked again for a grant that was lost on one of them. It showed as
// slot_waited_for at the entry, and at its holder as pool_rebuild_began and entry_forgotten live=true, in turn, each five seconds.
func TestFailureDomainIsCutOff(t *testing.T) {
	t.Parallel()

	between := newProxies(t)
	f := newTreeFleetOf(t, 9, shape{peerVia: between.peerVia, platformVia: between.platformVia})
	inside, outside := f.domain("siracusa-sala")
	options := f.replayOptions()
	events := mix(610, 30, 12*time.Second)
	reached := milestones(&options, len(events)/4)
	done := inBackground(t, options, events)
	watched := f.watchRevisions(t, f.revision(t, 0))

	<-reached[0]
	between.cutOff(f, "siracusa-sala")

	fromInside := inBackground(t, f.optionsInside(inside), withoutComingBack(mix(620, 20, 3*time.Second)))

	f.lookUpOnce(t, inside)
	f.lookUpOnce(t, outside)

	// All this is answered before the cut is healed.
	change := f.change(t, outside[0], "tree", "set", plainBranch, "classes.lookup.target=350ms")
	f.inForce(t, change.Revision, outside...)
	f.bookEach(t, outside, "outside")

	refused := f.operate(t, inside[0], "tree", "set", plainBranch, "classes.lookup.target=360ms")
	assert.Equal(t, refused.code, classifier.PlatformUnavailable, refused.err)

	for _, i := range inside {
		answer := book(t, f.nodes[i].address, "inside", `{"bath":1}`)
		assert.Equal(t, answer.code, "claim_unavailable", "%+v", answer)
		assert.Equal(t, answer.ran, "not_run")
	}

	isolated := <-fromInside
	f.checkPromises(t, isolated)
	f.shown(t, outside, inside, "dead")
	f.listed(t, outside, outside, len(outside))
	// Nodes that hear few others don't take them for dead; they name them last.
	f.shown(t, inside, outside, "dead", "doubted")
	f.listed(t, inside, inside, mostEntries)

	for _, v := range between.peers {
		v.mend()
	}

	result := <-done
	f.checkPromises(t, result)
	f.inForce(t, change.Revision)
	f.checkHealed(t, inside)
	assert.DeepEqual(t, watched(), []string(nil))
	t.Logf("%d events, bookings ended %v; inside %d events, lookups %v, bookings %v", len(result.Outcomes), endings(result, "booking"),
		len(isolated.Outcomes), endings(isolated, "counter_lookup"), endings(isolated, "booking"))
}

// domain returns the indexes of the nodes of a failure domain, and those of the others.
func (f *fleet) domain(name string) (inside, outside []int) {
	for i, v := range f.nodeSpecs {
		if v.failureDomain == name {
			inside = append(inside, i)
		} else {
			outside = append(outside, i)
		}
	}

	return inside, outside
}

// killAll kills nodes at the same moment.
func (f *fleet) killAll(nodes []int) {
	var group sync.WaitGroup

	for _, i := range nodes {
		group.Go(f.nodes[i].kill)
	}

	group.Wait()
}

// lookUpOnce asks each of the nodes once; all must answer whole.
func (f *fleet) lookUpOnce(t *testing.T, nodes []int) {
	t.Helper()

	for _, i := range nodes {
		assert.Equal(t, f.lookUpAt(t, i), "ok", f.nodeSpecs[i].name)
	}
}

// shown waits until each of the nodes shows the others in one of the states.
func (f *fleet) shown(t *testing.T, nodes, others []int, states ...string) {
	t.Helper()

	for _, i := range nodes {
		waitFor(t, fmt.Sprintf("%v at %s", states, f.nodeSpecs[i].name), func() bool {
			status, ok := readStatus(t, f.nodeSpecs[i].adminAddress)

			return ok && !slices.ContainsFunc(status.Peers, func(peer administrator.PeerStatus) bool {
				return f.isOneOf(peer.Node, others) && !slices.Contains(states, peer.State)
			})
		})
	}
}

// listed waits until each of the nodes names the wanted ones to callers before any other, and at most the given number in all.
func (f *fleet) listed(t *testing.T, nodes, wanted []int, most int) {
	t.Helper()

	for _, i := range nodes {
		waitFor(t, "the right entries at "+f.nodeSpecs[i].name, func() bool {
			entries := entriesOf(t, f.nodes[i].address).Entries
			first := entries[:min(len(wanted), len(entries))]

			return len(first) == len(wanted) && len(entries) <= most &&
				!slices.ContainsFunc(first, func(v entry) bool { return !f.isOneOf(v.Node, wanted) })
		})
	}
}

func (f *fleet) isOneOf(name string, nodes []int) bool {
	return slices.ContainsFunc(nodes, func(i int) bool { return f.nodeSpecs[i].name == name })
}

// bookEach books at each of the nodes until it is served.
func (f *fleet) bookEach(t *testing.T, nodes []int, prefix string) {
	t.Helper()

	for _, i := range nodes {
		key := prefix + "-" + f.nodeSpecs[i].name

		waitFor(t, "the booking "+key, func() bool { return book(t, f.nodes[i].address, key, `{"bath":1}`).status == http.StatusOK })
		assert.Equal(t, booked(t, f, key), 1)
	}
}

// checkHealed checks that nodes that were away are whole again: all see all, and they book and change settings for all.
func (f *fleet) checkHealed(t *testing.T, away []int) {
	t.Helper()

	_, all := f.domain("")
	f.shown(t, all, all, "alive")

	f.bookEach(t, away, "healed")
	f.inForce(t, f.change(t, away[0], "tree", "set", plainBranch, "classes.lookup.target=370ms").Revision)
	checkAllWhole(t, f, replay(t, f.replayOptions(), mix(640, 40, time.Second)))
}

// withoutComingBack makes callers take the first refusal as their answer.
func withoutComingBack(events []tracer.Event) []tracer.Event {
	for i := range events {
		events[i].ComeBack = false
	}

	return events
}

// optionsInside are those of callers whose connections reach the given nodes only.
func (f *fleet) optionsInside(nodes []int) replayer.Options {
	options := f.replayOptions()
	options.Entries = nil

	for _, i := range nodes {
		options.Entries = append(options.Entries, f.nodeSpecs[i].entryAddress)
	}

	// A booking must not go out on a kept connection, as in the replayer's own client.
	options.Client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !slices.Contains(options.Entries, address) {
				return nil, errors.Newf("%s is beyond the cut", address)
			}

			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}}

	return options
}
