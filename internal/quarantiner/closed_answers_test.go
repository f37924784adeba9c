package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against unbounded memory use while nothing tells whether upstreams live. The oldest answers are dropped, and old ones
// say nothing any more.
func TestClosedAnswersAreBounded(t *testing.T) {
	c, now := newClosedAnswers(), time.Now()

	for i := range maxClosedAnswers + 5 {
		c.add(now.Add(time.Duration(i)), Run{Upstream: fmt.Sprint("u", i%10), Address: fmt.Sprint(i)})
	}

	assert.Equal(t, c.count.Load(), int64(maxClosedAnswers))
	assert.Equal(t, c.take("u0", now.Add(time.Hour))[0].Address, "10")

	c.add(now.Add(2*confirmWindow), Run{Upstream: "u1"})
	assert.Equal(t, c.count.Load(), int64(1))
}
