package server

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"

	"quincepath.example/quincepath/internal/recorder"
)

// The kinds of OpenAI objects. A text completion has the same kind whole and as an event.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
)

// completionObject is what the OpenAI API returns: the whole answer with
// completionChoice, one event of a stream with chunkChoice.
type completionObject[Choice any] struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type (
	completion = completionObject[completionChoice]
	chunk      = completionObject[chunkChoice]
)

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
	Logprobs     json.RawMessage    `json:"logprobs"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Refusal any    `json:"refusal"`
}

type chunkChoice struct {
	Index        int                `json:"index"`
	Delta        *completionMessage `json:"delta,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// assemble joins the chunks of a stream into the object that a call without streaming returns.
func assemble(events []recorder.Event) completion {
	var (
		text   strings.Builder
		whole  completion
		choice completionChoice
		isChat bool
	)

	for _, event := range events {
		data := gjson.Parse(event.Data)
		if whole.ID == "" {
			whole.ID = data.Get("id").String()
			whole.Created = data.Get("created").Int()
			whole.Model = data.Get("model").String()
			isChat = data.Get("object").String() == objectChatChunk
		}

		text.WriteString(data.Get("choices.0.delta.content").String())
		text.WriteString(data.Get("choices.0.text").String())

		if reason := data.Get("choices.0.finish_reason").String(); reason != "" {
			choice.FinishReason = reason
		}

		if usage := data.Get("usage"); usage.IsObject() && gjson.Valid(usage.Raw) {
			whole.Usage = json.RawMessage(usage.Raw)
		}
	}

	content := text.String()
	choice.Logprobs = json.RawMessage("null")
	whole.Object = objectText

	if isChat {
		whole.Object = objectChat
		choice.Message = &completionMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}

	whole.Choices = []completionChoice{choice}

	return whole
}

// asChunk turns a whole answer into one event of a stream.
func asChunk(whole completion) chunk {
	single := chunk{ID: whole.ID, Object: objectText, Created: whole.Created, Model: whole.Model, Usage: whole.Usage}

	for _, choice := range whole.Choices {
		single.Choices = append(single.Choices, chunkChoice{
			Index:        choice.Index,
			Delta:        choice.Message,
			Text:         choice.Text,
			FinishReason: choice.FinishReason,
		})

		if choice.Message != nil {
			single.Object = objectChatChunk
		}
	}

	return single
}
