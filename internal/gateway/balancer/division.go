package balancer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Engines are divided between interactive requests, whose targets a queue of prompts would break,
// and batch requests, which can wait behind it. Without a division each engine has
// long prompts at any time, and every chat is late and stalls however it is placed.
// The division follows the demand of both groups, so that no engine is kept for nobody.
const (
	// busyFactor is the safety with which a target must be above the time on a busy engine to count as batch.
	busyFactor = 1.5
	// interactiveFill is the part of their batches, and interactiveReading the part of their time for
	// reading prompts, that interactive engines are planned to have in use.
	interactiveFill    = 0.7
	interactiveReading = 0.3
	// batchFill and batchReading are the same for the others.
	batchFill    = 0.9
	batchReading = 0.75
	// refusedTime is the time in which the count of refused requests halves.
	refusedTime = 500 * time.Millisecond
	// residenceGain is the weight of one request in the mean time at an engine, leastResidence its least value in seconds.
	residenceGain  = 0.02
	leastResidence = 0.005
	// demandTime is the time constant of the measured demand.
	demandTime = 2 * time.Second
	// divideInterval is the time between two divisions. Engines that change sides lose their cached parts' use.
	divideInterval = 500 * time.Millisecond
	// pressedPart is the part of the engines whose need makes the pool count as pressed, and pressedTime how
	// long it does so at least. While there is room, each engine serves both groups.
	pressedPart = 0.9
	pressedTime = 3 * time.Second
	// leastShare is the part of the engines that each group keeps when both want more than there are.
	leastShare = 0.35
)

// group is one side of the division.
type group int

const (
	interactive group = iota
	batch
	groupCount
)

// demand is what the requests of one group ask of the engines.
type demand struct {
	// running and waiting count requests.
	running, waiting int
	// reading is the prompt work of the last demandTime in milliseconds, as of readingAt.
	reading   float64
	readingAt time.Time
	// granted counts requests that got an upstream, forgotten with grantTime, as of grantedAt.
	granted   float64
	grantedAt time.Time
	// refused counts requests that were refused, forgotten with refusedTime, as of refusedAt: they ask for engines
	// as those do that wait.
	refused   float64
	refusedAt time.Time
	// residence is the mean time in seconds that a request spends at an engine; 0 before the first has ended.
	residence float64
}

func (d *demand) refuse(now time.Time) {
	d.refused = decayed(d.refused, now.Sub(d.refusedAt), refusedTime) + 1
	d.refusedAt = now
}

// stayed takes in the time that a request spent at an engine.
func (d *demand) stayed(seconds float64) {
	if d.residence == 0 {
		d.residence = seconds

		return
	}

	d.residence += residenceGain * (seconds - d.residence)
}

func (d *demand) grant(now time.Time) {
	d.granted = decayed(d.granted, now.Sub(d.grantedAt), grantTime) + 1
	d.grantedAt = now
}

// readingRate is the number of engines that would do nothing but read the group's prompts.
func (d *demand) readingRate(now time.Time) float64 {
	// An average with a half-life sums up to a span of halfLife / ln 2.
	span := milliseconds(demandTime) / math.Ln2

	return decayed(d.reading, now.Sub(d.readingAt), demandTime) / span
}

func (d *demand) read(now time.Time, reading float64) {
	d.reading = decayed(d.reading, now.Sub(d.readingAt), demandTime) + reading
	d.readingAt = now
}

// engines is the number of engines that the group needs.
func (d *demand) engines(now time.Time, slots int, fill, reading float64) int {
	asking := float64(d.running+d.waiting) + decayed(d.refused, now.Sub(d.refusedAt), refusedTime)
	bySlots := asking / (fill * float64(max(slots, 1)))
	byReading := d.readingRate(now) / reading

	return int(math.Ceil(max(bySlots, byReading)))
}

// groupOf says on which side of the division the work belongs.
func (p *Pool) groupOf(work *Work) group {
	busy := engineBacklog + float64(max(p.engine.EventTokens, 1))*(stepTime+chunkTime)
	if work.Target == 0 || milliseconds(work.Target) >= busyFactor*busy {
		return batch
	}

	return interactive
}

// divide assigns engines to the groups by their demand; p.mu is held.
func (p *Pool) divide(now time.Time) {
	if p.engine.CacheTokens == 0 || now.Sub(p.dividedAt) < divideInterval {
		return
	}

	p.dividedAt = now

	for i := range p.demands {
		p.demands[i].waiting = 0
	}

	for _, q := range p.queue {
		p.demands[p.groupOf(&q.work)].waiting++
	}

	usable, slots := p.usable(now)
	few := p.demands[interactive].engines(now, slots, interactiveFill, interactiveReading)
	many := p.demands[batch].engines(now, slots, batchFill, batchReading)
	total := len(usable)

	if float64(few+many) > pressedPart*float64(total) {
		p.pressedAt = now
	}

	p.pressed = now.Sub(p.pressedAt) < pressedTime

	if few+many > total {
		few = min(few, max(total-many, int(math.Ceil(leastShare*float64(total)))))
	} else if many > 0 && few > 0 {
		// What nobody needs is shared out, so that both have room for a burst.
		few += (total - few - many) * few / (few + many)
	}

	for i, s := range usable {
		s.group = batch
		if i < few {
			s.group = interactive
		}
	}

	p.divided = p.pressed && few > 0 && few < total && many > 0
}

// usable returns the servers that may get requests, in an order that stays, and their mean slots.
func (p *Pool) usable(now time.Time) ([]*server, int) {
	var usable []*server

	slots := 0

	for _, s := range p.servers {
		if !s.usable(now) {
			continue
		}

		usable = append(usable, s)
		slots += s.Slots
	}

	slices.SortFunc(usable, func(a, b *server) int {
		if a.order != b.order {
			return int(math.Copysign(1, a.order-b.order))
		}

		return strings.Compare(a.ID, b.ID)
	})

	return usable, slots / max(len(usable), 1)
}

// orderOf is the place of a server in the division, from 0 to 1.
func orderOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// admits says whether the server's side of the division lets the work in.
func (p *Pool) admits(s *server, work *Work) bool {
	return !p.divided || p.groupOf(work) == interactive || s.group == batch
}
