package relayer_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against a Retry-After that is shortened to the caller's time, or varied: the pool spreads the times at which refused
// requests come back, and an earlier one would be refused again.
func TestRefusalTellsThePoolsTimeToReturn(t *testing.T) {
	w := newFixture(t, 0)
	w.refusal = balancer.Choice{ReturnMS: 1234, ExpectedWaitMS: 400}

	response, _, err := w.send("/book/1", func(r *http.Request) { r.Header.Set(names.Deadline, "1000") })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "1.234")
}

// A pool must recognise a request that comes back, whatever ID its caller gives it, and no other one. The hint must reach it.
func TestPoolIsToldContentAndLengthHint(t *testing.T) {
	w := newFixture(t, 0)
	asked := func(id, parts, hint string) balancer.Request {
		_, _, err := w.send("/book/1", func(r *http.Request) {
			r.Header.Set(names.RequestID, id)
			r.Header.Set(names.PromptParts, parts)
			r.Header.Set(names.LengthHint, hint)
		})
		assert.NilError(t, err)

		return w.asked
	}

	first := asked("1", "a:10,b:20", "64")
	assert.Equal(t, first.LengthHint, 64)
	assert.Assert(t, first.Content != 0)
	assert.Equal(t, asked("2", "a:10,b:20", "-5").Content, first.Content)
	assert.Equal(t, w.asked.LengthHint, 0)
	assert.Assert(t, asked("3", "a:10,c:20", "many").Content != first.Content)
}
