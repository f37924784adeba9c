package prober

import (
	"slices"
	"time"
)

const (
	// syncPeriod is the interval between syncs while listed members are still Unknown.
	syncPeriod = 5 * time.Second
	// updatesPerSyncReply limits the updates in one page of a sync.
	updatesPerSyncReply = 20
)

// syncState is the progress of reading a peer's members page by page.
//
// Without a sync, a node that starts or resumes would only learn about its peers
// as its own probes reach them, which takes minutes with 370 nodes.
type syncState struct {
	needed bool
	// peer is the node that the sync reads from; empty before the first request.
	peer string
	// cursor is the last member name received.
	cursor      string
	requestedAt time.Time
	// nextAt is the earliest time of the next sync.
	nextAt time.Time
}

// requestSync requests the members of a peer, or of another one if the last did not answer in time.
func (p *Prober) requestSync(now time.Time) {
	if !p.sync.needed && !now.Before(p.sync.nextAt) && p.inState[Unknown] > 0 {
		p.sync.needed = true
	}

	if !p.sync.needed || p.sync.peer != "" && now.Sub(p.sync.requestedAt) < 2*p.options.Period {
		return
	}

	candidates := p.randomLive(1, p.sync.peer)
	if len(candidates) == 0 {
		return
	}

	p.sync.peer = candidates[0].Name
	p.sync.requestedAt = now
	p.send(now, candidates[0], Packet{Kind: KindSync, Target: p.sync.cursor})
}

func (p *Prober) sendSyncReply(now time.Time, to *member, cursor string) {
	at, found := slices.BinarySearch(p.names, cursor)
	if found {
		at++
	}

	page := []Update{}
	remaining := updatesPerSyncReply

	for _, name := range p.names[at:] {
		m := p.members[name]
		if m.Incarnation == 0 && m.State != Dead || name == to.Name {
			continue
		}

		v := p.updateFor(m, "")
		if v.State == Suspect {
			// Only nodes whose own probes failed forward a suspicion; the receiver will probe for itself.
			v.State = Live
		}

		remaining -= updateWeight(v)
		if remaining < 0 {
			break
		}

		page = append(page, v)
	}

	p.send(now, to, Packet{Kind: KindSyncReply, Updates: page})
}

func (p *Prober) continueSync(now time.Time, sender *member, packet Packet) {
	if !p.sync.needed || sender.Name != p.sync.peer {
		return
	}

	if len(packet.Updates) == 0 {
		p.sync = syncState{nextAt: now.Add(syncPeriod)}

		return
	}

	p.sync.cursor = packet.Updates[len(packet.Updates)-1].Node
	p.sync.requestedAt = now
	p.send(now, sender, Packet{Kind: KindSync, Target: p.sync.cursor})
}
