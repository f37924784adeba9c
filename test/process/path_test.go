package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/generator"
)

// callLimit bounds one call in these tests; it decides no verdict of speed.
const callLimit = 30 * time.Second

// entriesAnswer is the answer of GET /v1/entries.
type entriesAnswer struct {
	Entries     []entry `json:"entries"`
	KeepSeconds float64 `json:"keep_seconds"`
}

type entry struct {
	Address       string `json:"address"`
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
}

// serviceRun is one row of the plain service's record.
type serviceRun struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Path           string `json:"path"`
}

func entriesOf(t *testing.T, address string) entriesAnswer {
	t.Helper()

	var answer entriesAnswer

	call(t, "GET", "http://"+address+"/v1/entries", nil, &answer)

	return answer
}

func openaiClient(address string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+address+"/v1"), option.WithAPIKey(callerKey), option.WithMaxRetries(0))
}

func chatParams(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "assistente",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// expected is the whole answer that an engine gives to the params, known without asking one.
func expected(t *testing.T, params openai.ChatCompletionNewParams) string {
	t.Helper()

	body, err := json.Marshal(params)
	assert.NilError(t, err)

	answer, err := generator.Expect(body)
	assert.NilError(t, err)

	return answer.Text()
}

func TestWholePathThroughTwoNodes(t *testing.T) {
	f := newFleet(t, 2)
	entries := entriesOf(t, f.nodes[0].address)

	assert.Equal(t, len(entries.Entries), 2)

	ctx, cancel := context.WithTimeout(t.Context(), callLimit)
	defer cancel()

	for i, entry := range entries.Entries {
		client := openaiClient(entry.Address)
		params := chatParams(fmt.Sprintf("price of a bath, visit %d", i), 40)

		whole, err := client.Chat.Completions.New(ctx, params, option.WithHeader("Quincepath-Class", "counter_lookup"))
		assert.NilError(t, err)
		assert.Equal(t, whole.Choices[0].Message.Content, expected(t, params))
		assert.Equal(t, whole.Usage.CompletionTokens, int64(40))

		assert.Equal(t, streamed(ctx, t, client, params), expected(t, params))

		var echo map[string]any

		call(t, "POST", "http://"+entry.Address+"/services/banco/price", map[string]int{"visit": i}, &echo)
		assert.Equal(t, echo["service"], "banco")
	}

	var runs []serviceRun

	call(t, "GET", "http://"+f.service.address+"/standin/runs", nil, &runs)
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].Path, "/price")
}

// streamed joins the tokens of a streamed answer by the published client's accumulator.
func streamed(ctx context.Context, t *testing.T, client openai.Client, params openai.ChatCompletionNewParams) string {
	t.Helper()

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	whole := openai.ChatCompletionAccumulator{}

	for stream.Next() {
		assert.Assert(t, whole.AddChunk(stream.Current()))
	}

	assert.NilError(t, stream.Err())
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")

	return whole.Choices[0].Message.Content
}

// joinStream joins the tokens of a raw event stream and checks that it ended.
func joinStream(t *testing.T, response *http.Response) string {
	t.Helper()

	defer response.Body.Close()

	var text strings.Builder

	ended := false

	for event, err := range sse.Read(response.Body, nil) {
		assert.NilError(t, err)

		if event.Data == "[DONE]" {
			ended = true

			break
		}

		text.WriteString(gjson.Get(event.Data, "choices.0.delta.content").String())
	}

	assert.Assert(t, ended, "the stream did not end")

	return text.String()
}
