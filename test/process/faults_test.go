package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
)

// engineRun is one row of an engine's record.
type engineRun struct {
	RequestID string `json:"request_id"`
	Offset    int    `json:"offset"`
	Tokens    int    `json:"tokens"`
	State     string `json:"state"`
}

// switchOn sets fault switches of a stand-in.
func switchOn(tb testing.TB, standin *process, switches map[string]any) {
	tb.Helper()
	call(tb, http.MethodPost, "http://"+standin.address+"/standin/switches", switches, nil)
}

func runsOf(t *testing.T, engine *process) []engineRun {
	t.Helper()

	var runs []engineRun

	call(t, http.MethodGet, "http://"+engine.address+"/standin/runs", nil, &runs)

	return runs
}

// askMany sends requests at once and checks that each caller gets the whole answer to its own.
func askMany(t *testing.T, f *fleet, count int) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), callLimit)
	defer cancel()

	var group sync.WaitGroup

	for i := range count {
		group.Go(func() {
			client := openaiClient(f.nodeSpecs[i%len(f.nodeSpecs)].entryAddress)
			params := chatParams(fmt.Sprintf("question %d", i), 60)
			stream := client.Chat.Completions.NewStreaming(ctx, params)
			whole := openai.ChatCompletionAccumulator{}

			for stream.Next() {
				if !whole.AddChunk(stream.Current()) {
					t.Errorf("request %d: the chunks don't belong to one answer", i)

					return
				}
			}

			if err := stream.Err(); err != nil {
				t.Errorf("request %d: %v", i, err)

				return
			}

			if got, want := whole.Choices[0].Message.Content, expected(t, params); got != want {
				t.Errorf("request %d: got %q, want %q", i, got, want)
			}
		})
	}

	group.Wait()
}

// Symptom: callers of a long answer get its first half and an error.
// Events: an engine crashes after twenty tokens of each answer; two others are well.
// Cause: the answer has to go on from token twenty on another engine, with no token lost or doubled.
func TestEngineCrashMidAnswerIsResumed(t *testing.T) {
	f := newFleet(t, 2)

	switchOn(t, f.engines[0], map[string]any{"crash_after_tokens": 20})
	askMany(t, f, 24)

	crashed := 0

	for _, run := range runsOf(t, f.engines[0]) {
		if run.State == "crashed" {
			crashed++
		}
	}

	assert.Assert(t, crashed > 0, "no answer met the crash")
}

// Symptom: a caller waits for good on an open stream.
// Events: an engine stops sending bytes on open connections and closes none.
// Cause: nothing but the gap limit tells silence from slowness; the answer has to go on over a new connection to another engine.
func TestSilentEngineIsResumedElsewhere(t *testing.T) {
	f := newFleet(t, 2)

	switchOn(t, f.engines[1], map[string]any{"silent": true})
	askMany(t, f, 12)
}

// Symptom: one booking stands twice in the book.
// Events: the service books, then its connection breaks before the answer; the call is marked not repeatable.
// Cause: a router, or its HTTP library by itself, sends the call again because it has an idempotency key.
func TestNotRepeatableCallRunsOnceWhenAnswerIsLost(t *testing.T) {
	f := newFleet(t, 2)

	// A kept connection is the dangerous one: on it a library may repeat by itself.
	call(t, http.MethodPost, "http://"+f.nodes[0].address+"/services/banco/price", map[string]int{}, nil)
	switchOn(t, f.service, map[string]any{"fail_after_run": true})

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.nodes[0].address+"/services/banco/book", strings.NewReader(`{"bath":1}`))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Quincepath-Class", "booking")
	request.Header.Set("Idempotency-Key", "bath-of-19-march")

	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)

	defer response.Body.Close()

	var answer struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}

	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	assert.Equal(t, answer.Error.Ran, "unknown")

	booked := 0

	for _, run := range serviceRuns(t, f.service) {
		if run.IdempotencyKey == "bath-of-19-march" {
			booked++
		}
	}

	assert.Equal(t, booked, 1)
}

func serviceRuns(tb testing.TB, service *process) []serviceRun {
	tb.Helper()

	var runs []serviceRun

	call(tb, http.MethodGet, "http://"+service.address+"/standin/runs", nil, &runs)

	return runs
}

// Symptom: a caller whose connection broke mid-answer has to pay for the whole answer again.
// Events: the caller's connection ends after some tokens; it asks another node for the rest by request id.
// Cause: the answer lives on the node that the id names; every node has to find it there.
func TestCallerResumesThroughAnotherNode(t *testing.T) {
	f := newFleet(t, 2)
	params := chatParams("a long review", 400)

	ctx, cancel := context.WithTimeout(t.Context(), callLimit)
	defer cancel()

	var raw *http.Response

	client := openaiClient(f.nodes[0].address)
	stream := client.Chat.Completions.NewStreaming(ctx, params, option.WithHeader("Quincepath-Resumable", "true"), option.WithResponseInto(&raw))

	var text strings.Builder

	got := 0
	for got < 20 && stream.Next() {
		if chunk := stream.Current(); chunk.Choices[0].Delta.Content != "" {
			text.WriteString(chunk.Choices[0].Delta.Content)
			got++
		}
	}

	id := raw.Header.Get("Quincepath-Request-Id")

	assert.NilError(t, stream.Close())
	assert.Assert(t, id != "")

	text.WriteString(resumeAnswer(ctx, t, f.nodes[1].address, id, got))
	assert.Equal(t, text.String(), expected(t, params))
}

// resumeAnswer reads the rest of an answer after the given token.
func resumeAnswer(ctx context.Context, t *testing.T, address, id string, after int) string {
	t.Helper()

	client := openaiClient(address)

	var response *http.Response

	err := client.Get(ctx, "/requests/"+id+"/answer", nil, &response, option.WithHeader("Last-Event-ID", fmt.Sprint(after)))
	assert.NilError(t, err)

	return joinStream(t, response)
}

// waitFor polls until the condition holds; the limit only ends a test that would hang.
func waitFor(tb testing.TB, what string, condition func() bool) {
	tb.Helper()

	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}

	tb.Fatalf("%s did not happen within %v", what, startLimit)
}
