// Package limiter enforces limits on each organisation's requests, concurrency and
// generated tokens across all nodes, without a message for each request. Every node may
// use its base share of a limit; the larger part is leased to nodes on demand by the
// node that owns the limit.
package limiter

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Key identifies a limit.
type Key struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Class is empty for the organisation's limit over all classes.
	Class string `json:"class,omitempty"`
}

// ownerKey is the hash key that selects the owner. All limits of an organisation in one
// service have the same owner, so that one message reports on all of them.
func (k Key) ownerKey() string {
	return k.Service + "\x00" + k.Organisation
}

// Amounts holds a quantity for each of the three kinds of limit. In limits, zero means
// unlimited; everywhere else, it means none.
type Amounts struct {
	// Requests is in requests per second.
	Requests float64
	// Concurrency is the number of concurrent requests. In shares it is always a whole
	// number.
	Concurrency float64
	// Tokens is in generated tokens per second.
	Tokens float64
}

// MarshalJSON implements json.Marshaler. It encodes a list of requests, concurrency and
// tokens, since field names would make up a third of a report.
func (a Amounts) MarshalJSON() ([]byte, error) {
	return json.Marshal([...]float64{a.Requests, a.Concurrency, a.Tokens})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Amounts) UnmarshalJSON(data []byte) error {
	var values [3]float64

	if err := json.Unmarshal(data, &values); err != nil {
		return errors.Wrap(err, "decode amounts")
	}

	a.Requests, a.Concurrency, a.Tokens = values[0], values[1], values[2]

	return nil
}

func (a Amounts) combine(b Amounts, f func(x, y float64) float64) Amounts {
	return Amounts{
		Requests:    f(a.Requests, b.Requests),
		Concurrency: f(a.Concurrency, b.Concurrency),
		Tokens:      f(a.Tokens, b.Tokens),
	}
}

func (a Amounts) plus(b Amounts) Amounts {
	return a.combine(b, func(x, y float64) float64 { return x + y })
}

// minus returns a-b, or zero where b is larger.
func (a Amounts) minus(b Amounts) Amounts {
	return a.combine(b, func(x, y float64) float64 { return max(x-y, 0) })
}

func (a Amounts) atMost(b Amounts) Amounts {
	return a.combine(b, func(x, y float64) float64 { return min(x, y) })
}

func (a Amounts) atLeast(b Amounts) Amounts {
	return a.combine(b, func(x, y float64) float64 { return max(x, y) })
}

func (a Amounts) times(factor float64) Amounts {
	return Amounts{Requests: factor * a.Requests, Concurrency: factor * a.Concurrency, Tokens: factor * a.Tokens}
}

// isSignificant reports whether any amount is a large enough part of a node's even
// share to justify a message.
func (a Amounts) isSignificant(even Amounts) bool {
	return a.Requests > even.Requests*minChangeFraction || a.Concurrency >= 1 || a.Tokens > even.Tokens*minChangeFraction
}

// floorConcurrency rounds the concurrency down to a whole number. The tolerance allows
// for rounding errors in sums of shares, which may fall just below a whole number.
func (a Amounts) floorConcurrency() Amounts {
	a.Concurrency = math.Floor(a.Concurrency + 1e-9)

	return a
}

// roundDown rounds the amounts down to thousandths, which keeps messages short.
func (a Amounts) roundDown() Amounts {
	return a.combine(a, func(x, _ float64) float64 { return math.Floor(x*1000+1e-6) / 1000 })
}

// minChangeFraction is the fraction of an even share below which a difference doesn't
// justify a message.
const minChangeFraction = 0.05

// Source returns the limits in force. The zero Amounts means that there is no limit.
type Source interface {
	Limits(key Key) Amounts
}

// SnapshotFunc is a Source that reads the limits from the current settings, which it
// returns.
type SnapshotFunc func() configurer.Snapshot

// Limits implements Source. Limits by class are the same for every organisation.
func (f SnapshotFunc) Limits(key Key) Amounts {
	service := f().Services[key.Service]

	if key.Class != "" {
		class := service.Classes[key.Class]

		return Amounts{
			Requests:    class.OrganisationRequestsPerSecond,
			Concurrency: float64(class.OrganisationConcurrency),
			Tokens:      class.OrganisationTokensPerSecond,
		}
	}

	organisation := service.Organisations[key.Organisation]

	return Amounts{
		Requests:    organisation.RequestsPerSecond,
		Concurrency: float64(organisation.Concurrency),
		Tokens:      organisation.TokensPerSecond,
	}
}

// Refusal describes why a request is not admitted.
type Refusal struct {
	Code classifier.Code
	// ByClass is set if the limit reached is the organisation's limit for the request's
	// class.
	ByClass bool
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Reason is the key under which the refusal is counted.
func (r Refusal) Reason() string {
	if r.ByClass {
		return "class_" + r.Code.String()
	}

	return r.Code.String()
}

// Options configures a Limiter and an Owner. It must be the same on all nodes. Zero
// fields take their defaults.
type Options struct {
	// BaseShare is the fraction of a limit, 0 to 1, that is split evenly between all
	// nodes and needs no lease; default 0.1.
	BaseShare float64
	// ReportPeriod is the time over which the demand on a limit is measured, and the
	// minimum time between two reports on it; default 1 s. A node that refused requests
	// while it had no lease reports after a quarter of it.
	ReportPeriod time.Duration
	// LeaseDuration is how long a lease lasts; default 60 s. The node counts it from
	// before it sends its report, the owner from when it replies. A node renews its
	// lease after a third of it.
	LeaseDuration time.Duration
	// MaxRunAfterLease is how long a request may continue after the lease under which
	// it was admitted has expired; default 30 s. For this long the owner still counts
	// the concurrency of a node that has stopped reporting.
	MaxRunAfterLease time.Duration
	// MaxDetectionTime is the longest time that nodes take to learn which nodes respond
	// after a crash, a network partition or a freeze; default 10 s. LeaseDuration must
	// exceed it by more than half.
	MaxDetectionTime time.Duration
	// EvictAfter is the time after which the state of an unused limit is dropped;
	// default 60 s.
	EvictAfter time.Duration
	// MaxRetryAfter bounds Refusal.RetryAfter; default 30 s.
	MaxRetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.BaseShare == 0 {
		o.BaseShare = 0.1
	}

	setDefault(&o.ReportPeriod, time.Second)
	setDefault(&o.LeaseDuration, time.Minute)
	setDefault(&o.MaxRunAfterLease, 30*time.Second)
	setDefault(&o.MaxDetectionTime, 10*time.Second)
	setDefault(&o.EvictAfter, time.Minute)
	setDefault(&o.MaxRetryAfter, 30*time.Second)

	return o
}

// renewInterval is the time between two reports of a node whose demand doesn't change.
func (o Options) renewInterval() time.Duration {
	return o.LeaseDuration / 3
}

// leaseDrainTime is the time after which no lease or request remains from an earlier
// set of nodes. A former owner may grant leases until it learns of its successor, which
// takes MaxDetectionTime, and for as long again if it was frozen. Then those leases
// must expire, and the requests admitted under them must end.
func (o Options) leaseDrainTime() time.Duration {
	return o.LeaseDuration + o.MaxRunAfterLease + 2*o.MaxDetectionTime
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Demand is a node's report on one limit.
type Demand struct {
	Key
	// Incarnation distinguishes a node from its earlier runs under the same name.
	Incarnation uint64 `json:"-"`
	// KnownNodes is the number of nodes by which the reporting node divides limits.
	KnownNodes int `json:"-"`
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `json:"number"`
	// Acknowledged is the Sequence of the last report for which the reply arrived; zero
	// if there is none.
	Acknowledged uint64 `json:"received,omitempty"`
	// Wanted is what the node could use beyond its base share.
	Wanted Amounts `json:"wants,omitzero"`
	// Held is what the node holds under lease now. A new owner learns from it what its
	// predecessor leased out.
	Held Amounts `json:"held,omitzero"`
	// InFlight is the number of requests that run on the node beyond its base share.
	InFlight int `json:"in_flight,omitempty"`
}

// LeaseReply is the owner's reply to one Demand.
type LeaseReply struct {
	Key Key `json:"-"`
	// Sequence is that of the Demand; zero means that the owner has no answer, and the
	// node ignores the reply.
	Sequence uint64 `json:"number,omitempty"`
	// Leased is valid for Options.LeaseDuration, counted from before the report was
	// sent.
	Leased Amounts `json:"lent,omitzero"`
}
