package process_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

const (
	// overheadTokens is the length of the answers whose overhead is measured.
	overheadTokens = 16
	// streamTokens is the length of the answers whose throughput is measured.
	streamTokens  = 2000
	streamsAtOnce = 96
	maxMicros     = 60_000_000
)

// newFastFleet starts one node before engines that spend no time on tokens.
func newFastFleet(tb testing.TB) *fleet {
	tb.Helper()

	f := &fleet{platform: start(tb, "platform", "standin", "platform")}

	for i := range 4 {
		name := fmt.Sprintf("engine-%d", i+1)
		f.engines = append(f.engines, start(tb, name, "standin", "engine",
			"--name", name, "--key", engineKey, "--slots", "256", "--token-step", "0s"))
	}

	f.service = start(tb, "banco", "standin", "service", "--name", "banco", "--slots", "64", "--work", "0s")
	f.addNodes(tb, 1)

	return f
}

// BenchmarkOverhead compares a call through a node with a direct call, in turns in one run.
func BenchmarkOverhead(b *testing.B) {
	f := newFastFleet(b)
	direct := hdrhistogram.New(1, maxMicros, 3)
	through := hdrhistogram.New(1, maxMicros, 3)
	body := fmt.Sprintf(`{"model":"assistente","messages":[{"role":"user","content":"price"}],"max_tokens":%d,"stream":true}`, overheadTokens)

	for b.Loop() {
		timeCall(b, direct, "http://"+f.engines[0].address, engineKey, body)
		timeCall(b, through, "http://"+f.nodes[0].address, callerKey, body)
	}

	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct_p50_us")
	b.ReportMetric(float64(through.ValueAtQuantile(50)), "node_p50_us")
	b.ReportMetric(float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "overhead_p50_us")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "overhead_p99_us")
}

func timeCall(tb testing.TB, histogram *hdrhistogram.Histogram, base, key, body string) {
	tb.Helper()

	started := time.Now()
	read := readChat(tb, base, key, body)

	assert.NilError(tb, histogram.RecordValue(time.Since(started).Microseconds()))
	assert.Assert(tb, read > 0)
}

// readChat sends a chat completion, reads its stream to the end and returns the number of bytes.
func readChat(tb testing.TB, base, key, body string) int64 {
	tb.Helper()

	request, err := http.NewRequestWithContext(tb.Context(), http.MethodPost, base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	assert.NilError(tb, err)
	request.Header.Set("Authorization", "Bearer "+key)

	response, err := benchClient.Do(request)
	assert.NilError(tb, err)

	defer response.Body.Close()

	read, err := io.Copy(io.Discard, response.Body)
	assert.NilError(tb, err)
	assert.Equal(tb, response.StatusCode, http.StatusOK)

	return read
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * streamsAtOnce}}

// BenchmarkStreamedTokens measures tokens a second through one node, with caller, node and engines on one machine.
func BenchmarkStreamedTokens(b *testing.B) {
	f := newFastFleet(b)
	body := fmt.Sprintf(`{"model":"assistente","messages":[{"role":"user","content":"review"}],"max_tokens":%d,"stream":true}`, streamTokens)

	var tokens atomic.Int64

	started := time.Now()

	for b.Loop() {
		var group sync.WaitGroup

		for range streamsAtOnce {
			group.Go(func() {
				readChat(b, "http://"+f.nodes[0].address, callerKey, body)
				tokens.Add(streamTokens)
			})
		}

		group.Wait()
	}

	b.ReportMetric(float64(tokens.Load())/time.Since(started).Seconds(), "tokens/s")
}
