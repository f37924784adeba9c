package leader_test

import (
	"fmt"
	"maps"
	"time"
)

// receivedCall is a call as the platform received it.
type receivedCall struct {
	at      time.Time
	machine string
	number  int64
	// excused is true if the sender was just resumed or its connection just restored, or the platform just became available.
	excused bool
}

// callChecker checks the calls that the platform receives for signs of two simultaneous holders.
type callChecker struct {
	// calls holds the calls by subject, in the order of their arrival.
	calls      map[string][]receivedCall
	usage      map[int64]map[string]int64
	violations []string
}

func newCallChecker() *callChecker {
	return &callChecker{calls: make(map[string][]receivedCall), usage: make(map[int64]map[string]int64)}
}

func (c *callChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addCall adds a call for a subject and checks it against the earlier ones.
func (c *callChecker) addCall(subject string, next receivedCall) {
	for _, earlier := range c.calls[subject] {
		if earlier.number == next.number && earlier.machine != next.machine {
			c.addViolation("%s: %s and %s send number %d", subject, earlier.machine, next.machine, next.number)
		}

		if earlier.number > next.number && !next.excused {
			c.addViolation("%s: number %d of %s after %d of %s", subject, next.number, next.machine, earlier.number, earlier.machine)
		}
	}

	c.calls[subject] = append(c.calls[subject], next)
	c.checkAlternation(subject, next)
}

// checkAlternation looks for calls from holders A, B and A again within one lease, the last of which is next.
func (c *callChecker) checkAlternation(subject string, next receivedCall) {
	if next.excused {
		return
	}

	other := false

	for i := len(c.calls[subject]) - 2; i >= 0; i-- {
		earlier := c.calls[subject][i]

		switch {
		case next.at.Sub(earlier.at) >= lease:
			return
		case earlier.excused:
		case earlier.machine != next.machine:
			other = true
		case other:
			c.addViolation("%s: %s acts before and after another within %s", subject, next.machine, next.at.Sub(earlier.at))

			return
		}
	}
}

// addReport adds a usage report and checks that an earlier one of the same window is equal.
func (c *callChecker) addReport(window int64, counts map[string]int64) {
	earlier, known := c.usage[window]
	if known && !maps.Equal(earlier, counts) {
		c.addViolation("window %d is reported as %v and as %v", window, earlier, counts)
	}

	c.usage[window] = maps.Clone(counts)
}
