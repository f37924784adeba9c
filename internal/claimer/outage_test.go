package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	outageStart  = 2 * time.Minute
	outageLength = 3 * time.Hour
	outageRate   = 1
	outageRuns   = 80
	longestRun   = 2 * time.Hour
	platformRate = 400
)

// mayHear lists what callers may be told in each phase.
var mayHear = map[string]string{
	"during":           "run, claim_unavailable not_run",
	"of a run, during": "replay, claim_unavailable unknown, key_in_progress unknown",
	"before or after":  "run, replay, claim_unavailable not_run, claim_unavailable unknown, key_in_progress unknown",
}

// outage is a fleet whose store is away for hours: refusing calls for the first half, silent for the second.
type outage struct {
	mu      sync.Mutex
	started time.Time
	nodes   []*claimer.Claimer
	// reads and writes count calls by the second since the return; while away they count in before.
	reads, writes map[int]int
	loads         int
	during        int
	told          map[string]int
	longest       time.Duration
	heldBytes     int64
	queued        int64
}

func (f *outage) away() (refusing, silent bool) {
	since := time.Since(f.started) - outageStart

	return since >= 0 && since < outageLength/2, since >= outageLength/2 && since < outageLength
}

func (f *outage) faults(_ context.Context, call keeper.Call) keeper.Verdict {
	refusing, silent := f.away()
	f.mu.Lock()
	defer f.mu.Unlock()
	if refusing || silent {
		f.during++
	}
	switch {
	case refusing:
		return keeper.Verdict{Refuse: errors.New("outage")}
	case silent:
		return keeper.Verdict{LoseRequest: true, DelayAfter: time.Minute}
	}
	if since := time.Since(f.started) - outageStart - outageLength; since >= 0 {
		if call.Write {
			f.writes[int(since/time.Second)]++
		} else {
			if call.Kind == keeper.CallList {
				f.loads++
			}
			f.reads[int(since/time.Second)]++
		}
	}

	return keeper.Verdict{DelayBefore: storeDelay / 2, DelayAfter: storeDelay / 2}
}

func (f *outage) begin(t *testing.T, node int, key string) *claimer.Handle {
	started := time.Now()
	decision, err := f.nodes[node].Begin(t.Context(), claimOf(key, "bath"))
	took := time.Since(started)
	told := "run"
	if err != nil {
		failure := classifier.From(err)
		told = fmt.Sprint(failure.Code, " ", failure.Ran)
	} else if decision.Replay != nil {
		told = "replay"
	}
	phase := "before or after"
	if refusing, silent := f.away(); refusing || silent {
		phase = "during"
		if strings.HasPrefix(key, "run") {
			phase = "of a run, during"
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[phase+": "+told]++
	f.longest = max(f.longest, took)

	return decision.Handle
}

// Symptom: after hours without the platform, results of runs are lost, bookings stay refused, the
// platform falls again, or nodes run out of memory. Sequence: runs begin before the outage and end in it,
// callers ask for new and for running keys all the time, the platform returns. Cause: calls that are not
// spread, ends that are given up or kept twice, claims that wait instead of being refused.
func TestOutage_OfHours(t *testing.T) {
	for _, count := range []int{9, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playOutage(t, count) })
		})
	}
}

func playOutage(t *testing.T, count int) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &outage{
		started: time.Now(), nodes: make([]*claimer.Claimer, count),
		reads: map[int]int{}, writes: map[int]int{}, told: map[string]int{},
	}
	store := keeper.NewStore(keeper.StoreOptions{HistoryEvents: 1})
	for i := range f.nodes {
		w := fleet{nodes: f.nodes, holders: true, index: i}
		f.nodes[i] = claimer.New(ctx, keeper.NewLocal(store, f.faults), claimer.Options{
			Node: fmt.Sprint(i), Incarnation: "1", Holders: w, Caller: w, Makers: w,
		})
	}
	random := rand.New(rand.NewPCG(11, uint64(count)))
	var work sync.WaitGroup
	for i := range outageRuns {
		node := random.IntN(count)
		wait := time.Duration(random.Int64N(int64(outageStart - 5*time.Second)))
		length := time.Duration(random.Int64N(int64(longestRun)))
		work.Go(func() {
			time.Sleep(wait)
			handle := f.begin(t, node, fmt.Sprint("run ", i))
			assert.Assert(t, handle != nil)
			time.Sleep(length)
			// As the server does: the caller is answered, the record goes on behind.
			end, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			_ = handle.Finish(end, ranOnce)
		})
	}
	work.Go(func() { f.askOn(t, random, &work) })
	time.Sleep(outageStart + outageLength - time.Second)
	for _, c := range f.nodes {
		f.heldBytes = max(f.heldBytes, c.Stats().JournalBytes)
		f.queued = max(f.queued, c.Stats().Queued)
	}
	work.Wait()
	time.Sleep(time.Minute)
	assert.Equal(t, f.judge(t), 0)
	cancel()
	time.Sleep(2 * time.Minute)
}

// askOn asks for new keys and for those of the runs until some time after the return.
func (f *outage) askOn(t *testing.T, random *rand.Rand, work *sync.WaitGroup) {
	for number := 0; time.Since(f.started) < outageStart+outageLength+time.Minute; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() / outageRate * float64(time.Second)))
		node, key := random.IntN(len(f.nodes)), fmt.Sprint("new ", number)
		if number%4 == 0 && time.Since(f.started) > outageStart {
			key = fmt.Sprint("run ", random.IntN(outageRuns))
		}
		work.Go(func() {
			if handle := f.begin(t, node, key); handle != nil {
				time.Sleep(runTime)
				_ = handle.Finish(t.Context(), ranOnce)
			}
		})
	}
}

// judge returns how many of the runs have no recorded result, and checks the bounds.
func (f *outage) judge(t *testing.T) (lost int) {
	for i := range outageRuns {
		decision, err := f.nodes[i%len(f.nodes)].Begin(t.Context(), claimOf(fmt.Sprint("run ", i), "bath"))
		if err != nil || decision.Replay == nil {
			lost++
		}
	}
	mostReads, mostWrites, open := 0, 0, 0
	for second := range 120 {
		mostReads, mostWrites = max(mostReads, f.reads[second]), max(mostWrites, f.writes[second])
	}
	for _, c := range f.nodes {
		open += c.Open()
	}
	t.Logf("nodes=%d told=%v longest=%s calls_a_second_during=%.1f after: reads_a_second=%d writes_a_second=%d shards_read=%d open=%d; "+
		"at a node at most: queued=%d journal_bytes=%d", len(f.nodes), f.told, f.longest,
		float64(f.during)/outageLength.Seconds(), mostReads, mostWrites, f.loads, open, f.queued, f.heldBytes)
	assert.Equal(t, open, 0)
	assert.Assert(t, mostWrites <= platformRate && mostReads <= 5*platformRate)
	assert.Assert(t, f.longest <= 2*time.Second+500*time.Millisecond)
	assert.Assert(t, f.queued <= outageRuns)
	for told := range f.told {
		phase, answer, _ := strings.Cut(told, ": ")
		assert.Assert(t, strings.Contains(mayHear[phase], answer), "a caller was told %q", told)
	}

	return lost
}
