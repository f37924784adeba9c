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

// logBuffer collects the log lines of all nodes of a network.
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

// logLine contains the fields of a log line that the tests read.
type logLine struct {
	Message    string  `json:"message"`
	Holder     string  `json:"holder"`
	Answered   bool    `json:"holder_answered"`
	WaitedMS   float64 `json:"waited_ms"`
	Waiting    int     `json:"waiting"`
	Free       int     `json:"free"`
	Unanswered int     `json:"unanswered_count"`
}

// lines returns the lines of one event, in order.
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

// Guards against requests that are neither granted nor refused without a log line that
// shows what they wait for. The holder doesn't answer; the replacement can't reach the
// other nodes, so its rebuild runs into its timeout and its grant is lost. Both the
// entry and the replacement must log their state.
func TestLogShowsWhatARequestWaitsFor(t *testing.T) {
	var log logBuffer

	options := fixedSlotOptions()
	options.Logger = zerolog.New(&log)

	inVirtualTime(t, 3, 2, 4, options, func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		holder, replacement, entry := n.cutOffHolder()

		_, err := entry.run(ctx, "chat", time.Millisecond)
		assert.NilError(t, err)

		failures := log.lines(t, "holder_silent")
		assert.Equal(t, len(failures), 1)
		assert.Equal(t, failures[0].Holder, holder)

		waits := log.lines(t, "slot_waited_for")
		assert.Equal(t, len(waits), 3)

		for i, least := range []float64{1000, 2000, 4000} {
			assert.Equal(t, waits[i].Holder, replacement)
			assert.Assert(t, waits[i].Answered)
			assert.Assert(t, waits[i].WaitedMS >= least && waits[i].WaitedMS < 2*least, "%v", waits[i])
		}

		rebuilds := log.lines(t, "pool_rebuild_ended")
		assert.Assert(t, len(rebuilds) > 0)
		assert.Equal(t, rebuilds[0].Unanswered, 2)

		for _, withheld := range log.lines(t, "slots_withheld") {
			assert.Equal(t, withheld.Waiting, 1)
			assert.Assert(t, withheld.Free > 0)
		}
	})
}
