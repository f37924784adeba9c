package balancer

import "time"

const (
	// minUtilisationInterval is the shortest time over which the rate of sent prompt tokens is measured. Earlier calls return
	// the last rate, so that two nodes that ask in turns get the same figures.
	minUtilisationInterval = 400 * time.Millisecond
	// maxUtilisationInterval is the longest such time. After it, the rate says nothing about the present, and is unknown.
	maxUtilisationInterval = 5 * time.Second
	// busyFraction is the load of a pool, relative to its servers, from which chance makes requests wait for each other.
	busyFraction = 0.4
)

// Utilisation describes how much work a pool's servers have. Loads are in servers: 2.5 means the whole work of two and a
// half servers. An engine both reads prompts and generates tokens, so that PrefillLoad and SlotLoad add up.
type Utilisation struct {
	// Servers is the number of servers that accept new requests.
	Servers int `json:"n"`
	// PrefillLoad is the rate of prompt tokens that were sent to engines and not cached there, relative to the learned
	// prefill rate. It is 0 for plain services.
	PrefillLoad float64 `json:"p,omitempty"`
	// SlotLoad is the number of requests at servers, relative to their slots.
	SlotLoad float64 `json:"s,omitempty"`
	// MemoryLoad is the memory that the requests at engines may need, relative to what running requests may fill.
	MemoryLoad float64 `json:"m,omitempty"`
	// InProgress is the number of requests at servers.
	InProgress int `json:"i,omitempty"`
	// Queued is the number of requests in the queue.
	Queued int `json:"q,omitempty"`
	// Late is the number of requests, queued or sent, without a first event after their latency target.
	Late int `json:"l,omitempty"`
	// Refused is the number of requests that were refused since the last measurement. A Pool leaves it at 0, as only its
	// owner knows for whom it decides.
	Refused int `json:"r,omitempty"`
}

// Load returns the work of all requests, in servers that it keeps fully busy.
func (u *Utilisation) Load() float64 {
	return max(u.PrefillLoad+u.SlotLoad, u.MemoryLoad)
}

// IsBusy reports whether requests may be late or refused because there are too few servers.
func (u *Utilisation) IsBusy() bool {
	return u.Queued > 0 || u.Load() >= busyFraction*float64(u.Servers)
}

// prefillMeter measures the rate of prompt tokens sent to servers.
type prefillMeter struct {
	// sent holds Server.sentTokens of each server at the time at, load the load since the time before.
	sent  map[*server]float64
	at    time.Time
	load  float64
	known bool
}

// update measures the load since the last update. Servers that were not listed then count with all tokens that they got.
func (m *prefillMeter) update(now time.Time, servers []*server, tokensPerSecond float64) {
	elapsed := now.Sub(m.at)
	if m.sent != nil && elapsed < minUtilisationInterval {
		return
	}

	sent := make(map[*server]float64, len(servers))
	tokens := 0.0

	for _, s := range servers {
		sent[s] = s.sentTokens
		tokens += s.sentTokens - m.sent[s]
	}

	m.known = m.sent != nil && elapsed <= maxUtilisationInterval
	m.load = tokens / elapsed.Seconds() / tokensPerSecond
	m.sent, m.at = sent, now
}

// Utilisation returns the work of the pool's servers, or false if the rate of sent prompt tokens isn't known yet. Callers
// should ask about once a second.
func (p *Pool) Utilisation(now time.Time) (Utilisation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.expire(now)
	p.prefillMeter.update(now, p.servers, p.model.Estimates().PrefillTokensPerMS*milliseconds(time.Second))

	u := Utilisation{InProgress: len(p.requests), Queued: len(p.queue), Late: p.countLate(now)}

	for _, s := range p.servers {
		if !s.Draining && !s.leaving && !now.Before(s.restsUntil) {
			u.Servers++
		}

		u.SlotLoad += (float64(len(s.running)) + s.foreignNow(now)) / float64(max(s.Slots, 1))

		if s.engine.CacheTokens > 0 {
			u.MemoryLoad += float64(s.tokens) / (maxMemoryFraction * float64(s.engine.CacheTokens))
		}
	}

	if p.engine.CacheTokens > 0 {
		u.PrefillLoad = p.prefillMeter.load
	}

	return u, p.prefillMeter.known
}

// countLate returns the number of requests without a first event after their latency target.
func (p *Pool) countLate(now time.Time) int {
	late := 0

	for _, r := range p.requests {
		if !r.answering && r.request.Target > 0 && now.Sub(r.sentAt)+r.request.Waited > r.request.Target {
			late++
		}
	}

	for _, q := range p.queue {
		if q.request.Target > 0 && now.Sub(q.queuedAt) > q.request.Target {
			late++
		}
	}

	return late
}
