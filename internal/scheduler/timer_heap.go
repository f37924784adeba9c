package scheduler

import "time"

// timerHeap orders waiters by their earliest due event.
type timerHeap struct {
	waiters []*waiter
}

// next returns the earliest due time, or zero when nothing is due.
func (h *timerHeap) next() time.Time {
	if len(h.waiters) == 0 {
		return time.Time{}
	}

	return h.waiters[0].wakeAt
}

// push adds a waiter, unless it has no due event.
func (h *timerHeap) push(w *waiter) {
	w.updateWakeAt()
	w.heapIndex = -1

	if w.wakeAt.IsZero() {
		return
	}

	w.heapIndex = len(h.waiters)
	h.waiters = append(h.waiters, w)
	h.up(w.heapIndex)
}

func (h *timerHeap) remove(w *waiter) {
	if w.heapIndex < 0 {
		return
	}

	place, last := w.heapIndex, len(h.waiters)-1
	h.swap(place, last)
	h.waiters[last] = nil
	h.waiters = h.waiters[:last]
	w.heapIndex = -1

	if place < last {
		h.up(place)
		h.down(place)
	}
}

func (h *timerHeap) less(i, j int) bool {
	a, b := h.waiters[i], h.waiters[j]
	if a.wakeAt.Equal(b.wakeAt) {
		return a.sequence < b.sequence
	}

	return a.wakeAt.Before(b.wakeAt)
}

func (h *timerHeap) swap(i, j int) {
	h.waiters[i], h.waiters[j] = h.waiters[j], h.waiters[i]
	h.waiters[i].heapIndex = i
	h.waiters[j].heapIndex = j
}

func (h *timerHeap) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *timerHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.waiters) {
			return
		}

		if child+1 < len(h.waiters) && h.less(child+1, child) {
			child++
		}

		if !h.less(child, i) {
			return
		}

		h.swap(i, child)
		i = child
	}
}
