package dialer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against closing idle connections after a fixed four seconds, although the upstream keeps them for ten. In a
// large fleet, where a node sends an upstream one request every eight seconds, more than half of the requests then
// needed a new connection.
func TestIdleTimeoutFollowsTheKeepAliveHeader(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                      defaultIdleTimeout,
		"timeout=2":             1400 * time.Millisecond,
		"timeout=10, max=100":   7 * time.Second,
		"max=5, Timeout= 10":    7 * time.Second,
		"timeout=3600":          maxIdleTimeout,
		"timeout=soon":          defaultIdleTimeout,
		"max=100":               defaultIdleTimeout,
		"timeout=0":             0,
		"timeout = 10 , max= 1": 7 * time.Second,
	} {
		assert.Equal(t, idleTimeout(header), want, "%q", header)
	}
}
