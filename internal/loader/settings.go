// Package loader reads a node's own settings file.
//
// The file is YAML and is read strictly: unknown or repeated keys, values of
// another type and values out of range are errors that name the file, the
// line, the value and what would be right. A file with any error yields no
// settings at all.
package loader

import (
	"slices"
	"time"
)

// Settings is the whole content of a settings file, with all defaults filled in.
type Settings struct {
	// Path is the file that was read; empty for settings that were made otherwise.
	Path string `yaml:"-"`

	Node      Node               `yaml:"node"`
	TLS       TLS                `yaml:"tls"`
	Platform  Platform           `yaml:"platform"`
	Claims    Claims             `yaml:"claims"`
	Peers     Peers              `yaml:"peers"`
	Operators Operators          `yaml:"operators"`
	Upstreams Upstreams          `yaml:"upstreams"`
	Routing   Routing            `yaml:"routing"`
	Services  map[string]Service `yaml:"services" validate:"dive,keys,name,endkeys"`
	Gateway   Gateway            `yaml:"gateway"`
	Log       Log                `yaml:"log"`
}

// Node says who the node is, where it listens and how much it takes.
type Node struct {
	// Name is unique among the nodes.
	Name          string `yaml:"name" validate:"required,name"`
	Region        string `yaml:"region" validate:"required,name"`
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Listen is the IP:port for callers; port 0 lets the system choose.
	Listen string `yaml:"listen" validate:"required,ip_port"`
	// Advertise is the IP:port that callers are told; Listen when left out. Its IP is never 0.0.0.0 or ::.
	Advertise string `yaml:"advertise" validate:"omitempty,ip_port,reachable"`
	// AdminListen is the IP:port for operators; empty means that no such server runs.
	AdminListen string `yaml:"admin_listen" validate:"omitempty,ip_port"`
	// PeerListen is the IP:port for other nodes; empty means that no such server runs.
	PeerListen string `yaml:"peer_listen" validate:"omitempty,ip_port"`
	// MaxInFlight is the largest number of requests that the node holds at once.
	MaxInFlight int `yaml:"max_in_flight" validate:"min=1,max=1000000"`
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024,max=1073741824"`
	// HeaderTimeout is the time in which a caller must send its headers.
	HeaderTimeout time.Duration `yaml:"header_timeout" validate:"min=1ms,max=10m"`
	// BodyTimeout is the time in which a caller must send its body.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=1ms,max=1h"`
	// DrainTimeout is the longest time that a leaving node waits for its requests.
	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"min=1ms,max=24h"`
	// EntryLifetime is how long callers may keep the answer of GET /v1/entries.
	EntryLifetime time.Duration `yaml:"entry_lifetime" validate:"min=1ms,max=1h"`
}

// TLS names the files for encrypted connections; all empty means plain TCP.
type TLS struct {
	// CertificateFile and KeyFile are PEM files and are given together.
	CertificateFile string `yaml:"certificate_file" validate:"required_with=KeyFile"`
	KeyFile         string `yaml:"key_file" validate:"required_with=CertificateFile"`
	// ClientCAFile is a PEM file of the authorities that sign other nodes' certificates.
	ClientCAFile string `yaml:"client_ca_file"`
}

// Platform says where the platform's key-value service answers.
type Platform struct {
	// Addresses are base URLs with IP numbers; empty means that the node runs without the platform.
	Addresses []string `yaml:"addresses" validate:"unique,dive,ip_url"`
	Token     string   `yaml:"token" secret:"true"`
	// CallTimeout is the time limit of one call.
	CallTimeout time.Duration `yaml:"call_timeout" validate:"min=1ms,max=1m"`
}

// Claims says how long requests that are not repeatable are remembered. All nodes should agree.
type Claims struct {
	// Window is how long an idempotency key is kept; it must exceed the longest run.
	Window time.Duration `yaml:"window" validate:"min=10m,max=720h"`
	// AnswerTime is how long the answer is kept for callers that ask again, at most a quarter of the window.
	AnswerTime time.Duration `yaml:"answer_time" validate:"min=1s,max=24h"`
}

// Peers lists the other nodes and the credential shared by all.
type Peers struct {
	// Credential is never empty when Nodes is not.
	Credential string `yaml:"credential" validate:"required_with=Nodes" secret:"true"`
	Nodes      []Peer `yaml:"nodes" validate:"unique=Name,dive"`
}

// Peer is one other node.
type Peer struct {
	Name string `yaml:"name" validate:"required,name"`
	// PeerAddress is the IP:port of its server for other nodes.
	PeerAddress string `yaml:"peer_address" validate:"required,ip_port,reachable"`
	// EntryAddress is the IP:port of its server for callers.
	EntryAddress  string `yaml:"entry_address" validate:"required,ip_port,reachable"`
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
}

// Operators lists who may call the admin server.
type Operators struct {
	// KeyHashes are SHA-256 sums of the operators' keys, in lower-case hexadecimal.
	KeyHashes []string `yaml:"key_hashes" validate:"unique,dive,sha256_hex"`
}

// Upstreams holds what the node shows to upstreams.
type Upstreams struct {
	// BearerKey is sent to every upstream; empty means that none is sent.
	BearerKey string `yaml:"bearer_key" secret:"true"`
}

// Policy names a way to choose the upstream of a request.
type Policy string

// Routing policies.
const (
	PolicyPowerOfTwo      Policy = "power_of_two"
	PolicyQueuePerRequest Policy = "queue_per_request"
	PolicyQueueCredits    Policy = "queue_credits"
	PolicyQueueSteered    Policy = "queue_steered"
)

// Routing selects the policy of the node.
type Routing struct {
	Policy Policy `yaml:"policy" validate:"oneof=power_of_two queue_per_request queue_credits queue_steered"`
	// EnginePriority leaves it to the engines to set lower tiers aside for tier 1.
	// Engines that don't honour a request's priority need false: then a running lower
	// tier is cancelled and resumed later.
	EnginePriority bool `yaml:"engine_priority"`
	// Oversubscribe is the number of tier 1 requests that an engine gets above its
	// learned limit under EnginePriority.
	Oversubscribe int `yaml:"oversubscribe" validate:"min=1,max=64"`
}

// Gateway makes the node relay HTTP requests by the routes that operators write to the
// platform's store, in place of the settings tree. It is on when ReadyListen is set.
type Gateway struct {
	// ReadyListen is the IP:port that tells the platform whether the node is ready.
	ReadyListen string `yaml:"ready_listen" validate:"omitempty,ip_port"`
	// EntriesListen is the IP:port that tells callers which nodes to use.
	EntriesListen string `yaml:"entries_listen" validate:"required_with=ReadyListen,omitempty,ip_port"`
	// MetricsListen is the IP:port that answers the counters; empty means that none does.
	MetricsListen string `yaml:"metrics_listen" validate:"omitempty,ip_port"`
	// Seeds are peer addresses to ask while no other node is known; they may be gone.
	Seeds []string `yaml:"seeds" validate:"dive,ip_port,reachable"`
	// StartWithoutSeeds lets nodes that no seed answers at their start list the nodes in the store; some of them read the
	// store and pass it on.
	StartWithoutSeeds bool `yaml:"start_without_seeds"`
	// KeyLifetime is the time after which a key that was taken away must not be honoured anywhere.
	KeyLifetime time.Duration `yaml:"key_lifetime" validate:"min=100ms,max=1h"`
	// RetryRatio is the number of extra attempts for each request of a service.
	RetryRatio float64 `yaml:"retry_ratio" validate:"min=0,max=1"`
	// RetryExtra is how many more extra attempts all nodes together may send a service in one window. A
	// bound that was given for a part of a fleet may be a fraction.
	RetryExtra float64 `yaml:"retry_extra" validate:"min=0,max=1000000"`
	// RetryWindow is the span over which both hold.
	RetryWindow time.Duration `yaml:"retry_window" validate:"min=100ms,max=1h"`
	// Cores is the VM's processor for this process in cores; 0 means that it isn't known.
	Cores float64 `yaml:"cores" validate:"min=0,max=1024"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 means that it isn't known.
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0,max=1000000"`
	// MemoryMB is the memory of the VM for this process; 0 means that none is set.
	MemoryMB float64 `yaml:"memory_mb" validate:"min=0,max=1048576"`
	// Descriptors is the number of files and sockets that this process may open; 0 means that it isn't known.
	Descriptors int `yaml:"descriptors" validate:"min=0,max=10000000"`
	// Duties are calls of the platform that one node at a time makes for all.
	Duties Duties `yaml:"duties"`
	// Scheduling selects optional decisions about which upstream gets a request, and when.
	Scheduling Scheduling `yaml:"scheduling"`
}

// Scheduling selects optional decisions; all are off by default.
type Scheduling struct {
	// ServerPace estimates the pace of each server, by the load that it reports and by its answers, and keeps long prompts
	// away from streams whose gap limit they would exceed.
	ServerPace bool `yaml:"server_pace"`
	// WorkAdmission measures scarce room in work instead of requests and shares it among organisations.
	WorkAdmission bool `yaml:"work_admission"`
	// CacheTracking asks engines which prompt parts they hold, for services whose engines answer such calls.
	CacheTracking bool `yaml:"cache_tracking"`
	// SpreadHolders lets more nodes decide for others, in proportion to their capacity, and has holders that run late hand over
	// to their standby.
	SpreadHolders bool `yaml:"spread_holders"`
}

// Duties says which calls of the platform one node at a time makes for all, and under which bounds.
type Duties struct {
	// Address is the IP:port that takes them; empty means that there are none.
	Address string `yaml:"address" validate:"omitempty,ip_port,reachable"`
	// Kinds are the duties that the platform expects: usage, scale.
	Kinds []string `yaml:"kinds" validate:"unique,dive,oneof=usage scale"`
	// Lease is the length of a term; no two nodes act in turns within it.
	Lease time.Duration `yaml:"lease" validate:"min=1s,max=10m"`
	// CallsPerSecond is what the platform accepts from all nodes together.
	CallsPerSecond float64 `yaml:"calls_per_second" validate:"gt=0,max=1000000"`
	// UsageWindow is the length of a window of usage, and UsageDue how long after its end its report is due.
	UsageWindow time.Duration `yaml:"usage_window" validate:"min=1s,max=24h"`
	UsageDue    time.Duration `yaml:"usage_due" validate:"min=1s,max=24h"`
	// OrderUpstreams is off where the node shall leave the numbers of upstreams as they are.
	OrderUpstreams bool `yaml:"order_upstreams"`
	// RegularUpstreams are kept in each failure domain beside spot ones.
	RegularUpstreams int `yaml:"regular_upstreams" validate:"min=0,max=100000"`
	// MostPart is the part of a service's maximum that is ordered.
	MostPart float64 `yaml:"most_part" validate:"min=0,max=1"`
	// LeastPart is the part of a service's maximum over all failure domains that is to stand even where spot upstreams are
	// taken away.
	LeastPart float64 `yaml:"least_part" validate:"min=0,max=1"`
	// OrderByNeed orders as many upstreams as the measured work needs, within the other bounds.
	OrderByNeed bool `yaml:"order_by_need"`
}

// ReportsUsage says whether usage is to be reported.
func (d Duties) ReportsUsage() bool {
	return d.Address != "" && slices.Contains(d.Kinds, "usage")
}

// Scales says whether the platform takes orders of upstreams.
func (d Duties) Scales() bool {
	return d.Address != "" && slices.Contains(d.Kinds, "scale")
}

// Enabled says whether the node is a gateway.
func (g Gateway) Enabled() bool {
	return g.ReadyListen != ""
}

// Log selects the least level that is logged and the form of a line.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Format is "keyvalue" or "json".
	Format string `yaml:"format" validate:"oneof=keyvalue json"`
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		Node: Node{
			MaxInFlight:   2000,
			MaxBodyBytes:  4 << 20,
			HeaderTimeout: 5 * time.Second,
			BodyTimeout:   30 * time.Second,
			DrainTimeout:  30 * time.Second,
			EntryLifetime: 10 * time.Second,
		},
		Platform: Platform{CallTimeout: time.Second},
		Claims:   Claims{Window: 24 * time.Hour, AnswerTime: 10 * time.Minute},
		Routing:  Routing{Policy: PolicyQueuePerRequest, EnginePriority: true, Oversubscribe: 4},
		Gateway: Gateway{
			KeyLifetime: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
			Duties: Duties{
				Lease: 3 * time.Second, CallsPerSecond: 10, UsageWindow: time.Minute, UsageDue: time.Minute, OrderUpstreams: true,
				MostPart: 1, LeastPart: 0.75,
			},
		},
		Log: Log{Level: "info", Format: "keyvalue"},
	}
}
