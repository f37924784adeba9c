package scaler

import "time"

// State is what a planner has learned about the demand of services, by service. It is kept in the platform's store, so that
// the next holder of the duties goes on with it.
type State map[string]ServiceState

// ServiceState is what a planner has learned about one service.
type ServiceState struct {
	load

	// Targets holds the number of upstreams, regular and spot, to reach in each failure domain.
	Targets map[string]int `json:"targets"`
}

// IsAbove reports whether a target is higher than in another state.
func (s State) IsAbove(other State) bool {
	for service, current := range s {
		for domain, count := range current.Targets {
			if count > other[service].Targets[domain] {
				return true
			}
		}
	}

	return false
}

// State returns what the planner has learned about the services whose demand is known.
func (p *Planner) State() State {
	state := make(State)

	for name, s := range p.needs {
		if !s.load.isKnown() || len(s.targets) == 0 {
			continue
		}

		targets := make(map[string]int, len(s.targets))
		for pool, t := range s.targets {
			targets[pool.FailureDomain] = t.Count
		}

		state[name] = ServiceState{load: load{Mean: s.load.Mean, Peak: s.load.Peak, Measurements: s.load.Measurements}, Targets: targets}
	}

	return state
}

// Restore makes a new planner go on with what another one had learned. The time in between isn't known, so nothing decays.
func (p *Planner) Restore(now time.Duration, state State) {
	for name, former := range state {
		s := p.needOfService(name)
		s.load = load{Mean: max(former.Mean, 0), Peak: max(former.Peak, 0), Measurements: min(max(former.Measurements, 0), minMeasurements)}

		for domain, count := range former.Targets {
			pool := Pool{Service: name, FailureDomain: domain}
			s.targets[pool] = &target{Count: max(count, 0), raisedAt: now, lowSince: -1, restored: true}
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
