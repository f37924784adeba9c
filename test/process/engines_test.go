package process_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"
)

// results counts answers by the name of their result. It is safe for concurrent use.
type results struct {
	mu     sync.Mutex
	byName map[string]int
}

func (r *results) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.byName == nil {
		r.byName = map[string]int{}
	}

	r.byName[name]++
}

// wholeText streams an answer through the published client and joins it.
func wholeText(ctx context.Context, address string, params openai.ChatCompletionNewParams) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()

	client := openaiClient(address)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	whole := openai.ChatCompletionAccumulator{}

	for stream.Next() {
		whole.AddChunk(stream.Current())
	}

	if err := stream.Err(); err != nil {
		return "", err
	}

	return whole.Choices[0].Message.Content, nil
}

// Symptom: one slow copy drags the counter's lookups past their target while two others stand idle.
// Events: one of three engines becomes fifty times slower and says nothing of it; lookups and chats go on.
// Cause: its load report looks well, so only first-token and token-gap times show it.
func TestStragglingEngineIsLeftOut(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)
	replayed := replay(t, f.replayOptions(), mix(400, 40, 2*time.Second))
	f.checkPromises(t, replayed)

	switchOn(t, f.engines[2], map[string]any{"straggle": 50})

	options := f.replayOptions()
	events := mix(401, 40, 8*time.Second)
	reached := milestones(&options, len(events)/2)
	done := inBackground(t, options, events)

	<-reached[0]

	before := len(runsOf(t, f.engines[2]))
	result := <-done
	after := len(runsOf(t, f.engines[2]))
	others := len(runsOf(t, f.engines[0])) + len(runsOf(t, f.engines[1]))

	f.checkPromises(t, result)

	lookups, attained := 0, 0

	for _, v := range result.Outcomes[len(events)/2:] {
		if v.Event.Class == "counter_lookup" {
			lookups++

			if v.FirstToken <= 300*time.Millisecond {
				attained++
			}
		}
	}

	t.Logf("runs of the straggler in the second half: %d; of the others in all: %d; tier 1 attained %d of %d", after-before, others, attained, lookups)

	// A third of the second half's requests would be some 50. Once judged, the engine gets trials only.
	assert.Assert(t, after-before <= 10, "the straggler got %d runs after it was known", after-before)
}

// Symptom: callers lose answers when a rack goes.
// Events: during a replay one of three engines is killed; its connections break and new ones are refused.
// Cause: what ran there has to go on elsewhere by offset, and nothing new may wait for it.
func TestThirdOfEnginesGoneAtOnce(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)
	done := inBackground(t, f.replayOptions(), mix(410, 40, 6*time.Second))
	whole := make(chan struct{})

	go func() {
		defer close(whole)

		f.askEach(t, 6, 900)
	}()

	busy := f.busyEngine(t)
	f.engines[busy].kill()

	// Its record is gone with it; the others' and the service's remain.
	f.engines = slices.Delete(f.engines, busy, busy+1)

	result := <-done

	f.checkPromises(t, result)
	<-whole
	t.Logf("bookings ended %v", endings(result, "booking"))
}

// busyEngine waits until an engine is in the middle of a long answer and returns its index.
func (f *fleet) busyEngine(t *testing.T) int {
	t.Helper()

	busy := -1

	waitFor(t, "a long answer", func() bool {
		busy = slices.IndexFunc(f.engines, func(engine *process) bool {
			return slices.ContainsFunc(runsOf(t, engine), func(r engineRun) bool { return r.State == "running" && r.Tokens > longTokens })
		})

		return busy >= 0
	})

	return busy
}

// longTokens is more than any answer of a mix has.
const longTokens = 150
