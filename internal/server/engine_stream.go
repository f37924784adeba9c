package server

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/recorder"
)

// maxEventBytes is the longest event that is read from an engine.
const maxEventBytes = 1 << 20

// endOfStream is the payload of the last event of an OpenAI stream.
const endOfStream = "[DONE]"

// maxTailBytes is how much is read behind the last event of a stream.
const maxTailBytes = 4 << 10

// errStreamIncomplete marks a stream that ended before its last event.
var errStreamIncomplete = errors.New("the stream ended before its last event")

// eventPump reads one engine stream into the answer.
type eventPump struct {
	sender     *engineSender
	attempt    dispatcher.Attempt
	started    time.Time
	firstToken time.Duration
	delivered  int
	// owned is true once the attempt may add to the answer; held keeps the events until then.
	owned bool
	held  []sse.Event
	// wasted is the number of tokens that came too late.
	wasted int
}

func (p *eventPump) run(reader *forwarder.GapReader) error {
	var failure error

	done := false

	sse.Read(reader, &sse.ReadConfig{MaxEventSize: maxEventBytes})(func(event sse.Event, err error) bool {
		if err != nil {
			failure = err

			return false
		}

		done, failure = p.take(event)

		return !done && failure == nil
	})

	if failure != nil {
		return errors.Wrap(failure, "read stream")
	}

	if !done {
		return errStreamIncomplete
	}

	drain(reader)

	return nil
}

// drain reads what stands behind the last event, mostly nothing but the end of
// the body. A body that is closed before its end takes its connection along, and
// the next request to the engine would have to open a new one.
func drain(reader *forwarder.GapReader) {
	// The answer is whole already; what goes wrong here costs a connection.
	_, _ = io.CopyN(io.Discard, reader, maxTailBytes)
}

// sameID gives chunks of a resumed stream the id of the first stream. Clients
// check that all chunks of an answer have one id, and engines may make up a new one.
func (p *eventPump) sameID(data string) string {
	id := gjson.Get(data, "id").String()
	if p.sender.chunkID == "" {
		p.sender.chunkID = id
	}

	if id == p.sender.chunkID {
		return data
	}

	changed, err := sjson.Set(data, "id", p.sender.chunkID)
	if err != nil {
		return data
	}

	return changed
}

// take adds one event to the answer and says whether it was the last. Of two
// attempts at once the first with a token owns the answer; what comes before
// the token, such as the role, is held until then, or the caller would get it twice.
func (p *eventPump) take(event sse.Event) (bool, error) {
	if p.owned {
		return p.add(event), nil
	}

	last, token := event.Data == endOfStream, carriesToken(event.Data)

	if !last && !token {
		p.held = append(p.held, event)

		return false, nil
	}

	if !p.attempt.TryOwn() {
		if token {
			p.wasted++
		}

		return false, errSuperseded
	}

	p.owned = true

	for _, earlier := range p.held {
		p.add(earlier)
	}

	return p.add(event), nil
}

// add puts one event into the answer and says whether it was the last.
func (p *eventPump) add(event sse.Event) bool {
	if event.Data == endOfStream {
		p.sender.answer.Append(recorder.Event{Data: endOfStream})

		return true
	}

	event.Data = p.sameID(event.Data)
	id := ""

	if carriesToken(event.Data) {
		p.sender.tokens++
		p.delivered++
		id = eventID(p.sender.tokens)

		if p.delivered == 1 {
			p.firstToken = time.Since(p.started)
		}
	}

	p.sender.answer.Append(recorder.Event{ID: id, Data: event.Data})

	return false
}
