package prober

import (
	"math"
	"slices"
	"time"
)

const (
	// tickInterval is the longest usual time between two events, lateEvent the time from which this process was paused.
	tickInterval = 100 * time.Millisecond
	lateEvent    = 2 * tickInterval
	// maxHealthScore limits the health score; timeouts are multiplied by the score plus 1.
	maxHealthScore = 8
	// freezeHealthCost is added to the health score after a freeze.
	freezeHealthCost = 4
	// maxConfirmations is the number of further suspecting nodes that reduces the suspicion timeout to its minimum.
	maxConfirmations = 3
	// unconfirmedFactor times the minimum is the timeout of an unconfirmed suspicion.
	unconfirmedFactor = 2
	// isolationThreshold is the time without any ack after which a node declares no member dead.
	isolationThreshold = 3 * time.Second
)

// beginEvent must be called first for each event.
func (p *Prober) beginEvent(now time.Time) {
	if p.started.IsZero() {
		p.started = now
		p.lastAck = now
		p.enqueueSelf()
	}

	gap := now.Sub(p.lastEvent)
	isFirst := p.lastEvent.IsZero()
	p.lastEvent = now

	switch {
	case isFirst:
	case gap > p.options.FreezeThreshold:
		p.recoverFromFreeze(now)
	case gap > lateEvent:
		p.extendTimeouts(gap - tickInterval)
	}
}

// extendTimeouts extends all timeouts by the length of a short pause of this process: what arrived meanwhile has not been read.
func (p *Prober) extendTimeouts(pause time.Duration) {
	p.roster = nil
	p.lastAck = p.lastAck.Add(pause)

	for _, v := range p.pending {
		v.started, v.indirectAt, v.failAt = v.started.Add(pause), v.indirectAt.Add(pause), v.failAt.Add(pause)
	}

	for i := range p.relays {
		p.relays[i].expires = p.relays[i].expires.Add(pause)
	}

	for _, m := range p.members {
		if m.State == Suspect {
			m.Since = m.Since.Add(pause)
		}
	}
}

// recoverFromFreeze resets the state that a pause of this process made invalid.
//
// After a pause, timeouts have expired although the acks are unread in the socket
// buffer, so the node would suspect many healthy peers at once. It drops its pending
// probes instead, restarts the timeouts of its suspicions, and raises its incarnation
// to refute suspicions of itself.
func (p *Prober) recoverFromFreeze(now time.Time) {
	p.counters.Freezes++
	p.degradeHealth(freezeHealthCost)
	p.pending = nil
	p.relays = nil
	p.lastAck = now
	p.sync = syncState{needed: true}
	p.raiseIncarnation(p.self.Incarnation)

	p.roster = nil

	for _, m := range p.members {
		if m.State == Suspect {
			m.Since = now
		}
	}
}

func (p *Prober) degradeHealth(by int) {
	p.healthScore = min(p.healthScore+by, maxHealthScore)
}

func (p *Prober) isolated(now time.Time) bool {
	return now.Sub(p.lastAck) > isolationThreshold
}

// suspect records that a probe by the given node failed, and queues the suspicion for other peers.
func (p *Prober) suspect(now time.Time, m *member, incarnation int64, by string) {
	if incarnation < m.Incarnation || m.State == Dead && incarnation == m.Incarnation {
		return
	}

	isNew := incarnation > m.Incarnation || m.State != Suspect || m.LocalSuspicion
	m.Incarnation = incarnation

	if isNew {
		p.roster = nil
		p.setState(now, m, Suspect)
		m.Since = now
		m.LocalSuspicion = false
		m.suspectedBy = nil
		p.counters.Suspicions++
	}

	if slices.Contains(m.suspectedBy, by) || len(m.suspectedBy) > maxConfirmations {
		return
	}

	m.suspectedBy = append(m.suspectedBy, by)

	if isNew {
		p.enqueueFailure(m, by)
	} else {
		p.enqueue(m, by)
	}
}

// suspectLocally marks a member as suspect that may be unreachable because of this node's own link.
func (p *Prober) suspectLocally(now time.Time, m *member) {
	if p.setState(now, m, Suspect) {
		m.LocalSuspicion = true
	}
}

// expireSuspicions declares suspects dead that did not refute the suspicion in time.
// An isolated node declares no member dead, because it couldn't have received a refutation.
func (p *Prober) expireSuspicions(now time.Time) {
	if p.inState[Suspect] == 0 {
		return
	}

	if p.isolated(now) {
		p.makeSuspicionsLocal()

		return
	}

	minTimeout := p.options.minSuspicionTimeout(p.nodeCount()) * time.Duration(1+p.healthScore)

	for _, name := range p.names {
		m := p.members[name]
		if m.State != Suspect || m.LocalSuspicion || now.Sub(m.Since) < p.suspicionTimeout(m, minTimeout) {
			continue
		}

		p.setState(now, m, Dead)
		p.counters.Deaths++
		p.enqueueFailure(m, "")
	}
}

// makeSuspicionsLocal turns the suspicions from before this node's isolation into
// local ones, because the members may be unreachable through this node's own fault.
//
// Otherwise they would not expire during the isolation, and a lone survivor would
// count dead nodes as live indefinitely: callers would be sent there, and requests
// that ran there would be reported as in progress. After the isolation they would
// expire at once, before the suspects could refute them. Live omits members with a
// local suspicion after a while; their first ack makes them live again.
func (p *Prober) makeSuspicionsLocal() {
	for _, m := range p.members {
		if m.State == Suspect && !m.LocalSuspicion {
			p.roster = nil
			m.LocalSuspicion = true
			m.suspectedBy = nil
		}
	}
}

// suspicionTimeout returns the timeout of a suspicion: unconfirmedFactor times minTimeout at first, and less with each
// confirmation, down to minTimeout.
func (p *Prober) suspicionTimeout(m *member, minTimeout time.Duration) time.Duration {
	neededConfirmations := min(maxConfirmations, len(p.members)-1)
	if neededConfirmations <= 0 {
		return minTimeout
	}

	confirmed := min(max(len(m.suspectedBy)-1, 0), neededConfirmations)
	fraction := math.Log(float64(confirmed)+1) / math.Log(float64(neededConfirmations)+1)

	return time.Duration(float64(minTimeout) * (unconfirmedFactor - (unconfirmedFactor-1)*fraction))
}

// refute raises the incarnation of this node if a peer considers the current one suspect, dead or outdated.
func (p *Prober) refute(incarnation int64) {
	if incarnation < p.self.Incarnation || incarnation == 0 {
		return
	}

	p.counters.Refutations++
	p.degradeHealth(1)
	p.raiseIncarnation(incarnation)
}

// raiseIncarnation raises the incarnation of this node above the given one and queues an update with it.
func (p *Prober) raiseIncarnation(above int64) {
	if above == math.MaxInt64 {
		return
	}

	p.roster = nil
	p.self.Incarnation = max(p.self.Incarnation, above+1)
	p.enqueueSelf()
}
