package granter

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// logBuffer takes the lines of all nodes of a network.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.data.Write(p)
}

// logLine is what the tests read of a line.
type logLine struct {
	Message  string  `json:"message"`
	Holder   string  `json:"holder"`
	Answered bool    `json:"holder_answered"`
	WaitedMS float64 `json:"waited_ms"`
	Waiting  int     `json:"waiting"`
	Free     int     `json:"free"`
	Missing  int     `json:"unanswered_count"`
}

// lines returns the lines of one event, in their order.
func (b *logBuffer) lines(t *testing.T, event string) []logLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()

	var found []logLine

	for text := range bytes.Lines(b.data.Bytes()) {
		var line logLine

		assert.NilError(t, json.Unmarshal(text, &line))

		if line.Message == event {
			found = append(found, line)
		}
	}

	return found
}

// Symptom: a request is neither answered nor refused, and no line tells what it waits for.
// Sequence: the holder is silent; the node that is asked in its place can't reach the others, so its rebuild takes
// its whole time and its grant is lost.
// Cause: neither the node that waits nor the one that decides logged what it knew.
func TestLogTellsWhatARequestWaitsFor(t *testing.T) {
	var log logBuffer

	options := fixed()
	options.Logger = zerolog.New(&log)

	inVirtualTime(t, 3, 2, 4, options, func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		silent, next, entry := n.silenceHolder()

		_, err := entry.run(ctx, "chat", time.Millisecond)
		assert.NilError(t, err)

		silences := log.lines(t, "holder_silent")
		assert.Equal(t, len(silences), 1)
		assert.Equal(t, silences[0].Holder, silent)

		waits := log.lines(t, "slot_waited_for")
		assert.Equal(t, len(waits), 3)

		for i, least := range []float64{1000, 2000, 4000} {
			assert.Equal(t, waits[i].Holder, next)
			assert.Assert(t, waits[i].Answered)
			assert.Assert(t, waits[i].WaitedMS >= least && waits[i].WaitedMS < 2*least, "%v", waits[i])
		}

		rebuilds := log.lines(t, "pool_rebuild_ended")
		assert.Assert(t, len(rebuilds) > 0)
		assert.Equal(t, rebuilds[0].Missing, 2)

		for _, withheld := range log.lines(t, "slots_withheld") {
			assert.Equal(t, withheld.Waiting, 1)
			assert.Assert(t, withheld.Free > 0)
		}
	})
}
