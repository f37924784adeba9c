package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxEventBytes is the longest event that is read from an engine.
const maxEventBytes = 1 << 20

// endOfStream is the payload of the last event of an OpenAI stream.
const endOfStream = "[DONE]"

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
	sender := &engineSender{
		client:    n.upstream,
		upstreams: n.upstreams,
		request:   taken.request,
		path:      r.URL.Path,
		body:      prepared,
		key:       taken.key,
		answer:    recorder.NewAnswer(),
	}
	entry := &run{request: taken.request, sender: sender, answer: sender.answer, key: taken.key}
	entry.bodyHash = bodyHash(r.Method, r.URL.Path, body)
	entry.deliver = n.engineDelivery(entry, gjson.GetBytes(body, "stream").Bool())

	n.serve(w, r, entry)
}

// engineDelivery returns how the answer goes to the caller: as events, or as one object.
func (n *Node) engineDelivery(entry *run, stream bool) func(http.ResponseWriter, *http.Request, string) {
	if !stream {
		return func(w http.ResponseWriter, r *http.Request, _ string) {
			n.collectAnswer(w, r, entry)
		}
	}

	return func(w http.ResponseWriter, r *http.Request, lastEvent string) {
		from, ok := entry.answer.Position(lastEvent)
		if !ok {
			writeError(w, entry.request.ID, classifier.New(classifier.InvalidRequest, "the answer has no event %q", lastEvent))

			return
		}

		n.streamAnswer(w, r, entry, from)
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
	answer    *recorder.Answer
	// tokens is the number of tokens in the answer; only the attempt that owns the answer uses it.
	tokens int
	// chunkID is the id of the first chunk, which all others get as well.
	chunkID string
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

	pulse := s.upstreams.pulse(attempt.Slot.Upstream.Address)
	reader := forwarder.NewGapReader(s.gapLimits(pulse), pulse.beat, cancel)

	defer reader.Stop()

	pump := &eventPump{sender: s, attempt: attempt, owned: !attempt.Contested(), started: started}
	err := s.exchange(ctx, attempt, reader, pump)

	outcome := dispatcher.Outcome{
		Result:     sendResult(ctx, err, reader),
		FirstToken: pump.firstToken,
		Duration:   time.Since(started),
		Tokens:     pump.delivered,
		Wasted:     pump.wasted,
		Err:        err,
	}
	leaveIdleAfter(outcome, s.client)

	return outcome
}

// leaveIdleAfter closes the idle connections after a silent attempt. What made one
// connection silent, such as a middle box that lost its table, mostly made all
// of that time silent. Kept, each would fail one more request after its gap
// limit, long after the fault, until the retry budget is spent.
func leaveIdleAfter(outcome dispatcher.Outcome, client *forwarder.Client) {
	if outcome.Result == dispatcher.ResultSilent {
		client.Close()
	}
}

// gapLimits are the limits of silence of one attempt. An engine that sets an
// answer aside for a higher tier sends nothing on it for a while, as a dead
// connection does. What tells them apart is that the engine goes on sending to
// others: while it does, answers below tier 1 get more time. Taken for dead, they
// would be read again by another engine, and again, until none is left.
func (s *engineSender) gapLimits(pulse *pulse) forwarder.GapLimits {
	class := s.request.Class
	limits := forwarder.GapLimits{
		First: max(class.GapLimit, firstSilenceFactor*min(class.GapLimit, class.Target)),
		Next:  class.GapLimit,
	}

	if class.Tier == topTier {
		return limits
	}

	extensions := 0
	limits.Extend = func() bool {
		extensions++

		return extensions <= maxGapExtensions && pulse.within(class.GapLimit)
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
		header.Set(forwarder.HeaderKey, s.key)
	}

	response, err := s.client.Do(ctx, forwarder.Call{
		Method:          http.MethodPost,
		URL:             attempt.Slot.Upstream.Address + s.path,
		Header:          header,
		Body:            body,
		RequestID:       s.request.ID,
		Attempt:         attempt.Number,
		Priority:        attempt.Slot.Priority,
		OnNewConnection: attempt.Number > 1 || !s.request.Repeatable,
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()

	if failure := forwarder.CheckStatus(response); failure != nil {
		return failure
	}

	reader.Attach(response.Body)

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

// errSuperseded marks a stream whose first token came after that of another attempt.
var errSuperseded = errors.New("another attempt owns the answer")

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

	return nil
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

	if !p.attempt.Own() {
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
