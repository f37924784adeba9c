package prober

import (
	"slices"
	"time"
)

const (
	// relaysMax bounds the probes on behalf of others that are under way.
	relaysMax = 64
	// relayKeep is how long a probe on behalf of another node waits for its answer.
	relayKeep = 2 * time.Second
	// isolatedProbes is by how much an isolated node probes more. With all nodes cut off from each
	// other each sends some 1.3 KB a second, within the budget of a node for control.
	isolatedProbes = 4
	// jitter is the part of the period by which rounds of probes vary, so that nodes do not fall into step.
	jitter = 0.1
)

// pendingProbe is a probe of this node without an answer yet.
type pendingProbe struct {
	number  uint64
	target  string
	started time.Time
	askAt   time.Time
	failAt  time.Time
	// indirect says that others are to be asked before the probe fails.
	indirect bool
	asked    bool
}

// relay is a probe on behalf of another node.
type relay struct {
	number       uint64
	origin       string
	originNumber uint64
	target       string
	expires      time.Time
}

// round sends the probes of one period: to the next in the ring, to one suspect,
// and now and then to one dead member that the list still names.
//
// Suspects are probed directly by all who hold them for suspect: the probe tells
// the suspect what it must refute, and the answer comes also where the news of
// the refutation was lost. Without it loss alone would make a live node dead.
func (p *Prober) round(now time.Time) {
	period := p.options.Period
	p.nextRound = now.Add(time.Duration(float64(period) * (1 + jitter*(2*p.random.Float64()-1))))

	for range p.probesNow(now) {
		if m := p.nextInRing(); m != nil {
			p.startProbe(now, m, true)
		}
	}

	if m := p.nextSuspect(); m != nil {
		p.startProbe(now, m, m.LocalSuspicion)
	}

	if !now.Before(p.nextDeadProbe) {
		p.nextDeadProbe = now.Add(p.options.DeadProbePeriod)

		if m := p.nextDead(); m != nil {
			p.startProbe(now, m, false)
		}
	}

	p.requestSync(now)
}

// probesNow is the number of members to probe in a round. An isolated node has to
// ask all of them before it knows that it is alone, or which of them are back.
func (p *Prober) probesNow(now time.Time) int {
	if p.isolated(now) {
		return p.options.ProbesPerPeriod * isolatedProbes
	}

	return p.options.ProbesPerPeriod
}

// nextInRing returns the next member to probe: each once in random order, then in another order.
// It returns nil when the rest of the ring has nobody to probe.
func (p *Prober) nextInRing() *member {
	for range 2 {
		for p.position < len(p.ring) {
			m := p.members[p.ring[p.position]]
			p.position++

			if m != nil && m.State != Dead && p.probable(m) {
				return m
			}
		}

		p.ring = slices.Clone(p.names)
		p.position = 0
		p.random.Shuffle(len(p.ring), func(i, j int) { p.ring[i], p.ring[j] = p.ring[j], p.ring[i] })
	}

	return nil
}

func (p *Prober) probable(m *member) bool {
	if m.PeerAddress == "" {
		return false
	}

	return !slices.ContainsFunc(p.pending, func(v *pendingProbe) bool { return v.target == m.Name })
}

// nextSuspect returns one suspect.
func (p *Prober) nextSuspect() *member {
	if p.inState[Suspect] == 0 {
		return nil
	}

	return p.nextOf(&p.doubtPosition, func(m *member) bool { return m.State == Suspect })
}

// nextDead returns one dead member that the list still names.
func (p *Prober) nextDead() *member {
	return p.nextOf(&p.deadPosition, func(m *member) bool { return m.State == Dead && m.Listed })
}

// nextOf returns the next member from a position on that fits and has no probe under way.
func (p *Prober) nextOf(position *int, fits func(*member) bool) *member {
	for range p.names {
		*position = (*position + 1) % len(p.names)
		m := p.members[p.names[*position]]

		if fits(m) && p.probable(m) {
			return m
		}
	}

	return nil
}

func (p *Prober) startProbe(now time.Time, m *member, indirect bool) {
	p.probe++
	scale := time.Duration(1 + p.health)
	askAt := now.Add(p.options.AckTimeout * scale)
	p.pending = append(p.pending, &pendingProbe{
		number:   p.probe,
		target:   m.Name,
		started:  now,
		askAt:    askAt,
		failAt:   askAt.Add(p.options.IndirectTimeout * scale),
		indirect: indirect,
	})
	p.counters.ProbesSent++
	p.send(now, m, Packet{Kind: KindProbe, ProbeNumber: p.probe})
}

// expireProbes asks others about silent targets and fails probes without any answer.
func (p *Prober) expireProbes(now time.Time) {
	var failed []*pendingProbe

	p.pending = slices.DeleteFunc(p.pending, func(v *pendingProbe) bool {
		if !now.Before(v.failAt) {
			failed = append(failed, v)

			return true
		}

		if v.indirect && !v.asked && !now.Before(v.askAt) {
			v.asked = true
			p.askOthers(now, v)
		}

		return false
	})

	for _, v := range failed {
		p.fail(now, v)
	}

	p.relays = slices.DeleteFunc(p.relays, func(v relay) bool { return !now.Before(v.expires) })
}

func (p *Prober) askOthers(now time.Time, probe *pendingProbe) {
	for _, m := range p.pick(p.options.IndirectProbes, probe.target) {
		p.counters.IndirectProbes++
		p.send(now, m, Packet{Kind: KindIndirectProbe, ProbeNumber: probe.number, Target: probe.target})
	}
}

// fail suspects the target of a probe, but not when nobody else answers either:
// then this node's own link may be cut.
func (p *Prober) fail(now time.Time, probe *pendingProbe) {
	p.counters.ProbesFailed++

	m := p.members[probe.target]
	if m == nil || m.State == Dead || !probe.indirect {
		return
	}

	if p.lastAck.Before(probe.started.Add(-p.options.Period)) {
		p.counters.SelfDoubts++
		p.loseHealth(1)
		p.suspectSilently(now, m)

		return
	}

	p.suspect(now, m, m.Incarnation, p.self.Name)
}

// acknowledge ends a probe of this node, or passes the answer on to the node that asked.
func (p *Prober) acknowledge(now time.Time, sender *member, packet Packet) {
	if p.forwardAck(now, sender, packet) {
		return
	}

	at := slices.IndexFunc(p.pending, func(v *pendingProbe) bool { return v.number == packet.ProbeNumber })
	if at < 0 {
		return
	}

	target := p.pending[at].target
	direct := sender.Name == target

	if !direct && packet.Target != target {
		return
	}

	p.pending = slices.Delete(p.pending, at, at+1)
	p.lastAck = now
	p.health = max(p.health-1, 0)
	p.answered(now, p.members[target], direct)
}

func (p *Prober) answered(now time.Time, m *member, direct bool) {
	if m == nil {
		return
	}

	if m.State == Suspect && m.LocalSuspicion {
		p.setState(now, m, Live)
	}

	if direct {
		m.DirectFailures = 0

		return
	}

	m.DirectFailures++
}

// relay probes a target on behalf of another node.
func (p *Prober) relay(now time.Time, origin *member, packet Packet) {
	target := p.members[packet.Target]
	if target == nil || target.PeerAddress == "" || len(p.relays) >= relaysMax {
		return
	}

	p.probe++
	p.relays = append(p.relays, relay{
		number:       p.probe,
		origin:       origin.Name,
		originNumber: packet.ProbeNumber,
		target:       target.Name,
		expires:      now.Add(relayKeep),
	})
	p.send(now, target, Packet{Kind: KindProbe, ProbeNumber: p.probe})
}

func (p *Prober) forwardAck(now time.Time, sender *member, packet Packet) bool {
	at := slices.IndexFunc(p.relays, func(v relay) bool { return v.number == packet.ProbeNumber && v.target == sender.Name })
	if at < 0 {
		return false
	}

	v := p.relays[at]
	p.relays = slices.Delete(p.relays, at, at+1)

	if origin := p.members[v.origin]; origin != nil {
		p.send(now, origin, Packet{Kind: KindAck, ProbeNumber: v.originNumber, Target: v.target})
	}

	return true
}
