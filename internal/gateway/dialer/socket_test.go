package dialer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: more than one connection in two requests is made anew, though upstreams keep idle ones for ten seconds.
// Sequence: a node of a large fleet has a request for the same upstream every eight seconds.
// Cause: idle connections were given up after four seconds, whatever the upstream had told.
func TestIdleConnectionsAreKeptAsLongAsTheUpstreamTells(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                      idleTime,
		"timeout=2":             1400 * time.Millisecond,
		"timeout=10, max=100":   7 * time.Second,
		"max=5, Timeout= 10":    7 * time.Second,
		"timeout=3600":          mostIdleTime,
		"timeout=soon":          idleTime,
		"max=100":               idleTime,
		"timeout=0":             0,
		"timeout = 10 , max= 1": 7 * time.Second,
	} {
		assert.Equal(t, keepTime(header), want, "%q", header)
	}
}
