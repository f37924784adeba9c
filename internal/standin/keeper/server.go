package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"quincepath.example/quincepath/internal/storer"
)

const (
	defaultWrites = 400
	defaultReads  = 2000
	// maxBodyBytes takes a largest value in base64 beside others of a transaction.
	maxBodyBytes = 8 << 20
	stopWait     = time.Second
)

// Options configure a Server.
type Options struct {
	// Listen is the host:port to listen on; port 0 chooses one.
	Listen string
	// Token is the bearer token that every call but those under /standin needs; empty means none.
	Token string
	// WritesPerSecond and ReadsPerSecond bound the calls, each with a burst of one second; 0 means
	// 400 and 2000. Lease calls count as writes; a watch counts as one read when it opens.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// VMLag is the time after which a list of VMs set is seen.
	VMLag time.Duration
	// Ready, if set, is told the address once calls are taken.
	Ready func(addr string)
}

// Server answers the published mapping on a Store and injects faults by its switches.
type Server struct {
	options Options
	store   *Store
	logger  zerolog.Logger
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu       sync.Mutex
	switches switches
	counts   map[string]int64
}

// New returns a Server on an empty Store.
func New(options Options, logger zerolog.Logger) *Server {
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond = defaultWrites
	}
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond = defaultReads
	}

	return &Server{
		options: options,
		store:   NewStore(StoreOptions{VMLag: options.VMLag}),
		logger:  logger,
		writes:  limiter(options.WritesPerSecond),
		reads:   limiter(options.ReadsPerSecond),
		counts:  map[string]int64{},
	}
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Store returns the store behind the server.
func (s *Server) Store() *Store {
	return s.store
}

// Run serves until ctx ends; open watches end with it.
func Run(ctx context.Context, options Options, logger zerolog.Logger) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler:           New(options, logger).Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stopped := make(chan struct{})
	detach := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(server)
	})
	if options.Ready != nil {
		options.Ready(listener.Addr().String())
	}
	logger.Info().Str("address", listener.Addr().String()).Msg("standin_listening")
	err = server.Serve(listener)
	if !detach() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return errors.Wrap(err, "serve")
}

func shutdown(server *http.Server) {
	wait, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	if server.Shutdown(wait) != nil {
		_ = server.Close()
	}
}

type action func(body []byte) (any, error)

// Handler returns the handler of all calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.read("range", s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/put", s.write("put", s.put))
	mux.HandleFunc("POST /v3/kv/deleterange", s.write("deleterange", s.deleteRange))
	mux.HandleFunc("POST /v3/kv/txn", s.write("txn", s.txn))
	mux.HandleFunc("POST /v3/lease/grant", s.write("grant", s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.write("keepalive", s.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", s.write("revoke", s.revoke))
	mux.HandleFunc("POST /v3/watch", s.watch)
	mux.HandleFunc("GET /vms", s.read("vms", func([]byte) (any, error) { return s.store.VMs(), nil }))
	s.addControls(mux)

	return mux
}

func (s *Server) read(kind string, act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := s.admit(w, r, kind, s.reads)
		if err != nil {
			fail(w, err)
			return
		}
		respond(w, body, act)
	}
}

func (s *Server) write(kind string, act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := s.admit(w, r, kind, s.writes)
		if err != nil {
			fail(w, err)
			return
		}
		if s.losesReply() {
			_, _ = act(body)
			panic(http.ErrAbortHandler)
		}
		respond(w, body, act)
	}
}

// admit counts the call, then applies outage, token, rate and slowness in this order.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, kind string, rates *rate.Limiter) ([]byte, error) {
	set := s.count(kind)
	if set.Outage {
		return nil, refuse(storer.StatusUnavailable, "the platform is out of service")
	}
	if s.options.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.options.Token {
		return nil, refuse(storer.StatusUnauthenticated, "etcdserver: invalid auth token")
	}
	if !rates.Allow() {
		return nil, refuse(storer.StatusResourceExhausted, "etcdserver: too many requests")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, refuse(storer.StatusInvalidArgument, err.Error())
	}
	// The whole wait, also when the caller has gone: a late write still takes effect, and late.
	time.Sleep(time.Duration(set.SlowMS) * time.Millisecond)

	return body, nil
}

func respond(w http.ResponseWriter, body []byte, act action) {
	response, err := act(body)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

var httpStatus = map[int]int{
	storer.StatusInvalidArgument:    http.StatusBadRequest,
	storer.StatusNotFound:           http.StatusNotFound,
	storer.StatusResourceExhausted:  http.StatusTooManyRequests,
	storer.StatusFailedPrecondition: http.StatusBadRequest,
	storer.StatusOutOfRange:         http.StatusBadRequest,
	storer.StatusUnavailable:        http.StatusServiceUnavailable,
	storer.StatusUnauthenticated:    http.StatusUnauthorized,
}

func fail(w http.ResponseWriter, err error) {
	var status *StatusError
	if !errors.As(err, &status) {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus[status.Code])
	_ = json.NewEncoder(w).Encode(failure{Error: status.Message, Code: status.Code, Message: status.Message})
}
