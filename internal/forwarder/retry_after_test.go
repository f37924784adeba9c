package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/forwarder"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

	for text, want := range map[string]time.Duration{
		"":                              0,
		"0":                             0,
		"-3":                            0,
		"soon":                          0,
		"NaN":                           0,
		"3":                             3 * time.Second,
		"0.25":                          250 * time.Millisecond,
		"1e300":                         time.Hour,
		"Fri, 02 Jan 2026 03:04:09 GMT": 4 * time.Second,
		"Fri, 02 Jan 2026 03:04:01 GMT": 0,
	} {
		response := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {text}}}

		delay, ok := forwarder.ParseRetryAfter(response, now)
		assert.Equal(t, ok, want > 0, text)
		assert.Assert(t, !ok || delay == want, "%s: %v", text, delay)

		response.StatusCode = http.StatusInternalServerError
		_, ok = forwarder.ParseRetryAfter(response, now)
		assert.Assert(t, !ok)
	}
}

func TestRetryAfterOf(t *testing.T) {
	response := func(status int) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {"2"}}, Body: io.NopCloser(strings.NewReader("full"))}
	}

	err := forwarder.CheckStatus(response(http.StatusServiceUnavailable))
	assert.Assert(t, errors.Is(err, forwarder.ErrRefused))
	assert.ErrorContains(t, err, "full")
	assert.Equal(t, forwarder.RetryAfterOf(err), 2*time.Second)
	assert.Equal(t, forwarder.RetryAfterOf(forwarder.CheckStatus(response(http.StatusInternalServerError))), time.Duration(0))
}
