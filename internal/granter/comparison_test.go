package granter

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// comparisonAnswerBytes returns the number of bytes of the entries' answers to comparisons during the given time.
func (n *network) comparisonAnswerBytes(during time.Duration) int {
	n.mu.Lock()
	n.bytes[MethodInFlight+" answer"] = 0
	n.mu.Unlock()
	time.Sleep(during)

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.bytes[MethodInFlight+" answer"]
}

const sameAnswer = `{"same":true}`

// Guards against comparisons that dominate the traffic between nodes: they were 90% of
// it when entries listed all attempts each second, and still 40% when they answered a
// digest each second. Here five attempts are in flight and nothing changes. The holder
// must send the digest of what it knows, and compare less often while states match.
func TestEqualStatesSendNoList(t *testing.T) {
	inVirtualTime(t, 2, 2, 4, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry, holder := n.nonHolder(), n.holderNode().holder

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		}

		assert.Equal(t, n.comparisonAnswerBytes(3500*time.Millisecond), 3*len(sameAnswer))
		assert.Equal(t, n.comparisonAnswerBytes(12*time.Second), 2*len(sameAnswer))
		assert.Equal(t, n.comparisonAnswerBytes(time.Minute), 6*len(sameAnswer))
		assert.Equal(t, n.slotsInUse(), 5)

		// A grant that the entry doesn't know is freed: soon if the entry reports a possible
		// difference, as after its start, otherwise within the guaranteed time.
		for compareSoon, within := range map[bool]time.Duration{true: 5 * time.Second, false: 11 * time.Second} {
			item := slotRequest{ID: "unknown", Service: "assistente", Class: "chat", Organisation: "a", CompareSoon: compareSoon}
			holder.handleMessage(entry.name, entryParams{Requests: []slotRequest{item}})
			assert.Equal(t, n.slotsInUse(), 6)
			assert.Assert(t, n.comparisonAnswerBytes(within) > 500)
			assert.Equal(t, n.slotsInUse(), 5)
		}
	})
}

// Guards against servers that run above their slots for ten seconds. An entry whose
// state has matched its holder's for long takes another node for the holder, is
// granted slots there, and may return. The first holder can't notice this and must be
// notified.
func TestEntryThatIsServedElsewhereIsComparedSoon(t *testing.T) {
	for _, returns := range []bool{true, false} {
		inVirtualTime(t, 3, 2, 3, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
			entry, holder := n.nonHolder(), n.holderNode()
			entry.router.members = partialMembers{n}

			chats := func(count int) {
				for range count {
					go func() { _, _ = entry.run(ctx, "chat", time.Minute) }()
				}
			}

			chats(2)
			time.Sleep(30 * time.Second)

			if returns {
				n.setHidden(holder.name, true)
				chats(2)
				time.Sleep(100 * time.Millisecond)
				n.setHidden(holder.name, false)
				assert.Equal(t, entry.router.holderOf("assistente"), holder.name)
				chats(1)
			} else {
				entry.router.mu.Lock()
				entry.router.unresponsive[holder.name] = true
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

// The next holder knows no grants, so the entry must answer it with the list.
func TestDifferenceSendsTheList(t *testing.T) {
	inVirtualTime(t, 3, 2, 3, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		first := n.holderNode()
		n.setDown(first.name, true)

		next, entry := n.holderNode(), n.nonHolder()
		n.setDown(first.name, false)

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		}

		time.Sleep(3 * time.Second)
		n.setDown(first.name, true)
		next.holder.rebuildIfStale(next.holder.openPool("assistente", 0))

		assert.Assert(t, n.comparisonAnswerBytes(900*time.Millisecond) > 500)
		assert.DeepEqual(t, next.holder.Stats()["assistente"].InFlight, first.holder.Stats()["assistente"].InFlight)
		assert.Equal(t, n.comparisonAnswerBytes(2*time.Second), 2*len(sameAnswer))
		assert.Equal(t, n.comparisonAnswerBytes(20*time.Second), 3*len(sameAnswer))
	})
}

// Guards against slots that stay in use for ten seconds. No message reaches the holder
// for two seconds, in which attempts end. If the entry gives up the releases after
// three attempts, the holder has no reason to compare soon.
func TestReleaseIsRetriedForSeconds(t *testing.T) {
	inVirtualTime(t, 2, 2, 3, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		holder := n.holderNode().name

		for range 3 {
			go func() { _, _ = n.nonHolder().run(ctx, "chat", 16*time.Second) }()
		}

		time.Sleep(15500 * time.Millisecond)
		n.setCut(holder, true)
		time.Sleep(2 * time.Second)
		n.setCut(holder, false)
		assert.Equal(t, n.slotsInUse(), 3)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, n.slotsInUse(), 0)
	})
}
