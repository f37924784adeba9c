package balancer

import (
	"math"
	"time"
)

const (
	// grantHalfLife is the half-life of the count of grants.
	grantHalfLife = 2 * time.Second
	// residenceGain is the weight of one request in the mean residence time, minResidenceSeconds the lower bound of that mean.
	residenceGain       = 0.02
	minResidenceSeconds = 0.005
)

// demand measures the requests of a pool.
type demand struct {
	// running counts requests at servers.
	running int
	// granted is a count of requests that got an upstream, decayed with grantHalfLife, as of grantedAt.
	granted   float64
	grantedAt time.Time
	// work measures the requests by their work; it stays zero unless Options.WorkAdmission is set.
	work workDemand
	// residenceSeconds is the mean time that a request spends at a server; 0 before the first has ended.
	residenceSeconds float64
}

// recordResidence takes the time that a request spent at a server.
func (d *demand) recordResidence(seconds float64) {
	if d.residenceSeconds == 0 {
		d.residenceSeconds = seconds

		return
	}

	d.residenceSeconds += residenceGain * (seconds - d.residenceSeconds)
}

// removeRunning removes a request that is no longer at a server.
func (d *demand) removeRunning(r *runningRequest) {
	d.running--
	d.work.running = max(d.work.running-r.work, 0)

	if d.running == 0 {
		d.work.running = 0
	}
}

func (d *demand) recordGrant(now time.Time) {
	d.granted = decayed(d.granted, now.Sub(d.grantedAt), grantHalfLife) + 1
	d.grantedAt = now
}

// grantRate returns the recent number of grants a second.
func (d *demand) grantRate(now time.Time) float64 {
	return decayed(d.granted, now.Sub(d.grantedAt), grantHalfLife) * math.Ln2 / grantHalfLife.Seconds()
}

// serviceRate returns the number of requests a second that can get a server. It is the grant rate, or, if that
// is higher, the rate that the running requests imply, as few requests are granted when few arrive. It is
// unknown before any request has ended.
func (d *demand) serviceRate(now time.Time) (float64, bool) {
	return max(d.grantRate(now), float64(d.running)/max(d.residenceSeconds, minResidenceSeconds)), d.residenceSeconds > 0
}
