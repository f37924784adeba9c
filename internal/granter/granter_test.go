package granter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/pkg/classifier"
)

// inVirtualTime calls run in virtual time with a network of nodes, which ends afterwards.
func inVirtualTime(t *testing.T, nodes, servers, slots int, options Options, run func(t *testing.T, ctx context.Context, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		defer func() {
			cancel()
			// Messages in transit have a latency.
			time.Sleep(time.Second)
			synctest.Wait()
		}()

		run(t, ctx, newNetwork(ctx, nodes, service(servers, slots), options))
	})
}

// runRequests sends count requests through the live nodes in turn and returns how many failed.
func runRequests(ctx context.Context, n *network, count int, class string, every, duration time.Duration) int {
	var (
		group  sync.WaitGroup
		failed atomic.Int64
	)

	live := n.Live()

	for i := range count {
		group.Go(func() {
			if _, err := n.nodes[live[i%len(live)]].run(ctx, class, duration); err != nil {
				failed.Add(1)
				n.recordFailure(err)
			}
		})

		time.Sleep(every)
	}

	group.Wait()

	return int(failed.Load())
}

func TestSlotsAreSharedByAllEntries(t *testing.T) {
	for _, policy := range []MessagePolicy{MessagePerRequest, MessageBatched} {
		options := fixedSlotOptions()
		options.MessagePolicy = policy

		inVirtualTime(t, 3, 2, 3, options, func(t *testing.T, ctx context.Context, n *network) {
			time.Sleep(time.Second)

			failed := runRequests(ctx, n, 300, "chat", 5*time.Millisecond, 50*time.Millisecond)
			assert.Equal(t, failed, 0)

			_, peaks := n.runningAttempts()
			for upstream, most := range peaks {
				assert.Assert(t, most <= 3, "%s had %d at once", upstream, most)
			}

			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, n.slotsInUse(), 0)
		})
	}
}

func TestBatchesSaveMessages(t *testing.T) {
	sent := map[MessagePolicy]int{}

	for _, policy := range []MessagePolicy{MessagePerRequest, MessageBatched} {
		options := fixedSlotOptions()
		options.MessagePolicy = policy

		inVirtualTime(t, 3, 4, 32, options, func(t *testing.T, ctx context.Context, n *network) {
			failed := runRequests(ctx, n, 3000, "chat", 300*time.Microsecond, 20*time.Millisecond)
			assert.Equal(t, failed, 0)

			n.mu.Lock()
			sent[policy] = n.messages[MethodAsk] + n.messages[MethodRelease]
			t.Logf("%s: messages %v bytes %v", policy, n.messages, n.bytes)
			n.mu.Unlock()
		})
	}

	assert.Assert(t, sent[MessageBatched] < sent[MessagePerRequest]/2, "%v", sent)
}

// Guards against counter lookups that hang until their callers give up: the pool's
// holder freezes, and the entry waits for its answer without a time limit.
func TestTierOneDoesNotWaitForASilentHolder(t *testing.T) {
	inVirtualTime(t, 3, 2, 4, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nonHolder()
		_, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)

		frozen := n.holderNode().name
		n.freeze(frozen)

		waited, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, waited, 150*time.Millisecond)

		waited, err = entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited <= 10*time.Millisecond, "the next holder answers, or this node itself: %s", waited)
		assert.Equal(t, entry.router.Counters().FallbackAttempts, int64(1))

		n.thaw(frozen)
		time.Sleep(5 * time.Second)
		assert.Equal(t, n.slotsInUse(), 0)
	})
}

// Guards against counter lookups that wait forever: the holder queues the slot
// request and crashes, so its decision never arrives.
func TestTierOneQueuedAtACrashedHolderGoesOn(t *testing.T) {
	inVirtualTime(t, 3, 1, 1, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nonHolder()
		go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		time.Sleep(1200 * time.Millisecond)

		var waited time.Duration

		finished := make(chan error)
		go func() {
			var err error
			waited, err = entry.run(ctx, "counter", time.Millisecond)
			finished <- err
		}()

		time.Sleep(50 * time.Millisecond)
		n.setDown(n.holderNode().name, true)
		assert.NilError(t, <-finished)
		assert.Assert(t, waited <= 350*time.Millisecond, "%s", waited)
	})
}

func TestNextHolderRebuildsFromTheEntries(t *testing.T) {
	inVirtualTime(t, 3, 2, 3, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry := n.nonHolder()
		for range 6 {
			go func() { _, _ = entry.run(ctx, "chat", 20*time.Second) }()
		}

		time.Sleep(time.Second)
		assert.Equal(t, n.slotsInUse(), 6)

		crashed := n.holderNode().name
		n.setDown(crashed, true)

		waited, err := entry.run(ctx, "chat", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited > 15*time.Second && waited < 20*time.Second, "%s: all slots are known to be taken", waited)

		_, most := n.runningAttempts()
		assert.DeepEqual(t, most, map[string]int{"e01": 3, "e02": 3})
	})
}

// Guards against servers that run twice their slots after a holder was cut off. No
// message reaches the holder, another node grants in its place, then the holder
// gets requests again and must not assume that only it has granted slots.
func TestReturnedHolderLearnsWhatWasGrantedInItsPlace(t *testing.T) {
	inVirtualTime(t, 3, 2, 3, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		entry, cut := n.nonHolder(), n.holderNode().name
		_, err := entry.run(ctx, "chat", time.Millisecond)
		assert.NilError(t, err)

		n.setCut(cut, true)

		for range 6 {
			go func() { _, _ = entry.run(ctx, "chat", 20*time.Second) }()
		}

		time.Sleep(2 * time.Second)
		n.setCut(cut, false)
		time.Sleep(500 * time.Millisecond)

		for name, node := range n.nodes {
			if name != entry.name {
				go func() { _, _ = node.run(ctx, "chat", time.Second) }()
			}
		}

		time.Sleep(10 * time.Second)

		_, most := n.runningAttempts()
		assert.DeepEqual(t, most, map[string]int{"e01": 3, "e02": 3})
	})
}

// Guards against grants that nobody uses, after decisions and releases were lost at random.
// For each lost message, two requests too many ran until the node restarted.
func TestLostMessagesLoseNoCapacity(t *testing.T) {
	for _, policy := range []MessagePolicy{MessagePerRequest, MessageBatched} {
		options := fixedSlotOptions()
		options.MessagePolicy = policy

		inVirtualTime(t, 4, 2, 4, options, func(t *testing.T, ctx context.Context, n *network) {
			n.setLoss(0.1)
			failed := runRequests(ctx, n, 500, "chat", 20*time.Millisecond, 50*time.Millisecond)
			assert.Equal(t, failed, 0)

			n.setLoss(0)
			time.Sleep(4 * time.Second)
			assert.Equal(t, n.slotsInUse(), 0)

			assert.Equal(t, n.openRequests(), 0)
		})
	}
}

// Guards against a slot lost with each caller that leaves while it waits. The holder
// grants, the caller leaves, and the grant and the cancellation cross. The
// cancellation must work although the slot request no longer waits.
func TestCancelThatCrossesItsGrantFreesTheSlot(t *testing.T) {
	inVirtualTime(t, 2, 1, 1, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nonHolder()
		go func() { _, _ = entry.run(ctx, "chat", time.Second) }()
		time.Sleep(100 * time.Millisecond)

		for _, after := range []time.Duration{898, 899, 900, 901, 902, 903, 904} {
			waiting, leave := context.WithTimeout(ctx, after*time.Millisecond)

			go func() {
				defer leave()

				_, _ = entry.run(waiting, "chat", 0)
			}()
		}

		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, n.slotsInUse(), 0)
	})
}

func TestPreemptionReachesTheEntry(t *testing.T) {
	options := fixedSlotOptions()
	options.Pool.NoPreemption = false

	inVirtualTime(t, 2, 1, 1, options, func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nonHolder()
		go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		time.Sleep(1500 * time.Millisecond)

		waited, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited < 200*time.Millisecond, "%s", waited)
		assert.Equal(t, n.holderNode().holder.Stats()["assistente"].Preempted, 1)
	})
}

// Guards against preemption of requests that are not repeatable: the attempt runs on,
// and tier 1 waits for its slot. The class alone doesn't show it; both the slot request
// and the attempt state that the next holder adopts must carry the flag.
func TestNotRepeatableIsNotPreempted(t *testing.T) {
	options := fixedSlotOptions()
	options.Pool.NoPreemption = false

	inVirtualTime(t, 2, 1, 1, options, func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nonHolder()
		entry.notRepeatable = true
		go func() { _, _ = entry.run(ctx, "chat", 3*time.Second) }()
		time.Sleep(1500 * time.Millisecond)

		adopted := entry.router.attemptsOn("assistente").schedulerInFlight(time.Now(), entry.name)
		assert.Equal(t, len(adopted), 1)
		assert.Assert(t, adopted[0].NotRepeatable)

		waited, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited > time.Second, "%s", waited)
		assert.Equal(t, n.holderNode().holder.Stats()["assistente"].Preempted, 0)
	})
}

func TestLowerTiersStayWithinTheirLastKnownShare(t *testing.T) {
	inVirtualTime(t, 2, 2, 4, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry := n.nodes["n1"]
		entry.router.members = fixedMembers{"gone"}
		entry.router.recentPeaks["assistente"] = &recentPeak{windowStart: time.Now(), current: 2}

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", 10*time.Second) }()
		}

		time.Sleep(5 * time.Second)

		running, _ := n.runningAttempts()
		assert.Equal(t, running["e01"], 2)
		time.Sleep(time.Minute)
	})
}

func TestLowerTierIsRefusedWhenNoHolderAnswersInTime(t *testing.T) {
	inVirtualTime(t, 1, 1, 1, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nodes["n1"]
		entry.router.members = fixedMembers{"gone"}

		waited, err := entry.run(ctx, "chat", time.Second)
		assert.Equal(t, classifier.From(err).Code, classifier.TargetUnreachable)
		assert.Assert(t, waited >= time.Minute && waited < time.Minute+time.Second)
	})
}

// Guards against slots that stay in use for two seconds each time a caller leaves
// early. The entry cancels a slot request; the cancellation overtakes the request, or
// is lost, and the holder grants. The entry must not ignore a grant that it doesn't
// wait for.
func TestUnneededGrantIsReturnedAtOnce(t *testing.T) {
	inVirtualTime(t, 2, 1, 1, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		entry, holder := n.nonHolder(), n.holderNode()
		_, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		time.Sleep(time.Second)

		item := slotRequest{ID: "given-up", Service: "assistente", Class: "chat", Organisation: "a"}
		answer := holder.holder.handleMessage(entry.name, entryParams{Requests: []slotRequest{item}}).Answers[0]
		assert.Equal(t, answer.State, stateGranted)
		assert.Equal(t, n.slotsInUse(), 1)

		entry.router.handleDecision(holder.name, answer)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, n.slotsInUse(), 0)
	})
}

// TestFaultsAtRandomLoseNoCapacity takes down and freezes nodes and loses messages
// while all nodes send requests. Within the guaranteed five seconds afterwards, every
// slot must be free and each slot request decided once.
func TestFaultsAtRandomLoseNoCapacity(t *testing.T) {
	for seed := range uint64(12) {
		options := fixedSlotOptions()
		options.MessagePolicy = []MessagePolicy{MessagePerRequest, MessageBatched}[seed%2]
		options.Pool.NoPreemption = seed%3 == 0

		inVirtualTime(t, 4, 2, 4, options, func(t *testing.T, ctx context.Context, n *network) {
			stop := make(chan struct{})
			ended := make(chan struct{})

			go func() {
				defer close(ended)

				n.injectFaults(rand.New(rand.NewPCG(seed, seed)), stop)
			}()

			// Slots may be lost for the guaranteed time, so a refusal because none is free is valid too.
			for _, class := range []string{"chat", "counter"} {
				failed := runRequests(ctx, n, 400, class, 20*time.Millisecond, 60*time.Millisecond)
				assert.Equal(t, failed, n.takeFailures(classifier.TargetUnreachable), "seed %d", seed)
				assert.Assert(t, failed <= 8, "seed %d: %d of 400 %s", seed, failed, class)
			}

			close(stop)
			<-ended
			time.Sleep(5 * time.Second)
			assert.Equal(t, n.slotsInUse(), 0, "seed %d", seed)
			assert.Equal(t, n.openRequests(), 0, "seed %d", seed)
		})
	}
}

// fixedMembers is a fixed list of live nodes.
type fixedMembers []string

func (o fixedMembers) Live() []string { return o }
