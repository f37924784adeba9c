package replayer

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	endOfStream   = "[DONE]"
	maxEventBytes = 1 << 20
)

// chunk is one event of a streamed chat completion.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// streamReader gathers one streamed answer.
type streamReader struct {
	reply    reply
	text     strings.Builder
	last     time.Time
	finished bool
	done     bool
}

func (a attempt) readStream(body io.Reader) reply {
	var s streamReader

	sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})(func(event sse.Event, err error) bool {
		if err != nil {
			s.reply.reason = err.Error()

			return false
		}

		return s.take(event.Data)
	})

	if s.reply.ending != "" {
		return s.reply
	}

	if !s.done {
		s.reply.lost = true
		s.reply.reason = "the stream broke off: " + s.reply.reason

		return s.reply
	}

	return a.checkStream(&s)
}

// take adds one event and says whether more are wanted.
func (s *streamReader) take(data string) bool {
	if data == endOfStream {
		s.done = true

		return false
	}

	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		s.reply.ending = Wrong
		s.reply.reason = "a chunk is no JSON"

		return false
	}

	if len(c.Error) > 0 {
		s.fail(data)

		return false
	}

	if len(c.Choices) == 0 {
		return true
	}

	if c.Choices[0].FinishReason != "" {
		s.finished = true
	}

	if c.Choices[0].Delta.Content != "" {
		s.token(c.Choices[0].Delta.Content)
	}

	return true
}

// fail ends the answer with a numbered result that came behind some tokens.
func (s *streamReader) fail(data string) {
	r := numbered([]byte(data))
	r.firstToken, r.gaps, r.tokens = s.reply.firstToken, s.reply.gaps, s.reply.tokens
	s.reply = r
}

func (s *streamReader) token(text string) {
	now := time.Now()

	if s.reply.tokens == 0 {
		s.reply.firstToken = now
	} else {
		s.reply.gaps = append(s.reply.gaps, now.Sub(s.last))
	}

	s.last = now
	s.reply.tokens++
	s.text.WriteString(text)
}

func (a attempt) checkStream(s *streamReader) reply {
	r := s.reply
	r.ending, r.result, r.ran = Whole, classifier.OK.String(), classifier.RanYes

	if !s.finished || r.tokens == 0 {
		r.ending = Wrong
		r.reason = "the stream ended without a finish reason or text"

		return r
	}

	if expected, ok := a.expected(); ok && s.text.String() != expected {
		r.ending = Wrong
		r.reason = "the text is not the engine's answer to this request"
	}

	return r
}
