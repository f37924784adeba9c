package supporter

import "time"

// history keeps the changes of the load that are younger than the lag, and the last one older than it.
type history struct {
	lag     time.Duration
	started time.Time
	changes []Load
}

func newHistory(lag time.Duration, size int) *history {
	now := time.Now()
	return &history{lag: lag, started: now, changes: []Load{{Slots: size, MeasuredAt: now}}}
}

func (h *history) add(now time.Time, running, waiting int) {
	h.prune(now)
	l := h.changes[len(h.changes)-1]
	l.Running, l.Waiting, l.MeasuredAt = running, waiting, now
	h.changes = append(h.changes, l)
}

func (h *history) prune(now time.Time) {
	limit := now.Add(-h.lag)
	n := 0
	for n+1 < len(h.changes) && !h.changes[n+1].MeasuredAt.After(limit) {
		n++
	}
	h.changes = h.changes[n:]
}

func (h *history) at(now time.Time) Load {
	h.prune(now)
	l := h.changes[0]
	l.MeasuredAt = now.Add(-h.lag)
	if l.MeasuredAt.Before(h.started) {
		l.MeasuredAt = h.started
	}
	return l
}
