package prober

import (
	"slices"
	"time"
)

// addressedWeight is how many plain news one with addresses weighs in a packet.
const addressedWeight = 3

// queuedNews is news that is still to be sent.
type queuedNews struct {
	news Update
	sent int
}

// admit checks a packet's sender and number. It returns nil for packets to drop.
func (p *Prober) admit(now time.Time, packet Packet) *member {
	if packet.From == p.self.Name || packet.Incarnation <= 0 {
		p.counters.UnknownSenders++

		return nil
	}

	m := p.members[packet.From]
	if m == nil {
		m = p.introduce(now, packet)
	}

	if m == nil {
		p.counters.UnknownSenders++

		return nil
	}

	if packet.Incarnation < m.Incarnation {
		p.counters.OutdatedDropped++
		// A node that restarted with a clock gone back learns here which incarnation it must exceed.
		p.sendDoubting(now, m, m.Incarnation)

		return nil
	}

	if !p.acceptNumber(m, packet) {
		p.counters.ReplaysDropped++

		return nil
	}

	p.heardFrom(now, m, packet)

	return m
}

func (p *Prober) introduce(now time.Time, packet Packet) *member {
	if packet.VM == nil || packet.VM.Name != packet.From || packet.VM.PeerAddress == "" {
		return nil
	}

	return p.add(now, *packet.VM)
}

// acceptNumber drops replays. A new run of the sender starts its numbers again, with a higher incarnation.
func (p *Prober) acceptNumber(m *member, packet Packet) bool {
	if packet.Incarnation > m.guard.run && packet.Sequence <= m.guard.highest {
		m.guard = replayGuard{}
	}

	m.guard.run = max(m.guard.run, packet.Incarnation)

	return m.guard.accept(packet.Sequence)
}

func (p *Prober) heardFrom(now time.Time, m *member, packet Packet) {
	m.Digest = packet.Digest

	if packet.VM != nil && packet.VM.Name == m.Name && packet.VM.PeerAddress != "" {
		m.introduced = true
		m.setVM(*packet.VM)
	}

	p.recordLive(now, m, packet.Incarnation, packet.Digest.Leaving, true)
}

// apply takes in news from a peer. News that is spread on goes into the own queue as well.
func (p *Prober) apply(now time.Time, v Update, spread bool) {
	if v.Node == p.self.Name {
		p.answerNewsOfSelf(v)

		return
	}

	m := p.members[v.Node]
	if m == nil {
		if v.VM == nil || v.VM.Name != v.Node || v.VM.PeerAddress == "" || v.State == Dead {
			return
		}

		m = p.add(now, *v.VM)
	}

	switch v.State {
	case Live:
		p.recordLive(now, m, v.Incarnation, v.Leaving, spread)
	case Suspect:
		p.suspect(now, m, v.Incarnation, v.By)
	case Dead:
		p.recordDead(now, m, v, spread)
	case Unknown:
	}
}

// recordLive records that a member lives in an incarnation. A doubt of the same incarnation outweighs it.
func (p *Prober) recordLive(now time.Time, m *member, incarnation int64, leaving, spread bool) {
	if incarnation < m.Incarnation {
		return
	}

	if incarnation == m.Incarnation && m.State != Unknown {
		leftNow := leaving && !m.toldLeaving
		m.toldLeaving = m.toldLeaving || leaving

		if leftNow && spread {
			p.enqueue(m, "")
		}

		return
	}

	m.Incarnation = incarnation
	p.setState(now, m, Live)
	m.toldLeaving = leaving

	if spread {
		p.enqueue(m, "")
	}
}

// recordDead records that a peer holds a member for dead.
func (p *Prober) recordDead(now time.Time, m *member, v Update, spread bool) {
	if v.Incarnation < m.Incarnation {
		return
	}

	m.Incarnation = v.Incarnation

	if p.setState(now, m, Dead) && spread {
		p.enqueue(m, "")
	}
}

// answerNewsOfSelf answers news about this node itself.
func (p *Prober) answerNewsOfSelf(v Update) {
	if v.State == Live {
		if v.Incarnation > p.self.Incarnation {
			p.raiseIncarnation(v.Incarnation)
		}

		return
	}

	p.refute(v.Incarnation)
}

func (p *Prober) enqueueSelf() {
	v := Update{Node: p.self.Name, State: Live, Incarnation: p.self.Incarnation, Leaving: p.self.Leaving}
	if !p.self.Listed {
		v.VM = p.selfVM()
	}

	p.replaceNews(v)
}

func (p *Prober) enqueue(m *member, by string) {
	p.replaceNews(p.newsOf(m, by))
}

func (p *Prober) newsOf(m *member, by string) Update {
	v := Update{Node: m.Name, State: m.State, Incarnation: m.Incarnation, Leaving: m.toldLeaving, By: by}
	if !m.Listed && m.PeerAddress != "" {
		v.VM = m.vm()
	}

	return v
}

// replaceNews queues news in place of older news about the same node.
func (p *Prober) replaceNews(v Update) {
	p.news = slices.DeleteFunc(p.news, func(q *queuedNews) bool { return q.news.Node == v.Node })
	p.news = append(p.news, &queuedNews{news: v})
}

// takeNews returns the news for one packet, those sent least first, and drops what was sent often enough.
func (p *Prober) takeNews() []Update {
	if len(p.news) == 0 {
		return nil
	}

	slices.SortStableFunc(p.news, func(a, b *queuedNews) int { return a.sent - b.sent })

	var taken []Update

	room := p.options.UpdatesPerPacket

	for _, q := range p.news {
		room -= weight(q.news)
		if room < 0 {
			break
		}

		q.sent++
		taken = append(taken, q.news)
	}

	limit := p.options.transmissions(p.size())
	p.news = slices.DeleteFunc(p.news, func(q *queuedNews) bool { return q.sent >= limit })

	return taken
}

func weight(v Update) int {
	if v.VM != nil {
		return addressedWeight
	}

	return 1
}

func (p *Prober) selfVM() *VM {
	return &VM{Name: p.self.Name, Address: p.self.Address, PeerAddress: p.self.PeerAddress, FailureDomain: p.self.FailureDomain}
}

// send completes a packet and puts it into the outbox.
func (p *Prober) send(now time.Time, to *member, packet Packet) {
	if to.State == Dead || to.State == Suspect && !to.LocalSuspicion {
		packet.RefuteIncarnation = to.Incarnation
	}

	if packet.Updates == nil {
		packet.Updates = p.takeNews()
	}

	p.post(now, to, packet)
}

// sendDoubting tells a member which incarnation it must exceed.
func (p *Prober) sendDoubting(now time.Time, to *member, doubt int64) {
	p.post(now, to, Packet{Kind: KindDigest, RefuteIncarnation: doubt})
}

func (p *Prober) post(now time.Time, to *member, packet Packet) {
	if to.PeerAddress == "" {
		return
	}

	p.sequence++
	packet.From = p.self.Name
	packet.Incarnation = p.self.Incarnation
	packet.Sequence = p.sequence
	packet.Digest = p.digest
	packet.Digest.Leaving = p.self.Leaving

	if packet.Kind == KindSync || now.Sub(p.started) < p.options.AddressAnnounceTime {
		packet.VM = p.selfVM()
	}

	p.outbox = append(p.outbox, Message{To: to.Name, Address: to.PeerAddress, Packet: packet})
}
