package dispatcher

import (
	"time"

	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/pkg/classifier"
)

// Quarantine keeps requests that crash upstreams from running.
type Quarantine interface {
	// Check returns how much longer a request must not run; false if it may.
	Check(request Request) (time.Duration, bool)
	// Ended tells how an attempt ended that was sent and not superseded.
	Ended(request Request, attempt Attempt, outcome Outcome)
}

// SetQuarantine keeps requests from running that crash upstreams. Call it before the first request.
func (d *Dispatcher) SetQuarantine(quarantine Quarantine) {
	d.quarantine = quarantine
}

// held returns how much longer a request must not run; false if it may.
func (d *Dispatcher) held(request Request) (time.Duration, bool) {
	if d.quarantine == nil {
		return 0, false
	}

	return d.quarantine.Check(request)
}

// quarantined returns the final result of a request that must not run, or not once more.
func (d *Dispatcher) quarantined(request Request, history History) *classifier.Error {
	left, held := d.held(request)
	if !held {
		return nil
	}

	if ran := history.RanState(); ran != classifier.RanNo {
		failure := classifier.New(classifier.UpstreamFailed, "upstreams crashed while they ran the request")
		failure.Ran = ran

		return failure.After(left)
	}

	return quarantiner.Refusal(left)
}

// tellEnd tells the quarantine how an attempt ended.
func (d *Dispatcher) tellEnd(request Request, attempt Attempt, outcome Outcome) {
	if d.quarantine != nil && outcome.Result != ResultSuperseded {
		d.quarantine.Ended(request, attempt, outcome)
	}
}
