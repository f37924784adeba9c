package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/pkg/classifier"
)

// Headers between callers and nodes.
const (
	headerClass      = "Quincepath-Class"
	headerRepeatable = "Quincepath-Repeatable"
	headerRequestID  = "Quincepath-Request-Id"
	headerResult     = "Quincepath-Result"
	headerRan        = "Quincepath-Ran"
)

// failureRetryAfter is when to come back after a failure that says nothing better.
const failureRetryAfter = 2 * time.Second

const (
	maxHeaderBytes = 64 << 10
	maxKeyBytes    = 200
)

func (n *Node) callerRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/entries", n.handleEntries)
	routes.HandleFunc("GET /v1/models", n.handleModels)
	routes.HandleFunc("POST /v1/chat/completions", n.handleEngine)
	routes.HandleFunc("POST /v1/completions", n.handleEngine)
	routes.HandleFunc("/services/{service}/{path...}", n.handlePlain)
	routes.HandleFunc("GET /v1/requests/{id}/answer", n.handleResume)

	return routes
}

// intake is a request that was read and checked but not yet run.
type intake struct {
	request dispatcher.Request
	// key is the idempotency key, or empty.
	key string
}

// readBody reads the whole body within the node's limits of size and time.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *classifier.Error) {
	control := http.NewResponseController(w)

	if err := control.SetReadDeadline(time.Now().Add(n.settings.Node.BodyTimeout)); err != nil {
		return nil, classifier.Wrap(err, classifier.InternalError, "set the body's deadline")
	}

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, n.settings.Node.MaxBodyBytes))
	if err != nil {
		return nil, bodyError(err)
	}

	// The deadline would also end the watch for the caller's disconnect.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, classifier.Wrap(err, classifier.InternalError, "clear the body's deadline")
	}

	return body, nil
}

func bodyError(err error) *classifier.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return classifier.New(classifier.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}

	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return classifier.New(classifier.SlowSender, "the body did not arrive in time")
	}

	return classifier.Wrap(err, classifier.InvalidRequest, "the body broke off")
}

// admit checks the bearer key, then reads the body: a stranger's body is never read.
func (n *Node) admit(w http.ResponseWriter, r *http.Request) (organisation string, body []byte, failure *classifier.Error) {
	organisation, failure = n.tree.authenticate(r)
	if failure != nil {
		return "", nil, failure
	}

	body, failure = n.readBody(w, r)

	return organisation, body, failure
}

// resolve finds service, organisation and class of a request.
func (n *Node) resolve(r *http.Request, organisationName, serviceName string, kind configurer.Kind) (intake, *classifier.Error) {
	service, ok := n.tree.Snapshot().Services[serviceName]
	if !ok || service.Kind != kind {
		return intake{}, classifier.New(classifier.UnknownService, "there is no %s service %q", kind, serviceName)
	}

	organisation, ok := service.Organisations[organisationName]
	if !ok {
		return intake{}, classifier.New(classifier.Forbidden, "organisation %q may not use service %q", organisationName, serviceName)
	}

	class, failure := classOf(r, service)
	if failure != nil {
		return intake{}, failure
	}

	key := r.Header.Get(forwarder.HeaderKey)
	if len(key) > maxKeyBytes {
		return intake{}, classifier.New(classifier.KeyTooLong, "the idempotency key has %d bytes; %d are allowed", len(key), maxKeyBytes)
	}

	return intake{
		key: key,
		request: dispatcher.Request{
			ID:           n.identity.nextRequest(),
			Service:      service,
			Class:        class,
			Organisation: organisation,
			Repeatable:   class.Repeatable && !strings.EqualFold(r.Header.Get(headerRepeatable), "false"),
			Arrived:      time.Now(),
		},
	}, nil
}

func classOf(r *http.Request, service configurer.Service) (configurer.Class, *classifier.Error) {
	name := r.Header.Get(headerClass)
	if name == "" {
		name = service.DefaultClass
	}

	class, ok := service.Classes[name]
	if !ok {
		return configurer.Class{}, classifier.New(classifier.UnknownClass, "service %q has no class %q", service.Name, name)
	}

	return class, nil
}

// errorAnswer is the body of every refusal and failure; its outer shape is that of the OpenAI API.
type errorAnswer struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message           string         `json:"message"`
	Type              string         `json:"type"`
	Code              string         `json:"code"`
	ResultCode        int            `json:"result_code"`
	Ran               classifier.Ran `json:"ran"`
	RetryAfterSeconds float64        `json:"retry_after_seconds,omitempty"`
	RequestID         string         `json:"request_id,omitempty"`
}

func newErrorAnswer(requestID string, failure *classifier.Error) errorAnswer {
	return errorAnswer{Error: errorBody{
		Message:           failure.Reason,
		Type:              "quincepath_error",
		Code:              failure.Code.String(),
		ResultCode:        int(failure.Code),
		Ran:               failure.Ran,
		RetryAfterSeconds: failure.RetryAfter.Seconds(),
		RequestID:         requestID,
	}}
}

// refuse counts, logs and answers a request that doesn't run. Nothing may have been written before.
func (n *Node) refuse(w http.ResponseWriter, requestID string, failure *classifier.Error) {
	n.noteRefusal(requestID, failure)
	writeError(w, requestID, failure)
}

// noteRefusal counts and logs a request that doesn't run.
func (n *Node) noteRefusal(requestID string, failure *classifier.Error) {
	n.meter.Refused("", failure.Code)
	n.logger.Info().
		Str("request_id", requestID).
		Int("result_code", int(failure.Code)).
		Str("result", failure.Code.String()).
		Str("reason", failure.Reason).
		Msg("request_refused")
}

// writeError answers with a numbered result. Nothing may have been written before.
func writeError(w http.ResponseWriter, requestID string, failure *classifier.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerResult, failure.Code.String())
	header.Set(headerRan, string(failure.Ran))

	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}

	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(failure.RetryAfter)))
	}

	w.WriteHeader(classifier.Describe(failure.Code).Status)
	// A failed write means that the caller left; its connection ends with the handler.
	_ = json.NewEncoder(w).Encode(newErrorAnswer(requestID, failure))
}

// wholeSeconds rounds up, as the Retry-After header has no fractions.
func wholeSeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}
