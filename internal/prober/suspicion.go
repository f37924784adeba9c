package prober

import (
	"math"
	"slices"
	"time"
)

const (
	// maxHealth bounds by how much a node that doubts itself stretches its timeouts.
	maxHealth = 8
	// freezeHealth is what a freeze costs.
	freezeHealth = 4
	// confirmationsMax is the number of further suspecting nodes that brings the suspicion time to its least.
	confirmationsMax = 3
	// unconfirmedFactor times the least suspicion time is what an unconfirmed suspicion takes.
	unconfirmedFactor = 2
	// isolatedAfter is the time without any answer after which a node holds nobody for dead.
	isolatedAfter = 3 * time.Second
)

// begin comes before anything else that an event does.
func (p *Prober) begin(now time.Time) {
	if p.started.IsZero() {
		p.started = now
		p.lastAck = now
		p.enqueueSelf()
	}

	late := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) > p.options.FreezeThreshold
	p.lastSeen = now

	if late {
		p.recoverFromFreeze(now)
	}
}

// recoverFromFreeze follows a time in which this process stood still.
//
// A frozen node wakes up with overdue timeouts for answers that lie unread in
// its socket. It would suspect healthy peers; one would notice suspicions that
// all come from one node. So it first doubts itself: it drops what is pending,
// restarts the time of its suspicions, and refutes what others may hold of it.
func (p *Prober) recoverFromFreeze(now time.Time) {
	p.counters.Freezes++
	p.loseHealth(freezeHealth)
	p.pending = nil
	p.relays = nil
	p.lastAck = now
	p.sync = syncState{wanted: true}
	p.raiseIncarnation(p.self.Incarnation)

	for _, m := range p.members {
		if m.State == Suspect {
			m.Since = now
		}
	}
}

func (p *Prober) loseHealth(by int) {
	p.health = min(p.health+by, maxHealth)
}

func (p *Prober) isolated(now time.Time) bool {
	return now.Sub(p.lastAck) > isolatedAfter
}

// suspect records a first-hand suspicion by a node and passes it on.
func (p *Prober) suspect(now time.Time, m *member, incarnation int64, by string) {
	if incarnation < m.Incarnation || m.State == Dead && incarnation == m.Incarnation {
		return
	}

	fresh := incarnation > m.Incarnation || m.State != Suspect || m.LocalSuspicion
	m.Incarnation = incarnation

	if fresh {
		p.setState(now, m, Suspect)
		m.Since = now
		m.LocalSuspicion = false
		m.suspectedBy = nil
		p.counters.Suspicions++
	}

	if slices.Contains(m.suspectedBy, by) || len(m.suspectedBy) > confirmationsMax {
		return
	}

	m.suspectedBy = append(m.suspectedBy, by)
	p.enqueue(m, by)
}

// suspectSilently marks a member whose silence may be this node's own fault.
func (p *Prober) suspectSilently(now time.Time, m *member) {
	if p.setState(now, m, Suspect) {
		m.LocalSuspicion = true
	}
}

// expireSuspicions holds those for dead that had their time to refute.
// A node that nobody answers holds nobody for dead: it can't have heard a refutation.
func (p *Prober) expireSuspicions(now time.Time) {
	if p.inState[Suspect] == 0 {
		return
	}

	if p.isolated(now) {
		p.silenceSuspicions()

		return
	}

	least := p.options.suspicionTime(p.size()) * time.Duration(1+p.health)

	for _, name := range p.names {
		m := p.members[name]
		if m.State != Suspect || m.LocalSuspicion || now.Sub(m.Since) < p.suspicionTime(m, least) {
			continue
		}

		p.setState(now, m, Dead)
		p.counters.Deaths++
		p.enqueue(m, "")
	}
}

// silenceSuspicions takes the suspicions from before this node's isolation for
// silence that may be its own fault.
//
// Left as they were, they would never run out while the isolation lasts, and a
// lone survivor would count dead nodes as live for ever: callers would be sent
// there and runs of theirs be called in progress. After the isolation they would
// run out at once, before the suspects could refute them. Silent members stop
// counting after a while and are live again with their first answer.
func (p *Prober) silenceSuspicions() {
	for _, m := range p.members {
		if m.State == Suspect {
			m.LocalSuspicion = true
			m.suspectedBy = nil
		}
	}
}

// suspicionTime shrinks from unconfirmedFactor times least to least as others confirm.
func (p *Prober) suspicionTime(m *member, least time.Duration) time.Duration {
	wanted := min(confirmationsMax, len(p.members)-1)
	if wanted <= 0 {
		return least
	}

	confirmed := min(max(len(m.suspectedBy)-1, 0), wanted)
	part := math.Log(float64(confirmed)+1) / math.Log(float64(wanted)+1)

	return time.Duration(float64(least) * (unconfirmedFactor - (unconfirmedFactor-1)*part))
}

// refute answers a peer that holds this node for suspect, dead or outdated.
func (p *Prober) refute(doubt int64) {
	if doubt < p.self.Incarnation || doubt == 0 {
		return
	}

	p.counters.Refutations++
	p.loseHealth(1)
	p.raiseIncarnation(doubt)
}

// raiseIncarnation moves the own incarnation above a known one and tells it.
func (p *Prober) raiseIncarnation(above int64) {
	if above == math.MaxInt64 {
		return
	}

	p.self.Incarnation = max(p.self.Incarnation, above+1)
	p.enqueueSelf()
}
