package scheduler

import "time"

// wakeHeap orders waiters by the time at which something is due for them.
type wakeHeap struct {
	waiters []*waiter
}

// next is the earliest wake time, or zero when nothing is due ever.
func (h *wakeHeap) next() time.Time {
	if len(h.waiters) == 0 {
		return time.Time{}
	}

	return h.waiters[0].wake
}

// push adds a waiter; one that never wakes stays out.
func (h *wakeHeap) push(w *waiter) {
	w.updateWake()
	w.place = -1

	if w.wake.IsZero() {
		return
	}

	w.place = len(h.waiters)
	h.waiters = append(h.waiters, w)
	h.up(w.place)
}

func (h *wakeHeap) remove(w *waiter) {
	if w.place < 0 {
		return
	}

	place, last := w.place, len(h.waiters)-1
	h.swap(place, last)
	h.waiters[last] = nil
	h.waiters = h.waiters[:last]
	w.place = -1

	if place < last {
		h.up(place)
		h.down(place)
	}
}

func (h *wakeHeap) less(i, j int) bool {
	a, b := h.waiters[i], h.waiters[j]
	if a.wake.Equal(b.wake) {
		return a.order < b.order
	}

	return a.wake.Before(b.wake)
}

func (h *wakeHeap) swap(i, j int) {
	h.waiters[i], h.waiters[j] = h.waiters[j], h.waiters[i]
	h.waiters[i].place = i
	h.waiters[j].place = j
}

func (h *wakeHeap) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *wakeHeap) down(i int) {
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
