package acceptor

import "time"

// changeGrace is how long callers may go by a longer timeout that was in force before.
const changeGrace = 2 * time.Second

// limit is a timeout that can change while phases last that it limits. A shorter one is in force at once for phases that are
// within it, and after changeGrace for the others: their callers may have sent a request by the longer one.
type limit struct {
	timeout time.Duration
	// earlier is the longest timeout that callers may go by until the time graceEnd.
	earlier  time.Duration
	graceEnd time.Time
}

// set changes the timeout.
func (l *limit) set(timeout time.Duration, now time.Time) {
	if timeout < l.timeout {
		if now.After(l.graceEnd) {
			l.earlier = 0
		}

		l.earlier = max(l.earlier, l.timeout)
		l.graceEnd = now.Add(changeGrace)
	}

	l.timeout = timeout
}

// endOf returns when a phase that began at the given time has exceeded the limit. A phase that began later ends no earlier.
func (l *limit) endOf(began time.Time) time.Time {
	end := began.Add(l.timeout)
	if l.earlier <= l.timeout {
		return end
	}

	if end.Before(l.graceEnd) {
		end = l.graceEnd
	}

	if longest := began.Add(l.earlier); longest.Before(end) {
		end = longest
	}

	return end
}
