// Package responder is a stand-in for a plain HTTP service: it answers every path
// after a set time, records each run, and has switches for faults.
package responder

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/standin/supporter"
)

// jitterParts bounds the jitter: a request takes Work and up to Work/jitterParts more.
const jitterParts = 8

// Options are the settings of one service.
type Options struct {
	// Listen is the TCP address; port 0 takes a free one.
	Listen string
	// Name shows in the answers.
	Name string
	// Slots is the number of requests served at a time; less than 1 counts as 1.
	Slots int
	// Work is the time of a request, without up to an eighth of jitter by the body's hash.
	Work time.Duration
	// LoadLag is the age of the figures of /load.
	LoadLag time.Duration
	// Ready, when set, gets the address in use.
	Ready func(addr string)
}

// Record describes one run: a request whose work was done.
type Record struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key"`
	Attempt        string    `json:"attempt"`
	Path           string    `json:"path"`
	Method         string    `json:"method"`
	Run            int       `json:"run"`
	BodyHash       string    `json:"body_hash"`
	At             time.Time `json:"at"`
}

// Service serves one plain service.
type Service struct {
	options Options
	slots   *supporter.Slots
	runs    supporter.Runs[Record]
	silent  supporter.Gate

	delay   atomic.Uint64
	failing atomic.Bool
	refuses atomic.Bool
}

// New returns an idle service.
func New(o Options) *Service {
	s := &Service{options: o, slots: supporter.NewSlots(o.Slots, false, o.LoadLag)}
	s.delay.Store(math.Float64bits(1))
	return s
}

// Run serves a service until the context ends.
func Run(ctx context.Context, o Options, log zerolog.Logger) error {
	l := log.With().Str("standin", "service").Str("name", o.Name).Logger()
	return supporter.Serve(ctx, o.Listen, New(o).Handler(), o.Ready, l)
}

// Handler returns the service's whole HTTP interface.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /standin/switches", s.setSwitches)
	s.runs.Route(m)
	m.HandleFunc("/standin/", http.NotFound)
	m.HandleFunc("/load", s.load)
	m.HandleFunc("/", s.respond)
	return m
}

type answer struct {
	Service        string `json:"service"`
	Path           string `json:"path"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Run            int    `json:"run"`
	EchoHash       string `json:"echo_hash"`
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request) {
	if s.refuses.Load() {
		w.Header().Set("Retry-After", "1")
		supporter.WriteError(w, http.StatusServiceUnavailable, "the service takes no requests")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, supporter.MaxBody))
	if err != nil {
		supporter.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	h := xxhash.Sum64(body)
	if err := s.work(r, h); err != nil {
		panic(http.ErrAbortHandler)
	}
	a := s.record(r, strconv.FormatUint(h, 16))
	if s.failing.Load() || s.silent.Pass(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	supporter.WriteJSON(w, http.StatusOK, a)
}

// work holds a slot for the time of the request; it fails when the connection is closed.
func (s *Service) work(r *http.Request, hash uint64) error {
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	t := s.slots.Enter(priority)
	defer s.slots.Leave(t)
	if err := s.slots.Await(r.Context(), t); err != nil {
		return err
	}
	timer := time.NewTimer(s.duration(hash))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

func (s *Service) duration(hash uint64) time.Duration {
	const steps = 1 << 16
	part := float64(hash%steps) / steps / jitterParts
	return time.Duration(float64(s.options.Work) * (1 + part) * math.Float64frombits(s.delay.Load()))
}

func (s *Service) record(r *http.Request, hash string) answer {
	v := Record{
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Attempt:        r.Header.Get("X-Attempt"),
		Path:           r.URL.Path,
		Method:         r.Method,
		BodyHash:       hash,
		At:             time.Now(),
	}
	p, n := s.runs.Add(v)
	s.runs.Update(p, func(v *Record) { v.Run = n })
	return answer{
		Service:        s.options.Name,
		Path:           v.Path,
		RequestID:      v.RequestID,
		IdempotencyKey: v.IdempotencyKey,
		Run:            n,
		EchoHash:       hash,
	}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	supporter.WriteJSON(w, http.StatusOK, s.slots.Load())
}

// switches is the body of POST /standin/switches; a key that is left out changes nothing.
type switches struct {
	// Delay multiplies the time of each request; above 0.
	Delay *float64 `json:"delay"`
	// FailAfterRun breaks the connection off after the work is done and recorded.
	FailAfterRun *bool `json:"fail_after_run"`
	// Silent holds answers back after the work is done while connections stay open.
	Silent *bool `json:"silent"`
	// Refuse answers with 503 and Retry-After, without a run.
	Refuse *bool `json:"refuse"`
}

func (s *Service) setSwitches(w http.ResponseWriter, r *http.Request) {
	var v switches
	if !supporter.ReadJSON(w, r, &v) {
		return
	}
	if v.Delay != nil && *v.Delay > 0 {
		s.delay.Store(math.Float64bits(*v.Delay))
	}
	if v.FailAfterRun != nil {
		s.failing.Store(*v.FailAfterRun)
	}
	if v.Silent != nil {
		s.silent.Set(*v.Silent)
	}
	if v.Refuse != nil {
		s.refuses.Store(*v.Refuse)
	}
	w.WriteHeader(http.StatusNoContent)
}
