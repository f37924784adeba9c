package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// mostRest bounds the rest that an upstream can ask for.
const mostRest = time.Hour

// ParseRetryAfter returns for how long an upstream that turned a request away wants no other from this node; false if it doesn't
// say so. It is the Retry-After of a 429 or 503, in seconds, fractions allowed, or as a date.
func ParseRetryAfter(response *http.Response, now time.Time) (time.Duration, bool) {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return 0, false
	}

	text := response.Header.Get("Retry-After")

	var rest time.Duration

	if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds > 0 {
		rest = time.Duration(min(seconds, mostRest.Seconds()) * float64(time.Second))
	} else if at, err := http.ParseTime(text); err == nil {
		rest = min(at.Sub(now), mostRest)
	}

	return rest, rest > 0
}

// restError is a refusal with the rest that the upstream asked for.
type restError struct {
	error

	rest time.Duration
}

// Unwrap returns the refusal.
func (e *restError) Unwrap() error {
	return e.error
}

// RetryAfterOf returns the rest that the refusal in err asked for; 0 if it asked for none.
func RetryAfterOf(err error) time.Duration {
	var refusal *restError
	if errors.As(err, &refusal) {
		return refusal.rest
	}

	return 0
}
