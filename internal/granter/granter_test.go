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

// inVirtualTime runs the body on a network of nodes that ends with it.
func inVirtualTime(t *testing.T, nodes, servers, slots int, options Options, body func(t *testing.T, ctx context.Context, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		defer func() {
			cancel()
			// Messages under way have a latency.
			time.Sleep(time.Second)
			synctest.Wait()
		}()

		body(t, ctx, newNetwork(ctx, nodes, service(servers, slots), options))
	})
}

// crowd runs the same request through all nodes in turn and returns how many failed.
func crowd(ctx context.Context, n *network, count int, class string, every, duration time.Duration) int {
	var (
		group  sync.WaitGroup
		failed atomic.Int64
	)

	live := n.Live()

	for i := range count {
		group.Go(func() {
			if _, err := n.nodes[live[i%len(live)]].run(ctx, class, duration); err != nil {
				failed.Add(1)
				n.note(err)
			}
		})

		time.Sleep(every)
	}

	group.Wait()

	return int(failed.Load())
}

func TestSlotsAreSharedByAllEntries(t *testing.T) {
	for _, policy := range []MessagePolicy{MessagePerRequest, MessageBatched} {
		options := fixed()
		options.MessagePolicy = policy

		inVirtualTime(t, 3, 2, 3, options, func(t *testing.T, ctx context.Context, n *network) {
			time.Sleep(time.Second)

			failed := crowd(ctx, n, 300, "chat", 5*time.Millisecond, 50*time.Millisecond)
			assert.Equal(t, failed, 0)

			_, peaks := n.counts()
			for upstream, most := range peaks {
				assert.Assert(t, most <= 3, "%s had %d at once", upstream, most)
			}

			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, n.inUse(), 0)
		})
	}
}

func TestBatchesSaveMessages(t *testing.T) {
	sent := map[MessagePolicy]int{}

	for _, policy := range []MessagePolicy{MessagePerRequest, MessageBatched} {
		options := fixed()
		options.MessagePolicy = policy

		inVirtualTime(t, 3, 4, 32, options, func(t *testing.T, ctx context.Context, n *network) {
			failed := crowd(ctx, n, 3000, "chat", 300*time.Microsecond, 20*time.Millisecond)
			assert.Equal(t, failed, 0)

			n.mu.Lock()
			sent[policy] = n.messages[MethodAsk] + n.messages[MethodRelease]
			t.Logf("%s: messages %v bytes %v", policy, n.messages, n.bytes)
			n.mu.Unlock()
		})
	}

	assert.Assert(t, sent[MessageBatched] < sent[MessagePerRequest]/2, "%v", sent)
}

// Symptom: a counter lookup hung until its caller gave up. Sequence: the pool's
// holder freezes, a counter request is asked for, no answer comes. Cause: waiting for the holder.
func TestTierOneDoesNotWaitForASilentHolder(t *testing.T) {
	inVirtualTime(t, 3, 2, 4, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.other()
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
		assert.Equal(t, n.inUse(), 0)
	})
}

// Symptom: a queued counter lookup waited for ever. Sequence: the holder says
// queued and crashes. Cause: its decision never comes.
func TestTierOneQueuedAtACrashedHolderGoesOn(t *testing.T) {
	inVirtualTime(t, 3, 1, 1, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.other()
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
	inVirtualTime(t, 3, 2, 3, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry := n.other()
		for range 6 {
			go func() { _, _ = entry.run(ctx, "chat", 20*time.Second) }()
		}

		time.Sleep(time.Second)
		assert.Equal(t, n.inUse(), 6)

		crashed := n.holderNode().name
		n.setDown(crashed, true)

		waited, err := entry.run(ctx, "chat", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited > 15*time.Second && waited < 20*time.Second, "%s: all slots are known to be taken", waited)

		_, most := n.counts()
		assert.DeepEqual(t, most, map[string]int{"e01": 3, "e02": 3})
	})
}

// Symptom: servers ran twice their slots after a holder was cut off. Sequence: no
// message reaches the holder; another grants in its place; the holder is asked
// again. Cause: it still believed that it alone had granted.
func TestReturnedHolderLearnsWhatWasGrantedInItsPlace(t *testing.T) {
	inVirtualTime(t, 3, 2, 3, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		entry, cut := n.other(), n.holderNode().name
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

		_, most := n.counts()
		assert.DeepEqual(t, most, map[string]int{"e01": 3, "e02": 3})
	})
}

// Symptom: two requests ran too many for each lost message, until the node restarted.
// Sequence: decisions and releases are lost at random. Cause: grants that nobody uses.
func TestLostMessagesLoseNoCapacity(t *testing.T) {
	for _, policy := range []MessagePolicy{MessagePerRequest, MessageBatched} {
		options := fixed()
		options.MessagePolicy = policy

		inVirtualTime(t, 4, 2, 4, options, func(t *testing.T, ctx context.Context, n *network) {
			n.lose(0.1)
			failed := crowd(ctx, n, 500, "chat", 20*time.Millisecond, 50*time.Millisecond)
			assert.Equal(t, failed, 0)

			n.lose(0)
			time.Sleep(4 * time.Second)
			assert.Equal(t, n.inUse(), 0)

			assert.Equal(t, n.open(), 0)
		})
	}
}

// Symptom: a slot was lost with each caller that left while it waited. Sequence:
// the holder grants, the caller leaves, the grant and the cancel cross. Cause: the
// cancel named a waiting ask and there was none.
func TestCancelThatCrossesItsGrantFreesTheSlot(t *testing.T) {
	inVirtualTime(t, 2, 1, 1, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.other()
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
		assert.Equal(t, n.inUse(), 0)
	})
}

func TestPreemptionReachesTheEntry(t *testing.T) {
	options := fixed()
	options.Pool.NoPreemption = false

	inVirtualTime(t, 2, 1, 1, options, func(t *testing.T, ctx context.Context, n *network) {
		entry := n.other()
		go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		time.Sleep(1500 * time.Millisecond)

		waited, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited < 200*time.Millisecond, "%s", waited)
		assert.Equal(t, n.holderNode().holder.Stats()["assistente"].Preempted, 1)
	})
}

// Symptom: a draft that is not repeatable was chosen as victim, kept running all
// the same, and tier 1 waited for its slot. Sequence: an entry asks with
// Repeatable false; the holder reads the class alone; its next holder adopts the
// attempt. Cause: neither message said so.
func TestNotRepeatableIsNoVictim(t *testing.T) {
	options := fixed()
	options.Pool.NoPreemption = false

	inVirtualTime(t, 2, 1, 1, options, func(t *testing.T, ctx context.Context, n *network) {
		entry := n.other()
		entry.once = true
		go func() { _, _ = entry.run(ctx, "chat", 3*time.Second) }()
		time.Sleep(1500 * time.Millisecond)

		adopted := entry.router.inFlight("assistente").inFlight(time.Now(), entry.name)
		assert.Equal(t, len(adopted), 1)
		assert.Assert(t, adopted[0].NotRepeatable)

		waited, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, waited > time.Second, "%s", waited)
		assert.Equal(t, n.holderNode().holder.Stats()["assistente"].Preempted, 0)
	})
}

func TestLowerTiersStayWithinTheirLastKnownShare(t *testing.T) {
	inVirtualTime(t, 2, 2, 4, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry := n.nodes["n1"]
		entry.router.members = only{"gone"}
		entry.router.shares["assistente"] = &share{start: time.Now(), present: 2}

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", 10*time.Second) }()
		}

		time.Sleep(5 * time.Second)

		running, _ := n.counts()
		assert.Equal(t, running["e01"], 2)
		time.Sleep(time.Minute)
	})
}

func TestLowerTierIsRefusedWhenNoHolderAnswersInTime(t *testing.T) {
	inVirtualTime(t, 1, 1, 1, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		entry := n.nodes["n1"]
		entry.router.members = only{"gone"}

		waited, err := entry.run(ctx, "chat", time.Second)
		assert.Equal(t, classifier.From(err).Code, classifier.TargetUnreachable)
		assert.Assert(t, waited >= time.Minute && waited < time.Minute+time.Second)
	})
}

// Symptom: a slot stayed taken for two seconds each time a caller left early.
// Sequence: the entry gives an ask up; its cancel overtakes the ask, or is lost;
// the holder grants. Cause: the entry ignored a grant that it didn't wait for.
func TestGrantThatNobodyWaitsForIsGivenBackAtOnce(t *testing.T) {
	inVirtualTime(t, 2, 1, 1, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		entry, holder := n.other(), n.holderNode()
		_, err := entry.run(ctx, "counter", time.Millisecond)
		assert.NilError(t, err)
		time.Sleep(time.Second)

		item := askItem{ID: "given-up", Service: "assistente", Class: "chat", Organisation: "a"}
		answer := holder.holder.take(entry.name, askParams{Asks: []askItem{item}}).Answers[0]
		assert.Equal(t, answer.State, stateGranted)
		assert.Equal(t, n.inUse(), 1)

		entry.router.decided(holder.name, answer)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, n.inUse(), 0)
	})
}

// TestFaultsAtRandomLoseNoCapacity lets nodes crash, freeze and lose messages
// while all of them ask, and then holds that within the stated five seconds
// every slot is free and each ask was answered once.
func TestFaultsAtRandomLoseNoCapacity(t *testing.T) {
	for seed := range uint64(12) {
		options := fixed()
		options.MessagePolicy = []MessagePolicy{MessagePerRequest, MessageBatched}[seed%2]
		options.Pool.NoPreemption = seed%3 == 0

		inVirtualTime(t, 4, 2, 4, options, func(t *testing.T, ctx context.Context, n *network) {
			stop := make(chan struct{})
			ended := make(chan struct{})

			go func() {
				defer close(ended)

				n.disturb(rand.New(rand.NewPCG(seed, seed)), stop)
			}()

			// Slots may be lost for the stated time, so that a refusal for want of them is an answer too.
			for _, class := range []string{"chat", "counter"} {
				failed := crowd(ctx, n, 400, class, 20*time.Millisecond, 60*time.Millisecond)
				assert.Equal(t, failed, n.refused(classifier.TargetUnreachable), "seed %d", seed)
				assert.Assert(t, failed <= 8, "seed %d: %d of 400 %s", seed, failed, class)
			}

			close(stop)
			<-ended
			time.Sleep(5 * time.Second)
			assert.Equal(t, n.inUse(), 0, "seed %d", seed)
			assert.Equal(t, n.open(), 0, "seed %d", seed)
		})
	}
}

// only lists fixed live nodes.
type only []string

func (o only) Live() []string { return o }
