package quarantiner

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// Refusal is the final result of a request that is in quarantine for so much longer and has not run.
func Refusal(left time.Duration) *classifier.Error {
	return classifier.New(classifier.RequestQuarantined, "upstreams crashed each time that they ran this request").After(left)
}
