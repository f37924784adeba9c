package replayer

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/tracer"
)

const (
	// wordLetters and the space after them make a word one token of a usual engine.
	wordLetters = 3
	// sharedPart of a prompt is the same for all requests of a class and organisation, like a system prompt.
	sharedPart = 4
)

// chatBody is the OpenAI chat completion that callers send. MaxTokens is there
// because stand-ins need a length; the router doesn't use it.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// plainBody is what callers send to plain services; the path and the source tell requests apart.
type plainBody struct {
	Source string `json:"source"`
}

// body returns what the caller of an event sends. Events with one idempotency
// key send the same bytes: another body under the same key would be another request.
func body(index int, e tracer.Event) ([]byte, error) {
	source := "event " + strconv.Itoa(index)
	if e.IdempotencyKey != "" {
		source = "key " + e.IdempotencyKey
	}

	if !e.IsEngine() {
		data, err := json.Marshal(plainBody{Source: source})

		return data, errors.Wrap(err, "encode a plain body")
	}

	data, err := json.Marshal(chatBody{
		Model:     e.Service,
		Messages:  []chatMessage{{Role: "user", Content: prompt(source, e)}},
		MaxTokens: e.AnswerTokens,
		Stream:    true,
	})

	return data, errors.Wrap(err, "encode a chat body")
}

func prompt(source string, e tracer.Event) string {
	var text strings.Builder

	shared := e.PromptTokens / sharedPart
	writeWords(&text, e.Service+"/"+e.Class+"/"+e.Organisation, shared)
	writeWords(&text, source, e.PromptTokens-shared)

	return text.String()
}

func writeWords(text *strings.Builder, source string, count int) {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(source), 0))

	for range count {
		for range wordLetters {
			text.WriteByte(byte('a' + rng.IntN(26)))
		}

		text.WriteByte(' ')
	}
}
