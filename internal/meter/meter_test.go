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

var whole = meter.Sample{Class: class, FirstToken: 100 * time.Millisecond, Duration: 300 * time.Millisecond, Tokens: 11, Target: 200 * time.Millisecond, Attained: true}

func count(m *meter.Meter, samples ...meter.Sample) {
	for _, v := range samples {
		m.RequestStarted(v.Class)
		m.RequestEnded(v)
	}
}

func TestSnapshot(t *testing.T) {
	m := meter.New()
	late, refused, gone := whole, meter.Sample{Class: class, Code: classifier.QueueFull}, whole
	late.FirstToken, late.Duration, late.Attained = 400*time.Millisecond, 2*time.Hour, false
	gone.Code, gone.Attained, gone.Tokens, gone.WastedTokens = classifier.CallerGone, false, 1, 7

	count(m, whole, late, refused, gone)
	count(m, meter.Sample{Class: class, Code: classifier.RateLimited}, meter.Sample{Class: class, Code: classifier.KeyConflict})
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

// Symptom: a monitor asks for a name that the page lists and finds nothing.
// Sequence: a counter is added or renamed in the code alone.
// Cause: the page and the code are written apart.
func TestPageListsEveryName(t *testing.T) {
	m := meter.New()
	count(m, whole)
	m.Refused(class, classifier.QueueFull)
	m.Retried(class, "silent")

	var decoded map[string]any
	assert.NilError(t, json.Unmarshal([]byte(m.String()), &decoded))

	exported := map[string]bool{}
	collect(exported, "", decoded)

	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)

	listed := map[string]bool{}
	for _, v := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed[v[1]] = true
	}

	assert.DeepEqual(t, slices.Sorted(maps.Keys(listed)), slices.Sorted(maps.Keys(exported)))

	codes := m.Snapshot().Refused
	assert.Equal(t, len(codes), len(classifier.Descriptions())-1)
}

// collect gathers the names with the varying parts replaced as on the page.
func collect(names map[string]bool, prefix string, value map[string]any) {
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
			collect(names, name+".", child)
			continue
		}

		names[name] = true
	}
}

// Symptom: a node's memory grows until it is killed.
// Sequence: names that differ with every request reach the meter.
// Cause: each new name would have counters and histograms of its own.
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

// TestMemoryOfAClass holds what a class with all three histograms keeps.
func TestMemoryOfAClass(t *testing.T) {
	const classes = 100

	m := meter.New()

	before := heap()

	for i := range classes {
		sample := whole
		sample.Class = fmt.Sprint("class ", i)
		count(m, sample)
	}

	perClass := (heap() - before) / classes
	runtime.KeepAlive(m)
	t.Logf("%d bytes a class", perClass)
	assert.Assert(t, perClass < 80<<10, "%d bytes a class", perClass)
}

func heap() uint64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

func TestCountingAllocatesNothing(t *testing.T) {
	m := meter.New()
	request := func() {
		m.RequestStarted(class)
		m.Refused(class, classifier.QueueFull)
		m.Retried(class, "silent")
		m.RequestEnded(whole)
	}

	assert.Equal(t, testing.AllocsPerRun(1000, request), 0.0)
}

func TestCountsFromManyGoroutines(t *testing.T) {
	m := meter.New()

	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 500 {
				count(m, whole)
				m.Retried(class, "silent")
				_ = m.String()
			}
		})
	}

	wait.Wait()

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
			m.RequestEnded(whole)
		}
	})
}

// Symptom: a process with two nodes panics, or shows the counters of the wrong node.
// Sequence: both nodes publish their counters under one name.
// Cause: names in expvar are unique in the process.
func TestHandlersOfTwoNodesInOneProcess(t *testing.T) {
	first, second := meter.New(), meter.New()
	count(first, whole)

	for m, want := range map[*meter.Meter]int64{first: 1, second: 0} {
		w := httptest.NewRecorder()
		meter.Handler(m, nil).ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))

		var shown struct {
			Quincepath meter.Snapshot  `json:"quincepath"`
			Memstats   json.RawMessage `json:"memstats"`
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &shown))
		assert.Equal(t, shown.Quincepath.Classes[class].Requests, want)
		assert.Assert(t, len(shown.Memstats) > 0)
	}
}
