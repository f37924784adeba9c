package server

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

// headerReplayed marks an answer that is that of an earlier run with the same idempotency key.
const headerReplayed = "Quincepath-Replayed"

// recordTimeout bounds the wait for the record of a run's end; the writing goes on behind it.
const recordTimeout = 5 * time.Second

// claimable is a sender whose answer can be recorded and given again.
type claimable interface {
	// claimResult returns the whole answer.
	claimResult() claimer.Result
	// replay makes a recorded answer this request's own.
	replay(result claimer.Result) error
}

// newClaims returns what records claims in the platform's store.
func (n *Node) newClaims(store claimer.Store) *claimer.Claimer {
	options := claimer.Options{
		Node:        n.identity.node,
		Incarnation: n.identity.incarnation,
		Makers:      n.members,
		Holders:     shardHolders{n.members},
		Caller:      n.messages,
		Window:      n.settings.Claims.Window,
		AnswerTime:  n.settings.Claims.AnswerTime,
		Notify:      n.logClaimNotice,
	}
	n.logger.Info().
		Dur("window", options.Window).
		Dur("answer_time", options.AnswerTime).
		Float64("capacity_per_second", math.Round(options.Capacity())).
		Msg("claims_capacity")

	return claimer.New(n.work, store, options)
}

func (n *Node) logClaimNotice(notice claimer.Notice) {
	event := n.logger.Warn()
	if notice.Err != nil {
		event = n.logger.Error().Err(notice.Err)
	} else {
		event = event.Int("shard", notice.Shard).Float64("share", notice.Share)
	}

	event.Msg(string(notice.Event))
}

// bodyHash covers all that makes a request what it is.
func bodyHash(method, path string, body []byte) [sha256.Size]byte {
	hash := sha256.New()
	// Writes to a hash never fail.
	_, _ = hash.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = hash.Write(body)

	return [sha256.Size]byte(hash.Sum(nil))
}

// dispatchOnce runs a request that must run at most once. The claim comes before
// the first byte leaves; whoever finds it later does not run the request again.
// The returned function records the end; it is nil when there is nothing to record.
func (n *Node) dispatchOnce(ctx context.Context, run *requestRun) (failure *classifier.Error, record func()) {
	if n.claims == nil {
		unavailable := classifier.New(classifier.ClaimUnavailable, "the node has no platform to record claims in")

		return unavailable.After(failureRetryAfter), nil
	}

	decision, err := n.claims.Begin(ctx, claimer.Claim{
		Organisation: run.request.Organisation.Name,
		Service:      run.request.Service.Name,
		Key:          run.key,
		BodyHash:     run.bodyHash,
		RequestID:    run.request.ID,
	})
	if err != nil {
		return classifier.From(err), nil
	}

	if decision.Handle == nil {
		return replayed(run, *decision.Replay), nil
	}

	failure = n.dispatch.Run(ctx, run.request, run.sender)

	return failure, func() { n.recordEnd(run, decision.Handle, failure) }
}

// replayed gives the recorded answer, or the recorded failure.
func replayed(run *requestRun, result claimer.Result) *classifier.Error {
	if result.Code != classifier.OK {
		failure := classifier.New(result.Code, "this is the recorded result of the earlier run")
		failure.Ran = result.Ran

		return failure
	}

	if result.Dropped {
		return classifier.New(classifier.AnswerNotKept, "the request ran once; its answer is no longer kept, or was too long")
	}

	if err := run.sender.(claimable).replay(result); err != nil {
		return classifier.Wrap(err, classifier.AnswerNotKept, "the recorded answer can't be read")
	}

	run.replayed.Store(true)

	return nil
}

// markReplayed tells the caller that the answer is that of an earlier run.
func (r *requestRun) markReplayed(header http.Header) {
	if r.replayed.Load() {
		header.Set(headerReplayed, "true")
	}
}

// recordEnd writes how the run ended, or frees the key when nothing ran.
func (n *Node) recordEnd(run *requestRun, handle *claimer.Handle, failure *classifier.Error) {
	ctx, cancel := context.WithTimeout(n.work, recordTimeout)
	defer cancel()

	err := finishClaim(ctx, run, handle, failure)
	if err != nil {
		n.logger.Warn().Err(err).Str("request_id", run.request.ID).Msg("claim_end_not_recorded")
	}
}

func finishClaim(ctx context.Context, run *requestRun, handle *claimer.Handle, failure *classifier.Error) error {
	switch {
	case failure == nil:
		return handle.Finish(ctx, run.sender.(claimable).claimResult())
	case failure.Ran == classifier.RanNo:
		return handle.Void(ctx)
	default:
		return handle.Finish(ctx, claimer.Result{Code: failure.Code, Ran: failure.Ran})
	}
}

// claimResult implements claimable.
func (s *plainSender) claimResult() claimer.Result {
	return claimer.Result{
		Code:        classifier.OK,
		Ran:         classifier.RanYes,
		Status:      s.status,
		ContentType: s.answered.Get("Content-Type"),
		Body:        s.payload,
	}
}

// replay implements claimable.
func (s *plainSender) replay(result claimer.Result) error {
	if result.Status < http.StatusOK {
		return errors.Newf("the record has status %d", result.Status)
	}

	s.status = result.Status
	s.payload = result.Body
	s.answered = http.Header{}

	if result.ContentType != "" {
		s.answered.Set("Content-Type", result.ContentType)
	}

	return nil
}

// claimResult implements claimable.
func (s *engineSender) claimResult() claimer.Result {
	events, _, _ := s.answer.EventsFrom(context.Background(), 0)

	body, err := json.Marshal(assemble(events))
	if err != nil {
		// The parts were JSON when they came; without them the result still says that it ran.
		return claimer.Result{Code: classifier.OK, Ran: classifier.RanYes, Dropped: true}
	}

	return claimer.Result{Code: classifier.OK, Ran: classifier.RanYes, Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// replay implements claimable: the recorded answer becomes one large event.
func (s *engineSender) replay(result claimer.Result) error {
	var whole completion
	if err := json.Unmarshal(result.Body, &whole); err != nil {
		return err
	}

	data, err := json.Marshal(asChunk(whole))
	if err != nil {
		return err
	}

	s.answer.Append(recorder.Event{ID: eventID(1), Data: string(data)}, recorder.Event{Data: endOfStream})

	return nil
}
