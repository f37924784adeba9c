package granter

import "time"

// pacer says when a holder compares the grants of one pool with which entry.
//
// An entry that was just heard of, or whose state differed, is compared in the
// next two rounds: what hurried the first may begin after it, or while its
// answer is on the way. With each further comparison that finds nothing the time
// doubles, from least to most. In a quiet fleet nearly all comparisons find nothing, and at
// most this long a difference goes unseen that nobody told about. It is guarded
// by the lock of its pool.
type pacer struct {
	least, most time.Duration
	paces       map[string]pace
}

// pace is the state of one entry whose last comparison found nothing.
type pace struct {
	every time.Duration
	next  time.Time
}

func newPacer(least, most time.Duration) *pacer {
	return &pacer{least: least, most: max(least, most), paces: make(map[string]pace)}
}

// due says whether the entry is compared in the round of this time. Rounds are
// least apart but for the jitter of their timer; half a round absorbs it.
func (p *pacer) due(now time.Time, entry string) bool {
	return !now.Add(p.least / 2).Before(p.paces[entry].next)
}

// agreed notes a comparison that found nothing; now is when its round began.
func (p *pacer) agreed(now time.Time, entry string) {
	every := min(p.most, max(p.least, 2*p.paces[entry].every))
	p.paces[entry] = pace{every: every, next: now.Add(every)}
}

// hurry has the entry compared in the next two rounds.
func (p *pacer) hurry(entry string) {
	delete(p.paces, entry)
}

// hurryAll has each entry compared in the next two rounds.
func (p *pacer) hurryAll() {
	clear(p.paces)
}

// keep forgets all entries but these.
func (p *pacer) keep(entries []string) {
	kept := make(map[string]pace, len(entries))

	for _, entry := range entries {
		if known, ok := p.paces[entry]; ok {
			kept[entry] = known
		}
	}

	p.paces = kept
}
