package dispatcher

import (
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/pkg/classifier"
)

// Quarantine prevents requests that crash upstreams from running.
type Quarantine interface {
	// Check returns the verdict on a request that is in quarantine, and false if the request may run.
	Check(request Request) (quarantiner.Verdict, bool)
	// Ended reports the outcome of an attempt that was sent and not superseded.
	Ended(request Request, attempt Attempt, outcome Outcome)
}

// SetQuarantine makes the dispatcher refuse requests that are in quarantine. Call it before the first request.
func (d *Dispatcher) SetQuarantine(quarantine Quarantine) {
	d.quarantine = quarantine
}

// inQuarantine returns the verdict on a request that is in quarantine, and false if the request may run.
func (d *Dispatcher) inQuarantine(request Request) (quarantiner.Verdict, bool) {
	if d.quarantine == nil {
		return quarantiner.Verdict{}, false
	}

	return d.quarantine.Check(request)
}

// quarantineError returns the error of a request that must not run, or must not run again.
func (d *Dispatcher) quarantineError(request Request, history History) *classifier.Error {
	verdict, held := d.inQuarantine(request)
	if !held {
		return nil
	}

	if ran := history.RanState(); ran != classifier.RanNo {
		failure := classifier.New(classifier.UpstreamFailed, "upstreams crashed while they ran the request")
		failure.Ran = ran

		return failure.After(verdict.Remaining)
	}

	return quarantiner.Refusal(verdict)
}

// reportEnd reports the outcome of an attempt to the quarantine.
func (d *Dispatcher) reportEnd(request Request, attempt Attempt, outcome Outcome) {
	if d.quarantine != nil && outcome.Result != ResultSuperseded {
		d.quarantine.Ended(request, attempt, outcome)
	}
}
