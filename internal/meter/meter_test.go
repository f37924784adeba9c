package meter_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/pkg/classifier"
)

const class = "assistente/booking"

var attainedSample = meter.Sample{Class: class, FirstToken: 100 * time.Millisecond, Duration: 300 * time.Millisecond, Tokens: 11, Target: 200 * time.Millisecond, Attained: true}

func recordRequests(m *meter.Meter, samples ...meter.Sample) {
	for _, v := range samples {
		m.RequestStarted(v.Class)
		m.RequestEnded(v)
	}
}

func TestSnapshot(t *testing.T) {
	m := meter.New()
	late, refused, cancelled := attainedSample, meter.Sample{Class: class, Code: classifier.QueueFull}, attainedSample
	late.FirstToken, late.Duration, late.Attained = 400*time.Millisecond, 2*time.Hour, false
	cancelled.Code, cancelled.Attained, cancelled.Tokens, cancelled.WastedTokens = classifier.CallerGone, false, 1, 7

	recordRequests(m, attainedSample, late, refused, cancelled)
	recordRequests(m, meter.Sample{Class: class, Code: classifier.RateLimited}, meter.Sample{Class: class, Code: classifier.KeyConflict})
	m.RequestStarted(class)
	m.Refused(class, classifier.QueueFull)
	m.Refused("", classifier.Unauthenticated)
	m.Refused("", 999)
	m.Retried(class, "silent")

	data, err := json.MarshalIndent(m.Snapshot().Classes, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(data)+"\n", "snapshot.golden")
	assert.Assert(t, json.Valid([]byte(m.String())))

	total := m.Snapshot()
	assert.Equal(t, total.Refused["queue_full"], int64(1))
	assert.Equal(t, total.Refused["unauthenticated"], int64(1))
	assert.Equal(t, total.Refused["internal_error"], int64(1))
	assert.DeepEqual(t, total.Retried, map[string]int64{"silent": 1})
}

// Guards against a difference between docs/METRICS.md and the exported metrics, which arises when a metric is added or
// renamed only in the code: monitoring then queries a documented name that doesn't exist.
func TestDocumentationListsEveryMetric(t *testing.T) {
	m := meter.New()
	recordRequests(m, attainedSample)
	m.Refused(class, classifier.QueueFull)
	m.Retried(class, "silent")

	var decoded map[string]any
	assert.NilError(t, json.Unmarshal([]byte(m.String()), &decoded))

	exported := map[string]bool{}
	collectNames(exported, "", decoded)

	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)

	documented := map[string]bool{}
	for _, v := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented[v[1]] = true
	}

	assert.DeepEqual(t, slices.Sorted(maps.Keys(documented)), slices.Sorted(maps.Keys(exported)))

	codes := m.Snapshot().Refused
	assert.Equal(t, len(codes), len(classifier.Descriptions())-1)
}

// collectNames adds the metric names, with their variable parts replaced by the placeholders of docs/METRICS.md.
func collectNames(names map[string]bool, prefix string, value map[string]any) {
	for k, v := range value {
		name := prefix + k

		switch {
		case strings.HasSuffix(prefix, "refused."):
			name = prefix + "CODE"
		case strings.HasSuffix(prefix, "retried."):
			name = prefix + "REASON"
		case prefix == "classes.":
			name = prefix + "CLASS"
		}

		if child, ok := v.(map[string]any); ok {
			collectNames(names, name+".", child)
			continue
		}

		names[name] = true
	}
}

// Guards against memory that grows until the node is killed: if names that differ with every request reach the meter,
// each would otherwise get its own counters and histograms.
func TestNamesAreBounded(t *testing.T) {
	m := meter.New()

	for i := range 2000 {
		m.Refused(fmt.Sprint("class ", i), classifier.QueueFull)
		m.Retried(class, fmt.Sprint("reason ", i))
	}

	s := m.Snapshot()
	assert.Equal(t, s.Refused["queue_full"], int64(2000))
	assert.Equal(t, len(s.Classes), 513)
	assert.Equal(t, len(s.Retried), 32)
	assert.Equal(t, s.Retried["other"], int64(1969))
}

// TestMemoryPerClass limits the memory of a class with all three histograms.
func TestMemoryPerClass(t *testing.T) {
	const classes = 100

	m := meter.New()

	before := heapSize()

	for i := range classes {
		sample := attainedSample
		sample.Class = fmt.Sprint("class ", i)
		recordRequests(m, sample)
	}

	bytesPerClass := (heapSize() - before) / classes
	runtime.KeepAlive(m)
	t.Logf("%d bytes per class", bytesPerClass)
	assert.Assert(t, bytesPerClass < 80<<10, "%d bytes per class", bytesPerClass)
}

func heapSize() uint64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

func TestRecordingDoesNotAllocate(t *testing.T) {
	m := meter.New()
	request := func() {
		m.RequestStarted(class)
		m.Refused(class, classifier.QueueFull)
		m.Retried(class, "silent")
		m.RequestEnded(attainedSample)
	}

	assert.Equal(t, testing.AllocsPerRun(1000, request), 0.0)
}

func TestConcurrentRecording(t *testing.T) {
	m := meter.New()

	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				recordRequests(m, attainedSample)
				m.Retried(class, "silent")
				_ = m.String()
			}
		})
	}

	wg.Wait()

	s := m.Snapshot().Classes[class]
	assert.Equal(t, s.Attained, int64(4000))
	assert.Equal(t, s.InFlight, int64(0))
	assert.Equal(t, s.FirstToken.Count, int64(4000))
	assert.Equal(t, s.Retried["silent"], int64(4000))
}

func BenchmarkRequest(b *testing.B) {
	m := meter.New()

	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			m.RequestStarted(class)
			m.RequestEnded(attainedSample)
		}
	})
}

// Guards against a process with two nodes that panics or shows the counters of the wrong node. This happens if both nodes
// publish their counters under one name, since names in expvar are unique in the process.
func TestHandlersOfTwoNodesInOneProcess(t *testing.T) {
	first, second := meter.New(), meter.New()
	recordRequests(first, attainedSample)

	for m, want := range map[*meter.Meter]int64{first: 1, second: 0} {
		w := httptest.NewRecorder()
		meter.Handler(m, nil).ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))

		var variables struct {
			Quincepath meter.Snapshot  `json:"quincepath"`
			Memstats   json.RawMessage `json:"memstats"`
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &variables))
		assert.Equal(t, variables.Quincepath.Classes[class].Requests, want)
		assert.Assert(t, len(variables.Memstats) > 0)
	}
}
