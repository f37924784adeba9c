package balancer

import (
	"math"
	"time"
)

const (
	// grantHalfLife is the time constant of the measured grants.
	grantHalfLife = 2 * time.Second
	// residenceGain is the weight of one request in the mean time at an engine, leastResidence its least value in seconds.
	residenceGain       = 0.02
	minResidenceSeconds = 0.005
)

// demand is what the requests of a pool ask of its servers.
type demand struct {
	// running counts requests at servers.
	running int
	// granted counts requests that got an upstream, forgotten with grantTime, as of grantedAt.
	granted   float64
	grantedAt time.Time
	// residenceSeconds is the mean time in seconds that a request spends at a server; 0 before the first has ended.
	residenceSeconds float64
}

// recordResidence takes in the time that a request spent at a server.
func (d *demand) recordResidence(seconds float64) {
	if d.residenceSeconds == 0 {
		d.residenceSeconds = seconds

		return
	}

	d.residenceSeconds += residenceGain * (seconds - d.residenceSeconds)
}

func (d *demand) recordGrant(now time.Time) {
	d.granted = decayed(d.granted, now.Sub(d.grantedAt), grantHalfLife) + 1
	d.grantedAt = now
}

// grantRate is the number of requests that got a server in a second, as of late.
func (d *demand) grantRate(now time.Time) float64 {
	return decayed(d.granted, now.Sub(d.grantedAt), grantHalfLife) * math.Ln2 / grantHalfLife.Seconds()
}

// serviceRate is the number of requests that can get room in a second: what the pool grants, or what its running requests
// amount to if that is more, since little is granted while little is asked for. It isn't known before any has ended.
func (d *demand) serviceRate(now time.Time) (float64, bool) {
	return max(d.grantRate(now), float64(d.running)/max(d.residenceSeconds, minResidenceSeconds)), d.residenceSeconds > 0
}
