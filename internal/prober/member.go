package prober

import (
	"math"
	"slices"
	"time"
)

const (
	// freePenalty is the penalty up to which a node that returned is not held back: that of one
	// return, and of another when nearly all of the first has faded.
	freePenalty = 1.25
	// maxDoublings bounds how often the hold time is doubled.
	maxDoublings = 16
)

// member is a peer with what only the Prober needs to know.
type member struct {
	Member
	guard replayGuard
	// introduced says that the addresses come from the node itself.
	introduced bool
	// listLeaving is the list's mark, toldLeaving the node's own.
	listLeaving bool
	toldLeaving bool
	// suspectedBy names the nodes that suspect first-hand; only while Suspect.
	suspectedBy []string
	// penalty counts the returns from Dead; it halves every PenaltyHalfLife from penaltyAt on.
	penalty   float64
	penaltyAt time.Time
}

func (m *member) view() Member {
	v := m.Member
	v.Leaving = m.listLeaving || m.toldLeaving

	return v
}

func (m *member) setVM(v VM) {
	m.Address = v.Address
	m.FailureDomain = v.FailureDomain

	// The platform's list has no address for peers; the settings or the node itself give it.
	if v.PeerAddress != "" {
		m.PeerAddress = v.PeerAddress
	}
}

func (m *member) vm() *VM {
	return &VM{Name: m.Name, Address: m.Address, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain}
}

func (p *Prober) add(now time.Time, v VM) *member {
	m := &member{Member: Member{Name: v.Name, Since: now}}
	m.setVM(v)
	p.members[v.Name] = m
	p.inState[m.State]++

	at, _ := slices.BinarySearch(p.names, v.Name)
	p.names = slices.Insert(p.names, at, v.Name)

	// A random place ahead keeps the time until the first probe alike for all newcomers.
	place := p.position + p.random.IntN(len(p.ring)-p.position+1)
	p.ring = slices.Insert(p.ring, place, v.Name)

	return m
}

// forget removes dead members that no list names.
func (p *Prober) forget(now time.Time) {
	if p.inState[Dead] == 0 {
		return
	}

	p.names = slices.DeleteFunc(p.names, func(name string) bool {
		m := p.members[name]
		if m.State != Dead || m.Listed || now.Sub(m.Since) < p.options.DeadRetention {
			return false
		}

		delete(p.members, name)
		p.inState[Dead]--
		p.counters.MembersForgotten++

		return true
	})
}

// setState moves a member to another state and reports whether it changed.
func (p *Prober) setState(now time.Time, m *member, state State) bool {
	if m.State == state {
		return false
	}

	if m.State == Dead && state == Live && !m.toldLeaving {
		p.penalise(now, m)
	}

	p.inState[m.State]--
	p.inState[state]++
	m.State = state
	m.Since = now
	m.suspectedBy = nil
	m.LocalSuspicion = false
	p.changes = append(p.changes, m.view())

	return true
}

// penalise holds a member back that dies and returns again and again.
//
// A node with a bad link would come and go in the answers to callers, each time
// with failed requests. The first return is free; each further one within the
// half-life doubles the time for which the node must stay live before it counts.
func (p *Prober) penalise(now time.Time, m *member) {
	halves := now.Sub(m.penaltyAt).Seconds() / p.options.PenaltyHalfLife.Seconds()
	m.penalty = m.penalty*math.Exp2(-halves) + 1
	m.penaltyAt = now

	if m.penalty < freePenalty {
		return
	}

	// The exponent is bounded before the multiplication so that it can't overflow.
	factor := math.Exp2(min(math.Round(m.penalty)-2, maxDoublings))
	hold := time.Duration(float64(p.options.SuppressTime) * max(factor, 1))
	m.SuppressedUntil = now.Add(min(hold, p.options.MaxSuppressTime))
}

// pick returns up to count random members that may answer, without the named one.
func (p *Prober) pick(count int, without string) []*member {
	var candidates []*member

	for _, name := range p.names {
		m := p.members[name]
		if name == without || m.State != Live || m.PeerAddress == "" {
			continue
		}

		candidates = append(candidates, m)
	}

	p.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})

	return candidates[:min(count, len(candidates))]
}

// size is the number of nodes that are not dead, this one included.
func (p *Prober) size() int {
	return 1 + len(p.members) - p.inState[Dead]
}
