package prober

import (
	"math"
	"slices"
	"time"
)

const (
	// suppressThreshold is the penalty from which a node that returned is suppressed. One return stays below it, as
	// does a second one after the penalty of the first has decayed to less than a quarter.
	suppressThreshold = 1.25
	// maxDoublings limits how often the suppress time is doubled.
	maxDoublings = 16
)

// member is a peer with the state that only the Prober uses.
type member struct {
	Member
	replays replayFilter
	// selfReported is set if the addresses come from the node itself.
	selfReported bool
	// listLeaving is set by the platform's list, reportedLeaving by the node itself.
	listLeaving     bool
	reportedLeaving bool
	// suspectedBy names the nodes whose own probes failed; only set while Suspect.
	suspectedBy []string
	// penalty grows by 1 with each return from Dead and halves every PenaltyHalfLife after penaltyAt.
	penalty   float64
	penaltyAt time.Time
}

func (m *member) snapshot() Member {
	v := m.Member
	v.Leaving = m.listLeaving || m.reportedLeaving

	return v
}

func (m *member) setVM(v VM) {
	m.Address = v.Address
	m.FailureDomain = v.FailureDomain

	// The platform's list has no peer address; it comes from the settings or the node itself.
	if v.PeerAddress != "" {
		m.PeerAddress = v.PeerAddress
	}
}

func (m *member) vm() *VM {
	return &VM{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain}
}

func (p *Prober) addMember(now time.Time, v VM) *member {
	p.roster = nil
	m := &member{Member: Member{Name: v.Name, Since: now}}
	m.setVM(v)
	p.members[v.Name] = m
	p.inState[m.State]++

	at, _ := slices.BinarySearch(p.names, v.Name)
	p.names = slices.Insert(p.names, at, v.Name)

	// A random position among the remaining targets gives all new members the same expected time until their first probe.
	index := p.probePosition + p.random.IntN(len(p.probeOrder)-p.probePosition+1)
	p.probeOrder = slices.Insert(p.probeOrder, index, v.Name)

	return m
}

// removeExpired removes members that are not listed and have been dead for DeadRetention.
func (p *Prober) removeExpired(now time.Time) {
	if p.inState[Dead] == 0 {
		return
	}

	p.names = slices.DeleteFunc(p.names, func(name string) bool {
		m := p.members[name]
		if m.State != Dead || m.Listed || now.Sub(m.Since) < p.options.DeadRetention {
			return false
		}

		delete(p.members, name)
		p.roster = nil
		p.inState[Dead]--
		p.counters.MembersForgotten++

		return true
	})
}

// setState sets the state of a member and reports whether it changed.
func (p *Prober) setState(now time.Time, m *member, state State) bool {
	if m.State == state {
		return false
	}

	if m.State == Dead && state == Live && !m.reportedLeaving {
		p.penalise(now, m)
	}

	p.roster = nil
	p.inState[m.State]--
	p.inState[state]++
	m.State = state
	m.Since = now
	m.suspectedBy = nil
	m.LocalSuspicion = false
	p.changes = append(p.changes, m.snapshot())

	return true
}

// penalise suppresses a member that repeatedly dies and returns (flapping).
//
// A node with a bad link would otherwise be offered to callers after each return,
// each time with failed requests. The first return has no effect; each further one
// within the half-life doubles the time for which Live omits the node.
func (p *Prober) penalise(now time.Time, m *member) {
	halfLives := now.Sub(m.penaltyAt).Seconds() / p.options.PenaltyHalfLife.Seconds()
	m.penalty = m.penalty*math.Exp2(-halfLives) + 1
	m.penaltyAt = now

	if m.penalty < suppressThreshold {
		return
	}

	// Limits the exponent so that the multiplication can't overflow.
	factor := math.Exp2(min(math.Round(m.penalty)-2, maxDoublings))
	suppressTime := time.Duration(float64(p.options.SuppressTime) * max(factor, 1))
	m.SuppressedUntil = now.Add(min(suppressTime, p.options.MaxSuppressTime))
}

// randomLive returns up to count random live members with a peer address, except the given one.
func (p *Prober) randomLive(count int, exclude string) []*member {
	var candidates []*member

	for _, name := range p.names {
		m := p.members[name]
		if name == exclude || m.State != Live || m.PeerAddress == "" {
			continue
		}

		candidates = append(candidates, m)
	}

	p.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})

	return candidates[:min(count, len(candidates))]
}

// nodeCount returns the number of nodes that are not dead, including this one.
func (p *Prober) nodeCount() int {
	return 1 + len(p.members) - p.inState[Dead]
}
