// Package tracer reads, writes and generates traces: recorded requests with
// the times at which they came, one JSON object a line.
package tracer

// Event is one request of a trace. Events of a trace are sorted by AtMS.
type Event struct {
	// AtMS is the arrival in milliseconds since the start of the trace.
	AtMS int64 `json:"at_ms"`
	// Service, Class and Organisation are names in the settings tree.
	Service      string `json:"service"`
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// PromptTokens and AnswerTokens are lengths; the router doesn't know the second in advance. Zero for plain services.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	AnswerTokens int `json:"answer_tokens,omitempty"`
	// Path is the path within a plain service; empty for engines.
	Path string `json:"path,omitempty"`
	// IdempotencyKey is sent along when not empty. Two events with one key are one caller asking again.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// NotRepeatable marks requests that must run at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// ComeBack says that the caller obeys Retry-After when refused, up to a few times.
	ComeBack bool `json:"come_back,omitempty"`
}
