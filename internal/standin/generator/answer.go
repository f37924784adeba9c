package generator

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	shortestAnswer = 5
	longestAnswer  = 200
	bytesPerToken  = 4
)

// request is the body of both completion calls.
type request struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Priority            int             `json:"priority"`
	ResumeOffset        int             `json:"resume_offset"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Answer is the whole answer that any run gives to a request.
type Answer struct {
	hash uint64
	// prompt is the text of all messages.
	prompt string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Length is the number of tokens.
	Length int
}

// Expect returns the answer to a request body, for readers that check what they got.
// It fails on bodies that the engine refuses.
func Expect(body []byte) (Answer, error) {
	var q request
	if err := json.Unmarshal(body, &q); err != nil {
		return Answer{}, errors.Wrap(err, "decode the request")
	}
	return q.answer()
}

// Token returns the text of the token at an offset, counted from 1.
func (a Answer) Token(offset int) string {
	h := (a.hash ^ uint64(offset)) * 0x9e3779b97f4a7c15
	return strconv.FormatUint(h>>40, 36) + " "
}

// Text returns the whole answer.
func (a Answer) Text() string {
	return a.After(0)
}

// After returns the answer without its first offset tokens.
func (a Answer) After(offset int) string {
	var s strings.Builder
	for o := offset + 1; o <= a.Length; o++ {
		s.WriteString(a.Token(o))
	}
	return s.String()
}

func (q *request) answer() (Answer, error) {
	p, err := q.promptText()
	if err != nil {
		return Answer{}, err
	}
	h := xxhash.Sum64String(p)
	a := Answer{hash: h, prompt: p, PromptTokens: len(p)/bytesPerToken + 1}
	a.Length = shortestAnswer + int(h%(longestAnswer-shortestAnswer+1))
	for _, n := range []*int{q.MaxTokens, q.MaxCompletionTokens} {
		if n != nil {
			a.Length = *n
		}
	}
	if a.Length < 1 {
		return Answer{}, errors.New("max_tokens must be at least 1")
	}
	if q.ResumeOffset < 0 || q.ResumeOffset > a.Length {
		return Answer{}, errors.Newf("resume_offset must be 0 to %d", a.Length)
	}
	return a, nil
}

func (q *request) promptText() (string, error) {
	var s strings.Builder
	for _, m := range q.Messages {
		t, err := text(m.Content)
		if err != nil {
			return "", err
		}
		s.WriteString(m.Role + ": " + t + "\n")
	}
	if len(q.Messages) > 0 {
		return s.String(), nil
	}
	if len(q.Prompt) == 0 {
		return "", errors.New("messages or prompt must be given")
	}
	return text(q.Prompt)
}

// text takes a string, a list of strings or a list of parts with text.
func text(raw json.RawMessage) (string, error) {
	var s string
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, "\n"), nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.Wrap(err, "content must be a string or a list of parts")
	}
	for _, p := range parts {
		s += p.Text
	}
	return s, nil
}
