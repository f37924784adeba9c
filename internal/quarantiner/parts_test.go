package quarantiner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
)

const (
	// partBound is how long after the fifth crash requests with the part may still run.
	partBound = 3 * time.Second
	// crashesBeforeBound is the number of crashes after which the bound begins.
	crashesBeforeBound = 5
	soundInterval      = 25 * time.Millisecond
	crashInterval      = 400 * time.Millisecond
	runTime            = 100 * time.Millisecond
	organisation       = "salon"
)

// traits are those of a request whose prompt has these parts and one of its own.
func traits(caller string, number int, ids ...string) quarantiner.Traits {
	own := fmt.Sprint("own", number)

	return quarantiner.Traits{Content: key(caller + own + strings.Join(ids, ",")), Parts: quarantiner.NewParts(caller, append(slices.Clone(ids), own))}
}

// partTraffic is traffic of requests that share prompt parts.
type partTraffic struct {
	*fleet

	number    int
	upstreams int
	crashedAt []time.Time
}

func newPartTraffic(t *testing.T, nodes int) *partTraffic {
	return &partTraffic{fleet: newFleet(t, nodes)}
}

// next returns the next node in turn that isn't frozen or cut off.
func (p *partTraffic) next() *node {
	for {
		p.number++
		names := p.live()
		name := names[p.number%len(names)]

		if !p.isSilent(p.frozen, name) && !p.isSilent(p.cutOff, name) {
			return p.nodes[name]
		}
	}
}

// answer lets a request with these parts be answered if it may run.
func (p *partTraffic) answer(ids ...string) {
	n, request := p.next(), traits(organisation, p.number, ids...)
	if _, mayRun := n.Check(request, quarantiner.Key{}); mayRun {
		n.Answered(request, "desk")
	}
}

// serve answers sound requests, each with the common part and another one, for a time.
func (p *partTraffic) serve(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		p.answer("common", fmt.Sprint("b", p.number%5))
		time.Sleep(soundInterval)
	}
}

// crashUnder crashes an upstream at its own address under one request for each list of parts, each sent runTime before.
func (p *partTraffic) crashUnder(lists ...[]string) {
	p.upstreams++
	p.crashAt(fmt.Sprint("u", p.upstreams), fmt.Sprint("address", p.upstreams), lists...)
}

func (p *partTraffic) crashAt(upstream, address string, lists ...[]string) {
	p.add(upstream)
	p.mu.Lock()
	p.alive[upstream] = false
	p.mu.Unlock()

	sentAt := time.Now().Add(-runTime)
	p.crashedAt = append(p.crashedAt, time.Now())

	for _, ids := range lists {
		n := p.next()
		n.Broke(quarantiner.Run{
			Traits: traits(organisation, p.number, ids...), Service: "desk", Upstream: upstream, Address: address, SentAt: sentAt, Answering: true,
		})
	}
}

// heldPart returns the number of nodes in touch at which no request with the part may run.
func (p *partTraffic) heldPart(caller, id string) int {
	count := 0

	for _, name := range p.live() {
		if p.isSilent(p.frozen, name) || p.isSilent(p.cutOff, name) {
			continue
		}

		if _, mayRun := p.nodes[name].Check(traits(caller, 0, id), quarantiner.Key{}); !mayRun {
			count++
		}
	}

	return count
}

// deadlySeries crashes upstreams under requests with the deadly part, beside sound ones, until the bound after the fifth crash. Each
// request that may run at its node crashes an upstream. trouble runs after each crash, with their number.
func (p *partTraffic) deadlySeries(trouble func(crashes int), ids ...string) {
	for {
		if crashes := len(p.crashedAt); crashes >= crashesBeforeBound && time.Since(p.crashedAt[crashesBeforeBound-1]) >= partBound {
			return
		}

		if _, mayRun := p.next().Check(traits(organisation, p.number, ids...), quarantiner.Key{}); mayRun {
			p.crashUnder(ids, []string{"common", fmt.Sprint("b", p.number%5)}, []string{"common", fmt.Sprint("b", (p.number+1)%5)})

			if trouble != nil {
				trouble(len(p.crashedAt))
			}
		}

		p.serve(crashInterval)
	}
}

// checkOnly checks that a part is quarantined at all nodes in touch, and no sound one at any.
func (p *partTraffic) checkOnly(nodes int, part string) {
	p.t.Helper()

	assert.Equal(p.t, p.heldPart(organisation, part), nodes)
	assert.Equal(p.t, p.heldPart(organisation, "common"), 0)

	for i := range 5 {
		assert.Equal(p.t, p.heldPart(organisation, fmt.Sprint("b", i)), 0)
	}
}

// coordinators returns the nodes that are told of crashes, the one that decides first.
func (p *partTraffic) coordinators() []string {
	return quarantiner.CoordinatorsOf(p.nodes["n0"].Quarantiner)
}

// Guards against requests that differ in all but a prompt part and crash upstream after upstream, also while the nodes that
// decide are lost in between.
func TestPartThatCrashesUpstreamsIsQuarantinedInTime(t *testing.T) {
	const nodes = 6

	for name, trouble := range map[string]func(p *partTraffic, coordinator string){
		"all well": func(*partTraffic, string) {},
		"killed":   func(p *partTraffic, coordinator string) { p.kill(coordinator) },
		"frozen": func(p *partTraffic, coordinator string) {
			p.mu.Lock()
			defer p.mu.Unlock()

			p.frozen[coordinator] = time.Now()
		},
		"cut off": func(p *partTraffic, coordinator string) {
			p.mu.Lock()
			defer p.mu.Unlock()

			p.cutOff[coordinator] = time.Now()
		},
		"store away": func(p *partTraffic, _ string) {
			p.mu.Lock()
			defer p.mu.Unlock()

			p.storeDown = true
		},
	} {
		for crash := 1; crash <= crashesBeforeBound; crash++ {
			for _, ids := range [][]string{{"common", "deadly"}, {"deadly", "common"}, {"deadly"}} {
				t.Run(fmt.Sprint(name, " after crash ", crash, " ", strings.Join(ids, ",")), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newPartTraffic(t, nodes)
						p.serve(2 * time.Second)
						coordinator := p.coordinators()[0]
						p.deadlySeries(func(crashes int) {
							if crashes == crash {
								trouble(p, coordinator)
							}
						}, ids...)

						want := nodes
						if name != "all well" && name != "store away" {
							want--
						}

						p.checkOnly(want, "deadly")
						assert.Assert(t, len(p.crashedAt) <= 12, "%d crashes", len(p.crashedAt))

						// A node that starts now knows it too, as soon as the others know that node.
						p.start("late")
						time.Sleep(2 * time.Second)
						p.checkOnly(want+1, "deadly")
					})
				})
			}
		}
	}
}

// Guards against only one of two parts that crash upstreams at the same time being found.
func TestTwoPartsThatCrashUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 5)
		p.serve(time.Second)

		for i := range 10 {
			p.crashUnder([]string{"common", []string{"first", "second"}[i%2]}, []string{"common", "b0"})
			p.serve(crashInterval)
		}

		p.serve(partBound)
		p.checkOnly(5, "first")
		p.checkOnly(5, "second")
	})
}

// crashesWithoutCause are crashes that have nothing to do with the parts which the requests name.
func crashesWithoutCause() map[string]func(p *partTraffic) {
	common := [][]string{{"common", "b0"}, {"common", "b1"}, {"common", "b2"}}
	// crash crashes upstreams one after the other under requests that all name the common part.
	crash := func(count int, afterEach func(p *partTraffic)) func(p *partTraffic) {
		return func(p *partTraffic) {
			for range count {
				p.crashUnder(common...)
				afterEach(p)
			}
		}
	}

	return map[string]func(p *partTraffic){
		"a failure domain is reclaimed": crash(6, func(*partTraffic) {}),
		"two failure domains are reclaimed": crash(10, func(p *partTraffic) {
			if p.upstreams == 5 {
				time.Sleep(time.Second)
			}
		}),
		"upstreams run out of memory": crash(5, func(p *partTraffic) { p.serve(200 * time.Millisecond) }),
		"upstreams run out of memory under long streams": crash(5, func(p *partTraffic) {
			time.Sleep(200 * time.Millisecond)

			for _, ids := range common {
				p.next().Survived(traits(organisation, p.number, ids...), "desk")
			}
		}),
		"a release crashes all upstreams": crash(20, func(*partTraffic) { time.Sleep(300 * time.Millisecond) }),
		"one upstream flaps in a quiet hour": func(p *partTraffic) {
			for i := range 8 {
				p.crashAt(fmt.Sprint("flapping", i), "one address", common[0])
				// Nothing but requests without the part is answered.
				for range 20 {
					p.answer("other")
					time.Sleep(time.Second)
				}
			}
		},
		"upstreams crash in a quiet hour": crash(8, func(p *partTraffic) {
			// Each crash hit some of few requests; the next ones were answered.
			time.Sleep(30 * time.Second)

			for _, ids := range common {
				p.answer(ids...)
			}

			time.Sleep(30 * time.Second)
		}),
		"four upstreams crash in a quiet hour, nothing with the parts is answered": crash(4, func(p *partTraffic) {
			p.answer("other")
			time.Sleep(20 * time.Second)
		}),
	}
}

// Guards against a part that a whole organisation names being quarantined for crashes that have nothing to do with it.
func TestCommonPartIsNotBlamed(t *testing.T) {
	for name, crash := range crashesWithoutCause() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPartTraffic(t, 5)
				p.serve(time.Second)
				crash(p)
				time.Sleep(partBound)
				p.checkOnly(0, "deadly")
			})
		})
	}
}

// Guards against a first part being quarantined in place of the deadly one because an organisation sent nothing else lately.
func TestPartThatWasAnsweredBeforeIsNotBlamedForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 4)
		p.answer("common", "b0")
		time.Sleep(20 * time.Minute)

		for range 6 {
			p.crashUnder([]string{"common", "deadly"})
			p.answer("other")
			time.Sleep(time.Second)
		}

		time.Sleep(partBound)
		p.checkOnly(4, "deadly")
	})
}

// Guards against a deadly part that is found only together with another one which came with it at first.
func TestPartIsFoundAfterAnotherThatCameWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 4)

		for range 6 {
			p.crashUnder([]string{"common", "deadly", "companion"})
			p.serve(time.Second)
		}

		assert.Equal(t, p.heldPart(organisation, "companion"), 4)

		for i := range 3 {
			p.crashUnder([]string{"common", "deadly", fmt.Sprint("other", i)})
			p.serve(time.Second)
		}

		p.checkOnly(4, "deadly")
	})
}

// Guards against a caller that gets the requests of another organisation refused by naming their parts.
func TestPartOfAnotherOrganisationIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 4)
		p.serve(time.Second)
		p.deadlySeries(nil, "shared")
		assert.Equal(t, p.heldPart(organisation, "shared"), 4)
		assert.Equal(t, p.heldPart("studio", "shared"), 0)
	})
}

// Guards against upstreams that fail requests without reading them acquitting a deadly part.
func TestErrorOfAnUpstreamDoesNotAcquitAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 4)

		for range 6 {
			p.crashUnder([]string{"common", "deadly"})
			p.next().Failed(traits(organisation, p.number, "common", "deadly"))
			p.serve(time.Second)
		}

		p.checkOnly(4, "deadly")
	})
}

// Guards against a wrong quarantine that lasts although upstreams answer requests with the part that ran when it began.
func TestWrongQuarantineEndsWithAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 4)
		p.serve(time.Second)
		p.deadlySeries(nil, "common", "deadly")
		p.checkOnly(4, "deadly")
		p.list()

		p.next().Answered(traits(organisation, p.number, "common", "deadly"), "desk")
		time.Sleep(time.Second)
		p.list()
		assert.Equal(t, p.heldPart(organisation, "deadly"), 0)
		assert.Equal(t, p.recorded(), 0)
	})
}

// tryOnce reports whether a request with the deadly part may run, as a trial.
func (p *partTraffic) tryOnce() bool {
	verdict, mayRun := p.next().Check(traits(organisation, p.number, "common", "deadly"), quarantiner.Key{})
	if mayRun {
		assert.Assert(p.t, verdict.Trial != quarantiner.Key{})
	} else {
		assert.Equal(p.t, verdict.Part, "deadly")
		assert.Assert(p.t, verdict.Remaining > 0)
	}

	p.list()

	return mayRun
}

// replaceNodes replaces all nodes by new ones.
func (p *partTraffic) replaceNodes() {
	for _, name := range p.live() {
		p.kill(name)
	}

	p.start("m0")
	p.start("m1")
}

// maxInADay returns the largest number of the times that fall within 24 hours.
func maxInADay(times []time.Time) int {
	most := 0

	for i, from := range times {
		later := slices.IndexFunc(times, func(at time.Time) bool { return at.Sub(from) >= 24*time.Hour })
		if later < 0 {
			later = len(times)
		}

		most = max(most, later-i)
	}

	return most
}

// Guards against a part that is refused for ever, and against more than three requests a day that are sent to find out whether it
// still crashes upstreams, counted over all nodes and over restarts of them all.
func TestPartIsTriedAgainSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 4)
		p.serve(time.Second)
		p.deadlySeries(nil, "common", "deadly")
		p.list()

		var trials []time.Time

		for minute := range 72 * 60 {
			if minute == 30*60 {
				p.replaceNodes()
			}

			if p.tryOnce() {
				trials = append(trials, time.Now())
				p.crashUnder([]string{"common", "deadly"})
			}

			time.Sleep(time.Minute)
		}

		assert.Assert(t, len(trials) >= 4, "%d trials", len(trials))
		assert.Assert(t, maxInADay(trials) <= 3, "%v", trials)

		// The upstreams are mended.
		for !p.tryOnce() {
			time.Sleep(time.Minute)
		}

		p.next().Answered(traits(organisation, p.number, "common", "deadly"), "desk")
		time.Sleep(time.Second)
		p.list()
		assert.Equal(t, p.heldPart(organisation, "deadly"), 0)
	})
}

// Guards against memory, reports and queries that grow with the parts that callers name: hundreds in each request, each unique,
// for hours.
func TestMemoryOfPartsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 3)
		unique := func() []string {
			ids := make([]string, 300)
			for i := range ids {
				ids[i] = fmt.Sprint("unique", p.number, "-", i)
			}

			return ids
		}

		for range 120 {
			for range 30 {
				p.answer(unique()...)
			}

			p.crashUnder(unique(), unique(), unique(), unique(), unique(), unique())
			p.answer("common", "b0")
			time.Sleep(time.Minute)
		}

		for _, n := range p.nodes {
			counters := n.Counters()
			assert.Assert(t, counters.AnsweredParts <= 8192 && counters.TrackedParts <= 16384 && counters.DetectorParts <= 16384, "%+v", counters)
		}

		p.crashedAt = nil
		p.deadlySeries(nil, "common", "deadly")
		p.checkOnly(3, "deadly")
	})
}

// Guards against logs that don't tell why a part is refused.
func TestLogsNameThePartAndTheEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartTraffic(t, 3)
		p.serve(time.Second)
		p.deadlySeries(nil, "common", "deadly")

		p.mu.Lock()
		defer p.mu.Unlock()

		logged := p.logs.String()
		for _, text := range []string{`"prompt_part":"deadly"`, `"crashed_upstreams":["u1","u2","u3","u4"`, `"nodes_asked":2`, `"message":"quarantine_evidence"`} {
			assert.Assert(t, strings.Contains(logged, text), "%s in %s", text, logged)
		}
	})
}
