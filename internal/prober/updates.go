package prober

import (
	"slices"
	"time"
)

const (
	// urgentTransmissions is how often an update about a failure is sent ahead of others. News that each node passes on to
	// four others reaches nearly all; the regular packets reach the rest.
	urgentTransmissions = 8
	// urgentBacklog is the number of such transmissions from which regular packets, of which a node sends some four a second,
	// take too long.
	urgentBacklog = 48
	// urgentTicks is the number of ticks within which they are sent then.
	urgentTicks = 2
	// maxUrgentPackets limits the additional packets of a tick: 24 are some 1.7 Mbit/s.
	maxUrgentPackets = 24
)

// addressedUpdateWeight is the weight in a packet of an update with addresses; one without has weight 1.
const addressedUpdateWeight = 3

// queuedUpdate is an update that is still to be sent.
type queuedUpdate struct {
	update Update
	sent   int
	// urgent is set if the update says that a node which callers may be sent to has failed.
	urgent bool
}

// admit checks the sender, incarnation and sequence number of a packet. It returns nil if the packet must be dropped.
func (p *Prober) admit(now time.Time, packet Packet) *member {
	if packet.From == p.self.Name || packet.Incarnation <= 0 {
		p.counters.UnknownSenders++

		return nil
	}

	m := p.members[packet.From]
	if m == nil {
		m = p.addSender(now, packet)
	}

	if m == nil {
		p.counters.UnknownSenders++

		return nil
	}

	if packet.Incarnation < m.Incarnation {
		p.counters.OutdatedDropped++
		// This tells a node that restarted with an earlier clock which incarnation it must exceed.
		p.requestRefutation(now, m, m.Incarnation)

		return nil
	}

	if !p.acceptSequence(m, packet) {
		p.counters.ReplaysDropped++

		return nil
	}

	p.recordSender(now, m, packet)

	return m
}

func (p *Prober) addSender(now time.Time, packet Packet) *member {
	if packet.VM == nil || packet.VM.Name != packet.From || packet.VM.PeerAddress == "" {
		return nil
	}

	return p.addMember(now, *packet.VM)
}

// acceptSequence rejects replays. A sender that restarted counts from 1 again, with a higher incarnation.
func (p *Prober) acceptSequence(m *member, packet Packet) bool {
	if packet.Incarnation > m.replays.incarnation && packet.Sequence <= m.replays.highest {
		m.replays = replayFilter{}
	}

	m.replays.incarnation = max(m.replays.incarnation, packet.Incarnation)

	return m.replays.accept(packet.Sequence)
}

func (p *Prober) recordSender(now time.Time, m *member, packet Packet) {
	if m.Digest.InstanceID != packet.Digest.InstanceID {
		p.roster = nil
	}

	m.Digest = packet.Digest

	if packet.VM != nil && packet.VM.Name == m.Name && packet.VM.PeerAddress != "" {
		m.selfReported = true

		if *m.vm() != *packet.VM {
			p.roster = nil
			m.setVM(*packet.VM)
		}
	}

	p.recordLive(now, m, packet.Incarnation, packet.Digest.Leaving, true)
}

// applyUpdate applies an update from a peer. If forward is set, a change is queued for other peers too.
func (p *Prober) applyUpdate(now time.Time, v Update, forward bool) {
	if v.Node == p.self.Name {
		p.handleUpdateAboutSelf(v)

		return
	}

	m := p.members[v.Node]
	if m == nil {
		if v.VM == nil || v.VM.Name != v.Node || v.VM.PeerAddress == "" || v.State == Dead {
			return
		}

		m = p.addMember(now, *v.VM)
	}

	switch v.State {
	case Live:
		p.recordLive(now, m, v.Incarnation, v.Leaving, forward)
	case Suspect:
		p.suspect(now, m, v.Incarnation, v.By)
	case Dead:
		p.recordDead(now, m, v, forward)
	case Unknown:
	}
}

// recordLive records that a member is live in an incarnation. Suspect and Dead in the same incarnation take precedence.
func (p *Prober) recordLive(now time.Time, m *member, incarnation int64, leaving, forward bool) {
	if incarnation < m.Incarnation {
		return
	}

	if incarnation == m.Incarnation && m.State != Unknown {
		leftNow := leaving && !m.reportedLeaving
		if leftNow {
			p.roster = nil
		}

		m.reportedLeaving = m.reportedLeaving || leaving

		if leftNow && forward {
			p.enqueue(m, "")
		}

		return
	}

	p.roster = nil
	m.Incarnation = incarnation
	p.setState(now, m, Live)
	m.reportedLeaving = leaving

	if forward {
		p.enqueue(m, "")
	}
}

// recordDead records that a peer considers a member dead.
func (p *Prober) recordDead(now time.Time, m *member, v Update, forward bool) {
	if v.Incarnation < m.Incarnation {
		return
	}

	p.roster = nil
	m.Incarnation = v.Incarnation
	m.reportedLeaving = m.reportedLeaving || v.Leaving

	if p.setState(now, m, Dead) && forward {
		p.enqueueFailure(m, "")
	}
}

// handleUpdateAboutSelf handles an update about this node itself.
func (p *Prober) handleUpdateAboutSelf(v Update) {
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

	p.queueUpdate(v)
}

func (p *Prober) enqueue(m *member, by string) {
	p.queueUpdate(p.updateFor(m, by))
}

// enqueueFailure queues an update about a member that has failed.
func (p *Prober) enqueueFailure(m *member, by string) {
	p.enqueue(m, by)
	p.updates[len(p.updates)-1].urgent = true
}

// sendUrgentUpdates sends updates about failures in packets of their own if there are too many of them for the regular
// ones. The number of failures at once grows with the fleet, and the regular packets of a node don't.
func (p *Prober) sendUrgentUpdates(now time.Time) {
	pending := 0

	for _, q := range p.updates {
		if q.urgent {
			pending += max(urgentTransmissions-q.sent, 0)
		}
	}

	if pending <= urgentBacklog {
		return
	}

	perTick := p.options.UpdatesPerPacket * urgentTicks

	for _, m := range p.randomLive(min((pending+perTick-1)/perTick, maxUrgentPackets), "") {
		p.send(now, m, Packet{Kind: KindDigest})
	}
}

func (p *Prober) updateFor(m *member, by string) Update {
	v := Update{Node: m.Name, State: m.State, Incarnation: m.Incarnation, Leaving: m.reportedLeaving, By: by}
	if !m.Listed && m.PeerAddress != "" {
		v.VM = m.vm()
	}

	return v
}

// queueUpdate queues an update and removes older ones about the same node.
func (p *Prober) queueUpdate(v Update) {
	p.updates = slices.DeleteFunc(p.updates, func(q *queuedUpdate) bool { return q.update.Node == v.Node })
	p.updates = append(p.updates, &queuedUpdate{update: v})
}

// takeUpdates returns the updates for one packet, those sent least often first, and removes those that reached the
// limit of transmissions from the queue.
func (p *Prober) takeUpdates() []Update {
	if len(p.updates) == 0 {
		return nil
	}

	slices.SortStableFunc(p.updates, func(a, b *queuedUpdate) int { return a.rank() - b.rank() })

	var taken []Update

	remaining := p.options.UpdatesPerPacket

	for _, q := range p.updates {
		remaining -= updateWeight(q.update)
		if remaining < 0 {
			break
		}

		q.sent++
		taken = append(taken, q.update)
	}

	limit := p.options.maxTransmissions(p.nodeCount())
	p.updates = slices.DeleteFunc(p.updates, func(q *queuedUpdate) bool { return q.sent >= limit })

	return taken
}

// rank returns the position of the update in the queue: those sent least often go first, and failures before others.
func (q *queuedUpdate) rank() int {
	if q.urgent && q.sent < urgentTransmissions {
		return q.sent - urgentTransmissions
	}

	return q.sent
}

func updateWeight(v Update) int {
	if v.VM != nil {
		return addressedUpdateWeight
	}

	return 1
}

func (p *Prober) selfVM() *VM {
	return &VM{Name: p.self.Name, Address: p.self.Address, PeerAddress: p.self.PeerAddress, FailureDomain: p.self.FailureDomain}
}

// send adds updates to a packet and appends it to the outbox.
func (p *Prober) send(now time.Time, to *member, packet Packet) {
	if to.State == Dead || to.State == Suspect && !to.LocalSuspicion {
		packet.RefuteIncarnation = to.Incarnation
	}

	if packet.Updates == nil {
		packet.Updates = p.takeUpdates()
	}

	p.appendMessage(now, to, packet)
}

// requestRefutation tells a member which incarnation of itself to refute.
func (p *Prober) requestRefutation(now time.Time, to *member, incarnation int64) {
	p.appendMessage(now, to, Packet{Kind: KindDigest, RefuteIncarnation: incarnation})
}

func (p *Prober) appendMessage(now time.Time, to *member, packet Packet) {
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
