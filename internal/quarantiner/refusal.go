package quarantiner

import (
	"quincepath.example/quincepath/pkg/classifier"
)

// Refusal returns the error for a request that has not run and stays in quarantine for the given time.
func Refusal(verdict Verdict) *classifier.Error {
	if verdict.Part != "" {
		return classifier.New(classifier.RequestQuarantined, "upstreams crashed each time that they ran a request with the prompt part %q", verdict.Part).
			After(verdict.Remaining)
	}

	return classifier.New(classifier.RequestQuarantined, "upstreams crashed each time that they ran this request").After(verdict.Remaining)
}
