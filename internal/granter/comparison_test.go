package granter

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// compared returns the bytes that entries answered to comparisons within a time.
func (n *network) compared(during time.Duration) int {
	n.mu.Lock()
	n.bytes[MethodInFlight+" answer"] = 0
	n.mu.Unlock()
	time.Sleep(during)

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.bytes[MethodInFlight+" answer"]
}

const same = `{"same":true}`

// Symptom: comparisons were nine tenths of what nodes sent, and with a digest in
// place of the list still four tenths. Sequence: an entry has five attempts in
// flight and nothing changes; each second it lists them all, or says so. Cause: the
// holder didn't say what it knows already, and asked as often as if it had doubts.
func TestEqualStatesSendNoList(t *testing.T) {
	inVirtualTime(t, 2, 2, 4, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry, holder := n.other(), n.holderNode().holder

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		}

		assert.Equal(t, n.compared(3500*time.Millisecond), 3*len(same))
		assert.Equal(t, n.compared(12*time.Second), 2*len(same))
		assert.Equal(t, n.compared(time.Minute), 6*len(same))
		assert.Equal(t, n.inUse(), 5)

		// What the entry doesn't know is freed: soon if the entry tells that it
		// may differ, as one does that has just started, else within the stated time.
		for told, within := range map[bool]time.Duration{true: 5 * time.Second, false: 11 * time.Second} {
			item := askItem{ID: "unknown", Service: "assistente", Class: "chat", Organisation: "a", Compare: told}
			holder.take(entry.name, askParams{Asks: []askItem{item}})
			assert.Equal(t, n.inUse(), 6)
			assert.Assert(t, n.compared(within) > 500)
			assert.Equal(t, n.inUse(), 5)
		}
	})
}

// Symptom: servers ran above their slots for ten seconds. Sequence: an entry that
// had long agreed with its holder takes another node for it, is granted slots there,
// and perhaps returns. Cause: the holder, which noticed nothing, wasn't told.
func TestEntryThatIsServedElsewhereIsComparedSoon(t *testing.T) {
	for _, returns := range []bool{true, false} {
		inVirtualTime(t, 3, 2, 3, fixed(), func(t *testing.T, ctx context.Context, n *network) {
			entry, holder := n.other(), n.holderNode()
			entry.router.members = sight{n}

			chats := func(count int) {
				for range count {
					go func() { _, _ = entry.run(ctx, "chat", time.Minute) }()
				}
			}

			chats(2)
			time.Sleep(30 * time.Second)

			if returns {
				n.hide(holder.name, true)
				chats(2)
				time.Sleep(100 * time.Millisecond)
				n.hide(holder.name, false)
				assert.Equal(t, entry.router.holderOf("assistente"), holder.name)
				chats(1)
			} else {
				entry.router.mu.Lock()
				entry.router.silent[holder.name] = true
				entry.router.mu.Unlock()
				chats(3)
			}

			time.Sleep(2100 * time.Millisecond)

			total := 0
			for _, inFlight := range holder.holder.Stats()["assistente"].InFlight {
				total += inFlight
			}

			assert.Equal(t, total, 5)
		})
	}
}

// The next holder knows nothing, so that the entry's answer to it must be the list.
func TestDifferenceSendsTheList(t *testing.T) {
	inVirtualTime(t, 3, 2, 3, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		first := n.holderNode()
		n.setDown(first.name, true)

		next, entry := n.holderNode(), n.other()
		n.setDown(first.name, false)

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		}

		time.Sleep(3 * time.Second)
		n.setDown(first.name, true)
		next.holder.claim(next.holder.open("assistente", 0))

		assert.Assert(t, n.compared(900*time.Millisecond) > 500)
		assert.DeepEqual(t, next.holder.Stats()["assistente"].InFlight, first.holder.Stats()["assistente"].InFlight)
		assert.Equal(t, n.compared(2*time.Second), 2*len(same))
		assert.Equal(t, n.compared(20*time.Second), 3*len(same))
	})
}

// Symptom: slots stayed taken for ten seconds. Sequence: nothing reaches the holder
// for two seconds, in which answers end; then all is well. Cause: the entry gave the
// releases up after three tries, and the holder had no reason to compare.
func TestReleaseOutlivesACutOfSeconds(t *testing.T) {
	inVirtualTime(t, 2, 2, 3, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		holder := n.holderNode().name

		for range 3 {
			go func() { _, _ = n.other().run(ctx, "chat", 16*time.Second) }()
		}

		time.Sleep(15500 * time.Millisecond)
		n.setCut(holder, true)
		time.Sleep(2 * time.Second)
		n.setCut(holder, false)
		assert.Equal(t, n.inUse(), 3)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, n.inUse(), 0)
	})
}
