package dialer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// maxReopenings is how often the opening of a connection is tried again because the process stood still meanwhile.
const maxReopenings = 2

// pauseMark tells whether the process stood still since it was made.
type pauseMark struct {
	dialer *Dialer
	at     time.Time
	paused time.Duration
}

func (d *Dialer) markPause() pauseMark {
	return pauseMark{dialer: d, at: time.Now(), paused: d.paused()}
}

func (d *Dialer) paused() time.Duration {
	if d.Paused == nil {
		return 0
	}

	return d.Paused()
}

// stoodStill reports whether the process stood still for at least half of the time since the mark was made. While it runs, an answer is
// noticed soon, so a node with little processor time still finds what is gone.
func (m pauseMark) stoodStill() bool {
	paused := m.dialer.paused() - m.paused

	return paused > 0 && 2*paused >= time.Since(m.at)
}

// isInconclusive reports whether an error says nothing about a path or an upstream: time ran out while the process stood still,
// and a connection that was made in time is found after its deadline.
func (m pauseMark) isInconclusive(err error) bool {
	return isTimeout(err) && m.stoodStill()
}

// isTimeout reports whether an error means that nothing answered in time.
func isTimeout(err error) bool {
	var timeout net.Error

	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errNoConnectInTime) || errors.As(err, &timeout) && timeout.Timeout()
}
