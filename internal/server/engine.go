package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

// topTier is served first and never set aside.
const topTier = 1

// maxGapExtensions is how often an answer below tier 1 gets one more gap limit
// while its engine sends to others.
const maxGapExtensions = 8

// firstSilenceFactor times the shorter of a class's target and gap limit is how
// long an engine may take to the first byte. Long targets alone would leave a
// review on a silent engine for many minutes; the gap limit alone would take
// low tiers that wait in an engine's own queue for silent.
const firstSilenceFactor = 4

func (n *Node) handleEngine(w http.ResponseWriter, r *http.Request) {
	organisation, body, failure := n.admit(w, r)
	if failure != nil {
		n.refuse(w, "", failure)

		return
	}

	if !gjson.ValidBytes(body) {
		n.refuse(w, "", classifier.New(classifier.InvalidRequest, "the body is not JSON"))

		return
	}

	taken, failure := n.resolve(r, organisation, gjson.GetBytes(body, "model").String(), configurer.KindEngine)
	if failure != nil {
		n.refuse(w, "", failure)

		return
	}

	prepared, failure := prepareEngineBody(body)
	if failure != nil {
		n.refuse(w, taken.request.ID, failure)

		return
	}

	taken.request.Prefixes = prefixesOf(body)
	hash := bodyHash(r.Method, r.URL.Path, body)
	taken.request.Key = requestKey(taken.request, hash)
	sender := newEngineSender(n, taken, r.URL.Path, prepared)
	run := &requestRun{request: taken.request, sender: sender, answer: sender.answer, key: taken.key}
	run.bodyHash = hash
	run.deliver = engineDelivery(run, gjson.GetBytes(body, "stream").Bool())

	n.serve(w, r, run)
}

// engineDelivery returns how the answer goes to the caller: as events, or as one object.
func engineDelivery(run *requestRun, stream bool) func(http.ResponseWriter, *http.Request, string) {
	if !stream {
		return func(w http.ResponseWriter, r *http.Request, _ string) {
			collectAnswer(w, r, run)
		}
	}

	return func(w http.ResponseWriter, r *http.Request, lastEvent string) {
		from, ok := run.answer.IndexAfter(lastEvent)
		if !ok {
			writeError(w, run.request.ID, classifier.New(classifier.InvalidRequest, "the answer has no event %q", lastEvent))

			return
		}

		streamAnswer(w, r, run, from)
	}
}

// prepareEngineBody makes the engine stream, whatever the caller asked: only a
// stream shows first-token times and silence, and can be resumed.
func prepareEngineBody(body []byte) ([]byte, *classifier.Error) {
	wantsUsage := gjson.GetBytes(body, "stream_options.include_usage").Bool()
	streams := gjson.GetBytes(body, "stream").Bool()

	prepared, err := sjson.SetBytes(body, "stream", true)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "the body is not a JSON object")
	}

	if streams && !wantsUsage {
		return prepared, nil
	}

	prepared, err = sjson.SetBytes(prepared, "stream_options.include_usage", true)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "stream_options is not a JSON object")
	}

	return prepared, nil
}

// engineSender sends the attempts of one request to engines and gathers the events.
type engineSender struct {
	client    *forwarder.Client
	upstreams *upstreamTable
	request   dispatcher.Request
	path      string
	body      []byte
	key       string
	answer    *recorder.EventBuffer
	// paused returns for how long this process has stood still; it may be nil.
	paused func() time.Duration
	// tokens is the number of tokens in the answer; only the attempt that owns the answer uses it.
	tokens int
	// chunkID is the id of the first chunk, which all others get as well.
	chunkID string
}

func newEngineSender(n *Node, taken intake, path string, body []byte) *engineSender {
	return &engineSender{
		client:    n.upstream,
		upstreams: n.upstreams,
		request:   taken.request,
		path:      path,
		body:      body,
		key:       taken.key,
		answer:    recorder.NewEventBuffer(),
		paused:    n.pauses.Paused,
	}
}

// Progress implements dispatcher.Sender.
func (s *engineSender) Progress() int {
	return s.tokens
}

// Send implements dispatcher.Sender.
func (s *engineSender) Send(ctx context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	started := time.Now()

	defer s.upstreams.attempt(attempt.Slot.Upstream.Address)()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	activity := s.upstreams.activity(attempt.Slot.Upstream.Address)
	reader := forwarder.NewGapReader(s.gapLimits(activity), activity.mark, cancel)

	defer reader.Stop()

	pump := &eventPump{sender: s, attempt: attempt, owned: !attempt.IsRacing(), started: started}
	err := s.exchange(ctx, attempt, reader, pump)

	outcome := dispatcher.Outcome{
		Result:          sendResult(ctx, err, reader),
		FirstToken:      pump.firstToken,
		Duration:        time.Since(started),
		Tokens:          pump.delivered,
		DiscardedTokens: pump.wasted,
		RetryAfter:      forwarder.RetryAfterOf(err),
		Err:             err,
	}
	leaveIdleAfter(outcome, s.client)

	return outcome
}

// gapLimits are the limits of silence of one attempt. An engine that sets an
// answer aside for a higher tier sends nothing on it for a while, as a dead
// connection does. What tells them apart is that the engine goes on sending to
// others: while it does, answers below tier 1 get more time. Taken for dead, they
// would be read again by another engine, and again, until none is left.
func (s *engineSender) gapLimits(activity *activity) forwarder.GapLimits {
	class := s.request.Class
	limits := forwarder.GapLimits{
		First:  max(class.GapLimit, firstSilenceFactor*min(class.GapLimit, class.Target)),
		Next:   class.GapLimit,
		Paused: s.paused,
	}

	if class.Tier == topTier {
		return limits
	}

	extensions := 0
	limits.Extend = func() bool {
		extensions++

		return extensions <= maxGapExtensions && activity.within(class.GapLimit)
	}

	return limits
}

func (s *engineSender) exchange(ctx context.Context, attempt dispatcher.Attempt, reader *forwarder.GapReader, pump *eventPump) error {
	body, err := attemptBody(s.body, attempt)
	if err != nil {
		return errors.Mark(err, forwarder.ErrNotSent)
	}

	header := http.Header{"Content-Type": {"application/json"}}
	if s.key != "" {
		header.Set(forwarder.HeaderIdempotencyKey, s.key)
	}

	call := newCall(s.request, attempt, s.path)
	call.Method = http.MethodPost
	call.Header = header
	call.Body = body

	response, err := s.client.Do(ctx, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()

	if failure := forwarder.CheckStatus(response); failure != nil {
		return failure
	}

	reader.SetBody(response.Body)

	return pump.run(reader)
}

func attemptBody(body []byte, attempt dispatcher.Attempt) ([]byte, error) {
	prepared, err := sjson.SetBytes(body, "priority", attempt.Slot.Priority)
	if err != nil {
		return nil, errors.Wrap(err, "set priority")
	}

	if attempt.Offset == 0 {
		return prepared, nil
	}

	prepared, err = sjson.SetBytes(prepared, "resume_offset", attempt.Offset)

	return prepared, errors.Wrap(err, "set resume offset")
}
