package prober

import (
	"slices"
	"time"
)

// maxRosterAge is the longest time for which a roster is not built anew though no member changes.
const maxRosterAge = time.Minute

// Roster lists the usable nodes at some time.
type Roster struct {
	// Version changes whenever a member does.
	Version uint64
	// Members are the usable nodes sorted by name. They must not be modified. Their DirectFailures, and their Digest but for
	// its InstanceID, are those at the last change.
	Members []Member
	// Dead is the number of listed nodes that are known to be dead.
	Dead int
}

// Live returns the members of the Roster.
func (p *Prober) Live(now time.Time) []Member {
	return p.Roster(now).Members
}

// Roster returns the usable nodes, including this one.
//
// Suspects are included until they are dead, so that a false suspicion changes nothing.
// Members that are suppressed after repeated returns are not, nor are those under a
// local suspicion that has expired. Leaving nodes are included with Leaving set.
//
// The roster is the same one until a member changes: every node asks for it several times a second, and a copy of all
// members each time would cost a large fleet more than all else that a node does.
func (p *Prober) Roster(now time.Time) *Roster {
	p.mu.Lock()
	defer p.mu.Unlock()

	// After a pause of this process, what arrived meanwhile has not been read.
	if latest := p.lastEvent.Add(lateEvent); !p.lastEvent.IsZero() && now.After(latest) {
		now = latest
	}

	if p.roster != nil && now.Before(p.rosterUntil) {
		return p.roster
	}

	members := p.allMembers()
	localSuspicionTimeout := unconfirmedFactor * p.options.minSuspicionTimeout(len(members))
	p.rosterUntil = now.Add(maxRosterAge)

	// holds reports whether a time is still to come, and ends the roster by then.
	holds := func(until time.Time) bool {
		if !now.Before(until) {
			return false
		}

		if until.Before(p.rosterUntil) {
			p.rosterUntil = until
		}

		return true
	}

	dead := 0

	members = slices.DeleteFunc(members, func(m Member) bool {
		if m.Listed && m.State == Dead {
			dead++
		}

		known := m.Incarnation > 0 && (m.State == Live || m.State == Suspect)
		expired := m.LocalSuspicion && !holds(m.Since.Add(localSuspicionTimeout+1))

		return !known || expired || holds(m.SuppressedUntil)
	})

	p.rosterVersion++
	p.roster = &Roster{Version: p.rosterVersion, Members: members, Dead: dead}

	return p.roster
}
