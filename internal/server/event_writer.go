package server

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"quincepath.example/quincepath/internal/recorder"
)

// commentInterval is the time between comments on a stream that waits. Comments
// keep middle boxes from dropping the connection and show the caller that it lives.
const commentInterval = 5 * time.Second

// callerWriteLimit is how long a caller may take no bytes before its connection counts as dead.
const callerWriteLimit = 20 * time.Second

// eventWriter writes events to one caller, and a comment whenever none came for a while.
type eventWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	comment *time.Timer

	// mu guards the fields below and the writer: comments come from a timer.
	mu     sync.Mutex
	buffer bytes.Buffer
	// stopped is set before the handler returns; after it nothing may be written.
	stopped bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	e := &eventWriter{writer: w, control: http.NewResponseController(w)}
	e.comment = time.AfterFunc(commentInterval, e.writeComment)

	return e
}

func (e *eventWriter) stop() {
	e.comment.Stop()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.stopped = true
}

func (e *eventWriter) write(events []recorder.Event) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.buffer.Reset()

	for _, event := range events {
		message := sse.Message{}
		if event.ID != "" {
			message.ID = sse.ID(event.ID)
		}

		message.AppendData(event.Data)

		if _, err := message.WriteTo(&e.buffer); err != nil {
			return err
		}
	}

	e.comment.Reset(commentInterval)

	return e.flush()
}

func (e *eventWriter) writeComment() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.stopped {
		return
	}

	e.buffer.Reset()

	message := sse.Message{}
	message.AppendComment("waiting")

	if _, err := message.WriteTo(&e.buffer); err != nil {
		return
	}

	// A caller that is gone is noticed by the handler itself.
	_ = e.flush()

	e.comment.Reset(commentInterval)
}

func (e *eventWriter) flush() error {
	// A caller that takes no bytes must not hold its handler for good.
	if err := e.control.SetWriteDeadline(time.Now().Add(callerWriteLimit)); err != nil {
		return err
	}

	if _, err := e.writer.Write(e.buffer.Bytes()); err != nil {
		return err
	}

	return e.control.Flush()
}
