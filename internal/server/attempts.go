package server

import (
	"context"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
)

// errSuperseded marks a stream whose first token came after that of another attempt.
var errSuperseded = errors.New("another attempt owns the answer")

// newCall returns the part of an upstream call that all kinds of services share;
// method, header and body are the sender's own. A retry goes on a new connection,
// since the old one may be the fault. So does a request that is not repeatable:
// on a reused connection it could be sent twice unseen, as forwarder.Client tells.
func newCall(request dispatcher.Request, attempt dispatcher.Attempt, path string) forwarder.Call {
	return forwarder.Call{
		URL:              attempt.Slot.Upstream.Address + path,
		Upstream:         attempt.Slot.Upstream.Address,
		RequestID:        request.ID,
		Attempt:          attempt.Number,
		Priority:         attempt.Slot.Priority,
		UseNewConnection: attempt.Number > 1 || !request.Repeatable,
	}
}

// sendResult tells how an attempt ended from its error and the state of its reader.
func sendResult(ctx context.Context, err error, reader *forwarder.GapReader) dispatcher.Result {
	switch {
	case err == nil:
		return dispatcher.ResultDone
	case errors.Is(err, forwarder.ErrNotSent) && !reader.Silent() && ctx.Err() == nil:
		return dispatcher.ResultNotSent
	case errors.Is(err, forwarder.ErrRefused):
		return dispatcher.ResultRefused
	case errors.Is(err, forwarder.ErrRejected):
		return dispatcher.ResultRejected
	case reader.Silent():
		return dispatcher.ResultSilent
	case ctx.Err() != nil:
		return dispatcher.ResultCallerGone
	default:
		return dispatcher.ResultFailed
	}
}

// leaveIdleAfter closes the idle connections after a silent attempt. What made one
// connection silent, such as a middle box that lost its table, mostly made all
// of that time silent. Kept, each would fail one more request after its gap
// limit, long after the fault, until the retry budget is spent.
func leaveIdleAfter(outcome dispatcher.Outcome, client *forwarder.Client) {
	if outcome.Result == dispatcher.ResultSilent {
		client.CloseIdleConnections()
	}
}
