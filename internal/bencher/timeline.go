package bencher

import (
	"container/heap"
	"time"
)

// epoch is the virtual date of time zero, for policies that want a date.
var epoch = time.Date(2026, time.March, 12, 0, 0, 0, 0, time.UTC)

// timeline runs functions in the order of their virtual times; equal times run in the order of planning.
type timeline struct {
	// now is the virtual time since the start of the run; it never goes back.
	now    time.Duration
	order  uint64
	events eventHeap
}

// date returns the virtual time as a date.
func (t *timeline) date() time.Time {
	return epoch.Add(t.now)
}

// after plans run for delay from now; a negative delay counts as zero.
func (t *timeline) after(delay time.Duration, run func()) {
	t.order++
	heap.Push(&t.events, &event{at: t.now + max(delay, 0), order: t.order, run: run})
}

// every plans run for each period until the run returns false.
func (t *timeline) every(period time.Duration, run func() bool) {
	t.after(period, func() {
		if run() {
			t.every(period, run)
		}
	})
}

// run handles all events up to and including the end, or until done says so.
func (t *timeline) run(end time.Duration, done func() bool) {
	for len(t.events) > 0 && t.events[0].at <= end && !done() {
		next := heap.Pop(&t.events).(*event)
		t.now = next.at
		next.run()
	}
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventHeap implements heap.Interface.
type eventHeap []*event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}

	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]

	return item
}
