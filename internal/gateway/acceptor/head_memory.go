package acceptor

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// memoryPollInterval is how often a header that waits for memory checks whether there is some.
	memoryPollInterval = 10 * time.Millisecond
	// maxMemoryPolls bounds the wait to 2 s in which the process runs.
	maxMemoryPolls = 200
	// minRetryAfter is the least Retry-After of a refusal. As much again at most is added at random, so that callers that were refused
	// together don't retry together.
	minRetryAfter = 250 * time.Millisecond
	// lingerTime is how long what a refused caller still sends is discarded. Closed earlier, its connection could be reset before it has
	// read the refusal.
	lingerTime = 500 * time.Millisecond
)

// refusalBody is the JSON body of a refusal, as in the relayer's.
type refusalBody struct {
	Code    string         `json:"code"`
	Result  int            `json:"result_code"`
	Ran     classifier.Ran `json:"ran"`
	Message string         `json:"message"`
}

// awaitMemory waits until there is memory for the header that is being read, so that the caller's next bytes stay where they are. The wait
// is not the caller's time. It returns false if the connection is being closed, or if there was no memory and the request was refused.
func (a *Acceptor) awaitMemory(c *connection, p []byte) bool {
	began := a.suspendHeader(c)

	for range maxMemoryPolls {
		time.Sleep(memoryPollInterval)

		if reserved, open := a.reserveHead(c); reserved {
			return open && a.resumeHeader(c, began)
		}
	}

	a.refuse(c, p, classifier.New(classifier.NodeFull, "no room for the header").After(minRetryAfter+rand.N(minRetryAfter)))

	return false
}

// reserveHead reserves the memory of the header that is being read, if any. It also reports whether the connection is open.
func (a *Acceptor) reserveHead(c *connection) (reserved, open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return c.phase != readingHeader || c.headMemory.Grow(c.headBytes), c.phase != closed
}

// suspendHeader suspends the timeout of a header, and returns when.
func (a *Acceptor) suspendHeader(c *connection) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.counters.WaitedForMemory++
	a.dequeue(c)

	return time.Now()
}

// resumeHeader goes on with the timeout of a header that was suspended. It returns false if the connection is being closed.
func (a *Acceptor) resumeHeader(c *connection, suspendedAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if c.phase == readingHeader {
		c.enteredAt = c.enteredAt.Add(time.Since(suspendedAt))
		a.enqueue(c, a.headers)
	}

	return c.phase != closed
}

// refuse writes a refusal on a connection whose header was not read whole, ends its write side, and discards what the caller sends into p
// for lingerTime. The header keeps its memory meanwhile.
func (a *Acceptor) refuse(c *connection, p []byte, failure *classifier.Error) {
	a.mu.Lock()
	a.counters.Refused++
	a.mu.Unlock()

	if a.OnRefusal != nil {
		a.OnRefusal(failure)
	}

	end := time.Now().Add(lingerTime)
	_ = c.SetDeadline(end)
	// A failed write means that the caller disconnected.
	_ = writeRefusal(c, failure)
	_ = c.CloseWrite()

	for {
		if _, err := c.Conn.Read(p); err != nil {
			return
		}
	}
}

// writeRefusal writes the response to a request that is refused with its connection.
func writeRefusal(w io.Writer, failure *classifier.Error) error {
	body := new(bytes.Buffer)
	// A value of these types can always be encoded.
	_ = json.NewEncoder(body).Encode(refusalBody{
		Code: failure.Code.String(), Result: int(failure.Code), Ran: failure.Ran, Message: failure.Reason,
	})

	response := &http.Response{
		StatusCode: classifier.Describe(failure.Code).Status,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header: http.Header{
			"Content-Type": {"application/json"},
			"Retry-After":  {strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64)},
		},
		Body:          io.NopCloser(body),
		ContentLength: int64(body.Len()),
		Close:         true,
	}

	return response.Write(w)
}
