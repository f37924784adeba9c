package scaler

import "time"

// State is what a planner has learned about the demand of services, by service. It is kept in the platform's store, so that
// the next holder of the duties goes on with it.
type State map[string]ServiceState

// ServiceState is what a planner has learned about one service.
type ServiceState struct {
	load

	// Total and Surviving are the last need.
	Total     int `json:"total"`
	Surviving int `json:"surviving"`
	// Targets holds the targets by failure domain.
	Targets map[string]TargetState `json:"targets"`
}

// TargetState is what a planner has decided about one pool.
type TargetState struct {
	// Count is the number of upstreams, regular and spot, to reach.
	Count int `json:"count"`
	// Replaced is set once spot upstreams have replaced the regular ones.
	Replaced bool `json:"replaced,omitempty"`
	// AgeMS is how long ago the number was last raised, at most maxTargetAge.
	AgeMS int64 `json:"age_ms"`
}

// maxTargetAge is longer than any boot time, after which it doesn't matter when a number was raised.
const maxTargetAge = time.Minute

// IsAbove reports whether a target is higher than in another state.
func (s State) IsAbove(other State) bool {
	for service, current := range s {
		for domain, t := range current.Targets {
			if t.Count > other[service].Targets[domain].Count {
				return true
			}
		}
	}

	return false
}

// State returns what the planner has learned about the services whose demand is known.
func (p *Planner) State(now time.Duration) State {
	state := make(State)

	for name, s := range p.needs {
		if !s.load.isKnown() || len(s.targets) == 0 {
			continue
		}

		targets := make(map[string]TargetState, len(s.targets))
		for pool, t := range s.targets {
			age := min(now-t.raisedAt, maxTargetAge).Milliseconds()
			targets[pool.FailureDomain] = TargetState{Count: t.Count, Replaced: p.replaced[pool], AgeMS: age}
		}

		state[name] = ServiceState{
			load:  load{Mean: s.load.Mean, Peak: s.load.Peak, Measurements: s.load.Measurements},
			Total: s.need.total, Surviving: s.need.surviving, Targets: targets,
		}
	}

	return state
}

// Restore makes a new planner go on with what another one had learned. The time in between isn't known, so nothing decays.
func (p *Planner) Restore(now time.Duration, state State) {
	for name, former := range state {
		s := p.needOfService(name)
		s.load = load{Mean: max(former.Mean, 0), Peak: max(former.Peak, 0), Measurements: min(max(former.Measurements, 0), minMeasurements)}
		s.need = need{total: max(former.Total, 0), surviving: max(former.Surviving, 0)}

		for domain, t := range former.Targets {
			pool := Pool{Service: name, FailureDomain: domain}
			raisedAt := now - time.Duration(t.AgeMS)*time.Millisecond
			s.targets[pool] = &target{Count: max(t.Count, 0), raisedAt: raisedAt, lowSince: -1, restored: true}
			p.replaced[pool] = p.replaced[pool] || t.Replaced
			// A pool may be empty at the moment, if its spot upstreams were reclaimed.
			p.peakRegular[pool] = max(p.peakRegular[pool], 0)
		}
	}
}

// ServiceStatus describes the demand of a service to operators.
type ServiceStatus struct {
	Service string `json:"service"`
	// Demand is the last measurement, AgeMS its age; negative if there is none.
	Demand Demand `json:"demand"`
	AgeMS  int64  `json:"age_ms"`
	// Mean and Peak are the load apart from bursts and the highest lately, in upstreams.
	Mean float64 `json:"mean"`
	Peak float64 `json:"peak"`
	// Pressing is set while callers get less than they need; as many upstreams as possible are ordered then.
	Pressing bool `json:"pressing"`
	// Needed and Surviving are the needed numbers of upstreams, with all failure domains and without any one of them.
	Needed    int `json:"needed"`
	Surviving int `json:"surviving"`
	// Target is the number of upstreams to reach in all failure domains.
	Target int `json:"target"`
	// Raised and Reduced count the changes of pools' targets in this term.
	Raised  int64 `json:"raised"`
	Reduced int64 `json:"reduced"`
}

// Status describes the services that are planned by need, by name.
func (p *Planner) Status(now time.Duration) map[string]ServiceStatus {
	statuses := make(map[string]ServiceStatus)

	for name, s := range p.needs {
		status := ServiceStatus{
			Service: name, Demand: s.load.last, AgeMS: -1, Mean: s.load.Mean, Peak: s.load.Peak, Pressing: s.load.pressing,
			Needed: s.need.total, Surviving: s.need.surviving, Raised: s.raised, Reduced: s.reduced,
		}

		if s.load.measured {
			status.AgeMS = (now - s.load.at).Milliseconds()
		}

		for _, t := range s.targets {
			status.Target += t.Count
		}

		statuses[name] = status
	}

	return statuses
}
