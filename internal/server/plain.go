package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxPlainAnswerBytes is the longest answer of a plain service; it is held whole in memory.
const maxPlainAnswerBytes = 8 << 20

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func (n *Node) handlePlain(w http.ResponseWriter, r *http.Request) {
	organisation, body, failure := n.admit(w, r)
	if failure != nil {
		n.refuse(w, "", failure)

		return
	}

	taken, failure := n.resolve(r, organisation, r.PathValue("service"), configurer.KindPlain)
	if failure != nil {
		n.refuse(w, "", failure)

		return
	}

	hash := bodyHash(r.Method, plainPath(r), body)
	taken.request.Key = requestKey(taken.request, hash)
	sender := newPlainSender(n, taken, r, body)
	run := &requestRun{request: taken.request, sender: sender, answer: sender.answer, key: taken.key}
	run.bodyHash = hash
	run.deliver = func(w http.ResponseWriter, r *http.Request, _ string) {
		if _, failure := wholeAnswer(r.Context(), sender.answer); failure != nil {
			writeError(w, taken.request.ID, failure)

			return
		}

		run.markReplayed(w.Header())
		sender.writeTo(w)
	}

	n.serve(w, r, run)
}

// plainSender sends the attempts of one call to a plain service and keeps the whole answer.
type plainSender struct {
	client    *forwarder.Client
	upstreams *upstreamTable
	request   dispatcher.Request
	method    string
	path      string
	header    http.Header
	body      []byte
	answer    *recorder.EventBuffer
	// paused returns for how long this process has stood still; it may be nil.
	paused func() time.Duration
	// status and answered are set once, before the answer ends.
	status   int
	answered http.Header
	payload  []byte
}

// plainPath is the path, with the query, that the service is called by.
func plainPath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}

	return path
}

func newPlainSender(n *Node, taken intake, r *http.Request, body []byte) *plainSender {
	header := r.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}

	return &plainSender{
		client:    n.upstream,
		upstreams: n.upstreams,
		request:   taken.request,
		method:    r.Method,
		path:      plainPath(r),
		header:    header,
		body:      body,
		answer:    recorder.NewEventBuffer(),
		paused:    n.pauses.Paused,
	}
}

// Progress implements dispatcher.Sender; a plain answer can't be resumed.
func (s *plainSender) Progress() int {
	return 0
}

// Send implements dispatcher.Sender.
func (s *plainSender) Send(ctx context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	started := time.Now()

	defer s.upstreams.attempt(attempt.Slot.Upstream.Address)()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	limit := s.request.Class.GapLimit
	reader := forwarder.NewGapReader(forwarder.GapLimits{First: limit, Next: limit, Paused: s.paused}, nil, cancel)

	defer reader.Stop()

	err := s.exchange(ctx, attempt, reader)

	outcome := dispatcher.Outcome{
		Result:     sendResult(ctx, err, reader),
		Duration:   time.Since(started),
		RetryAfter: forwarder.RetryAfterOf(err),
		Err:        err,
	}

	if err == nil {
		outcome.FirstToken = outcome.Duration
	}

	leaveIdleAfter(outcome, s.client)

	return outcome
}

func (s *plainSender) exchange(ctx context.Context, attempt dispatcher.Attempt, reader *forwarder.GapReader) error {
	call := newCall(s.request, attempt, s.path)
	call.Method = s.method
	call.Header = s.header
	call.Body = s.body

	response, err := s.client.Do(ctx, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()

	if err := s.checkStatus(response); err != nil {
		return err
	}

	reader.SetBody(response.Body)

	payload, err := io.ReadAll(io.LimitReader(reader, maxPlainAnswerBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}

	if len(payload) > maxPlainAnswerBytes {
		return errors.Newf("the answer is longer than %d bytes", maxPlainAnswerBytes)
	}

	if !attempt.TryOwn() {
		return errSuperseded
	}

	s.status, s.answered, s.payload = response.StatusCode, response.Header, payload

	return nil
}

// checkStatus lets every answer of the service through to the caller but those that mean "not run, come back".
func (s *plainSender) checkStatus(response *http.Response) error {
	err := forwarder.CheckStatus(response)
	if errors.Is(err, forwarder.ErrRefused) {
		return err
	}

	return nil
}

func (s *plainSender) writeTo(w http.ResponseWriter) {
	header := w.Header()

	for name, values := range s.answered {
		header[name] = values
	}

	for _, name := range hopHeaders {
		header.Del(name)
	}

	header.Set(headerRequestID, s.request.ID)
	header.Set(headerResult, classifier.OK.String())
	w.WriteHeader(s.status)
	// A failed write means that the caller left; its connection ends with the handler.
	_, _ = io.Copy(w, bytes.NewReader(s.payload))
}
