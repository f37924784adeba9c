package server

import (
	"io"
	"net/http"
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

	key := r.Header.Get(forwarder.HeaderIdempotencyKey)
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
