package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// Guards against losing over 2 % of all tokens, those of the drafts, when a third of the engines
// fails. Long answers that are not repeatable run on one engine; short ones end on another one that is
// equally full by then. Choosing servers by free slots alone ignores what their failure would lose.
func TestNotRepeatableIsSpreadByTimeInFlight(t *testing.T) {
	for _, c := range []struct {
		class      string
		repeatable bool
		once       bool
		want       string
	}{
		{"chat", true, true, "e02"},
		{"chat", false, false, "e02"},
		{"chat", true, false, "e01"},
		{"counter", true, true, "e01"},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			service := withClass(testService(2, 4), c.class, func(class *configurer.Class) { class.Repeatable = c.repeatable })
			p := New(service, Options{Headroom: -1, FixedSlots: true})
			p.Reconcile(epoch, "n1", []InFlight{
				{GrantID: "old", Upstream: "e01", Class: "chat", NotRepeatable: true, StartedAt: epoch.Add(-time.Minute)},
				{GrantID: "new", Upstream: "e02", Class: "chat", NotRepeatable: true, StartedAt: epoch},
			})

			request := ask("r", c.class)
			request.NotRepeatable = c.once
			assert.Equal(t, p.Submit(epoch.Add(time.Second), request)[0].Upstream, c.want)
		})
	}
}

// Guards against a server that is avoided or preferred because of answers that ended long ago. Answers
// are granted or adopted, their class becomes repeatable, and they end; the end must subtract from the
// exposure exactly what the grant added.
func TestExposureEndsWithItsAnswers(t *testing.T) {
	service := withClass(testService(1, 8), "chat", func(c *configurer.Class) { c.Repeatable = false })
	p := New(service, Options{Headroom: -1, FixedSlots: true})
	held := fill(p, epoch, "chat", 3)
	p.Reconcile(epoch, "n1", []InFlight{{GrantID: "x", Upstream: "e01", Class: "chat", StartedAt: epoch.Add(time.Second)}})

	now := epoch.Add(2 * time.Second)
	assert.Equal(t, p.servers[0].exposure.total(now), 7*time.Second)
	p.Update(withClass(service, "chat", func(c *configurer.Class) { c.Repeatable = true }))

	for _, id := range append(held, "x") {
		now = now.Add(time.Second)
		p.Finish(now, id, done(time.Second))
	}

	assert.Equal(t, p.servers[0].exposure.total(now.Add(time.Hour)), time.Duration(0))
}
