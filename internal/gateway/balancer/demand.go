package balancer

import (
	"math"
	"time"
)

const (
	// grantTime is the time constant of the measured grants.
	grantTime = 2 * time.Second
	// residenceGain is the weight of one request in the mean time at an engine, leastResidence its least value in seconds.
	residenceGain  = 0.02
	leastResidence = 0.005
)

// demand is what the requests of a pool ask of its servers.
type demand struct {
	// running counts requests at servers.
	running int
	// granted counts requests that got an upstream, forgotten with grantTime, as of grantedAt.
	granted   float64
	grantedAt time.Time
	// residence is the mean time in seconds that a request spends at a server; 0 before the first has ended.
	residence float64
}

// stayed takes in the time that a request spent at a server.
func (d *demand) stayed(seconds float64) {
	if d.residence == 0 {
		d.residence = seconds

		return
	}

	d.residence += residenceGain * (seconds - d.residence)
}

func (d *demand) grant(now time.Time) {
	d.granted = decayed(d.granted, now.Sub(d.grantedAt), grantTime) + 1
	d.grantedAt = now
}

// grantRate is the number of requests that got a server in a second, as of late.
func (d *demand) grantRate(now time.Time) float64 {
	return decayed(d.granted, now.Sub(d.grantedAt), grantTime) * math.Ln2 / grantTime.Seconds()
}

// serviceRate is the number of requests that can get room in a second: what the pool grants, or what its running requests
// amount to if that is more, since little is granted while little is asked for. It isn't known before any has ended.
func (d *demand) serviceRate(now time.Time) (float64, bool) {
	return max(d.grantRate(now), float64(d.running)/max(d.residence, leastResidence)), d.residence > 0
}
