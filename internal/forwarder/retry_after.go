package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRetryAfter bounds the delay that an upstream can request.
const maxRetryAfter = time.Hour

// ParseRetryAfter returns for how long an upstream that refused a request wants no further requests from this node,
// or false if it didn't say. It reads the Retry-After header of a response with status 429 or 503: seconds, which may
// have a fraction, or a date.
func ParseRetryAfter(response *http.Response, now time.Time) (time.Duration, bool) {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return 0, false
	}

	text := response.Header.Get("Retry-After")

	var delay time.Duration

	if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds > 0 {
		delay = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	} else if at, err := http.ParseTime(text); err == nil {
		delay = min(at.Sub(now), maxRetryAfter)
	}

	return delay, delay > 0
}

// retryAfterError is a refusal with the delay that the upstream requested.
type retryAfterError struct {
	error

	retryAfter time.Duration
}

// Unwrap returns the underlying error.
func (e *retryAfterError) Unwrap() error {
	return e.error
}

// RetryAfterOf returns the delay that the upstream requested with the refusal in err, or 0 if it requested none.
func RetryAfterOf(err error) time.Duration {
	var refusal *retryAfterError
	if errors.As(err, &refusal) {
		return refusal.retryAfter
	}

	return 0
}
