package generator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a repeated prompt takes as long to its first token as a new one.
// Events: two requests run one after the other; most of the second's prompt is in the cache.
// Cause: the prefill reads tokens that the cache holds.
func TestCachedTokensShortenPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBatch(1, step, time.Millisecond, 0)
		job := Job{PromptTokens: 100, Length: 1}
		assert.DeepEqual(t, ends(t.Context(), b, []Job{job}, []time.Duration{0}), []time.Duration{110 * time.Millisecond})

		job.Cached = func() int { return 64 }
		assert.DeepEqual(t, ends(t.Context(), b, []Job{job}, []time.Duration{0}), []time.Duration{46 * time.Millisecond})

		job.Cached = func() int { return 500 }
		assert.DeepEqual(t, ends(t.Context(), b, []Job{job}, []time.Duration{0}), []time.Duration{10 * time.Millisecond})
	})
}

func TestRunsTellCachedTokens(t *testing.T) {
	url := start(t, Options{Slots: 1, CacheBlocks: 8})
	first := `{"prompt":"` + strings.Repeat("a", 600) + `","max_tokens":1}`
	second := `{"prompt":"` + strings.Repeat("a", 300) + strings.Repeat("b", 300) + `","max_tokens":1}`
	long := `{"prompt":"` + strings.Repeat("c", 256*8) + `","max_tokens":1}`

	for _, body := range []string{first, first, second, long, first} {
		assert.NilError(t, post(t, url+"/v1/completions", body).Body.Close())
	}

	cached := map[string][]int{}
	for _, r := range runs(t, url) {
		cached[r.BodyHash] = append(cached[r.BodyHash], r.CachedTokens)
	}

	assert.Equal(t, len(cached), 3)

	var all []int
	for _, r := range runs(t, url) {
		all = append(all, r.CachedTokens)
	}

	assert.DeepEqual(t, all, []int{0, 128, 64, 0, 0})
}
