package prober

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Prober is the membership decision of one node. It is safe for concurrent use.
type Prober struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// self is this node; its incarnation never falls.
	self    Member
	started time.Time
	digest  Digest
	// members has all nodes but self; names has their names in order.
	members map[string]*member
	names   []string
	// inState counts the members in each state; it spares most walks over all members.
	inState [Dead + 1]int
	// ring is a shuffled order of the names; position is the next to probe.
	ring     []string
	position int

	// sequence numbers datagrams and probe numbers probes.
	sequence uint64
	probe    uint64
	pending  []*pendingProbe
	relays   []relay
	news     []*queuedNews
	sync     syncState

	// health is 0 for a node that trusts itself, up to maxHealth; it stretches all timeouts.
	health        int
	lastSeen      time.Time
	nextRound     time.Time
	nextDeadProbe time.Time
	deadPosition  int
	doubtPosition int
	// lastAck is when any peer last answered a probe of this node.
	lastAck time.Time

	outbox   []Message
	changes  []Member
	counters Counters
}

// New returns the membership of a node that has just started and knows nobody.
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
		// Probe numbers of an earlier run must not be mistaken for those of this one.
		probe: uint64(random.Uint32()),
		sync:  syncState{wanted: true},
	}
}

// Tick does what is due: probes, timeouts, deaths. Call it ten times a second; a late call makes the node doubt itself.
func (p *Prober) Tick(now time.Time) []Message {
	messages, changes := p.tick(now, p.fill())
	p.tell(changes)

	return messages
}

func (p *Prober) tick(now time.Time, digest Digest) ([]Message, []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.digest = digest
	p.begin(now)
	p.expireProbes(now)
	p.expireSuspicions(now)
	p.forget(now)

	if !now.Before(p.nextRound) {
		p.round(now)
	}

	return p.takeOutbox(), p.takeChanges()
}

// Receive takes in an authentic packet and returns the answers.
func (p *Prober) Receive(now time.Time, packet Packet) []Message {
	digest := p.fill()
	messages, changes, accepted := p.receive(now, packet, digest)
	p.tell(changes)

	if accepted && p.options.OnDigest != nil {
		p.options.OnDigest(packet.From, packet.Digest)
	}

	return messages
}

func (p *Prober) receive(now time.Time, packet Packet, digest Digest) ([]Message, []Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.digest = digest
	p.begin(now)

	sender := p.admit(now, packet)
	if sender == nil {
		return p.takeOutbox(), p.takeChanges(), false
	}

	p.refute(packet.RefuteIncarnation)

	for _, v := range packet.Updates {
		p.apply(now, v, packet.Kind != KindSyncReply)
	}

	p.answer(now, sender, packet)

	return p.takeOutbox(), p.takeChanges(), true
}

// answer does what the kind of the packet asks for.
func (p *Prober) answer(now time.Time, sender *member, packet Packet) {
	switch packet.Kind {
	case KindProbe:
		p.send(now, sender, Packet{Kind: KindAck, ProbeNumber: packet.ProbeNumber})
	case KindAck:
		p.acknowledge(now, sender, packet)
	case KindIndirectProbe:
		p.relay(now, sender, packet)
	case KindSync:
		p.sendSyncReply(now, sender, packet.Target)
	case KindSyncReply:
		p.continueSync(now, sender, packet)
	case KindDigest:
	}
}

// SetListedNodes takes in what the platform's list or the settings say about who may exist.
// An empty list says nothing. A member that the list lacks stays as long as it answers.
func (p *Prober) SetListedNodes(now time.Time, list []VM) {
	if len(list) == 0 {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

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
			m = p.add(now, v)
		}

		m.Listed = true
		m.listLeaving = v.Leaving

		// What a node tells about itself is newer than the list.
		if !m.introduced {
			m.setVM(v)
		}
	}
}

// Leave announces a planned stop to all members at once and in all later packets.
func (p *Prober) Leave(now time.Time) []Message {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.self.Leaving {
		return nil
	}

	p.self.Leaving = true
	p.raiseIncarnation(p.self.Incarnation)

	for _, name := range p.names {
		if m := p.members[name]; m.State != Dead {
			p.send(now, m, Packet{Kind: KindDigest})
		}
	}

	return p.takeOutbox()
}

// Announce tells the present digest to some random members at once, for news that cannot wait for the next probes.
func (p *Prober) Announce(now time.Time, count int) []Message {
	digest := p.fill()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.digest = digest

	for _, m := range p.pick(count, "") {
		p.send(now, m, Packet{Kind: KindDigest})
	}

	return p.takeOutbox()
}

// Self returns this node. Its Leaving says only what the node itself announced.
func (p *Prober) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.self
}

// Members returns all nodes in name order, this one included.
func (p *Prober) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	list := make([]Member, 0, len(p.members)+1)
	for _, name := range p.names {
		list = append(list, p.members[name].view())
	}

	at, _ := slices.BinarySearch(p.names, p.self.Name)

	return slices.Insert(list, at, p.self)
}

// Member returns one node by its name.
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

	return m.view(), true
}

// Live returns the nodes to count on, in name order, this one included.
// Suspects are among them until they are dead, so that a false suspicion moves nothing;
// those with a hold after repeated returns, and those that stay silent while nobody
// answers this node, are not. Leaving nodes carry their mark.
func (p *Prober) Live(now time.Time) []Member {
	members := p.Members()
	patience := unconfirmedFactor * p.options.suspicionTime(len(members))

	return slices.DeleteFunc(members, func(m Member) bool {
		proven := m.Incarnation > 0 && (m.State == Live || m.State == Suspect)
		silent := m.LocalSuspicion && now.Sub(m.Since) > patience

		return !proven || silent || now.Before(m.SuppressedUntil)
	})
}

// Count returns the number of members in a state, without this node.
func (p *Prober) Count(state State) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.inState[state]
}

// Isolated says that nobody answered this node's probes for a while; what it holds of others is then doubtful.
func (p *Prober) Isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.isolated(now)
}

// PeerRevision returns the settings revision that a peer last told.
func (p *Prober) PeerRevision(name string) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := p.members[name]
	if m == nil {
		return 0, false
	}

	return m.Digest.Revision, true
}

// Counters returns what happened since the start.
func (p *Prober) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.counters
}

func (p *Prober) fill() Digest {
	if p.options.LocalDigest == nil {
		return Digest{}
	}

	return p.options.LocalDigest()
}

func (p *Prober) tell(changes []Member) {
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
