package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// maxRankHalvings limits how often the weight of an organisation is halved for its rank.
	maxRankHalvings = 3
	// levelFraction is the time, as a fraction of the target of a priority's requests, for whose work an organisation may be
	// ahead of its share before the requests of others go first. Requests within it compete by latency and cached prompt
	// parts. With 0.2, 0.953 of the long prompts were in time in TestBurstOfLongPromptsIsAdmittedByWork, with 0.4 0.961.
	levelFraction = 0.4
	// defaultTarget stands for the target of requests without one.
	defaultTarget = time.Second
	// minLargeRatio is the least part of the usual chance to be admitted that requests with much work have. They must be served
	// at least half as often as their class; some of them are refused later.
	minLargeRatio = 0.7
	// admittedHalfLife is the half-life of the counts of admissions.
	admittedHalfLife = 4 * time.Second
	// maxLevel limits levels, so that they stay exact.
	maxLevel = 1 << 20
)

// admission is the state with which a pool shares scarce room by work.
type admission struct {
	tiers map[int]*tier
	// returns holds the requests that were told when to come back, by content.
	returns map[uint64]promise
	// kept is the recent fraction of them that did.
	kept float64
	// startedAt is when the pool was first asked for an upstream.
	startedAt time.Time
	// open are the servers that had room at the begin of GrantQueued.
	open []*server
	// modelled is the result of Pool.modelledRate as of modelledAt, slowdown the mean slowdown of the servers then.
	modelled   float64
	modelledAt time.Time
	slowdown   float64
	// slots is the number of the servers' slots.
	slots    float64
	counters AdmissionCounters
}

func newAdmission() admission {
	return admission{tiers: make(map[int]*tier), returns: make(map[uint64]promise), kept: 1, slowdown: 1}
}

// AdmissionCounters counts the decisions of a pool that shares scarce room by work.
type AdmissionCounters struct {
	// Queued and Refused count the requests that were queued, and those that were refused at once.
	Queued  int64 `json:"queued"`
	Refused int64 `json:"refused"`
	// Shed counts the queued requests that were refused because they could no longer be served in time.
	Shed int64 `json:"shed"`
	// Told counts the refused requests that got a time at which there is room for them, Final those whose time is later
	// than callers wait.
	Told  int64 `json:"told"`
	Final int64 `json:"final"`
	// Returned counts the requests that came back as told, Early those that came back before, RefusedAgain those of the
	// former that were refused again.
	Returned     int64 `json:"returned"`
	Early        int64 `json:"early"`
	RefusedAgain int64 `json:"refused_again"`
	// Reordered counts the requests that were granted a server before one that had waited longer, because of its
	// organisation's share or its target.
	Reordered int64 `json:"reordered"`
	// Organisations is the number of organisations that waited for servers at the last sort of the queue.
	Organisations int `json:"organisations"`
}

// AdmissionCounters returns the counters; nil unless Options.WorkAdmission is set.
func (p *Pool) AdmissionCounters() *AdmissionCounters {
	if !p.options.WorkAdmission {
		return nil
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	counters := p.admission.counters

	return &counters
}

// tier shares the room of one priority among organisations by start-time fair queueing: each request of an organisation starts,
// in virtual time, when its previous one finishes, and takes as long as its work divided by the organisation's weight. Requests
// with earlier starts go first. An organisation that sends nothing earns nothing: its next request starts at the current
// virtual time.
type tier struct {
	// virtual is the latest start of a request that got a server.
	virtual float64
	// target is the target of the last request that waited.
	target time.Duration
	shares map[string]*share
	// asked and admitted count the requests that had to wait, and those of them that were queued, decayed with
	// admittedHalfLife, as of admittedAt: all, and those with much work.
	asked, admitted           float64
	askedLarge, admittedLarge float64
	admittedAt                time.Time
	// levelWidth is the range of virtual time in which requests count as equal.
	levelWidth float64
	// activeWeight is the total weight of the organisations that compete for room, as of the last sort.
	activeWeight float64
}

// share is what one organisation has got of the room of a priority.
type share struct {
	weight float64
	// finish is the virtual time at which the last request that got a server finishes.
	finish float64
	// waiting is the number of queued requests, queued their work.
	waiting int
	queued  float64
	// ahead is the work of those that were passed so far during a sort.
	ahead float64
	// returnAt is the time up to which refused requests have been told to come back, promised the work of those that have
	// not, by the time that they were told, in units of promiseUnit.
	returnAt time.Time
	promised map[int64]float64
}

// tier returns the tier of a priority.
func (a *admission) tier(priority int) *tier {
	t, ok := a.tiers[priority]
	if !ok {
		t = &tier{shares: make(map[string]*share), levelWidth: math.Inf(1), activeWeight: 1}
		a.tiers[priority] = t
	}

	return t
}

// recordAdmission counts a request that had to wait.
func (t *tier) recordAdmission(now time.Time, isLarge, admitted bool) {
	factor := decayed(1, now.Sub(t.admittedAt), admittedHalfLife)
	t.admittedAt = now

	for _, count := range []*float64{&t.asked, &t.admitted, &t.askedLarge, &t.admittedLarge} {
		*count *= factor
	}

	t.asked++

	if admitted {
		t.admitted++
	}

	if isLarge {
		t.askedLarge++

		if admitted {
			t.admittedLarge++
		}
	}
}

// recordShed takes back an admission.
func (t *tier) recordShed(isLarge bool) {
	t.admitted = max(t.admitted-1, 0)

	if isLarge {
		t.admittedLarge = max(t.admittedLarge-1, 0)
	}
}

// starvesLarge reports whether requests with much work were admitted too rarely, this one counted.
func (t *tier) starvesLarge(now time.Time) bool {
	factor := decayed(1, now.Sub(t.admittedAt), admittedHalfLife)

	return t.admittedLarge*t.asked < minLargeRatio*t.admitted*(t.askedLarge+1/max(factor, math.SmallestNonzeroFloat32))
}

// share returns the share of the request's organisation.
func (t *tier) share(request *Request) *share {
	s, ok := t.shares[request.Organisation]
	if !ok {
		s = &share{finish: t.virtual, promised: make(map[int64]float64)}
		t.shares[request.Organisation] = s
	}

	s.weight = math.Exp2(-float64(min(max(request.OrganisationRank, 0), maxRankHalvings)))

	return s
}

// charge counts the work of a request that got a server.
func (a *admission) charge(request *Request, work float64) {
	t := a.tier(request.Priority)
	s := t.share(request)

	start := s.finish
	if s.waiting == 0 {
		start = max(start, t.virtual)
	}

	t.virtual = max(t.virtual, start)
	s.finish = start + work/s.weight
}

// enqueue counts a request that begins to wait.
func (t *tier) enqueue(s *share, work float64) {
	// While it waits, the organisation keeps its place in virtual time.
	if s.waiting == 0 {
		s.finish = max(s.finish, t.virtual)
	}

	s.waiting++
	s.queued += work
}

// dequeue removes a request that no longer waits.
func (s *share) dequeue(work float64) {
	s.waiting--
	s.queued -= work

	if s.waiting == 0 {
		s.queued = 0
	}
}

// level returns how far a request is ahead of its organisation's share, in units of levelWidth, if the given work of the
// organisation goes before it.
func (t *tier) level(s *share, ahead float64) int {
	start := s.finish
	if s.waiting == 0 {
		start = max(start, t.virtual)
	}

	return int(min(max(math.Floor((start+ahead/s.weight-t.virtual)/t.levelWidth), -maxLevel), maxLevel))
}

// refresh updates the tier at a sort of the queue and removes shares that say nothing. The rate is the work a second that the
// priority gets.
func (t *tier) refresh(now time.Time, rate float64) (waiting int) {
	t.activeWeight = 0

	for name, s := range t.shares {
		s.ahead = 0
		s.expirePromises(now)

		if s.waiting > 0 {
			waiting++
		}

		if s.waiting > 0 || s.finish > t.virtual {
			t.activeWeight += s.weight

			continue
		}

		if len(s.promised) == 0 && !now.Before(s.returnAt) {
			delete(t.shares, name)
		}
	}

	t.activeWeight = max(t.activeWeight, math.Exp2(-maxRankHalvings))
	t.levelWidth = max(levelFraction*cmp.Or(t.target, defaultTarget).Seconds()*rate/t.activeWeight, 1)

	return waiting
}
