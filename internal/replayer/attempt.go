package replayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/standin/generator"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	headerClass      = "Quincepath-Class"
	headerRepeatable = "Quincepath-Repeatable"
	headerRequestID  = "Quincepath-Request-Id"
	headerResult     = "Quincepath-Result"
)

const (
	// silenceLimit is how long an open stream may send nothing; nodes send comments more often than that.
	silenceLimit   = 15 * time.Second
	maxAnswerBytes = 16 << 20
)

// Doer sends HTTP requests.
type Doer interface {
	Do(request *http.Request) (*http.Response, error)
}

// reply is what one call brought.
type reply struct {
	ending     Ending
	result     string
	ran        classifier.Ran
	retryAfter time.Duration
	requestID  string
	run        string
	reason     string
	firstToken time.Time
	gaps       []time.Duration
	tokens     int
	// lost means that the connection failed before any answer or result was whole.
	lost bool
	// notSent means that the node surely got no byte of the request.
	notSent bool
}

// attempt is one call of one caller.
type attempt struct {
	client Doer
	// scheme is "http://" or "https://".
	scheme   string
	address  string
	key      string
	event    tracer.Event
	body     []byte
	standIns bool
}

func (a attempt) run(ctx context.Context) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	var connected atomic.Bool

	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	request, err := a.request(traced)
	if err != nil {
		return reply{lost: true, notSent: true, reason: err.Error()}
	}

	response, err := a.client.Do(request)
	if err != nil {
		return reply{lost: true, notSent: !connected.Load(), reason: err.Error()}
	}
	defer response.Body.Close()

	reader := forwarder.NewGapReader(forwarder.GapLimits{First: silenceLimit, Next: silenceLimit}, nil, cancel)
	defer reader.Stop()

	reader.SetBody(response.Body)

	r := a.read(response, reader)
	r.requestID = response.Header.Get(headerRequestID)

	return r
}

func (a attempt) request(ctx context.Context) (*http.Request, error) {
	path := "/v1/chat/completions"
	if !a.event.IsEngine() {
		path = "/services/" + a.event.Service + a.event.Path
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.scheme+a.address+path, bytes.NewReader(a.body))
	if err != nil {
		return nil, errors.Wrap(err, "build a request")
	}

	// With GetBody and an idempotency key, net/http itself would send a request
	// again on another connection; the runs at the upstream would then not match the tries here.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.key)
	request.Header.Set(headerClass, a.event.Class)

	if a.event.NotRepeatable {
		request.Header.Set(headerRepeatable, "false")
	}

	if a.event.IdempotencyKey != "" {
		request.Header.Set(forwarder.HeaderIdempotencyKey, a.event.IdempotencyKey)
	}

	return request, nil
}

func (a attempt) read(response *http.Response, body io.Reader) reply {
	if response.StatusCode == http.StatusOK && a.event.IsEngine() {
		return a.readStream(body)
	}

	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return reply{lost: true, reason: err.Error()}
	}

	if response.StatusCode == http.StatusOK {
		return a.checkPlain(data)
	}

	name := "http_" + strconv.Itoa(response.StatusCode)

	switch response.Header.Get(headerResult) {
	case "":
		return reply{ending: Wrong, result: name, reason: "the answer has no numbered result"}
	case classifier.OK.String():
		return reply{ending: Failed, result: name, ran: classifier.RanYes, reason: "the plain service itself failed"}
	default:
		return numbered(data)
	}
}

// errorAnswer is the body of a refusal or failure.
type errorAnswer struct {
	Error struct {
		Message           string         `json:"message"`
		Code              string         `json:"code"`
		ResultCode        int            `json:"result_code"`
		Ran               classifier.Ran `json:"ran"`
		RetryAfterSeconds float64        `json:"retry_after_seconds"`
	} `json:"error"`
}

// numbered reads a refusal or failure. One without code or run state is no answer that a caller can act on.
func numbered(data []byte) reply {
	var answer errorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.ResultCode == 0 {
		return reply{ending: Wrong, reason: "the error body has no result code"}
	}

	r := reply{
		ending:     Failed,
		result:     answer.Error.Code,
		ran:        answer.Error.Ran,
		retryAfter: time.Duration(answer.Error.RetryAfterSeconds * float64(time.Second)),
		reason:     answer.Error.Message,
	}

	switch answer.Error.Ran {
	case classifier.RanNo:
		r.ending = Refused
	case classifier.RanYes, classifier.RanUnknown:
	default:
		r.ending = Wrong
		r.reason = "the error body doesn't say whether the request ran"
	}

	return r
}

// plainAnswer is what the stand-in service answers.
type plainAnswer struct {
	Service        string `json:"service"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	Run            int    `json:"run"`
	EchoHash       string `json:"echo_hash"`
}

func (a attempt) checkPlain(data []byte) reply {
	whole := reply{ending: Whole, result: classifier.OK.String(), ran: classifier.RanYes}
	if !a.standIns {
		return whole
	}

	var answer plainAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return reply{ending: Wrong, reason: "the answer is not the stand-in's"}
	}

	hash := strconv.FormatUint(xxhash.Sum64(a.body), 16)
	if answer.Path != a.event.Path || answer.EchoHash != hash || answer.IdempotencyKey != a.event.IdempotencyKey {
		return reply{ending: Wrong, reason: "the answer is another request's"}
	}

	whole.run = answer.Service + "#" + strconv.Itoa(answer.Run)

	return whole
}

func (a attempt) expected() (string, bool) {
	if !a.standIns {
		return "", false
	}

	answer, err := generator.Expect(a.body)
	if err != nil {
		return "", false
	}

	return answer.Text(), true
}
