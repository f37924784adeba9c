package balancer_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// fakeEngine reads one prompt at a time, in chunks, and generates a token of each stream with each step.
type fakeEngine struct {
	// factor is how long its work takes relative to the usual.
	factor  float64
	nextAt  time.Duration
	reading []*fakeRequest
	streams []*fakeRequest
	// cached lists the shared parts that it keeps, most recently used last.
	cached []string
}

const (
	fakeStepMS         = 3.03
	fakeTokensPerMS    = 92.1
	fakeChunk          = 1024
	fakeCachedParts    = 35
	fakeEventTokens    = 9
	fakeSlots          = 16
	fakeCacheTokens    = 322_545
	fakeEngines        = 15
	callerWaits        = 1.0 / 3
	fakeGrantEvery     = 50 * time.Millisecond
	tick               = time.Millisecond
	networkDelay       = 2 * time.Millisecond
	largePercentile    = 0.9
	usualLongRate      = 48.0
	usualMediumRate    = 44.0
	usualChatRate      = 9.5
	burstFactor        = 2.5
	burstFrom, burstTo = 2 * time.Second, 11 * time.Second
)

// fakeRequest is a caller's request.
type fakeRequest struct {
	work balancer.Request
	kind string
	// arrived is when the current attempt came, attempt how many came before.
	arrived time.Duration
	attempt int
	tokens  int
	unread  int
	made    int
	// result is one of the constants below.
	result string
}

func (e *fakeEngine) add(now time.Duration, r *fakeRequest) {
	r.unread = r.work.PromptTokens

	if parts := r.work.PromptParts; len(parts) > 0 {
		if i := slices.Index(e.cached, parts[0].ID); i >= 0 {
			r.unread -= parts[0].Tokens
			e.cached = slices.Delete(e.cached, i, i+1)
		}

		e.cached = append(e.cached, parts[0].ID)
		e.cached = e.cached[max(len(e.cached)-fakeCachedParts, 0):]
	}

	e.reading = append(e.reading, r)
	slices.SortStableFunc(e.reading, func(a, b *fakeRequest) int { return a.work.Priority - b.work.Priority })
	e.nextAt = max(e.nextAt, now)
}

// step runs the engine's next step and returns the requests with a first event and those that ended.
func (e *fakeEngine) step(now time.Duration) (first, ended []*fakeRequest) {
	if len(e.reading)+len(e.streams) == 0 || now < e.nextAt {
		return nil, nil
	}

	ms := fakeStepMS

	if len(e.reading) > 0 {
		r := e.reading[0]
		chunk := min(r.unread, fakeChunk)
		ms += float64(chunk) / fakeTokensPerMS

		if r.unread -= chunk; r.unread <= 0 {
			e.reading = e.reading[1:]
			e.streams = append(e.streams, r)
		}
	}

	e.streams = slices.DeleteFunc(e.streams, func(r *fakeRequest) bool {
		r.made++

		if r.made == fakeEventTokens {
			first = append(first, r)
		}

		if r.made >= r.tokens {
			ended = append(ended, r)
		}

		return r.made >= r.tokens
	})
	e.nextAt = now + time.Duration(ms*e.factor*float64(time.Millisecond))

	return first, ended
}

// fakeLoad is the load of a pool's part of the customer W for 14 s, with a burst of long prompts for 9 s.
type fakeLoad struct {
	options balancer.Options
	seed    uint64
	// organisations is the number of organisations that send alike; heavy is the factor for the first of them, 0 for none.
	organisations int
	heavy         float64
	// burst is the factor for long prompts during the burst.
	burst float64
	// decided is called with each decision, if set.
	decided func(id, upstream string)
}

func (l *fakeLoad) requests() map[int][]*fakeRequest {
	random := rand.New(rand.NewPCG(l.seed, 1))
	arrivals := make(map[int][]*fakeRequest)
	sequence := 0

	add := func(at int, kind, organisation string, work balancer.Request, events int) {
		sequence++
		work.ID = fmt.Sprint("r", sequence)
		work.Content = uint64(sequence)
		work.Organisation = organisation
		work.LengthHint = max(int(float64(events*fakeEventTokens)*math.Exp(0.7*random.NormFloat64())), 1)
		arrivals[at] = append(arrivals[at], &fakeRequest{work: work, kind: kind, tokens: events * fakeEventTokens})
	}

	for ms := range 14_000 {
		at := time.Duration(ms) * time.Millisecond
		burst := 1.0

		if at >= burstFrom && at < burstTo {
			burst = l.burst
		}

		for o := range l.organisations {
			name, part := fmt.Sprint("org", o), 1/float64(l.organisations)
			if o == 0 && l.heavy > 0 && at >= burstFrom && at < burstTo {
				part *= l.heavy
			}

			if random.Float64() < usualLongRate*burst*part/1000 {
				prompt := min(int(6300*math.Exp(0.87*random.NormFloat64())), 60_000)
				shared := prompt * 2 / 3
				add(ms, "long", name, balancer.Request{
					Priority: 2, PromptTokens: prompt, OutputTokens: 400, Target: time.Second, GapLimit: 600 * time.Millisecond, TimeLimit: 4 * time.Second,
					PromptParts: []balancer.PromptPart{{ID: fmt.Sprint(name, "-", random.IntN(600)), Tokens: shared}, {ID: fmt.Sprint("p", sequence), Tokens: prompt - shared}},
				}, 6)
			}

			if random.Float64() < usualMediumRate*part/1000 {
				add(ms, "medium", name, balancer.Request{
					Priority: 1, PromptTokens: 2368, OutputTokens: 200, Target: 400 * time.Millisecond, GapLimit: 250 * time.Millisecond, TimeLimit: 3 * time.Second,
				}, 3)
			}

			if random.Float64() < usualChatRate*part/1000 {
				add(ms, "chat", name, balancer.Request{
					Priority: 0, PromptTokens: 715, OutputTokens: 600, Target: 250 * time.Millisecond, GapLimit: 150 * time.Millisecond, TimeLimit: 10 * time.Second,
				}, 31)
			}
		}
	}

	return arrivals
}

// fakeFleet runs a load against a pool and its engines.
type fakeFleet struct {
	load     *fakeLoad
	pool     *balancer.Pool
	engines  []*fakeEngine
	random   *rand.Rand
	arrivals map[int][]*fakeRequest
	// all lists the requests, known the attempts by ID.
	all   []*fakeRequest
	known map[string]*fakeRequest
}

// run sends the load to a pool and returns all requests with their results.
func (l *fakeLoad) run() []*fakeRequest {
	f := &fakeFleet{
		load: l, pool: balancer.NewPool(l.options), random: rand.New(rand.NewPCG(l.seed, 2)), arrivals: l.requests(), known: make(map[string]*fakeRequest),
	}
	f.pool.SetUpstreams(start, engineList(fakeEngines, fakeSlots), balancer.Engine{CacheTokens: fakeCacheTokens, EventTokens: fakeEventTokens})

	for i := range fakeEngines {
		f.engines = append(f.engines, &fakeEngine{factor: []float64{0.6, 1, 1, 1.6}[i%4]})
	}

	for ms := range 20_000 {
		now := time.Duration(ms) * tick
		changed := f.advance(now)

		for _, r := range f.arrivals[ms] {
			f.ask(now, r)
		}

		if !changed && now%fakeGrantEvery != 0 {
			continue
		}

		for _, g := range f.pool.GrantQueued(at(now)) {
			if r := f.known[g.ID]; g.Refused {
				f.refuse(now, r, g.Choice)
			} else {
				f.place(now, r, g.Choice)
			}
		}
	}

	return f.all
}

// advance runs the engines and reports whether one has room that it didn't have.
func (f *fakeFleet) advance(now time.Duration) (changed bool) {
	for _, e := range f.engines {
		first, ended := e.step(now)
		for _, r := range first {
			r.result = late
			if now-r.arrived <= r.work.Target {
				r.result = inTime
			}

			f.pool.RecordFirstEvent(at(now), r.work.ID, nil)
		}

		for _, r := range ended {
			f.pool.RecordGaps(r.work.ID, balancer.EventGaps{Events: r.tokens / fakeEventTokens, MeanMS: 9 * fakeStepMS, LongestMS: 9 * fakeStepMS})
			f.pool.RecordEnd(at(now), r.work.ID, balancer.Served)
		}

		changed = changed || len(first)+len(ended) > 0
	}

	return changed
}

func (f *fakeFleet) ask(now time.Duration, r *fakeRequest) {
	if r.attempt == 0 {
		f.all = append(f.all, r)
	}

	r.work.ID = fmt.Sprint(r.work.ID, ".", r.attempt)
	r.arrived = now
	f.known[r.work.ID] = r

	switch choice, decision := f.pool.Acquire(at(now), "node", r.work); decision {
	case balancer.Granted:
		f.place(now, r, choice)
	case balancer.Refused:
		f.refuse(now, r, choice)
	case balancer.Queued:
	}
}

func (f *fakeFleet) place(now time.Duration, r *fakeRequest, choice balancer.Choice) {
	f.load.record(r, choice.Upstream)
	f.engines[choice.Upstream[0]-'a'].add(now+networkDelay, r)
}

// refuse lets the caller come back once, if it is told to within a third of its time. Without work admission, the time to come
// back is that of relayer.retryAfter.
func (f *fakeFleet) refuse(now time.Duration, r *fakeRequest, choice balancer.Choice) {
	f.load.record(r, "")

	left := r.work.TimeLimit - (now - r.arrived)
	after := time.Duration(choice.ReturnMS * float64(time.Millisecond))

	if after == 0 {
		wait := max(now-r.arrived, time.Duration(choice.ExpectedWaitMS*float64(time.Millisecond)))
		after = 250*time.Millisecond + time.Duration(f.random.Int64N(int64(250*time.Millisecond)))
		after = max(min(after+wait, time.Duration(0.3*float64(left))), 50*time.Millisecond)
	}

	r.attempt++

	switch {
	case r.attempt > 1:
		r.result = refusedTwice
	case float64(after) > callerWaits*float64(left):
		r.result = refused
	default:
		r.work.TimeLimit = left - after
		back := int((now + after + time.Duration(f.random.IntN(5))*time.Millisecond) / tick)
		f.arrivals[back] = append(f.arrivals[back], r)
	}
}

func (l *fakeLoad) record(r *fakeRequest, upstream string) {
	if l.decided != nil {
		l.decided(r.work.ID, upstream)
	}
}

// fraction returns the fraction of the selected requests with one of the results.
func fraction(all []*fakeRequest, selected func(r *fakeRequest) bool, results ...string) float64 {
	count, matching := 0, 0

	for _, r := range all {
		if !selected(r) {
			continue
		}

		count++

		if slices.Contains(results, r.result) {
			matching++
		}
	}

	return float64(matching) / float64(max(count, 1))
}

func ofKind(kind string) func(r *fakeRequest) bool {
	return func(r *fakeRequest) bool { return r.kind == kind }
}

const (
	inTime, late, refused, refusedTwice = "in time", "late", "refused", "refused twice"

	loadSeeds = 4
)

// runAll returns the requests of the load for several seeds together.
func runAll(load fakeLoad) []*fakeRequest {
	var all []*fakeRequest

	for seed := range uint64(loadSeeds) {
		load.seed = seed
		all = append(all, load.run()...)
	}

	return all
}

var workAdmission = balancer.Options{WorkAdmission: true}

// A burst of long prompts of very different lengths brings more work than the engines can do. Counted in requests, room went
// to prompts that were then late, and refused callers came back only to be refused again.
func TestBurstOfLongPromptsIsAdmittedByWork(t *testing.T) {
	load := fakeLoad{organisations: 10, burst: burstFactor}
	before := runAll(load)
	load.options = workAdmission
	after := runAll(load)

	for _, kind := range []string{"chat", "medium", "long"} {
		t.Logf("%s: in time %.3f, %.3f with work admission", kind, fraction(before, ofKind(kind), inTime), fraction(after, ofKind(kind), inTime))
	}

	long := ofKind("long")
	t.Logf("late %.3f, %.3f; refused twice %.3f, %.3f", fraction(before, long, late), fraction(after, long, late),
		fraction(before, long, refusedTwice), fraction(after, long, refusedTwice))
	assert.Assert(t, fraction(after, long, inTime) > fraction(before, long, inTime)+0.02)
	assert.Assert(t, fraction(after, long, late) < 0.02)
	assert.Assert(t, fraction(after, long, refusedTwice) < fraction(before, long, refusedTwice)/4)
	assert.Assert(t, fraction(after, ofKind("medium"), inTime) > 0.99)
	assert.Assert(t, fraction(after, ofKind("chat"), inTime) > 0.99)
}

// One organisation sends seven times its usual long prompts during a burst. The others must keep what they get without it.
func TestOneOrganisationDoesNotTakeTheRoomOfOthers(t *testing.T) {
	others := func(r *fakeRequest) bool { return r.kind == "long" && r.work.Organisation != "org0" }
	without := fraction(runAll(fakeLoad{options: workAdmission, organisations: 10, burst: 2}), others, inTime)
	with := fraction(runAll(fakeLoad{options: workAdmission, organisations: 10, burst: 2, heavy: 7}), others, inTime)
	before := fraction(runAll(fakeLoad{organisations: 10, burst: 2, heavy: 7}), others, inTime)

	t.Logf("others in time: %.3f without the burst of one, %.3f with it, %.3f by requests", without, with, before)
	assert.Assert(t, with >= 0.95*without)
	assert.Assert(t, before < 0.95*without, "the load doesn't show the failure")
}

// Under an overload, the longest tenth of the prompts and those that were refused before must be served at least half as often
// as their class. Ordered by requests, both were refused again and again, as a shorter prompt took the room each time.
func TestLargePromptsAndReturnsAreNotStarved(t *testing.T) {
	load := fakeLoad{organisations: 10, burst: 3.5}
	before := runAll(load)
	load.options = workAdmission
	after := runAll(load)

	var lengths []int

	for _, r := range after {
		if r.kind == "long" {
			lengths = append(lengths, r.work.PromptTokens)
		}
	}

	slices.Sort(lengths)

	large := func(r *fakeRequest) bool {
		return r.kind == "long" && r.work.PromptTokens > lengths[int(largePercentile*float64(len(lengths)))]
	}
	back := func(r *fakeRequest) bool { return r.kind == "long" && r.attempt > 0 && r.result != refused }
	ratio := func(all []*fakeRequest, selected func(r *fakeRequest) bool) float64 {
		return fraction(all, selected, inTime, late) / fraction(all, ofKind("long"), inTime, late)
	}

	t.Logf("large %.3f, %.3f with work admission; returned %.3f, %.3f", ratio(before, large), ratio(after, large), ratio(before, back), ratio(after, back))
	assert.Assert(t, ratio(after, large) >= 0.5)
	assert.Assert(t, ratio(after, back) >= 0.5)
	assert.Assert(t, ratio(before, large) < 0.5 && ratio(before, back) < 0.5, "the load doesn't show the failure")
}

// With the setting off, each decision must be the one of the code before work admission. The digest was recorded with commit
// 6ef4c5f.
func TestDecisionsWithoutWorkAdmissionAreAsBefore(t *testing.T) {
	digest := fnv.New64a()
	load := fakeLoad{organisations: 10, burst: burstFactor, decided: func(id, upstream string) { _, _ = digest.Write([]byte(id + upstream + ";")) }}
	load.run()
	assert.Equal(t, fmt.Sprintf("%x", digest.Sum64()), "47636c7f4df86a77")
}
