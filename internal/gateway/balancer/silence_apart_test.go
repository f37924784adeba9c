package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against a sound server that gets no requests of any node, because two nodes found it silent for a second each, long apart: the
// requests were given up, so none was answered between.
func TestSilencesThatAreLongApartEjectNothingForAll(t *testing.T) {
	p := newPool(6, 60, balancer.Engine{})

	for i, began := range []time.Duration{0, time.Minute} {
		for j := range 6 {
			assert.Assert(t, sendOnly(p, at(began), fmt.Sprint("node", i), fmt.Sprint(i, ".", j)))
		}

		for j := range 6 {
			ejection, _ := p.RecordEnd(at(began+time.Second), fmt.Sprint(i, ".", j), balancer.Silent)
			assert.Check(t, !ejection.ForAll, "node%d: %+v", i, ejection)
		}
	}

	assert.Check(t, sendOnly(p, at(time.Minute+time.Second), "other", "other"))
}
