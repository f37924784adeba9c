package relayer

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/pkg/classifier"
)

// wholeBytes is the largest body that is read whole before a byte of it goes to the caller, so
// that one that breaks off can be fetched again or be told as a failure.
const wholeBytes = 256 << 10

const mediaTypeEvents = "text/event-stream"

// answer is what goes back to the caller.
type answer struct {
	writer  http.ResponseWriter
	request *request
	// begun says that the header has left.
	begun bool
	// kept is an upstream's own failure, in case no other attempt does better.
	kept    *keptAnswer
	account account
}

type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes the upstream's answer on.
func (r *Relayer) deliver(ctx context.Context, a *answer, choice balancer.Choice, sent time.Time, response *dialer.Response, watch *watch, outcome *balancer.Outcome) verdict {
	if !r.authentic(a.request, response) {
		*outcome = balancer.Failed
		r.logAttempt(a.request, choice, "answer_not_authentic", nil)

		return unsure
	}

	if isStream(a.request, response) {
		return r.deliverEvents(ctx, a, choice, sent, response, watch, outcome)
	}

	if a.begun {
		// A stream that was begun can't go on with another kind of answer.
		*outcome = balancer.Failed
		r.logAttempt(a.request, choice, "resume_refused", errors.Newf("status %d", response.StatusCode))

		return unsure
	}

	return r.deliverWhole(ctx, a, choice, response, outcome)
}

// authentic says whether the answer is the upstream's own answer to this request.
func (r *Relayer) authentic(request *request, response *dialer.Response) bool {
	names := &r.options.Headers

	if request.id != "" && response.Header.Get(names.RequestID) != request.id {
		return false
	}

	return response.StatusCode >= http.StatusMultipleChoices || response.Header.Get(names.Signature) != ""
}

func isStream(request *request, response *dialer.Response) bool {
	if request.route.Kind != cataloguer.Stream || response.StatusCode != http.StatusOK {
		return false
	}

	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))

	return err == nil && media == mediaTypeEvents
}

// deliverWhole reads the body before anything of it goes to the caller.
func (r *Relayer) deliverWhole(ctx context.Context, a *answer, choice balancer.Choice, response *dialer.Response, outcome *balancer.Outcome) verdict {
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes))
	if err == nil && len(body) == wholeBytes {
		return r.deliverLong(ctx, a, choice, response, body, outcome)
	}

	if err != nil {
		r.judgeBreak(ctx, a.request, choice, outcome, len(body) > 0)
		r.logAttempt(a.request, choice, "answer_broken", causeOf(ctx, err))

		return unsure
	}

	kept := &keptAnswer{status: response.StatusCode, header: endToEnd(response.Header), body: body}

	if response.StatusCode >= http.StatusInternalServerError {
		*outcome = balancer.Failed
		a.kept = kept
		// It failed the request and outlived it.
		r.options.Quarantine.Answered(a.request.key)
		r.logAttempt(a.request, choice, "failed_by_upstream", errors.Newf("status %d", response.StatusCode))

		return unsure
	}

	*outcome = balancer.Served
	a.kept = kept
	a.writeKept()
	r.served(a, choice)

	return done
}

// deliverLong passes on an answer that is too long to be held.
func (r *Relayer) deliverLong(ctx context.Context, a *answer, choice balancer.Choice, response *dialer.Response, head []byte, outcome *balancer.Outcome) verdict {
	a.begin(response.StatusCode, endToEnd(response.Header), response.ContentLength)

	_, err := a.writer.Write(head)
	if err == nil {
		_, err = io.Copy(a.writer, response.Body)
	}

	if err != nil {
		r.judgeBreak(ctx, a.request, choice, outcome, true)
		a.account.code = classifier.StreamBroken
		r.logAttempt(a.request, choice, "answer_broken", err)
		panic(http.ErrAbortHandler)
	}

	*outcome = balancer.Served
	r.served(a, choice)

	return done
}

// begin sends the header of the answer; a negative length means that it isn't known.
func (a *answer) begin(status int, header http.Header, length int64) {
	target := a.writer.Header()
	for name, values := range header {
		target[name] = values
	}

	if length >= 0 {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}

	a.begun = true
	a.account.first = time.Since(a.request.arrived)
	a.writer.WriteHeader(status)
}

// writeKept gives the caller the answer that was kept.
func (a *answer) writeKept() {
	length := int64(len(a.kept.body))
	if a.request.method == http.MethodHead || a.kept.status == http.StatusNoContent || a.kept.status == http.StatusNotModified {
		length = -1
	}

	a.begin(a.kept.status, a.kept.header, length)
	// A failed write means that the caller left; its connection ends with the handler.
	_, _ = a.writer.Write(a.kept.body)
}

func endToEnd(header http.Header) http.Header {
	header = header.Clone()
	dropPerConnection(header)

	return header
}

// served records a whole answer.
func (r *Relayer) served(a *answer, choice balancer.Choice) {
	a.account.code = classifier.OK
	r.options.Quarantine.Answered(a.request.key)
	r.options.Logger.Debug().Str("request_id", a.request.id).Str("upstream", choice.Upstream).Msg("request_served")
}
