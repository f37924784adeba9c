package prober

import (
	"slices"
	"time"
)

const (
	// maxRelays limits the pending probes on behalf of other nodes.
	maxRelays = 64
	// relayTimeout is how long a probe on behalf of another node waits for its ack.
	relayTimeout = 2 * time.Second
	// moreProbesFactor multiplies the probes per round of a node that is isolated or found several failures lately. If all
	// nodes are cut off from each other, each sends about 1.3 KB/s, which is within the control traffic budget of a node.
	moreProbesFactor = 4
	// moreProbesTime is the time within which two members have to fail for that. Where two are lost, many may be; one may be
	// due to lost packets.
	moreProbesTime = 2 * time.Second
	// jitter is the fraction of the period by which rounds vary, so that nodes do not synchronise.
	jitter = 0.1
)

// pendingProbe is a probe of this node that has no ack yet.
type pendingProbe struct {
	number     uint64
	target     string
	started    time.Time
	indirectAt time.Time
	failAt     time.Time
	// indirect is set if indirect probes are sent before the probe fails.
	indirect     bool
	indirectSent bool
}

// relayedProbe is a pending probe on behalf of another node.
type relayedProbe struct {
	number       uint64
	origin       string
	originNumber uint64
	target       string
	expires      time.Time
}

// startRound sends the probes of one period: to the next targets in probe order, to one
// suspect, and every DeadProbePeriod to one dead member that is still listed.
//
// Each node that suspects a member probes it directly: the probe tells the suspect
// which incarnation to refute, and its ack arrives even if the refutation's update
// was lost. Otherwise packet loss alone would make a live node dead.
func (p *Prober) startRound(now time.Time) {
	period := p.options.Period
	p.nextRound = now.Add(time.Duration(float64(period) * (1 + jitter*(2*p.random.Float64()-1))))

	for range p.probesPerRound(now) {
		if m := p.nextProbeTarget(); m != nil {
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

// probesPerRound returns the number of members to probe in a round. An isolated node has to
// probe all of them to find out whether it is alone or which of them are back.
func (p *Prober) probesPerRound(now time.Time) int {
	if p.isolated(now) || now.Sub(p.failuresAt[0]) < moreProbesTime {
		return p.options.ProbesPerPeriod * moreProbesFactor
	}

	return p.options.ProbesPerPeriod
}

// nextProbeTarget returns the next member to probe: each once in random order, then in a new random order.
// It returns nil if no member can be probed.
func (p *Prober) nextProbeTarget() *member {
	for range 2 {
		for p.probePosition < len(p.probeOrder) {
			m := p.members[p.probeOrder[p.probePosition]]
			p.probePosition++

			if m != nil && m.State != Dead && p.canProbe(m) {
				return m
			}
		}

		p.probeOrder = slices.Clone(p.names)
		p.probePosition = 0
		p.random.Shuffle(len(p.probeOrder), func(i, j int) { p.probeOrder[i], p.probeOrder[j] = p.probeOrder[j], p.probeOrder[i] })
	}

	return nil
}

func (p *Prober) canProbe(m *member) bool {
	if m.PeerAddress == "" {
		return false
	}

	return !slices.ContainsFunc(p.pending, func(v *pendingProbe) bool { return v.target == m.Name })
}

// nextSuspect returns the next suspect to probe.
func (p *Prober) nextSuspect() *member {
	if p.inState[Suspect] == 0 {
		return nil
	}

	return p.nextMatching(&p.suspectPosition, func(m *member) bool { return m.State == Suspect })
}

// nextDead returns the next dead member to probe that is still listed.
func (p *Prober) nextDead() *member {
	return p.nextMatching(&p.deadPosition, func(m *member) bool { return m.State == Dead && m.Listed })
}

// nextMatching returns the next member after a position that matches and has no pending probe.
func (p *Prober) nextMatching(position *int, matches func(*member) bool) *member {
	for range p.names {
		*position = (*position + 1) % len(p.names)
		m := p.members[p.names[*position]]

		if matches(m) && p.canProbe(m) {
			return m
		}
	}

	return nil
}

func (p *Prober) startProbe(now time.Time, m *member, indirect bool) {
	p.lastProbeNumber++
	scale := time.Duration(1 + p.healthScore)
	indirectAt := now.Add(p.options.AckTimeout * scale)
	p.pending = append(p.pending, &pendingProbe{
		number:     p.lastProbeNumber,
		target:     m.Name,
		started:    now,
		indirectAt: indirectAt,
		failAt:     indirectAt.Add(p.options.IndirectTimeout * scale),
		indirect:   indirect,
	})
	p.counters.ProbesSent++
	p.send(now, m, Packet{Kind: KindProbe, ProbeNumber: p.lastProbeNumber})
}

// expireProbes sends indirect probes after the ack timeout and fails probes without any ack.
func (p *Prober) expireProbes(now time.Time) {
	var failed []*pendingProbe

	p.pending = slices.DeleteFunc(p.pending, func(v *pendingProbe) bool {
		if !now.Before(v.failAt) {
			failed = append(failed, v)

			return true
		}

		if v.indirect && !v.indirectSent && !now.Before(v.indirectAt) {
			v.indirectSent = true
			p.sendIndirectProbes(now, v)
		}

		return false
	})

	for _, v := range failed {
		p.handleFailedProbe(now, v)
	}

	p.relays = slices.DeleteFunc(p.relays, func(v relayedProbe) bool { return !now.Before(v.expires) })
}

func (p *Prober) sendIndirectProbes(now time.Time, probe *pendingProbe) {
	for _, m := range p.randomLive(p.options.IndirectProbes, probe.target) {
		p.counters.IndirectProbes++
		p.send(now, m, Packet{Kind: KindIndirectProbe, ProbeNumber: probe.number, Target: probe.target})
	}
}

// handleFailedProbe suspects the target of a failed probe. If no other peer answers either, the suspicion stays
// local, because this node's own link may be down.
func (p *Prober) handleFailedProbe(now time.Time, probe *pendingProbe) {
	p.counters.ProbesFailed++

	m := p.members[probe.target]
	if m == nil || m.State == Dead || !probe.indirect {
		return
	}

	if m.State == Live {
		p.failuresAt = [2]time.Time{p.failuresAt[1], now}
	}

	if p.lastAck.Before(probe.started.Add(-p.options.Period)) {
		p.counters.SelfDoubts++
		p.degradeHealth(1)
		p.suspectLocally(now, m)

		return
	}

	p.suspect(now, m, m.Incarnation, p.self.Name)
}

// handleAck completes a probe of this node, or forwards the ack to the node that requested the probe.
func (p *Prober) handleAck(now time.Time, sender *member, packet Packet) {
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
	p.healthScore = max(p.healthScore-1, 0)
	p.recordAnswer(now, p.members[target], direct)
}

func (p *Prober) recordAnswer(now time.Time, m *member, direct bool) {
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

// relayProbe probes a target on behalf of another node, without indirect probes.
func (p *Prober) relayProbe(now time.Time, origin *member, packet Packet) {
	target := p.members[packet.Target]
	if target == nil || target.PeerAddress == "" || len(p.relays) >= maxRelays {
		return
	}

	p.lastProbeNumber++
	p.relays = append(p.relays, relayedProbe{
		number:       p.lastProbeNumber,
		origin:       origin.Name,
		originNumber: packet.ProbeNumber,
		target:       target.Name,
		expires:      now.Add(relayTimeout),
	})
	p.send(now, target, Packet{Kind: KindProbe, ProbeNumber: p.lastProbeNumber})
}

func (p *Prober) forwardAck(now time.Time, sender *member, packet Packet) bool {
	at := slices.IndexFunc(p.relays, func(v relayedProbe) bool { return v.number == packet.ProbeNumber && v.target == sender.Name })
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
