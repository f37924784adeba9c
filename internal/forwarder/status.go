package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused marks a response which says that the upstream did not run the request.
var ErrRefused = errors.New("upstream refused the request")

// ErrRejected marks a response which says that the request itself is invalid.
var ErrRejected = errors.New("upstream rejected the request as invalid")

// maxErrorBytes bounds how much of the body of an error response is kept for the log and the caller.
const maxErrorBytes = 4 << 10

// CheckStatus returns nil for a response with a 2xx status. Errors for 429 and 503 are marked with ErrRefused:
// upstreams return these before they run anything. Errors for other 4xx are marked with ErrRejected.
func CheckStatus(response *http.Response) error {
	status := response.StatusCode
	if status >= 200 && status < 300 {
		return nil
	}

	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := errors.Newf("upstream returned status %d: %s", status, text)

	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		if retryAfter, ok := ParseRetryAfter(response, time.Now()); ok {
			err = &retryAfterError{error: err, retryAfter: retryAfter}
		}

		return errors.Mark(err, ErrRefused)
	case status >= 400 && status < 500:
		return errors.Mark(err, ErrRejected)
	default:
		return err
	}
}
