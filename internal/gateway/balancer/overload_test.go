package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// overload sends ten times the long prompts that the engines can read, with a chat every 50 ms, for
// five seconds, and returns how many long prompts were read, and how many of them beside chats.
func overload(p *balancer.Pool, engines int) (long, beside int) {
	type running struct {
		id   string
		end  time.Time
		chat bool
	}

	var active []running

	chats := map[string]int{}
	where := map[string]string{}
	step := 10 * time.Millisecond

	place := func(now time.Time, id, upstream string, chat bool) {
		where[id] = upstream
		length := 900 * time.Millisecond

		if chat {
			chats[upstream]++
			length = 2 * time.Second
		} else if now.Sub(start) > time.Second {
			long++

			if chats[upstream] > 0 {
				beside++
			}
		}

		p.First(now.Add(80*time.Millisecond), id, nil)
		active = append(active, running{id: id, end: now.Add(length), chat: chat})
	}

	for i := range 500 {
		now := at(time.Duration(i) * step)
		left := active[:0]

		for _, r := range active {
			if now.Before(r.end) {
				left = append(left, r)

				continue
			}

			if r.chat {
				chats[where[r.id]]--
			}

			p.End(now, r.id, balancer.Served)
		}

		active = left

		for _, g := range p.Next(now) {
			place(now, g.ID, g.Choice.Upstream, g.ID[0] == 'c')
		}

		for j := range engines / 2 {
			work := notes(fmt.Sprintf("n%d.%d", i, j), fmt.Sprint("s", (i*7+j)%200))
			if choice, decision := p.Ask(now, "node", work); decision == balancer.Granted {
				place(now, work.ID, choice.Upstream, false)
			}
		}

		if i%5 == 0 {
			work := chat(fmt.Sprint("c", i))
			choice, decision := p.Ask(now, "node", work)

			if decision == balancer.Granted {
				place(now, work.ID, choice.Upstream, true)
			}
		}
	}

	return long, beside
}

// Load: long prompts at several times what the engines can read, beside chats.
// Grounds: on an engine that always reads a chat begins after 400 ms and stalls for 125 ms between events;
// on one that is kept for short targets it begins after 50 ms.
func TestChatsHaveEnginesOfTheirOwnUnderOverload(t *testing.T) {
	p := engines(10, 12)
	long, beside := overload(p, 10)

	assert.Assert(t, long > 200, "%d long prompts in all", long)
	assert.Assert(t, beside < long/4, "%d of %d long prompts were read beside chats", beside, long)
}

// Load: a queue of requests of many sessions at engines that are full.
// Grounds: room comes at one engine at a time; read there anew, a session costs 57 ms more.
func TestRoomGoesToARequestWhoseSessionIsKnownThere(t *testing.T) {
	p := engines(1, 2)
	granted(t, p, at(0), notes("r0", "known"))
	granted(t, p, at(0), chat("r1"))

	for i := range 5 {
		_, _ = p.Ask(at(time.Duration(i)*time.Millisecond), "node", notes(fmt.Sprint("other", i), fmt.Sprint("s", i)))
	}

	_, _ = p.Ask(at(10*time.Millisecond), "node", notes("same", "known"))
	p.First(at(100*time.Millisecond), "r0", nil)
	p.End(at(200*time.Millisecond), "r0", balancer.Served)

	grants := p.Next(at(200 * time.Millisecond))
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].ID, "same")
}

// Symptom: a request whose session no engine knows waits forever.
// Sequence: requests of a known session keep coming and go first each time.
// Cause: only what must be read decided; a request may be passed by those that came a second later at most.
func TestMatchingPassesNobodyForLong(t *testing.T) {
	p := engines(1, 1)
	granted(t, p, at(0), notes("r", "known"))
	p.First(at(50*time.Millisecond), "r", nil)
	_, _ = p.Ask(at(0), "node", notes("unknown", "s"))
	_, _ = p.Ask(at(1500*time.Millisecond), "node", notes("late", "known"))
	p.End(at(1600*time.Millisecond), "r", balancer.Served)

	grants := p.Next(at(1600 * time.Millisecond))
	assert.Equal(t, grants[0].ID, "unknown")
}
