package dispatcher

import (
	"time"

	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/pkg/classifier"
)

// Quarantine prevents requests that crash upstreams from running.
type Quarantine interface {
	// Check returns the remaining time of the quarantine of a request, and false if the request may run.
	Check(request Request) (time.Duration, bool)
	// Ended reports the outcome of an attempt that was sent and not superseded.
	Ended(request Request, attempt Attempt, outcome Outcome)
}

// SetQuarantine makes the dispatcher refuse requests that are in quarantine. Call it before the first request.
func (d *Dispatcher) SetQuarantine(quarantine Quarantine) {
	d.quarantine = quarantine
}

// inQuarantine returns the remaining time of the quarantine of a request, and false if the request may run.
func (d *Dispatcher) inQuarantine(request Request) (time.Duration, bool) {
	if d.quarantine == nil {
		return 0, false
	}

	return d.quarantine.Check(request)
}

// quarantineError returns the error of a request that must not run, or must not run again.
func (d *Dispatcher) quarantineError(request Request, history History) *classifier.Error {
	remaining, held := d.inQuarantine(request)
	if !held {
		return nil
	}

	if ran := history.RanState(); ran != classifier.RanNo {
		failure := classifier.New(classifier.UpstreamFailed, "upstreams crashed while they ran the request")
		failure.Ran = ran

		return failure.After(remaining)
	}

	return quarantiner.Refusal(remaining)
}

// reportEnd reports the outcome of an attempt to the quarantine.
func (d *Dispatcher) reportEnd(request Request, attempt Attempt, outcome Outcome) {
	if d.quarantine != nil && outcome.Result != ResultSuperseded {
		d.quarantine.Ended(request, attempt, outcome)
	}
}
