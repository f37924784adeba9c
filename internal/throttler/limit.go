// Package throttler keeps upstreams within the request rates that they name.
//
// An upstream in need names in its responses how many requests a second it accepts from all nodes together. A Table holds
// the limits that a node knows, whether from the upstream, from a peer or from the platform's store, so that a limit
// outlasts the node that heard of it. A Bucket admits requests to one upstream. Share says which part of a limit the nodes
// of one side of a cut may use.
//
// The package does no I/O.
package throttler

import (
	"cmp"
	"math"

	"github.com/cockroachdb/errors"
)

// minRate is the lowest rate that is kept, in requests a second. An upstream that got no request at all could never say
// that its limit has ended.
const minRate = 1.0 / 60

// maxVersion is more changes than any limit has.
const maxVersion = 1 << 53

// Limit is the request rate that an upstream named.
type Limit struct {
	// Upstream is the ID of the upstream.
	Upstream string `json:"upstream"`
	// Born is the start time of the upstream in Unix milliseconds; 0 if it is not known. A limit ends with the run of the
	// upstream that named it.
	Born int64 `json:"born,omitempty"`
	// PerSecond is the number of requests a second from all nodes together; 0 if the upstream no longer names a limit.
	PerSecond float64 `json:"per_second"`
	// Version increases with each change of the limit; at least 1.
	Version int64 `json:"version"`
}

// Active reports whether the limit is in force.
func (l *Limit) Active() bool {
	return l.PerSecond > 0
}

// Validate returns an error if no node can have written the limit: its rate is so low that its upstream never gets a request whose response
// ends the limit, or its version has none after it.
func (l *Limit) Validate() error {
	switch {
	case l.Upstream == "":
		return errors.New("upstream: empty")
	case l.Version < 1 || l.Version > maxVersion:
		return errors.Newf("version: %d is out of range", l.Version)
	// The comparisons are false for NaN.
	case l.PerSecond == 0 || l.PerSecond >= minRate:
		return nil
	default:
		return errors.Newf("rate: %g is neither 0 nor at least %g", l.PerSecond, minRate)
	}
}

// supersedes reports whether the limit replaces another one of the same upstream. Of two changes that nodes made at the
// same time the lower rate holds, since the next response decides between them.
func (l *Limit) supersedes(other *Limit) bool {
	if l.isOtherRun(other.Born) {
		return l.Born > other.Born
	}

	return cmp.Or(cmp.Compare(l.Version, other.Version), -cmp.Compare(l.rateOrInf(), other.rateOrInf())) > 0
}

// isOtherRun reports whether the start time is known to belong to another run of the upstream.
func (l *Limit) isOtherRun(born int64) bool {
	return l.Born != 0 && born != 0 && l.Born != born
}

func (l *Limit) rateOrInf() float64 {
	if !l.Active() {
		return math.Inf(1)
	}

	return l.PerSecond
}
