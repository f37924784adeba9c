package prober

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Prober keeps the membership view of one node. It is safe for concurrent use.
type Prober struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// self is this node; its incarnation never decreases.
	self    Member
	started time.Time
	digest  Digest
	// members has all nodes except self; names has their names, sorted.
	members map[string]*member
	names   []string
	// roster caches the result of Roster, which holds until rosterUntil or until a member changes; nil if one did.
	roster      *Roster
	rosterUntil time.Time
	// rosterVersion is the version of the last roster.
	rosterVersion uint64
	// inState counts the members in each state, to avoid most iterations over all members.
	inState [Dead + 1]int
	// probeOrder has the names in random order; probePosition is the index of the next one to probe.
	probeOrder    []string
	probePosition int

	// sequence is the number of the last datagram, lastProbeNumber that of the last probe.
	sequence        uint64
	lastProbeNumber uint64
	pending         []*pendingProbe
	relays          []relayedProbe
	updates         []*queuedUpdate
	sync            syncState

	// healthScore is 0 for a healthy node and at most maxHealthScore; higher values lengthen all timeouts.
	healthScore     int
	lastEvent       time.Time
	nextRound       time.Time
	nextDeadProbe   time.Time
	deadPosition    int
	suspectPosition int
	// failuresAt is when the last two probes of live members failed.
	failuresAt [2]time.Time
	// lastAck is the time at which any peer last answered a probe of this node.
	lastAck time.Time

	outbox   []Message
	changes  []Member
	counters Counters
}

// New returns the Prober of a node that has just started and knows no peers.
func New(options Options) *Prober {
	options = options.withDefaults()
	random := rand.New(rand.NewPCG(options.Seed, uint64(options.Incarnation)))

	return &Prober{
		options: options,
		random:  random,
		self: Member{
			Name:          options.Self.Name,
			Address:       options.Self.Address,
			PeerAddress:   options.Self.PeerAddress,
			FailureDomain: options.Self.FailureDomain,
			State:         Live,
			Incarnation:   max(options.Incarnation, 1),
		},
		members: make(map[string]*member),
		// A random start keeps late acks to an earlier process of this node from matching its probes.
		lastProbeNumber: uint64(random.Uint32()),
		sync:            syncState{needed: true},
	}
}

// Tick sends due probes and handles expired timeouts. It must be called ten times a second; a call later than
// FreezeThreshold is taken as a pause of this process.
func (p *Prober) Tick(now time.Time) []Message {
	messages, changes := p.tick(now, p.localDigest())
	p.notify(changes)

	return messages
}

func (p *Prober) tick(now time.Time, digest Digest) ([]Message, []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.digest = digest
	p.beginEvent(now)
	p.expireProbes(now)
	p.expireSuspicions(now)
	p.removeExpired(now)

	if !now.Before(p.nextRound) {
		p.startRound(now)
	}

	p.sendUrgentUpdates(now)

	return p.takeOutbox(), p.takeChanges()
}

// Receive handles an authenticated packet and returns the messages to send.
func (p *Prober) Receive(now time.Time, packet Packet) []Message {
	digest := p.localDigest()
	messages, changes, accepted := p.receive(now, packet, digest)
	p.notify(changes)

	if accepted && p.options.OnDigest != nil {
		p.options.OnDigest(packet.From, packet.Digest)
	}

	return messages
}

func (p *Prober) receive(now time.Time, packet Packet, digest Digest) ([]Message, []Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.digest = digest
	p.beginEvent(now)

	sender := p.admit(now, packet)
	if sender == nil {
		return p.takeOutbox(), p.takeChanges(), false
	}

	p.refute(packet.RefuteIncarnation)

	for _, v := range packet.Updates {
		p.applyUpdate(now, v, packet.Kind != KindSyncReply)
	}

	p.handle(now, sender, packet)

	return p.takeOutbox(), p.takeChanges(), true
}

// handle performs the request of a packet according to its kind.
func (p *Prober) handle(now time.Time, sender *member, packet Packet) {
	switch packet.Kind {
	case KindProbe:
		p.send(now, sender, Packet{Kind: KindAck, ProbeNumber: packet.ProbeNumber})
	case KindAck:
		p.handleAck(now, sender, packet)
	case KindIndirectProbe:
		p.relayProbe(now, sender, packet)
	case KindSync:
		p.sendSyncReply(now, sender, packet.Target)
	case KindSyncReply:
		p.continueSync(now, sender, packet)
	case KindDigest:
	}
}

// SetListedNodes sets the nodes that the platform's list or the settings name.
// An empty list is ignored. A member that is not listed stays as long as it answers.
func (p *Prober) SetListedNodes(now time.Time, list []VM) {
	if len(list) == 0 {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.roster = nil

	for _, m := range p.members {
		m.Listed = false
		m.listLeaving = false
	}

	p.self.Listed = false

	for _, v := range list {
		if v.Name == p.self.Name {
			p.self.Listed = true

			continue
		}

		m := p.members[v.Name]
		if m == nil {
			m = p.addMember(now, v)
		}

		m.Listed = true
		m.listLeaving = v.Leaving

		// Addresses from the node itself are newer than the list.
		if !m.selfReported {
			m.setVM(v)
		}
	}
}

// Leave announces a planned stop to all members immediately and in all later packets.
func (p *Prober) Leave(now time.Time) []Message {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.self.Leaving {
		return nil
	}

	p.self.Leaving = true
	p.roster = nil
	p.raiseIncarnation(p.self.Incarnation)

	for _, name := range p.names {
		if m := p.members[name]; m.State != Dead {
			p.send(now, m, Packet{Kind: KindDigest})
		}
	}

	return p.takeOutbox()
}

// Announce sends the current digest to count random members immediately, for changes that cannot wait for the next probes.
func (p *Prober) Announce(now time.Time, count int) []Message {
	digest := p.localDigest()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.digest = digest

	for _, m := range p.randomLive(count, "") {
		p.send(now, m, Packet{Kind: KindDigest})
	}

	return p.takeOutbox()
}

// Self returns this node. Leaving is set only if the node itself announced it.
func (p *Prober) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.self
}

// Members returns all nodes sorted by name, including this one.
func (p *Prober) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.allMembers()
}

// allMembers returns all nodes sorted by name. p.mu is held.
func (p *Prober) allMembers() []Member {
	list := make([]Member, 0, len(p.members)+1)
	for _, name := range p.names {
		list = append(list, p.members[name].snapshot())
	}

	at, _ := slices.BinarySearch(p.names, p.self.Name)

	return slices.Insert(list, at, p.self)
}

// Member returns the node with the given name.
func (p *Prober) Member(name string) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if name == p.self.Name {
		return p.self, true
	}

	m := p.members[name]
	if m == nil {
		return Member{}, false
	}

	return m.snapshot(), true
}

// Count returns the number of members in a state, excluding this node.
func (p *Prober) Count(state State) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.inState[state]
}

// Isolated reports whether no peer has answered this node's probes for a while, so that its view of the others is unreliable.
func (p *Prober) Isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.isolated(now)
}

// PeerRevision returns the settings revision that a peer last reported.
func (p *Prober) PeerRevision(name string) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := p.members[name]
	if m == nil {
		return 0, false
	}

	return m.Digest.Revision, true
}

// Counters returns the totals since the start.
func (p *Prober) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.counters
}

func (p *Prober) localDigest() Digest {
	if p.options.LocalDigest == nil {
		return Digest{}
	}

	return p.options.LocalDigest()
}

func (p *Prober) notify(changes []Member) {
	if p.options.OnStateChange == nil {
		return
	}

	for _, m := range changes {
		p.options.OnStateChange(m)
	}
}

func (p *Prober) takeChanges() []Member {
	changes := p.changes
	p.changes = nil

	return changes
}

func (p *Prober) takeOutbox() []Message {
	messages := p.outbox
	p.outbox = nil

	return messages
}
