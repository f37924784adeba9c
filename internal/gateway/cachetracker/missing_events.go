package cachetracker

import "time"

// maxAwaited limits the events that are awaited at once. More missing ones are a gap.
const maxAwaited = 256

// missingEvents finds the events of one epoch that don't arrive, by their numbers. The zero value has seen none.
type missingEvents struct {
	// highest is the highest number seen, if seen is set.
	seen    bool
	highest int64
	// awaited maps the numbers below it that were not seen to when that was noticed.
	awaited map[int64]time.Time
	// lost is the number of events that did not arrive in time.
	lost int
	// tooMany is set if so many are missing that they aren't tracked.
	tooMany bool
}

// observe records that an event arrived. Events before the first one that was seen are not known to exist.
func (m *missingEvents) observe(now time.Time, number int64) {
	if !m.seen || number <= m.highest {
		if !m.seen {
			m.seen, m.highest = true, number
		}

		delete(m.awaited, number)

		return
	}

	if number-m.highest-1 > int64(maxAwaited-len(m.awaited)) {
		m.tooMany, m.highest = true, number

		return
	}

	if m.awaited == nil {
		m.awaited = make(map[int64]time.Time)
	}

	for missing := m.highest + 1; missing < number; missing++ {
		m.awaited[missing] = now
	}

	m.highest = number
}

// expire returns the number of events that have now been awaited for too long.
func (m *missingEvents) expire(now time.Time) int {
	expired := 0

	for number, since := range m.awaited {
		if now.Sub(since) > missingAfter {
			delete(m.awaited, number)

			expired++
		}
	}

	m.lost += expired

	return expired
}
