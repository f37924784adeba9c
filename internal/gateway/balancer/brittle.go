package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// brittleMemory is how long an upstream counts as brittle without a response that says so again.
	brittleMemory = 10 * time.Second
	// soundMemory is how much later the others may say that they are brittle while an upstream that didn't say so in its last
	// response counts as sound.
	soundMemory = time.Second
	// brittleReserveFraction is the fraction of a brittle upstream's slots that stays free for what takes a slot without a
	// request of the pool: new connections and health probes. It is at least one slot, except where there are fewer than
	// minReservedSlots.
	brittleReserveFraction = 1.0 / 16
	minReservedSlots       = 3
	// rejectionWindow is the time in which an upstream can reject only so many requests.
	rejectionWindow = time.Second
	// maxRejectionFraction is the fraction of these from which it gets no requests for rejectionWindow, as each side of a cut
	// counts for itself.
	maxRejectionFraction = 0.5
	// rejectionNoticeTime is how long after the choice of an upstream its holder hears of a rejection, with two batches of
	// reports between the nodes. Within it no more requests are sent than the upstream can reject.
	rejectionNoticeTime = 15 * time.Millisecond
	// windowDecrease is the factor by which a rejection lowers the number of requests that an upstream gets at once.
	windowDecrease = 0.5
)

// Brittleness says that an upstream falls over if it has to reject too many requests.
type Brittleness struct {
	Upstream string `json:"u"`
	// Rejections is the number of requests that it can reject in a second.
	Rejections int `json:"r"`
	// AgeMS is how long ago the upstream said so.
	AgeMS float64 `json:"a,omitempty"`
	// Ended is set if the upstream no longer says so.
	Ended bool `json:"e,omitempty"`
}

// brittleness is what a pool knows of the brittleness of one server.
type brittleness struct {
	// named is set if the last response said that the server is brittle, rejections what it can reject in a second.
	named      bool
	rejections int
	// saidAt is when the server sent that response.
	saidAt time.Time
	// window is the number of requests that may run at the server; 0 if only its slots limit them. It was last lowered at
	// loweredAt.
	window    float64
	loweredAt time.Time
	// rejectedAt holds the times of the rejections within the last rejectionWindow, pausedUntil when the pause ends that
	// followed them.
	rejectedAt  []time.Time
	pausedUntil time.Time
	// lingering holds the times until which requests that were given up may still run at the server.
	lingering []time.Time
}

// SetBrittle records whether an upstream says that it is brittle. It returns whether that changed.
func (p *Pool) SetBrittle(now time.Time, b Brittleness) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	saidAt := now.Add(-time.Duration(b.AgeMS * float64(time.Millisecond)))

	if !b.Ended && saidAt.After(p.brittleAt) {
		p.brittleAt, p.brittleRejections = saidAt, b.Rejections
	}

	i := slices.IndexFunc(p.servers, func(s *server) bool { return s.ID == b.Upstream })
	if i < 0 {
		return false
	}

	s := p.servers[i]
	if !saidAt.After(s.brittle.saidAt) {
		return false
	}

	was := s.brittle.named && now.Sub(s.brittle.saidAt) < brittleMemory
	s.brittle.named, s.brittle.rejections, s.brittle.saidAt = !b.Ended, b.Rejections, saidAt

	return s.brittle.named != was
}

// Brittle returns what is known of the pool's brittle upstreams from their own responses.
func (p *Pool) Brittle(now time.Time) []Brittleness {
	p.mu.Lock()
	defer p.mu.Unlock()

	var brittle []Brittleness

	for _, s := range p.servers {
		if b := s.namedBrittleness(now); b != nil {
			brittle = append(brittle, *b)
		}
	}

	return brittle
}

// namedBrittleness returns what the server's last response said; nil if it isn't brittle or said so too long ago.
func (s *server) namedBrittleness(now time.Time) *Brittleness {
	age := now.Sub(s.brittle.saidAt)
	if !s.brittle.named || age >= brittleMemory {
		return nil
	}

	return &Brittleness{Upstream: s.ID, Rejections: s.brittle.rejections, AgeMS: milliseconds(age)}
}

// isBrittle reports whether the server is brittle, and how many requests it can reject in a second. Upstreams of a service
// become brittle together: one that has not answered since the others said so is brittle too.
func (p *Pool) isBrittle(now time.Time, s *server) (rejections int, brittle bool) {
	if s.brittle.named && now.Sub(s.brittle.saidAt) < brittleMemory {
		return s.brittle.rejections, true
	}

	return p.brittleRejections, now.Sub(p.brittleAt) < brittleMemory && p.brittleAt.Sub(s.brittle.saidAt) > soundMemory
}

// startBrittle limits what a server gets at once that starts while the others are brittle, until it has served requests: it
// may have fewer slots free than it lists.
func (p *Pool) startBrittle(now time.Time, s *server) {
	if rejections, brittle := p.isBrittle(now, s); brittle {
		s.brittle.window = max(float64(rejections), 1)
	}
}

// fitsBrittle reports whether one more request surely finds a free slot, if the server is brittle.
func (p *Pool) fitsBrittle(now time.Time, s *server) bool {
	rejections, brittle := p.isBrittle(now, s)
	if !brittle {
		return true
	}

	if now.Before(s.brittle.pausedUntil) || s.sentWithin(now, rejectionNoticeTime) >= max(rejections, 1) {
		return false
	}

	s.brittle.lingering = slices.DeleteFunc(s.brittle.lingering, func(until time.Time) bool { return !now.Before(until) })

	return float64(len(s.running)+len(s.brittle.lingering))+s.foreignNow(now)+1 <= p.brittleRoom(s)
}

// sentWithin returns the number of unanswered requests that were sent to the server within the given time.
func (s *server) sentWithin(now time.Time, d time.Duration) int {
	count := 0

	for _, r := range s.running {
		if !r.answering && now.Sub(r.sentAt) < d {
			count++
		}
	}

	return count
}

// brittleRoom returns the number of requests that this node may have at a brittle server, those of all nodes included.
func (p *Pool) brittleRoom(s *server) float64 {
	room := s.surelyFree()
	if s.brittle.window > 0 {
		room = min(room, math.Floor(s.brittle.window))
	}

	part := room * p.limitShare / p.limitCost
	if p.limitShare == 1 {
		// A decider that has just taken over may use the slot that the former one leaves free.
		part = max(part, 1)
	}

	return part
}

// surelyFree returns the number of slots of an idle server less the reserve.
func (s *server) surelyFree() float64 {
	if s.Slots < minReservedSlots {
		return float64(s.Slots)
	}

	return float64(s.Slots) - math.Ceil(brittleReserveFraction*float64(s.Slots))
}

// recordBrittleEnd takes the end of a request at a brittle server. The caller holds p.mu.
func (p *Pool) recordBrittleEnd(now time.Time, r *runningRequest, outcome Outcome) {
	s := r.server

	rejections, brittle := p.isBrittle(now, s)
	if !brittle {
		s.brittle.window = 0

		return
	}

	switch outcome {
	case Served:
		if s.brittle.window > 0 {
			s.brittle.window = min(s.brittle.window+1/s.brittle.window, s.surelyFree())
		}
	case Rejected:
		s.recordRejection(now, r, rejections)
	case Abandoned, Failed, Silent:
		// The server may go on with a request after its connection was closed.
		s.brittle.lingering = append(s.brittle.lingering, now.Add(time.Duration(p.demand.residenceSeconds*float64(time.Second))))
	case Unreachable, Replaced:
	}
}

// recordRejection lowers the number of requests that the server gets, and pauses it before it rejects too many.
func (s *server) recordRejection(now time.Time, r *runningRequest, rejections int) {
	// Rejections of requests that were sent together lower it once.
	if r.sentAt.After(s.brittle.loweredAt) {
		window := float64(len(s.running))
		if s.brittle.window > 0 {
			window = min(window, s.brittle.window)
		}

		s.brittle.window, s.brittle.loweredAt = max(windowDecrease*window, 1), now
	}

	s.brittle.rejectedAt = slices.DeleteFunc(s.brittle.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	s.brittle.rejectedAt = append(s.brittle.rejectedAt, now)

	if float64(len(s.brittle.rejectedAt)) >= maxRejectionFraction*float64(rejections) {
		s.brittle.pausedUntil = now.Add(rejectionWindow)
	}
}
