package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func second() time.Duration { return time.Second }

// within reports whether no amount exceeds the limit by more than rounding errors.
func within(amounts, limits Amounts) bool {
	return amounts.minus(limits.times(1+1e-9)) == (Amounts{})
}

// Guards against an organisation getting several times its limit. Reports and replies
// are lost or late, nodes crash, restart and join while leases are valid, and each node
// detects it at a different time. A lease was granted to another node before its holder
// had certainly stopped using it.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amounts{Requests: 40, Tokens: 500}
		limits.Concurrency = float64(rapid.IntRange(1, 30).Draw(t, "concurrency"))
		c := newCluster(rapid.Uint64().Draw(t, "seed"), limits, rapid.IntRange(2, 9).Draw(t, "nodes"))
		c.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		c.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay_ms")) * time.Millisecond
		rates := make(map[string]int)

		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			changeMembers(t, c)

			for _, name := range c.names() {
				rates[name] = rapid.IntRange(0, 3).Draw(t, "rate")
			}

			for range rapid.IntRange(60, 200).Draw(t, "ticks") {
				c.step(func(name string) int { return c.random.IntN(rates[name] + 1) }, second, 20)

				sum, total, onEvenShare := c.sumAllowed()
				assert.Assert(t, within(sum, limits), "%+v", sum)
				assert.Assert(t, within(total, limits.times(2)), "%+v with %d nodes on an even share", total, onEvenShare)
			}
		}
	})
}

// changeMembers changes the members. Changes are at least 3 s apart.
func changeMembers(t *rapid.T, c *cluster) {
	names := c.names()
	name := rapid.SampledFrom(names).Draw(t, "node")

	switch rapid.IntRange(0, 4).Draw(t, "disturbance") {
	case 0:
		c.add(fmt.Sprintf("m%02d", c.incarnations))
		c.announceMembers()
	case 1:
		if len(names) > 2 {
			delete(c.nodes, name)
			c.announceMembers()
		}
	case 2:
		// A restart under the same name forgets all leases, held and granted.
		c.add(name)
		c.setView(name, names)
	}
}

// Guards against an organisation getting its whole limit on each side of a network
// partition. The known nodes are split into groups that don't reach each other. Each
// group divided the limit by the nodes that it reached.
func TestSidesOfACutShareTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amounts{Requests: 40, Concurrency: float64(rapid.IntRange(1, 50).Draw(t, "limit")), Tokens: 500}
		sides := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "sides")
		known := 0

		for _, live := range sides {
			known += live
		}

		var usable, even Amounts

		for _, live := range sides {
			divided := newDivision(Options{}.withDefaults(), live, known)
			usable = usable.plus(divided.leasable(limits)).plus(divided.baseShare(limits).times(float64(live)))
			even = even.plus(divided.evenShare(limits).times(float64(live)))
		}

		assert.Assert(t, within(even, limits), "%+v", even)
		assert.Assert(t, within(usable, limits), "%+v", usable)
	})
}

// Guards against running more requests at once than the limit just after a node joined.
// With a fourth node the base share falls from one request to none and the leasable
// part grows. The owner learned of the node before the others did, and leased the
// larger part before all nodes had given up their base share.
func TestLargerShareWaitsUntilAllNodesKnow(t *testing.T) {
	options := Options{}.withDefaults()
	limits := Amounts{Concurrency: 6}
	v := view{options: options}

	v.set(start, newDivision(options, 3, 3))

	joined := start.Add(time.Minute)
	assert.Equal(t, v.baseShare(joined, limits).Concurrency, 1.0)
	assert.Equal(t, v.leasable(joined, limits).Concurrency, 3.0)

	v.set(joined, newDivision(options, 4, 4))
	assert.Equal(t, v.baseShare(joined, limits).Concurrency, 0.0)
	assert.Equal(t, v.leasable(joined, limits).Concurrency, 3.0)
	assert.Equal(t, v.leasable(joined.Add(options.leaseDrainTime()-1), limits).Concurrency, 3.0)
	assert.Equal(t, v.leasable(joined.Add(options.leaseDrainTime()), limits).Concurrency, 6.0)
}

func TestConcurrencyHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amounts{Concurrency: float64(rapid.IntRange(1, 40).Draw(t, "limit"))}
		c := newCluster(rapid.Uint64().Draw(t, "seed"), limits, 9)
		c.delay = 300 * time.Millisecond

		for i := range 600 {
			busy := fmt.Sprintf("n%02d", i/100)
			duration := func() time.Duration { return time.Duration(100+c.random.IntN(8000)) * time.Millisecond }
			c.step(func(name string) int {
				if name == busy {
					return 2
				}

				return c.random.IntN(2)
			}, duration, 0)

			assert.Assert(t, c.running() <= int(limits.Concurrency), "%d requests run", c.running())
		}
	})
}

func TestUseOfTheLimit(t *testing.T) {
	limits := Amounts{Requests: 40}
	tests := map[string]struct {
		busy, perTick int
		delay         time.Duration
		minUse        float64
	}{
		"one node of nine has all demand":        {1, 4, 10 * time.Millisecond, 0.85},
		"all nine nodes want more than they get": {9, 1, 10 * time.Millisecond, 0.95},
		"three nodes of nine have all demand":    {3, 2, 10 * time.Millisecond, 0.90},
		"one node of nine, slow network":         {1, 4, 450 * time.Millisecond, 0.85},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, limits, 9)
			c.delay = tt.delay
			arrivals := func(name string) int {
				if name < fmt.Sprintf("n%02d", tt.busy) {
					return tt.perTick
				}

				return 0
			}

			count := func(ticks int) float64 {
				admitted := 0
				for _, n := range c.nodes {
					admitted -= n.admitted
				}

				for range ticks {
					c.step(arrivals, second, 0)
				}

				for _, n := range c.nodes {
					admitted += n.admitted
				}

				return float64(admitted)
			}

			count(100)
			used := count(1200) / (60 * limits.Requests)
			t.Logf("%.3f of the limit was used", used)
			assert.Assert(t, used >= tt.minUse && used <= 1+1.0/60, "%f", used)
		})
	}
}

// Guards against refusing an organisation within its limit for as long as one node is
// down. The owner of the limit is frozen and still listed, and doesn't respond. The
// nodes' shares expired with their leases and nothing replaced them.
func TestUnresponsiveOwner(t *testing.T) {
	c := newCluster(1, Amounts{Requests: 90}, 9)
	arrivals := func(name string) int { return 1 }

	for range 200 {
		c.step(arrivals, second, 0)
	}

	owner := c.ownerName()
	other := c.nodes["n00"]

	if owner == other.name {
		other = c.nodes["n01"]
	}

	c.unreachable[owner] = true
	leased := other.limiter.Allowed(c.now, testKey).Requests

	steps := func(duration time.Duration) {
		for range int(duration / tick) {
			c.step(arrivals, second, 0)
		}
	}
	leaseDuration := other.limiter.options.LeaseDuration

	steps(leaseDuration / 2)
	assert.Assert(t, other.limiter.Allowed(c.now, testKey).Requests >= 0.9*leased, "the last lease is kept until it expires")

	steps(leaseDuration)
	assert.Equal(t, other.limiter.Allowed(c.now, testKey).Requests, 10.0, "then the node falls back to an even share of the limit")

	_, total, _ := c.sumAllowed()
	assert.Assert(t, total.Requests <= 2*90)

	c.unreachable[owner] = false

	steps(2 * time.Second)

	sum, total, onEvenShare := c.sumAllowed()
	assert.Equal(t, onEvenShare, 0)
	assert.Equal(t, sum, total)
}

// Guards against refusing an organisation within its limit for some seconds whenever a
// node goes down. The owner of the limit crashes, and the next owner knows of no leases
// and waits for the old ones to expire. Meanwhile it granted nothing, not even what
// nodes reported as held.
func TestNextOwnerRenewsLoans(t *testing.T) {
	c := newCluster(1, Amounts{Requests: 90}, 9)
	busy := "n00"

	if c.ownerName() == busy {
		busy = "n01"
	}

	arrivals := func(name string) int { return map[bool]int{true: 2}[name == busy] }

	// Wait past the first renewal, since a node's first demand is measured over only a
	// quarter of a period.
	for range 600 {
		c.step(arrivals, second, 0)
	}

	leased := c.nodes[busy].limiter.Allowed(c.now, testKey).Requests
	assert.Assert(t, leased > 50, "%f", leased)

	delete(c.nodes, c.ownerName())
	c.announceMembers()

	for range 300 {
		c.step(arrivals, second, 0)
		assert.Assert(t, c.nodes[busy].limiter.Allowed(c.now, testKey).Requests > 0.9*leased)
	}
}

// Guards against refusing organisations far below their limits for seconds after one
// node or all nodes start. No node has a lease, and new owners wait for leases that may
// be in force. Nothing was granted until all possible leases had expired.
func TestFreshNodesServeAtOnce(t *testing.T) {
	tests := map[string]func(c *cluster){
		"all nodes start": func(c *cluster) {
			for _, name := range c.names() {
				c.add(name)
			}

			for _, name := range c.names() {
				c.setView(name, c.names())
			}
		},
		"one node starts": func(c *cluster) {
			c.add("n04")
			c.setView("n04", c.names())
		},
	}

	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, Amounts{Requests: 90, Concurrency: 90}, 9)
			restart(c)

			ticks := 0
			arrivals := func(string) int { return map[bool]int{true: 1}[ticks%4 == 0] }
			refused := func() int {
				count := 0

				for _, n := range c.nodes {
					for _, times := range n.limiter.RefusalCounts() {
						count += int(times)
					}
				}

				return count
			}

			for ticks = range 40 {
				c.step(arrivals, second, 0)
			}

			early := refused()
			t.Logf("%d of 90 requests refused in the first 2 s", early)

			for ticks = range 140 {
				c.step(arrivals, second, 0)
			}

			assert.Equal(t, refused(), early, "no request is refused after 2 s")
		})
	}
}

// Guards against two nodes exceeding the concurrency limit together for a moment. A
// node with a lease becomes idle and stops reporting, then admits requests just before
// the lease expires. The owner learned from reports alone what was running, so it
// counted the lease as expired and granted it to another node while these requests ran.
func TestLeaseIsReportedUntilReturned(t *testing.T) {
	l := New(Options{}, fixedLimits(Amounts{Concurrency: 9}), "b", 1)
	l.SetNodes(start, []string{"a", "b"}, 2)

	now := start.Add(10 * time.Second)
	_, ok := l.Admit(now, testKey.Service, testKey.Organisation, "chat")
	assert.Assert(t, ok, "the first request needs no lease")
	l.Done(now, testKey.Service, testKey.Organisation, "chat", 0)

	reported := now
	reports := 0

	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(time.Second) {
		demands := l.DueReports(now)[l.states[testKey].owner]
		if len(demands) == 0 {
			assert.Assert(t, now.Sub(reported) < l.options.renewInterval(), "no report at %s", now.Sub(start))

			continue
		}

		reported = now
		reports++

		// The owner takes the lease back only once the node has been idle for long.
		l.Apply(now, []LeaseReply{{Key: testKey, Sequence: demands[0].Sequence, Leased: Amounts{Concurrency: 4}}})
	}

	assert.Assert(t, reports <= 16, "%d reports in five minutes without use", reports)

	l.RequestReports(now, []Key{testKey})
	returned := l.DueReports(now)[l.states[testKey].owner]
	l.Apply(now, []LeaseReply{{Key: testKey, Sequence: returned[0].Sequence}})

	acknowledged := l.DueReports(now.Add(time.Second))[l.states[testKey].owner]
	assert.Equal(t, acknowledged[0].Acknowledged, returned[0].Sequence, "the owner counts the lease until the node acknowledges its return")
	l.Apply(now, []LeaseReply{{Key: testKey, Sequence: acknowledged[0].Sequence}})

	assert.Equal(t, len(l.DueReports(now.Add(time.Minute))), 0)
}

// Guards against a node using a lease that its owner has granted to another. A report
// overtakes the one before it, or a reply arrives after the next report was sent. The
// late message was taken for the latest one.
func TestLateMessagesAreDropped(t *testing.T) {
	limits := Amounts{Requests: 90}
	owner := NewOwner(start, Options{}, fixedLimits(limits), "a")
	owner.SetNodes(start, []string{"a"}, 2)

	demand := Demand{Key: testKey, Incarnation: 1, Sequence: 2, Wanted: Amounts{Requests: 5}}
	_, ok := owner.Report(start, "b", demand)
	assert.Assert(t, ok)

	demand.Sequence = 1
	_, ok = owner.Report(start, "b", demand)
	assert.Assert(t, !ok)

	l := New(Options{}, fixedLimits(limits), "b", 1)
	l.SetNodes(start, []string{"a", "b"}, 2)

	now := start.Add(10 * time.Second)

	for range 2 {
		for range 90 {
			l.Admit(now, testKey.Service, testKey.Organisation, "chat")
		}

		now = now.Add(time.Second)
		assert.Equal(t, len(l.DueReports(now)), 1)
	}

	before := l.Allowed(now, testKey)
	l.Apply(now, []LeaseReply{{Key: testKey, Sequence: 1, Leased: Amounts{Requests: 50}}})
	assert.Equal(t, l.Allowed(now, testKey), before)

	l.Apply(now, []LeaseReply{{Key: testKey, Sequence: 2, Leased: Amounts{Requests: 50}}})
	assert.Equal(t, l.Allowed(now, testKey).Requests, before.Requests+50)
}
