package prober

import (
	"slices"
	"time"
)

const (
	// syncPeriod is the time between two syncs while listed members are still unknown.
	syncPeriod = 5 * time.Second
	// newsPerSyncReply bounds the news in one page of a sync.
	newsPerSyncReply = 20
)

// syncState is the progress of reading a peer's members, page by page.
//
// A node that starts or wakes up would otherwise wait until its own probes have
// met every peer; with 370 nodes that takes minutes.
type syncState struct {
	wanted bool
	// peer is the node asked; empty between two tries.
	peer string
	// cursor is the last name read.
	cursor string
	asked  time.Time
	// next is when another sync may start.
	next time.Time
}

// requestSync asks a peer for its members, another one when the last did not answer in time.
func (p *Prober) requestSync(now time.Time) {
	if !p.sync.wanted && !now.Before(p.sync.next) && p.inState[Unknown] > 0 {
		p.sync.wanted = true
	}

	if !p.sync.wanted || p.sync.peer != "" && now.Sub(p.sync.asked) < 2*p.options.Period {
		return
	}

	candidates := p.pick(1, p.sync.peer)
	if len(candidates) == 0 {
		return
	}

	p.sync.peer = candidates[0].Name
	p.sync.asked = now
	p.send(now, candidates[0], Packet{Kind: KindSync, Target: p.sync.cursor})
}

func (p *Prober) sendSyncReply(now time.Time, to *member, cursor string) {
	at, found := slices.BinarySearch(p.names, cursor)
	if found {
		at++
	}

	page := []Update{}
	room := newsPerSyncReply

	for _, name := range p.names[at:] {
		m := p.members[name]
		if m.Incarnation == 0 && m.State != Dead || name == to.Name {
			continue
		}

		v := p.newsOf(m, "")
		if v.State == Suspect {
			// A suspicion is for those to pass on who probed; the reader will probe for itself.
			v.State = Live
		}

		room -= weight(v)
		if room < 0 {
			break
		}

		page = append(page, v)
	}

	p.send(now, to, Packet{Kind: KindSyncReply, Updates: page})
}

func (p *Prober) continueSync(now time.Time, sender *member, packet Packet) {
	if !p.sync.wanted || sender.Name != p.sync.peer {
		return
	}

	if len(packet.Updates) == 0 {
		p.sync = syncState{next: now.Add(syncPeriod)}

		return
	}

	p.sync.cursor = packet.Updates[len(packet.Updates)-1].Node
	p.sync.asked = now
	p.send(now, sender, Packet{Kind: KindSync, Target: p.sync.cursor})
}
