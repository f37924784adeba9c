// Package generator is a stand-in for a language-model engine with the
// OpenAI-compatible API: continuous batching without a model, and switches for faults.
package generator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/standin/supporter"
)

// Options are the settings of one engine.
type Options struct {
	// Listen is the TCP address; port 0 takes a free one.
	Listen string
	// Name shows in the answers' system_fingerprint.
	Name string
	// BearerKey is asked for on /v1/ and /orders; empty means no check.
	BearerKey string
	// Slots is the largest batch; less than 1 counts as 1.
	Slots int
	// TokenStep is the time of a token of a lone answer.
	TokenStep time.Duration
	// PrefillPerToken is the time before the first token for each prompt token.
	PrefillPerToken time.Duration
	// CacheBlocks is the memory for prompt prefixes in blocks of 256 bytes; less than 1 means 1,024.
	CacheBlocks int
	// LoadLag is the age of the figures of /load and /cache_events.
	LoadLag time.Duration
	// Seed selects the prefix events that get lost. The answers don't depend on it.
	Seed uint64
	// CheckFencing refuses orders with a lower fencing number than the highest seen.
	CheckFencing bool
	// Models are loaded at the start; when empty, any model name is served.
	Models []string
	// Ready, when set, gets the address in use.
	Ready func(addr string)
}

// State is how far an attempt got.
type State string

// States of attempts.
const (
	// stateRunning holds also while the attempt waits for a slot.
	stateRunning  State = "running"
	stateFinished State = "finished"
	// stateCancelled means that the connection was closed from the other side.
	stateCancelled State = "cancelled"
	// stateCrashed means that the crash_after_tokens switch broke the answer off.
	stateCrashed State = "crashed"
)

// Record describes one attempt at an answer.
type Record struct {
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	Priority  int    `json:"priority"`
	Offset    int    `json:"offset"`
	// Tokens is the number of tokens that this run made, after the offset.
	Tokens       int `json:"tokens"`
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens of the prompt were in the cache, so that their prefill was saved.
	CachedTokens int       `json:"cached_tokens"`
	State        State     `json:"state"`
	BodyHash     string    `json:"body_hash"`
	StartedAt    time.Time `json:"started_at"`
}

// Engine serves one engine's API.
type Engine struct {
	options Options
	batch   *Batch
	runs    supporter.Runs[Record]
	silent  supporter.Gate
	cache   *prefixes
	orders  *orders

	mu         sync.Mutex
	crashAfter int
	refuse     bool
}

// New returns an idle engine.
func New(o Options) *Engine {
	return &Engine{
		options: o,
		batch:   NewBatch(o.Slots, o.TokenStep, o.PrefillPerToken, o.LoadLag),
		cache:   newPrefixes(o),
		orders:  newOrders(o.Models, o.CheckFencing),
	}
}

// Run serves an engine until the context ends.
func Run(ctx context.Context, o Options, log zerolog.Logger) error {
	l := log.With().Str("standin", "engine").Str("name", o.Name).Logger()
	return supporter.Serve(ctx, o.Listen, New(o).Handler(), o.Ready, l)
}

// Handler returns the engine's whole HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.keyed(e.complete(chatForm)))
	m.HandleFunc("POST /v1/completions", e.keyed(e.complete(textForm)))
	m.HandleFunc("GET /v1/models", e.keyed(e.listModels))
	m.HandleFunc("POST /orders", e.keyed(e.order))
	m.HandleFunc("GET /state", e.state)
	m.HandleFunc("GET /load", e.load)
	m.HandleFunc("GET /cache_events", e.cacheEvents)
	m.HandleFunc("POST /standin/switches", e.setSwitches)
	m.HandleFunc("GET /standin/orders", e.listOrders)
	e.runs.Route(m)
	return m
}

func (e *Engine) keyed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := e.options.BearerKey
		if k != "" && r.Header.Get("Authorization") != "Bearer "+k {
			refuse(w, http.StatusUnauthorized, "invalid_request_error", "invalid_api_key", "wrong API key")
			return
		}
		next(w, r)
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	supporter.WriteJSON(w, http.StatusOK, e.batch.Load())
}

// switches is the body of POST /standin/switches; a key that is left out changes nothing.
type switches struct {
	// Straggle multiplies the time of each token; above 0.
	Straggle *float64 `json:"straggle"`
	// CrashAfterTokens breaks each answer's connection off after that many tokens; 0 means never.
	CrashAfterTokens *int `json:"crash_after_tokens"`
	// Silent stops all output while connections stay open.
	Silent *bool `json:"silent"`
	// Refuse answers completions with 503 and Retry-After.
	Refuse *bool `json:"refuse"`
	// HoldOrders makes that many of the next orders wait until ReleaseOrders.
	HoldOrders    *int `json:"hold_orders"`
	ReleaseOrders bool `json:"release_orders"`
	// ForgetOrders puts models, adapters, role and fencing number back, as a restart does.
	ForgetOrders bool `json:"forget_orders"`
}

func (e *Engine) setSwitches(w http.ResponseWriter, r *http.Request) {
	var s switches
	if !supporter.ReadJSON(w, r, &s) {
		return
	}
	if s.Straggle != nil && *s.Straggle > 0 {
		e.batch.SetFactor(*s.Straggle)
	}
	if s.Silent != nil {
		e.silent.Set(*s.Silent)
	}
	if s.HoldOrders != nil {
		e.orders.hold(*s.HoldOrders)
	}
	if s.ReleaseOrders {
		e.orders.gate.Set(false)
	}
	if s.ForgetOrders {
		e.orders.forget(e.options.Models)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.CrashAfterTokens != nil {
		e.crashAfter = *s.CrashAfterTokens
	}
	if s.Refuse != nil {
		e.refuse = *s.Refuse
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) faults() (crashAfter int, refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashAfter, e.refuse
}
