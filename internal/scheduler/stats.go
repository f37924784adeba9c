package scheduler

import (
	"maps"
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// Stats are the counters of a pool since its creation.
type Stats struct {
	// Queued is the number of waiting requests, by class.
	Queued map[string]int `json:"queued"`
	// InFlight is the number of granted slots, by server.
	InFlight map[string]int `json:"in_flight"`
	// Limit is the learned concurrency limit, by server.
	Limit map[string]int `json:"limit"`
	// Granted is counted by class, Refused by code.
	Granted map[string]int          `json:"granted"`
	Refused map[classifier.Code]int `json:"refused"`
	// Cancelled counts requests that their entry withdrew or that were dropped with their entry.
	Cancelled int `json:"cancelled"`
	// Preempted counts grants preempted for tier 1.
	Preempted int `json:"preempted"`
	// Oversubscribed counts grants above a learned limit that engine priority allowed.
	Oversubscribed int `json:"oversubscribed"`
	// TokensLost counts tokens that an engine must process again because of preemption.
	TokensLost int `json:"tokens_lost"`
	// Reclaimed counts grants freed because their entry didn't know them.
	Reclaimed int `json:"reclaimed"`
	// SlotTime is the time that slots were in use, by server. BusyShare is the ratio of SlotTime to the
	// learned limit over time.
	SlotTime  map[string]time.Duration `json:"slot_time_ns"`
	BusyShare map[string]float64       `json:"busy_share"`
	// LongestWait is the longest time in the queue until a grant, by class.
	LongestWait map[string]time.Duration `json:"longest_wait_ns"`
}

// counters are the parts of Stats that only grow.
type counters struct {
	refused        map[classifier.Code]int
	cancelled      int
	preempted      int
	oversubscribed int
	tokensLost     int
	reclaimed      int
}

func newCounters() counters {
	return counters{refused: make(map[classifier.Code]int)}
}

// Stats returns a copy of the counters as of the latest call.
func (p *Pool) Stats() Stats {
	stats := Stats{
		Queued:         make(map[string]int, len(p.classes)),
		InFlight:       make(map[string]int, len(p.servers)),
		Limit:          make(map[string]int, len(p.servers)),
		Granted:        make(map[string]int, len(p.classes)),
		Refused:        maps.Clone(p.counters.refused),
		Cancelled:      p.counters.cancelled,
		Preempted:      p.counters.preempted,
		Oversubscribed: p.counters.oversubscribed,
		TokensLost:     p.counters.tokensLost,
		Reclaimed:      p.counters.reclaimed,
		SlotTime:       make(map[string]time.Duration, len(p.servers)),
		BusyShare:      make(map[string]float64, len(p.servers)),
		LongestWait:    make(map[string]time.Duration, len(p.classes)),
	}

	for _, c := range p.classes {
		stats.Queued[c.settings.Name] = c.total
		stats.Granted[c.settings.Name] = c.granted
		stats.LongestWait[c.settings.Name] = c.longestWait
	}

	for _, s := range p.servers {
		s.accountTime(p.lastCallAt)
		stats.InFlight[s.upstream.Name] = s.inFlight
		stats.Limit[s.upstream.Name] = s.slots()
		stats.SlotTime[s.upstream.Name] = s.slotTime
		stats.BusyShare[s.upstream.Name] = s.busyShare()
	}

	return stats
}

// HasWaiting reports whether requests are waiting.
func (p *Pool) HasWaiting() bool {
	return len(p.waiting) > 0
}

// Capacity is the number of waiting requests and of free slots of a pool.
type Capacity struct {
	// Waiting is the number of waiting requests.
	Waiting int
	// Free is the number of slots below the limits of all servers.
	Free int
	// FreeForLower is the part of Free that requests below tier 1 may use, as of the latest grant or tick.
	FreeForLower int
}

// Capacity returns the number of waiting requests and of free slots.
func (p *Pool) Capacity() Capacity {
	room := Capacity{Waiting: len(p.waiting), FreeForLower: p.view.freeForLower}

	for _, s := range p.servers {
		room.Free += max(0, s.slots()-s.inFlight)
	}

	return room
}
