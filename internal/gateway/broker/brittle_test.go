package broker_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	brittleUpstreams = 8
	brittleSlots     = 6
	// brittleQueue is how many requests wait at an upstream that has not been brittle for brittleSettlingTime. After that
	// none may wait, and one that rejects more than brittleRejections requests within a second is gone for brittleDownTime.
	brittleQueue        = 8
	brittleRejections   = 2
	brittleSettlingTime = 3 * time.Second
	brittleDownTime     = 2 * time.Second
	// brittleAllowedFalls is 2 plus a tenth of the number of upstreams: the users' bound.
	brittleAllowedFalls = 2
	// brittleWorkTime is how long a request takes alone; with all slots in use it takes brittleSlowing longer.
	brittleWorkTime = 100 * time.Millisecond
	brittleSlowing  = 1.0 / 3
	// brittleLoad is in requests a second. Of brittleCapacity, which all slots in use allow, brittleServedFraction has to be
	// served while all is well.
	brittleLoad           = 336.0
	brittleCapacity       = 360.0
	brittleServedFraction = 0.6
	// brittleLinkDelay is the time of a message between a node and an upstream, brittleSends how often a request is sent.
	brittleLinkDelay = time.Millisecond
	brittleSends     = 4
)

// brittleUpstream is an upstream that falls over when it rejects too many requests.
type brittleUpstream struct {
	id string
	// start counts the starts of the upstream.
	start      int
	running    int
	waiting    []chan struct{}
	rejectedAt []time.Time
	down       bool
}

// brittleFleet is a fleet whose upstreams are brittle.
type brittleFleet struct {
	*limitFleet

	servers map[string]*brittleUpstream
	// slots is the number of slots that each upstream has.
	slots int
	// renames is set if an upstream comes back under another ID.
	renames bool
	// brittleSince is zero as long as the upstreams are sound.
	brittleSince              time.Time
	sent, served, falls       int
	rejected, listedUpstreams int
}

func withBrittleFleet(t *testing.T, seed uint64, nodes int, run func(f *brittleFleet)) *brittleFleet {
	t.Helper()

	f := &brittleFleet{servers: make(map[string]*brittleUpstream), slots: brittleSlots}

	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		f.limitFleet = newLimitFleet(ctx, seed, nodes, 0)
		f.sendOne = f.sendToBrittle

		f.mu.Lock()
		for range brittleUpstreams {
			f.list("")
		}
		f.mu.Unlock()

		// Wait until all nodes know each other and the holders have warmed up.
		time.Sleep(detectionTime + 8*time.Second)
		f.run(brittleLoad, time.Second)

		f.mu.Lock()
		f.brittleSince = time.Now()
		f.mu.Unlock()

		f.run(brittleLoad, brittleSettlingTime)
		run(f)
		cancel()
		synctest.Wait()
	})

	return f
}

// list lists an upstream: another start of the given one, or one with an ID of its own. The caller holds f.mu.
func (f *brittleFleet) list(id string) {
	if id == "" {
		f.listedUpstreams++
		id = fmt.Sprint("b", f.listedUpstreams)
	}

	u := &brittleUpstream{id: id, start: int(time.Now().UnixMilli())}
	f.servers[id] = u
	f.listing.Revision++
	f.listing.Upstreams = append(slices.Clone(f.listing.Upstreams),
		cataloguer.Upstream{ID: id, Born: int64(u.start), Service: service, Slots: brittleSlots})
}

// fall takes an upstream away for a time. The caller holds f.mu.
func (f *brittleFleet) fall(u *brittleUpstream) {
	u.down = true
	f.falls++

	time.AfterFunc(brittleDownTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()

		f.listing.Upstreams = slices.DeleteFunc(slices.Clone(f.listing.Upstreams), func(l cataloguer.Upstream) bool { return l.ID == u.id })

		if f.renames {
			f.list("")
		} else {
			f.list(u.id)
		}
	})
}

// arrive takes a request at an upstream. It returns a channel that is closed when the request has a slot, or nil if the
// upstream rejects it. The caller holds f.mu.
func (f *brittleFleet) arrive(u *brittleUpstream) chan struct{} {
	slot := make(chan struct{})
	full := !f.brittleSince.IsZero() && time.Since(f.brittleSince) >= brittleSettlingTime

	switch {
	case u.running < f.slots:
		u.running++
		close(slot)

		return slot
	case !full && len(u.waiting) < brittleQueue:
		u.waiting = append(u.waiting, slot)

		return slot
	}

	f.rejected++
	u.rejectedAt = slices.DeleteFunc(u.rejectedAt, func(at time.Time) bool { return time.Since(at) >= time.Second })
	u.rejectedAt = append(u.rejectedAt, time.Now())

	if full && len(u.rejectedAt) > brittleRejections {
		f.fall(u)
	}

	return nil
}

// release gives the slot of a request to the next one. The caller holds f.mu.
func (f *brittleFleet) release(u *brittleUpstream) {
	if len(u.waiting) == 0 {
		u.running--

		return
	}

	close(u.waiting[0])
	u.waiting = u.waiting[1:]
}

// exchange sends a request to an upstream and returns how it ended.
func (f *brittleFleet) exchange(id string) balancer.Outcome {
	time.Sleep(brittleLinkDelay)
	defer time.Sleep(brittleLinkDelay)

	f.mu.Lock()

	u := f.servers[id]
	if u == nil || u.down {
		f.mu.Unlock()

		return balancer.Unreachable
	}

	slot := f.arrive(u)
	f.mu.Unlock()

	if slot == nil {
		return balancer.Rejected
	}

	<-slot

	f.mu.Lock()
	used := float64(u.running) / brittleSlots
	f.mu.Unlock()

	time.Sleep(time.Duration((1 + brittleSlowing*used) * float64(brittleWorkTime)))

	f.mu.Lock()
	defer f.mu.Unlock()

	f.release(u)

	if u.down {
		return balancer.Failed
	}

	return balancer.Served
}

// sendToBrittle sends a request through a node and reports whether an upstream served it.
func (f *brittleFleet) sendToBrittle(n *limitNode) bool {
	f.mu.Lock()
	f.sent++
	request := balancer.Request{TimeLimit: 2 * time.Second, Target: 300 * time.Millisecond}
	name, node := fmt.Sprint("r", f.sent), n.Broker
	serves := !n.down && !n.frozen && n.isRouting
	f.mu.Unlock()

	deadline := time.Now().Add(request.TimeLimit)

	for attempt := 0; serves && attempt < brittleSends; attempt++ {
		request.ID, request.TimeLimit = fmt.Sprint(name, "/", attempt), time.Until(deadline)

		choice, ok := node.Choose(f.ctx, service, request)
		if !ok {
			return false
		}

		if !node.MayUse(choice) {
			node.RecordEnd(request.ID, balancer.Abandoned)

			continue
		}

		outcome := f.exchange(choice.Upstream)

		f.mu.Lock()
		brittle := !f.brittleSince.IsZero()
		frozen, gone := n.frozen, n.Broker != node || n.down
		f.mu.Unlock()

		if gone {
			return false
		}

		for frozen {
			time.Sleep(detectionTime / 10)

			f.mu.Lock()
			frozen = n.frozen
			f.mu.Unlock()
		}

		if outcome == balancer.Served || outcome == balancer.Rejected {
			node.RecordBrittle(request.ID, brittleRejections, brittle)
		}

		node.RecordEnd(request.ID, outcome)

		if outcome == balancer.Served {
			f.mu.Lock()
			f.served++
			f.mu.Unlock()

			return true
		}

		request.Excluded = append(request.Excluded, choice.Upstream)
	}

	return false
}

func (f *brittleFleet) count() (sent, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.sent, f.served
}

// Guards against nodes that send a brittle upstream more than it has slots for, and against slots that stay free.
func TestBrittleUpstreamsGetWhatTheyHaveSlotsFor(t *testing.T) {
	for _, nodes := range []int{1, 6, 65} {
		for _, load := range []float64{brittleLoad / 2, brittleLoad, 2 * brittleLoad} {
			t.Run(fmt.Sprint(nodes, "/", load), func(t *testing.T) {
				t.Parallel()

				const span = 10 * time.Second

				sent, served := 0, 0
				f := withBrittleFleet(t, 1, nodes, func(f *brittleFleet) {
					sentBefore, servedBefore := f.count()
					f.run(load, span)

					sent, served = f.count()
					sent, served = sent-sentBefore, served-servedBefore
				})

				t.Logf("%d of %d served, %d rejections, %d falls", served, sent, f.rejected, f.falls)
				assert.Check(t, f.falls <= brittleAllowedFalls, "%d falls, %d are allowed", f.falls, brittleAllowedFalls)

				if load < brittleLoad {
					assert.Check(t, f.falls == 0 && served == sent, "%d falls, %d of %d served", f.falls, served, sent)

					return
				}

				wanted := brittleServedFraction * brittleCapacity * span.Seconds()
				assert.Check(t, float64(served) >= wanted, "%d served, %.0f are wanted", served, wanted)
			})
		}
	}
}

// Guards against falls of brittle upstreams while another node takes over, restarts, joins, stands still or is cut off.
func TestBrittleUpstreamsStayUpThroughFaults(t *testing.T) {
	for name, scenario := range limitScenarios {
		for _, nodes := range []int{6, 65} {
			t.Run(fmt.Sprint(name, "/", nodes), func(t *testing.T) {
				t.Parallel()

				sent, served := 0, 0
				f := withBrittleFleet(t, 1, nodes, func(f *brittleFleet) {
					scenario(f.limitFleet, brittleLoad)

					sentBefore, servedBefore := f.count()
					f.run(brittleLoad, 5*time.Second)

					sent, served = f.count()
					sent, served = sent-sentBefore, served-servedBefore
				})

				t.Logf("%d of %d served in all, %d of %d after the fault, %d rejections, %d falls", f.served, f.sent, served, sent, f.rejected, f.falls)
				assert.Check(t, f.falls <= brittleAllowedFalls, "%d falls, %d are allowed", f.falls, brittleAllowedFalls)

				wanted := brittleServedFraction * brittleCapacity * 5
				assert.Check(t, float64(served) >= wanted, "%d served after the fault, %.0f are wanted", served, wanted)
			})
		}
	}
}

// Guards against falls of brittle upstreams some of whose slots are used by others than the nodes, or that list too many.
func TestBrittleUpstreamsWithFewerSlotsThanListedStayUp(t *testing.T) {
	for _, slots := range []int{1, 3, 4} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			t.Parallel()

			f := withBrittleFleet(t, 1, 6, func(f *brittleFleet) {
				f.mu.Lock()
				f.slots = slots
				f.mu.Unlock()
				f.run(brittleLoad, 10*time.Second)
			})

			t.Logf("%d of %d served, %d rejections, %d falls", f.served, f.sent, f.rejected, f.falls)
			assert.Check(t, f.falls <= brittleAllowedFalls, "%d falls, %d are allowed", f.falls, brittleAllowedFalls)
		})
	}
}

// Guards against upstreams that fall again since nodes take them for sound after they came back.
func TestBrittleUpstreamThatComesBackIsTakenForBrittle(t *testing.T) {
	for _, renames := range []bool{false, true} {
		t.Run(fmt.Sprint(renames), func(t *testing.T) {
			t.Parallel()

			f := withBrittleFleet(t, 1, 6, func(f *brittleFleet) {
				f.mu.Lock()
				f.renames = renames

				for i := range brittleUpstreams / 2 {
					f.fall(f.servers[fmt.Sprint("b", i+1)])
				}
				f.falls = 0
				f.mu.Unlock()

				f.run(brittleLoad, 10*time.Second)
			})

			t.Logf("%d of %d served, %d rejections, %d falls", f.served, f.sent, f.rejected, f.falls)
			assert.Check(t, f.falls <= brittleAllowedFalls, "%d falls, %d are allowed", f.falls, brittleAllowedFalls)
		})
	}
}

// Guards against a series of faults through which brittle upstreams fall.
func TestBrittleUpstreamsStayUpOnRandomDays(t *testing.T) {
	for seed := range uint64(randomLimitDays()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			f := withBrittleFleet(t, seed, 6+int(seed%5), func(f *brittleFleet) {
				f.renames = seed%2 == 0

				var callers sync.WaitGroup

				callers.Go(func() { f.run(brittleLoad, 30*time.Second) })

				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
					time.Sleep(time.Duration(f.random.IntN(3000)+50) * time.Millisecond)
					f.randomFault()
				}

				// A request at a frozen node ends only with the freeze.
				for _, n := range f.nodes {
					f.change(n, func() { n.frozen = false })
				}

				callers.Wait()
			})

			t.Logf("%d of %d served, %d rejections, %d falls", f.served, f.sent, f.rejected, f.falls)
			assert.Check(t, f.falls <= brittleAllowedFalls, "%d falls, %d are allowed", f.falls, brittleAllowedFalls)
		})
	}
}
