package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func second() time.Duration { return time.Second }

// within says whether no amount is above the limit by more than rounding.
func within(amounts, limits Amounts) bool {
	return amounts.minus(limits.times(1+1e-9)) == (Amounts{})
}

// Symptom: an organisation gets several times its limit.
// Sequence: reports and answers are lost or late, nodes crash, restart and join
// while leases run, and each node learns of it at another time.
// Cause: a lease is given on before its holder has surely stopped using it.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amounts{Requests: 40, Tokens: 500}
		limits.Concurrency = float64(rapid.IntRange(1, 30).Draw(t, "concurrency"))
		c := newCluster(rapid.Uint64().Draw(t, "seed"), limits, rapid.IntRange(2, 9).Draw(t, "nodes"))
		c.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		c.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay_ms")) * time.Millisecond
		rates := make(map[string]int)

		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			disturb(t, c)

			for _, name := range c.names() {
				rates[name] = rapid.IntRange(0, 3).Draw(t, "rate")
			}

			for range rapid.IntRange(60, 200).Draw(t, "ticks") {
				c.step(func(name string) int { return c.random.IntN(rates[name] + 1) }, second, 20)

				sum, total, alone := c.allowed()
				assert.Assert(t, within(sum, limits), "%+v", sum)
				assert.Assert(t, within(total, limits.times(2)), "%+v with %d alone", total, alone)
			}
		}
	})
}

// disturb changes the members. A change comes 3 s at least after the one before it.
func disturb(t *rapid.T, c *cluster) {
	names := c.names()
	name := rapid.SampledFrom(names).Draw(t, "node")

	switch rapid.IntRange(0, 4).Draw(t, "disturbance") {
	case 0:
		c.add(fmt.Sprintf("m%02d", c.lives))
		c.changed()
	case 1:
		if len(names) > 2 {
			delete(c.nodes, name)
			c.changed()
		}
	case 2:
		// A restart under the same name: what it held and lent is forgotten.
		c.add(name)
		c.view(name, names)
	}
}

// Symptom: an organisation gets its whole limit on each side of a cut network.
// Sequence: the known nodes fall into sides that don't hear each other.
// Cause: each side divides the limit by the nodes that it hears.
func TestSidesOfACutShareTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amounts{Requests: 40, Concurrency: float64(rapid.IntRange(1, 50).Draw(t, "limit")), Tokens: 500}
		sides := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "sides")
		known := 0

		for _, live := range sides {
			known += live
		}

		var lent, even Amounts

		for _, live := range sides {
			divided := newDivision(Options{}.withDefaults(), live, known)
			lent = lent.plus(divided.pool(limits)).plus(divided.base(limits).times(float64(live)))
			even = even.plus(divided.even(limits).times(float64(live)))
		}

		assert.Assert(t, within(even, limits), "%+v", even)
		assert.Assert(t, within(lent, limits), "%+v", lent)
	})
}

// Symptom: more requests run at once than the limit, just after a node joined.
// Sequence: with a fourth node the base share falls from one request to none and
// the pool grows; the owner learns of the node before the others and lends more.
// Cause: the larger pool counts before all nodes have given up their base share.
func TestLargerPartWaitsUntilAllNodesKnow(t *testing.T) {
	options := Options{}.withDefaults()
	limits := Amounts{Concurrency: 6}
	v := view{options: options}

	v.set(start, newDivision(options, 3, 3))

	joined := start.Add(time.Minute)
	assert.Equal(t, v.base(joined, limits).Concurrency, 1.0)
	assert.Equal(t, v.pool(joined, limits).Concurrency, 3.0)

	v.set(joined, newDivision(options, 4, 4))
	assert.Equal(t, v.base(joined, limits).Concurrency, 0.0)
	assert.Equal(t, v.pool(joined, limits).Concurrency, 3.0)
	assert.Equal(t, v.pool(joined.Add(options.lapse()-1), limits).Concurrency, 3.0)
	assert.Equal(t, v.pool(joined.Add(options.lapse()), limits).Concurrency, 6.0)
}

func TestConcurrencyHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amounts{Concurrency: float64(rapid.IntRange(1, 40).Draw(t, "limit"))}
		c := newCluster(rapid.Uint64().Draw(t, "seed"), limits, 9)
		c.delay = 300 * time.Millisecond

		for i := range 600 {
			busy := fmt.Sprintf("n%02d", i/100)
			length := func() time.Duration { return time.Duration(100+c.random.IntN(8000)) * time.Millisecond }
			c.step(func(name string) int {
				if name == busy {
					return 2
				}

				return c.random.IntN(2)
			}, length, 0)

			assert.Assert(t, c.running() <= int(limits.Concurrency), "%d run", c.running())
		}
	})
}

func TestUseOfTheLimit(t *testing.T) {
	limits := Amounts{Requests: 40}
	tests := map[string]struct {
		busy, perTick int
		delay         time.Duration
		least         float64
	}{
		"one node of nine has all the demand": {1, 4, 10 * time.Millisecond, 0.85},
		"all nine want more than they get":    {9, 1, 10 * time.Millisecond, 0.95},
		"three of nine":                       {3, 2, 10 * time.Millisecond, 0.90},
		"one of nine, slow network":           {1, 4, 450 * time.Millisecond, 0.85},
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
				before := 0
				for _, n := range c.nodes {
					before -= n.admitted
				}

				for range ticks {
					c.step(arrivals, second, 0)
				}

				for _, n := range c.nodes {
					before += n.admitted
				}

				return float64(before)
			}

			count(100)
			share := count(1200) / (60 * limits.Requests)
			t.Logf("%.3f of the limit was used", share)
			assert.Assert(t, share >= tt.least && share <= 1+1.0/60, "%f", share)
		})
	}
}

// Symptom: an organisation within its limit is refused for as long as one node is down.
// Sequence: the owner of its limit is frozen, still listed, and answers nobody.
// Cause: the share ends with the lease, and no other share takes its place.
func TestSilentOwner(t *testing.T) {
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

	c.cut[owner] = true
	lent := other.limiter.Allowed(c.now, testKey).Requests

	steps := func(length time.Duration) {
		for range int(length / tick) {
			c.step(arrivals, second, 0)
		}
	}
	lease := other.limiter.options.LeaseDuration

	steps(lease / 2)
	assert.Assert(t, other.limiter.Allowed(c.now, testKey).Requests >= 0.9*lent, "the last share is kept for a while")

	steps(lease)
	assert.Equal(t, other.limiter.Allowed(c.now, testKey).Requests, 10.0, "then an even part of the limit")

	_, total, _ := c.allowed()
	assert.Assert(t, total.Requests <= 2*90)

	c.cut[owner] = false

	steps(2 * time.Second)

	sum, total, alone := c.allowed()
	assert.Equal(t, alone, 0)
	assert.Equal(t, sum, total)
}

// Symptom: an organisation within its limit is refused for some seconds whenever a node goes.
// Sequence: the owner of its limit crashes; the next owner knows no leases and waits for the old ones to end.
// Cause: the next owner lends nothing meanwhile, not even what nodes say they hold.
func TestNextOwnerRenewsLoans(t *testing.T) {
	c := newCluster(1, Amounts{Requests: 90}, 9)
	busy := "n00"

	if c.ownerName() == busy {
		busy = "n01"
	}

	arrivals := func(name string) int { return map[bool]int{true: 2}[name == busy] }

	// Past the first renewal: what a node asks for at first is measured over a quarter of a period.
	for range 600 {
		c.step(arrivals, second, 0)
	}

	lent := c.nodes[busy].limiter.Allowed(c.now, testKey).Requests
	assert.Assert(t, lent > 50, "%f", lent)

	delete(c.nodes, c.ownerName())
	c.changed()

	for range 300 {
		c.step(arrivals, second, 0)
		assert.Assert(t, c.nodes[busy].limiter.Allowed(c.now, testKey).Requests > 0.9*lent)
	}
}

// Symptom: after a start of all nodes, or of one, organisations far below their limits are refused for seconds.
// Sequence: no node has a lease, and new owners wait for leases that may be out.
// Cause: nothing is granted until all that could have been lent has ended.
func TestFreshNodesServeAtOnce(t *testing.T) {
	tests := map[string]func(c *cluster){
		"all nodes start": func(c *cluster) {
			for _, name := range c.names() {
				c.add(name)
			}

			for _, name := range c.names() {
				c.view(name, c.names())
			}
		},
		"one node starts": func(c *cluster) {
			c.add("n04")
			c.view("n04", c.names())
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

			assert.Equal(t, refused(), early, "none is refused after 2 s")
		})
	}
}

// Symptom: requests of two nodes together exceed the concurrency limit for a moment.
// Sequence: a node with a lease falls idle and sends no more reports; just before
// the lease ends it admits requests; the owner counts the lease as ended and lends
// it to another node, while these requests run.
// Cause: the owner knows what runs from reports alone, and none came.
func TestLoanIsReportedOnUntilReturned(t *testing.T) {
	l := New(Options{}, fixedLimits(Amounts{Concurrency: 9}), "b", 1)
	l.SetNodes(start, []string{"a", "b"}, 2)

	now := start.Add(10 * time.Second)
	_, ok := l.Admit(now, testKey.Service, testKey.Organisation, "chat")
	assert.Assert(t, ok, "a first request needs no lease")
	l.Done(now, testKey.Service, testKey.Organisation, "chat", 0)

	reported := now
	reports := 0

	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(time.Second) {
		demands := l.DueReports(now)[l.entries[testKey].owner]
		if len(demands) == 0 {
			assert.Assert(t, now.Sub(reported) < l.options.renewAfter(), "second %s", now.Sub(start))

			continue
		}

		reported = now
		reports++

		// The owner takes the lease back only when the node has been idle for long.
		l.Apply(now, []LeaseReply{{Key: testKey, Sequence: demands[0].Sequence, Leased: Amounts{Concurrency: 4}}})
	}

	assert.Assert(t, reports <= 16, "%d reports in five minutes without use", reports)

	l.RequestReports(now, []Key{testKey})
	returned := l.DueReports(now)[l.entries[testKey].owner]
	l.Apply(now, []LeaseReply{{Key: testKey, Sequence: returned[0].Sequence}})

	acknowledged := l.DueReports(now.Add(time.Second))[l.entries[testKey].owner]
	assert.Equal(t, acknowledged[0].Acknowledged, returned[0].Sequence, "until it hears that the node knows, the owner counts the lease")
	l.Apply(now, []LeaseReply{{Key: testKey, Sequence: acknowledged[0].Sequence}})

	assert.Equal(t, len(l.DueReports(now.Add(time.Minute))), 0)
}

// Symptom: a node goes by a lease that its owner has given to another.
// Sequence: a report overtakes the one before it, or an answer comes after the next report was sent.
// Cause: the late message is taken for the latest.
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
