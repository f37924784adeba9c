// Package timekeeper reads clocks that the standard library doesn't offer.
package timekeeper

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since boot. The clock can't be set and also advances while the VM is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without the clock the age of data is unknown; a time in the far future makes all data count as stale.
		return math.MaxInt64 / 2
	}

	return time.Duration(now.Nano())
}
