// Package administrator is a node's HTTP edge for operators: status, the
// settings tree and counters. Every route but GET /healthz needs the bearer
// key of an operator.
package administrator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Limits of what an operator's connection may cost the node.
const (
	maxHeaderBytes = 32 << 10
	// maxBodyBytes leaves room for a branch of the platform's largest value, escaped as JSON.
	maxBodyBytes  = 2 << 20
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = 60 * time.Second
	idleTimeout   = 2 * time.Minute
	stopTimeout   = 5 * time.Second
	// callTimeout bounds one call. Changes of the tree try for all of it while the
	// platform is away. The operator's client waits longer.
	callTimeout = 8 * time.Second
)

// Options are the parts that the server shows and changes. None is nil but TLS.
type Options struct {
	// KeyHashes are SHA-256 sums of the operators' keys in lower-case hexadecimal.
	// An empty list lets nobody in.
	KeyHashes []string
	Status    Status
	Tree      Tree
	Requests  Requests
	// Variables answers GET /debug/vars, such as expvar.Handler.
	Variables http.Handler
	Logger    zerolog.Logger
	// TLS encrypts the connections; nil means plain TCP.
	TLS *tls.Config
}

// Server answers operators. It is safe for concurrent use.
type Server struct {
	options Options
	sums    []keySum
}

// New returns a server over the given parts. It fails on a key hash that is no SHA-256 sum.
func New(options Options) (*Server, error) {
	sums, err := decodeSums(options.KeyHashes)
	if err != nil {
		return nil, err
	}

	return &Server{options: options, sums: sums}, nil
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	guarded := http.NewServeMux()
	guarded.HandleFunc("GET /v1/node/status", s.handleNodeStatus)
	guarded.HandleFunc("GET /v1/node/upstreams", s.handleUpstreams)
	guarded.HandleFunc("POST /v1/upstreams/{service}/{name}/leave", s.handleLeave)
	guarded.HandleFunc("GET /v1/tree/branches", s.handleBranches)
	guarded.HandleFunc("GET /v1/tree/branches/{path...}", s.handleBranch)
	guarded.HandleFunc("PUT /v1/tree/branches/{path...}", s.handlePut)
	guarded.HandleFunc("DELETE /v1/tree/branches/{path...}", s.handleDelete)
	guarded.HandleFunc("GET /v1/tree/history", s.handleHistory)
	guarded.HandleFunc("POST /v1/tree/undo", s.handleUndo)
	guarded.HandleFunc("GET /v1/tree/changes/{id}", s.handleChange)
	guarded.HandleFunc("POST /v1/tree/changes/{id}/settle", s.handleSettle)
	guarded.HandleFunc("GET /v1/requests/{id}", s.handleRequest)
	guarded.Handle("GET /debug/vars", s.options.Variables)
	guarded.HandleFunc("/", s.handleUnknownRoute)

	routes := http.NewServeMux()
	routes.HandleFunc("GET /healthz", handleHealth)
	routes.Handle("/", s.authenticated(bounded(guarded)))

	return routes
}

// bounded ends the context of each call in time: without it a call would wait
// for the platform as long as its client holds the connection.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()

		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Run answers on the listener until ctx ends and the calls in flight are
// answered, but waits for them at most a few seconds. It closes the listener.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}

	server := &http.Server{
		Handler:           s.Handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}

	stopped := make(chan error, 1)
	unregister := context.AfterFunc(ctx, func() { stopped <- stop(server) })

	err := server.Serve(listener)
	if unregister() {
		return errors.Wrap(err, "serve operators")
	}

	return errors.Wrap(<-stopped, "stop serving operators")
}

func stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()

	return server.Shutdown(ctx)
}
