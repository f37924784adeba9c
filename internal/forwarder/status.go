package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused marks an upstream's answer that says the request was not run.
var ErrRefused = errors.New("the upstream refused the request")

// ErrRejected marks an upstream's answer that the request itself is wrong.
var ErrRejected = errors.New("the upstream rejected the request")

// maxErrorBytes is how much of an upstream's error answer is kept for the log and the caller.
const maxErrorBytes = 4 << 10

// CheckStatus returns nil for a 2xx answer. Status 429 and 503 wrap ErrRefused:
// upstreams answer these before they run anything. Other 4xx wrap ErrRejected.
func CheckStatus(response *http.Response) error {
	status := response.StatusCode
	if status >= 200 && status < 300 {
		return nil
	}

	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := errors.Newf("upstream answered %d: %s", status, text)

	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		if rest, ok := ParseRetryAfter(response, time.Now()); ok {
			err = &restError{error: err, rest: rest}
		}

		return errors.Mark(err, ErrRefused)
	case status >= 400 && status < 500:
		return errors.Mark(err, ErrRejected)
	default:
		return err
	}
}
