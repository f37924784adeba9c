package broker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// reclaim is a service with two partitions that lost upstreams at once.
type reclaim struct {
	node *broker.Broker
	lost map[string]bool
	// slots are the slots of each upstream.
	slots map[string]chan struct{}

	mu sync.Mutex
	// begun and refused count requests by priority.
	begun, refused map[int]int
}

// send sends one request, again where it was not run, as the relayer does.
func (r *reclaim) send(id string, priority int, session string) {
	request := balancer.Request{
		Priority: priority, TimeLimit: 4 * time.Second, Target: 800 * time.Millisecond,
		PromptParts: []balancer.PromptPart{{ID: session}, {ID: id}},
	}
	deadline := time.Now().Add(request.TimeLimit)

	for attempt := range 4 {
		request.ID, request.TimeLimit = fmt.Sprint(id, ".", attempt), time.Until(deadline)

		choice, ok := r.node.Choose(context.Background(), service, request)
		if !ok {
			break
		}

		if r.lost[choice.Upstream] {
			time.Sleep(400 * time.Millisecond)
			r.node.RecordEnd(request.ID, balancer.Unreachable)
			request.Excluded = append(request.Excluded, choice.Upstream)

			continue
		}

		r.slots[choice.Upstream] <- struct{}{}
		r.count(r.begun, priority)
		time.Sleep(200 * time.Millisecond)
		<-r.slots[choice.Upstream]
		r.node.RecordEnd(request.ID, balancer.Served)

		return
	}

	r.count(r.refused, priority)
}

func (r *reclaim) count(counts map[int]int, priority int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	counts[priority]++
}

// Guards against urgent requests that get nothing while less urgent ones begin at the same service: a third of the upstreams
// is lost at once, most of them in one of two partitions, whose pool refuses what the other one would serve first.
func TestUrgentRequestsGoFirstInAllPartitions(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprint("lost upstreams listed ", listed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()

				const upstreams, lost = 30, 10

				f := newFleet(ctx, t, 1, upstreams, 1)
				r := &reclaim{node: f.nodes["n0"], lost: make(map[string]bool), slots: make(map[string]chan struct{}), begun: make(map[int]int), refused: make(map[int]int)}

				time.Sleep(3 * time.Second)

				for _, upstream := range f.listing.Upstreams {
					r.slots[upstream.ID] = make(chan struct{}, 1)

					if len(r.lost) < lost && jump.Hash(xxhash.Sum64String(upstream.ID), 2) == 0 {
						r.lost[upstream.ID] = true
					}
				}

				if !listed {
					f.listing.Revision++
					f.listing.Upstreams = slices.DeleteFunc(f.listing.Upstreams, func(u cataloguer.Upstream) bool { return r.lost[u.ID] })
					r.node.Update(serviceState(f.listing))
				}

				random := rand.New(rand.NewPCG(1, 2))

				var sending sync.WaitGroup

				// The 20 upstreams left serve 100 requests a second; 60 urgent ones and 90 others arrive.
				for i := range 1500 {
					priority, session := 3, fmt.Sprint("session-", random.IntN(40))
					if i%5 < 2 {
						priority = 1
					}

					sending.Go(func() { r.send(fmt.Sprint("r", i), priority, session) })
					time.Sleep(time.Second / 150)
				}

				sending.Wait()
				cancel()
				synctest.Wait()

				t.Logf("begun %v, refused %v by priority", r.begun, r.refused)

				urgent := r.begun[1] + r.refused[1]
				assert.Assert(t, r.refused[1]*12 <= urgent || r.begun[3] < 10, "%d of %d urgent requests got nothing while %d less urgent ones began", r.refused[1], urgent, r.begun[3])
			})
		})
	}
}
