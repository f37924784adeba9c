package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// sendOnly sends a request of a node to server a, as all others are excluded.
func sendOnly(p *balancer.Pool, now time.Time, node, id string) bool {
	work := call(id)
	work.Excluded = []string{"b", "c", "d", "e", "f"}
	_, decision := p.Acquire(now, node, work)

	return decision == balancer.Granted
}

// silentServer returns a pool in which the given number of nodes gave up requests at server a, the last one at the given time, after
// it had been silent from 0 on.
func silentServer(t *testing.T, nodes int, last time.Duration) *balancer.Pool {
	t.Helper()

	p := newPool(6, 60, balancer.Engine{})

	for i := range nodes {
		for j := range 6 {
			assert.Assert(t, sendOnly(p, at(0), fmt.Sprint("node", i), fmt.Sprint(i, ".", j)))
		}
	}

	for i := range nodes {
		for j := range 6 {
			now := at(last - time.Duration((nodes-i)*6-j)*time.Millisecond)

			ejection, _ := p.RecordEnd(now, fmt.Sprint(i, ".", j), balancer.Silent)
			assert.Check(t, !ejection.ForAll || now.Sub(at(0)) >= 2*time.Second, "node%d: %+v", i, ejection)
		}
	}

	return p
}

// Guards against a sound server that gets no requests of any node because it was silent for a second or so.
func TestSilenceOfASecondEjectsNothingForAll(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		p := silentServer(t, 4, silence)

		assert.Check(t, !sendOnly(p, at(silence), "node0", "again"), "%s: a node sends to a server that was silent for it", silence)
		assert.Check(t, sendOnly(p, at(silence), "other", "other"), "%s: other nodes don't use it", silence)
	}
}

// Guards against a server that is used late again by those for which it was silent, though it has gone on to answer.
func TestServerThatAnswersAfterASilenceIsUsedAtOnce(t *testing.T) {
	p := silentServer(t, 4, 1200*time.Millisecond)

	assert.Assert(t, sendOnly(p, at(1250*time.Millisecond), "other", "other"))
	p.RecordFirstEvent(at(1300*time.Millisecond), "other", nil)

	for i := range 4 {
		assert.Check(t, sendOnly(p, at(1310*time.Millisecond), fmt.Sprint("node", i), fmt.Sprint("again", i)), "node%d", i)
	}
}

// Guards against many nodes that each keep trying a server that hangs.
func TestServerThatHangsIsEjectedForAll(t *testing.T) {
	p := silentServer(t, 4, 2500*time.Millisecond)

	assert.Assert(t, !sendOnly(p, at(2500*time.Millisecond), "other", "other"))
}
