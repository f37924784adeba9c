package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/granter"
)

// Symptom: load reports alone were more than the bytes that a node may spend on
// control. Sequence: a holder reads each second what its upstreams report of their
// load. Cause: the rhythm of a policy that chooses by it, in one that doesn't.
func TestQueuesReadLoadsHalfAsOften(t *testing.T) {
	assert.Equal(t, (&Node{}).pollEvery(), time.Second)
	assert.Equal(t, (&Node{router: &granter.Router{}}).pollEvery(), 2*time.Second)
}
