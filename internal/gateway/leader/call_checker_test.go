package leader_test

import (
	"fmt"
	"maps"
	"time"
)

// arrival is a call of a duty as the platform got it.
type arrival struct {
	at      time.Time
	machine string
	number  int64
	// excused says that its sender was just thawed or cut off, or the platform impaired.
	excused bool
}

// judge is the platform's side of the duties: it finds calls that show two holders at once.
type judge struct {
	// arrivals are the calls of each duty and subject in their order.
	arrivals map[string][]arrival
	usage    map[int64]map[string]int64
	faults   []string
}

func newJudge() *judge {
	return &judge{arrivals: make(map[string][]arrival), usage: make(map[int64]map[string]int64)}
}

func (j *judge) fault(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// call takes a call of a subject.
func (j *judge) call(subject string, next arrival) {
	for _, former := range j.arrivals[subject] {
		if former.number == next.number && former.machine != next.machine {
			j.fault("%s: %s and %s send number %d", subject, former.machine, next.machine, next.number)
		}

		if former.number > next.number && !next.excused {
			j.fault("%s: number %d of %s after %d of %s", subject, next.number, next.machine, former.number, former.machine)
		}
	}

	j.arrivals[subject] = append(j.arrivals[subject], next)
	j.checkTurns(subject, next)
}

// checkTurns looks for holders that act in the order A, B, A within a lease, the last call being next.
func (j *judge) checkTurns(subject string, next arrival) {
	if next.excused {
		return
	}

	other := false

	for i := len(j.arrivals[subject]) - 2; i >= 0; i-- {
		former := j.arrivals[subject][i]

		switch {
		case next.at.Sub(former.at) >= lease:
			return
		case former.excused:
		case former.machine != next.machine:
			other = true
		case other:
			j.fault("%s: %s acts before and after another within %s", subject, next.machine, next.at.Sub(former.at))

			return
		}
	}
}

// report takes a report of usage.
func (j *judge) report(window int64, counts map[string]int64) {
	former, known := j.usage[window]
	if known && !maps.Equal(former, counts) {
		j.fault("window %d is reported as %v and as %v", window, former, counts)
	}

	j.usage[window] = maps.Clone(counts)
}
