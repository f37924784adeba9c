package claimer_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	measuredNodes = 9
	measuredTime  = 20 * time.Second
	storeDelay    = 3 * time.Millisecond
	peerDelay     = 1500 * time.Microsecond
	runTime       = 50 * time.Millisecond
	answerBytes   = 200
)

// fleet measures nodes under virtual time; it is the wire and the choice of holders too.
type fleet struct {
	nodes   []*claimer.Claimer
	holders bool
	index   int
}

func (f fleet) Holder(shard int) string {
	if !f.holders {
		return ""
	}

	return fmt.Sprint(shard % len(f.nodes))
}

func (f fleet) Alive(string, string) bool { return true }

func (f fleet) Call(ctx context.Context, peer, _ string, params, result any) error {
	var index int
	_, _ = fmt.Sscan(peer, &index)
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(peerDelay)
	reply, err := f.nodes[index].HandleWrite(ctx, fmt.Sprint(f.index), encoded)
	if err != nil {
		return err
	}
	time.Sleep(peerDelay)
	encoded, err = json.Marshal(reply)
	if err != nil {
		return err
	}

	return json.Unmarshal(encoded, result)
}

type figures struct {
	latency *hdrhistogram.Histogram
	stats   claimer.Stats
	refused int
	elapsed time.Duration
}

func measure(t *testing.T, rate float64, holders bool, change func(*claimer.Options)) figures {
	t.Helper()
	f := figures{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := keeper.NewStore(keeper.StoreOptions{})
		nodes := make([]*claimer.Claimer, measuredNodes)
		for i := range nodes {
			w := fleet{nodes: nodes, holders: holders, index: i}
			options := claimer.Options{Node: fmt.Sprint(i), Incarnation: "0123abcd", Holders: w, Caller: w}
			if change != nil {
				change(&options)
			}
			local := keeper.NewLocal(store, func(context.Context, keeper.Call) keeper.Verdict {
				return keeper.Verdict{DelayBefore: storeDelay / 2, DelayAfter: storeDelay / 2}
			})
			nodes[i] = claimer.New(ctx, local, options)
		}
		started := time.Now()
		f.offer(ctx, nodes, rate)
		for _, c := range nodes {
			assert.NilError(t, c.Drain(ctx))
			f.add(c.Stats())
		}
		f.elapsed = time.Since(started)
	})

	return f
}

// offer lets requests arrive at random and waits for the last of them.
func (f *figures) offer(ctx context.Context, nodes []*claimer.Claimer, rate float64) {
	random := rand.New(rand.NewPCG(7, uint64(rate)))
	var mu sync.Mutex
	var requests sync.WaitGroup
	until := time.Now().Add(measuredTime)
	for number := 0; time.Now().Before(until); number++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		c := nodes[random.IntN(len(nodes))]
		requests.Go(func() {
			key := fmt.Sprintf("8f14e45f-ceea-467f-a1f4-%012d", number)
			claim := claimer.Claim{
				Organisation: "catania", Service: "banco", Key: key,
				BodyHash: sha256.Sum256([]byte(key)), RequestID: "0.0123abcd." + fmt.Sprint(number),
			}
			started := time.Now()
			decision, err := c.Begin(ctx, claim)
			mu.Lock()
			_ = f.latency.RecordValue(time.Since(started).Microseconds())
			if err != nil {
				f.refused++
			}
			mu.Unlock()
			if err != nil {
				return
			}
			time.Sleep(runTime)
			_ = decision.Handle.Finish(ctx, claimer.Result{
				Ran: classifier.RanYes, Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes),
			})
		})
	}
	requests.Wait()
}

func (f *figures) add(s claimer.Stats) {
	f.stats.Claims += s.Claims
	f.stats.Writes += s.Writes
	f.stats.LostWrites += s.LostWrites
	f.stats.Records += s.Records
	f.stats.KeptBytes += s.KeptBytes
	f.stats.SentBytes += s.SentBytes
	f.stats.Reads += s.Reads
	f.stats.Forwarded += s.Forwarded
}

// The time is virtual, so that these figures are those of the design, not of the machine: 9 nodes, a
// store that answers in 3 ms, peers 1.5 ms away, requests at random times, answers of 200 bytes.
func TestMeasure_LatencyAndWrites(t *testing.T) {
	for _, holders := range []bool{true, false} {
		for _, rate := range []float64{10, 100, 300, 1000} {
			f := measure(t, rate, holders, nil)
			claims := float64(f.stats.Claims)
			t.Logf("holders=%v claims_per_second=%.0f p50_ms=%.1f p99_ms=%.1f refused=%d writes_per_second=%.1f lost_writes=%d "+
				"reads=%d records_per_write=%.2f kept_bytes_per_claim=%.0f sent_bytes_per_claim=%.0f",
				holders, rate, ms(f.latency.ValueAtQuantile(50)), ms(f.latency.ValueAtQuantile(99)), f.refused,
				float64(f.stats.Writes)/measuredTime.Seconds(), f.stats.LostWrites, f.stats.Reads,
				float64(f.stats.Records)/float64(f.stats.Writes-f.stats.LostWrites),
				float64(f.stats.KeptBytes)/claims, float64(f.stats.SentBytes)/claims)
			if holders {
				// Shards over the write interval, and four at once after rest, bound the writes, whatever the load.
				assert.Assert(t, float64(f.stats.Writes) <= claimer.Shards*(4+f.elapsed.Seconds()/0.1))
				assert.Equal(t, f.refused, 0)
			}
		}
	}
}

func ms(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// Bytes of memory and of the store that one finished claim with a short answer takes at a
// node that read its shard: while the answer is kept, and after it was dropped.
func TestMeasure_Memory(t *testing.T) {
	if testing.Short() {
		t.Skip("measures the heap")
	}
	for _, answers := range []time.Duration{time.Hour, 50 * time.Millisecond} {
		store := keeper.NewStore(keeper.StoreOptions{HistoryEvents: 1})
		c := claimer.New(t.Context(), keeper.NewLocal(store, nil), claimer.Options{
			Node: "0", Incarnation: "0123abcd", WriteInterval: time.Nanosecond, EndDelay: time.Nanosecond,
			AnswerTime: answers, TickInterval: answers,
		})
		const claims = 20_000
		for i := range claims {
			key := fmt.Sprint(i)
			decision, err := c.Begin(t.Context(), claimOf(key, key))
			assert.NilError(t, err)
			assert.NilError(t, decision.Handle.Finish(t.Context(), claimer.Result{Ran: classifier.RanYes, Status: 200, Body: make([]byte, answerBytes)}))
		}
		// A second node reads what the first wrote: its heap grows by the journals alone.
		before := heap()
		next := claimer.New(t.Context(), keeper.NewLocal(store, nil), claimer.Options{Node: "1", Incarnation: "1"})
		for i := range 1000 {
			_, err := next.Begin(t.Context(), claimOf(fmt.Sprint(i), fmt.Sprint(i)))
			assert.NilError(t, err)
		}
		t.Logf("answers_kept=%s heap_bytes_per_claim=%.1f stored_bytes_per_claim=%.1f", answers,
			float64(heap()-before)/claims, float64(next.Stats().JournalBytes)/claims)
		runtime.KeepAlive(next)
		runtime.KeepAlive(store)
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
