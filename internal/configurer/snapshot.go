// Package configurer holds the settings tree: its branches, inheritance,
// checks and edits. Package distributor brings accepted versions to all nodes.
package configurer

import "time"

// Kind says which protocol the upstreams of a service speak.
type Kind string

const (
	// KindEngine marks language-model engines with the OpenAI-compatible API.
	KindEngine Kind = "engine"
	// KindPlain marks ordinary HTTP services.
	KindPlain Kind = "plain"
)

// Snapshot is the whole settings tree at one revision, resolved for every service.
// It is immutable once published; readers share it without locks.
type Snapshot struct {
	// Revision is the platform's revision; a node never replaces a snapshot by one with a lower revision.
	Revision int64
	// Services has one entry for each service, by its name.
	Services map[string]Service
}

// Service is one resolved branch that serves requests.
type Service struct {
	// Name is unique in the tree; callers send it as the OpenAI model or in the path.
	Name string
	// Branch is the path of the branch in the tree, such as "sicilia-est/assistente".
	Branch string
	// Kind selects the protocol.
	Kind Kind
	// Classes are the request classes, by name; never empty.
	Classes map[string]Class
	// DefaultClass names the class of a request that names none; it is a key of Classes.
	DefaultClass string
	// Organisations may use the service, by name.
	Organisations map[string]Organisation
	// Upstreams are the servers, by name.
	Upstreams map[string]Upstream
	// Desired is what the engines of the service are to hold, unless an upstream says otherwise.
	Desired Desired
	// Orders bounds how the engines are brought there.
	Orders Orders
}

// DesiredOf returns what an upstream is to hold: each field is its own or, left out, the service's.
func (s Service) DesiredOf(upstream Upstream) Desired {
	desired := upstream.Desired

	if desired.Models == nil {
		desired.Models = s.Desired.Models
	}

	if desired.Adapters == nil {
		desired.Adapters = s.Desired.Adapters
	}

	if desired.Role == "" {
		desired.Role = s.Desired.Role
	}

	return desired
}

// Desired is the state that an engine is ordered into. What is left out is not ordered.
type Desired struct {
	// Models and Adapters list all that is to be loaded; an empty list means none, nil means not ordered.
	Models   []string `yaml:"models" validate:"unique,max=64,dive,name"`
	Adapters []string `yaml:"adapters" validate:"unique,max=64,dive,name"`
	// Role is an engine's own word, such as "prefill"; empty means not ordered.
	Role string `yaml:"role" validate:"omitempty,name"`
}

// IsEmpty reports whether nothing is ordered.
func (d Desired) IsEmpty() bool {
	return d.Models == nil && d.Adapters == nil && d.Role == ""
}

// Orders bounds the orders to the engines of a service. A zero means the orderer's default.
type Orders struct {
	// LoadsPerMinute bounds how many loads from the weight store begin in a minute, evenly spread.
	LoadsPerMinute float64 `yaml:"loads_per_minute" validate:"min=0,max=100000"`
	// LoadsAtOnce bounds the loads under way.
	LoadsAtOnce int `yaml:"loads_at_once" validate:"min=0,max=10000"`
	// LoadTimeout is how long a load may take before it is ordered again.
	LoadTimeout time.Duration `yaml:"load_timeout" validate:"min=0s,max=24h"`
	// Lease is how long an orderer may go on without the platform; whole seconds.
	Lease time.Duration `yaml:"lease" validate:"min=0s,max=10m"`
	// LongestPause is the longest pause of a node, or delay of an order, that is allowed for at
	// engines that do not check fencing numbers.
	LongestPause time.Duration `yaml:"longest_pause" validate:"min=0s,max=1h"`
}

// Class is a kind of request with its own latency target and priority.
type Class struct {
	Name string `yaml:"-"`
	// Tier is the priority: 1 is served first, 5 last.
	Tier int `yaml:"tier" validate:"min=1,max=5"`
	// Target is the latency target: to the first token for engines, to the whole answer for plain services.
	Target time.Duration `yaml:"target" validate:"min=1ms,max=24h"`
	// TokenGap is the target time between tokens; zero for plain services.
	TokenGap time.Duration `yaml:"token_gap" validate:"min=0s,max=1h"`
	// GapLimit is the longest silence of an upstream before its connection counts as dead.
	GapLimit time.Duration `yaml:"gap_limit" validate:"min=1ms,max=24h"`
	// GuaranteedShare is the part of the pool that the class gets under overload, 0 to 1.
	// The sum over the classes of a service is at most 1.
	GuaranteedShare float64 `yaml:"guaranteed_share" validate:"min=0,max=1"`
	// MoveUpAfter is the age in the queue at which a request counts as one tier higher, never as tier 1; zero means never.
	MoveUpAfter time.Duration `yaml:"move_up_after" validate:"min=0s,max=24h"`
	// MaxWait is the longest time in the queue; a request that would wait longer is refused at once.
	MaxWait time.Duration `yaml:"max_wait" validate:"min=1ms,max=24h"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `yaml:"repeatable"`
	// Hedge allows a second copy of a slow request; only with Repeatable.
	Hedge bool `yaml:"hedge"`
	// RetryBudget is the share of extra load that retries may put on upstreams, 0 to 0.1. A request
	// sent again counts as one, the resume of a stream as the part that it repeats, a tenth at least.
	RetryBudget float64 `yaml:"retry_budget" validate:"min=0,max=0.1"`
	// OrganisationRequestsPerSecond, OrganisationConcurrency and OrganisationTokensPerSecond limit what
	// each organisation by itself sends in this class, across all nodes and within its own limits; zero
	// means no limit. Tokens are those generated; a plain service has none.
	OrganisationRequestsPerSecond float64 `yaml:"organisation_requests_per_second" validate:"min=0,max=1000000000"`
	OrganisationConcurrency       int     `yaml:"organisation_concurrency" validate:"min=0,max=1000000000"`
	OrganisationTokensPerSecond   float64 `yaml:"organisation_tokens_per_second" validate:"min=0,max=1000000000"`
}

// Organisation is a customer of the operators with its own keys, weight and limits.
type Organisation struct {
	Name string `yaml:"-"`
	// KeyHashes are the SHA-256 sums of its bearer keys, in lower-case hexadecimal.
	KeyHashes []string `yaml:"key_hashes" validate:"unique,dive,sha256_hex"`
	// Weight is its share among organisations of the same tier; at least 1.
	Weight int `yaml:"weight" validate:"min=1,max=1000000"`
	// RequestsPerSecond, Concurrency and TokensPerSecond limit it across all nodes; zero means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"min=0,max=1000000000"`
	Concurrency       int     `yaml:"concurrency" validate:"min=0,max=1000000000"`
	TokensPerSecond   float64 `yaml:"tokens_per_second" validate:"min=0,max=1000000000"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name string `yaml:"-"`
	// Address is the base URL with an IP number, such as "http://127.0.0.1:8001".
	Address       string `yaml:"address" validate:"required,ip_url"`
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Leaving means that it receives no new work.
	Leaving bool `yaml:"leaving"`
	// ChecksFencing says that the engine refuses orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing"`
	// Slots is the first guess of requests at once, before anything is learned; at least 1.
	Slots int `yaml:"slots" validate:"min=1,max=1000000"`
	// SoftwareVersion is the version of its software. An answer goes on only at upstreams with the same one as that which began
	// it; if a service's upstreams name none, they count as of one version.
	SoftwareVersion string `yaml:"software_version"`
	// Desired overrides fields of the service's.
	Desired Desired `yaml:"desired"`
}
