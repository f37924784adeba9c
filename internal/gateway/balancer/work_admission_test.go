package balancer_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

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
	engine  int
	// result is "in time", "late", "refused" or "refused twice"; returned is set if the second attempt was served.
	result   string
	returned bool
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

	prefilled += r.unread
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
	busy += ms * e.factor
	e.nextAt = now + time.Duration(ms*e.factor*float64(time.Millisecond))

	return first, ended
}

var prefilled int
var busy float64
// fakeLoad is the load of a pool's part of the customer W for 14 s, with a burst of long prompts for 9 s.
type fakeLoad struct {
	options balancer.Options
	seed    uint64
	// organisations is the number of organisations that send alike; heavy is the factor for the first of them, 0 for none.
	organisations int
	heavy         float64
	// burst is the factor for long prompts during the burst.
	burst float64
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

// run sends the load to a pool and returns all requests with their results.
func (l *fakeLoad) run() []*fakeRequest {
	p := balancer.NewPool(l.options)
	p.SetUpstreams(start, engineList(fakeEngines, fakeSlots), balancer.Engine{CacheTokens: fakeCacheTokens, EventTokens: fakeEventTokens})

	engines := make([]*fakeEngine, fakeEngines)
	for i := range engines {
		engines[i] = &fakeEngine{factor: []float64{0.6, 1, 1, 1.6}[i%4]}
	}

	random := rand.New(rand.NewPCG(l.seed, 2))
	arrivals, all, known := l.requests(), []*fakeRequest(nil), make(map[string]*fakeRequest)

	place := func(now time.Duration, r *fakeRequest, choice balancer.Choice) {
		r.engine = int(choice.Upstream[0] - 'a')
		engines[r.engine].add(now+networkDelay, r)
	}

	refuse := func(now time.Duration, r *fakeRequest, choice balancer.Choice) {
		left := r.work.TimeLimit - (now - r.arrived)
		after := time.Duration(choice.ReturnMS * float64(time.Millisecond))

		if after == 0 {
			wait := max(now-r.arrived, time.Duration(choice.ExpectedWaitMS*float64(time.Millisecond)))
			after = max(min(250*time.Millisecond+time.Duration(random.Int64N(int64(250*time.Millisecond)))+wait, time.Duration(0.3*float64(left))), 50*time.Millisecond)
		}

		r.attempt++

		switch {
		case r.attempt > 1:
			r.result = "refused twice"
		case float64(after) > callerWaits*float64(left):
			r.result = "refused"
		default:
			r.work.TimeLimit = left - after
			back := int((now + after + time.Duration(random.IntN(5))*time.Millisecond) / tick)
			arrivals[back] = append(arrivals[back], r)
		}
	}

	for ms := range 20_000 {
		now := time.Duration(ms) * tick
		changed := now%fakeGrantEvery == 0

		for _, e := range engines {
			first, ended := e.step(now)
			for _, r := range first {
				r.result = "late"
				if now-r.arrived <= r.work.Target {
					r.result = "in time"
				}

				r.returned = r.attempt > 0
				p.RecordFirstEvent(at(now), r.work.ID, nil)
			}

			for _, r := range ended {
				p.RecordGaps(r.work.ID, balancer.EventGaps{Events: r.tokens / fakeEventTokens, MeanMS: 9 * fakeStepMS, LongestMS: 9 * fakeStepMS})
				p.RecordEnd(at(now), r.work.ID, balancer.Served)
			}

			changed = changed || len(first)+len(ended) > 0
		}

		for _, r := range arrivals[ms] {
			if r.attempt == 0 {
				all = append(all, r)
			}

			r.work.ID = fmt.Sprint(r.work.ID, ".", r.attempt)
			r.arrived = now
			known[r.work.ID] = r

			switch choice, decision := p.Acquire(at(now), "node", r.work); decision {
			case balancer.Granted:
				place(now, r, choice)
			case balancer.Refused:
				refuse(now, r, choice)
			case balancer.Queued:
			}
		}

		if !changed {
			continue
		}

		for _, g := range p.GrantQueued(at(now)) {
			if r := known[g.ID]; g.Refused {
				refuse(now, r, g.Choice)
			} else {
				place(now, r, g.Choice)
			}
		}
	}

	return all
}

// share returns the fraction of the selected requests with one of the results, and their number.
func share(all []*fakeRequest, selected func(r *fakeRequest) bool, results ...string) (float64, int) {
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

	return float64(matching) / float64(max(count, 1)), count
}

func ofKind(kind string) func(r *fakeRequest) bool {
	return func(r *fakeRequest) bool { return r.kind == kind }
}

func TestPrintLoads(t *testing.T) {
	if os.Getenv("PRINT_LOADS") == "" {
		t.Skip()
	}
	long := ofKind("long")
	groups := map[string]func(r *fakeRequest) bool{
		"1long": long,
		"2large": func(r *fakeRequest) bool { return long(r) && r.work.PromptTokens > 19000 },
		"3others": func(r *fakeRequest) bool { return long(r) && r.work.Organisation != "org0" },
		"4returned": func(r *fakeRequest) bool { return long(r) && r.attempt > 0 && r.result != "refused" },
		"5medium": ofKind("medium"), "6chat": ofKind("chat"),
	}
	for _, c := range []struct{ heavy, burst float64 }{{0, 2.5}, {0, 3.5}, {7, 1}, {7, 2}} {
		for _, on := range []bool{true} {
			line := fmt.Sprintf("%v %5v", c, on)
			sum := map[string]float64{}
			const seeds = 6
			for seed := range uint64(seeds) {
				load := fakeLoad{options: balancer.Options{WorkAdmission: on}, seed: seed, organisations: 10, heavy: c.heavy, burst: c.burst}
				all := load.run()
				for name, f := range groups {
					v, _ := share(all, f, "in time", "late")
					w, _ := share(all, f, "in time")
					x, _ := share(all, f, "refused twice")
					sum[name+"s"] += v / seeds
					sum[name+"t"] += w / seeds
					sum[name+"x"] += x / seeds
				}
			}
			for _, name := range slices.Sorted(maps.Keys(groups)) {
				line += fmt.Sprintf(" %s %.3f/%.3f/%.3f", name[1:], sum[name+"s"], sum[name+"t"], sum[name+"x"])
			}
			fmt.Println(line)
		}
	}
}
