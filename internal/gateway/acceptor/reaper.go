package acceptor

import (
	"container/list"
	"time"
)

const (
	// judgeInterval is the time between two looks at a connection that exceeded a timeout.
	judgeInterval = 10 * time.Millisecond
	// maxBusyLooks is the number of looks at which the server doesn't read from the connection, 5 s in which the process runs. A caller
	// that doesn't take a refusal keeps the server from reading.
	maxBusyLooks = 500
	// reapBatch is the number of connections that are chosen before they are closed, so that a caller's request seldom arrives between.
	reapBatch = 16
	// maxRoomChecks is the number of idle connections that are looked at to make room for a new one.
	maxRoomChecks = 64
)

// enqueue adds a connection to the queue of its phase, which is ordered by the time at which the phase began; a.mu must be held.
func (a *Acceptor) enqueue(c *connection, queue *list.List) {
	after := queue.Back()
	for after != nil && mustConnection(after).enteredAt.After(c.enteredAt) {
		after = after.Prev()
	}

	if after == nil {
		c.element = queue.PushFront(c)
	} else {
		c.element = queue.InsertAfter(c, after)
	}

	c.queue = queue
	a.wakeReaper(a.dueAt(c))
}

// dequeue removes a connection from its queue, if any; a.mu must be held.
func (a *Acceptor) dequeue(c *connection) {
	if c.queue != nil {
		c.queue.Remove(c.element)
		c.queue, c.element = nil, nil
	}
}

func mustConnection(element *list.Element) *connection {
	c, _ := element.Value.(*connection)

	return c
}

// Refresh puts changed timeouts in force, also for connections that are idle or have sent a part of a header.
func (a *Acceptor) Refresh() {
	a.reap()
}

// wakeReaper makes the reaper run at the given time, if it wouldn't run earlier; a.mu must be held.
func (a *Acceptor) wakeReaper(at time.Time) {
	if !a.reapAt.IsZero() && !at.Before(a.reapAt) {
		return
	}

	a.reapAt = at

	if a.reaper == nil {
		a.reaper = time.AfterFunc(time.Until(at), a.reap)
	} else {
		a.reaper.Reset(time.Until(at))
	}
}

// reap closes the connections whose callers have exceeded a timeout.
func (a *Acceptor) reap() {
	for {
		expired := a.takeExpired()
		for _, c := range expired {
			_ = c.Close()
		}

		if len(expired) < reapBatch {
			return
		}
	}
}

// takeExpired retires connections that exceeded a timeout, reapBatch of them at most, and returns them for the caller to close. If there are
// fewer, it has made the reaper run again when the next one may be due.
func (a *Acceptor) takeExpired() []*connection {
	a.mu.Lock()
	defer a.mu.Unlock()

	now := time.Now()
	a.reapAt = time.Time{}
	a.updateLimits(now)

	var expired []*connection

	for _, queue := range []*list.List{a.overdue, a.idle, a.headers} {
		for queue.Len() > 0 && len(expired) < reapBatch {
			c := mustConnection(queue.Front())

			if due := a.dueAt(c); due.After(now) {
				a.wakeReaper(due)

				break
			}

			late := a.isCallerLate(c)
			// At the first look, the server may have taken bytes that it hasn't recorded yet.
			isFirstLook := c.queue != a.overdue

			if isFirstLook || !late && c.busyLooks < maxBusyLooks {
				a.postpone(c, now, late)

				continue
			}

			a.countExpired(c)
			a.retire(c)
			expired = append(expired, c)
		}
	}

	return expired
}

// updateLimits reads the timeouts; a.mu must be held.
func (a *Acceptor) updateLimits(now time.Time) {
	timeouts := a.timeouts()
	a.idleLimit.set(timeouts.Idle, now)
	a.headerLimit.set(timeouts.Header, now)
}

// dueAt returns when a queued connection is judged; a.mu must be held. The first connection of each queue is due first.
func (a *Acceptor) dueAt(c *connection) time.Time {
	switch {
	case c.queue == a.overdue:
		return c.judgeAt
	case c.phase == readingHeader:
		return a.headerLimit.endOf(c.enteredAt)
	case a.isStopping:
		return c.enteredAt
	default:
		return a.idleLimit.endOf(c.enteredAt)
	}
}

// isCallerLate reports whether a connection exceeded its timeout by its caller's delay; a.mu must be held. A process that stood still, or is
// busy, finds timeouts due before it has read what came in time.
func (a *Acceptor) isCallerLate(c *connection) bool {
	// The server has bytes that it hasn't looked at.
	if !c.isReading.Load() {
		return false
	}

	// Bytes that come from now on are late. Those that lie unread now may be in the hands of a read at the next look.
	if c.headBytesInTime == 0 {
		c.headBytesInTime = c.headBytes + c.unread()
	}

	return c.headBytes >= c.headBytesInTime
}

// postpone lets the server read what the caller of an overdue connection has sent, if anything; a.mu must be held.
func (a *Acceptor) postpone(c *connection, now time.Time, late bool) {
	if !late && c.queue != a.overdue {
		a.counters.Postponed++
	}

	if !c.isReading.Load() {
		c.busyLooks++
	}

	a.dequeue(c)
	c.judgeAt = now.Add(judgeInterval)
	c.queue, c.element = a.overdue, a.overdue.PushBack(c)
	a.wakeReaper(c.judgeAt)
}

// countExpired counts a connection that is about to be closed for its timeout; a.mu must be held.
func (a *Acceptor) countExpired(c *connection) {
	if c.phase == readingHeader {
		a.counters.ClosedHeader++
	} else {
		a.counters.ClosedIdle++
	}

	if c.unread() > 0 {
		a.counters.ClosedUnread++
	}
}

// evictIdle retires the longest idle connection without unread bytes if the maximum is reached, and returns it for the caller to close;
// a.mu must be held.
func (a *Acceptor) evictIdle() *connection {
	if len(a.connections) < a.maxConnections {
		return nil
	}

	element := a.idle.Front()
	for range maxRoomChecks {
		if element == nil {
			return nil
		}

		if c := mustConnection(element); a.isCallerLate(c) {
			a.retire(c)
			a.counters.Evicted++

			return c
		}

		element = element.Next()
	}

	return nil
}
