package quarantiner

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// Refusal returns the error for a request that has not run and stays in quarantine for the given time.
func Refusal(left time.Duration) *classifier.Error {
	return classifier.New(classifier.RequestQuarantined, "upstreams crashed each time that they ran this request").After(left)
}
