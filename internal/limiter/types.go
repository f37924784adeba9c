// Package limiter holds organisations to their limits on requests, concurrency
// and tokens across all nodes, without a message for each request. Every node
// has a share, of which the larger part is lent by the limit's owner.
package limiter

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Key names what a limit applies to.
type Key struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Class is empty for the limit of the organisation over all classes.
	Class string `json:"class,omitempty"`
}

// text is what the owner is chosen by. Limits of one organisation in one service
// have the same owner, so that one message reports on all of them.
func (k Key) text() string {
	return k.Service + "\x00" + k.Organisation
}

// Amounts are quantities of the three limits. In Limits a zero means no limit;
// everywhere else it means none.
type Amounts struct {
	// Requests is in requests per second.
	Requests float64
	// Concurrency is in requests at once and always whole in shares.
	Concurrency float64
	// Tokens is in generated tokens per second.
	Tokens float64
}

// MarshalJSON implements json.Marshaler: a list of requests, concurrency and tokens.
// Names would make up a third of a report.
func (a Amounts) MarshalJSON() ([]byte, error) {
	return json.Marshal([...]float64{a.Requests, a.Concurrency, a.Tokens})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Amounts) UnmarshalJSON(text []byte) error {
	var list [3]float64

	if err := json.Unmarshal(text, &list); err != nil {
		return errors.Wrap(err, "read amounts")
	}

	a.Requests, a.Concurrency, a.Tokens = list[0], list[1], list[2]

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

// minus never goes below zero.
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

// matters says whether an amount is enough of a node's even part to be worth a message.
func (a Amounts) matters(even Amounts) bool {
	return a.Requests > even.Requests*leastChange || a.Concurrency >= 1 || a.Tokens > even.Tokens*leastChange
}

// whole cuts the concurrency to whole requests. A sum of shares may lie a hair below a whole number.
func (a Amounts) whole() Amounts {
	a.Concurrency = math.Floor(a.Concurrency + 1e-9)

	return a
}

// brief cuts the amounts to thousandths, which keeps messages short.
func (a Amounts) brief() Amounts {
	return a.combine(a, func(x, _ float64) float64 { return math.Floor(x*1000+1e-6) / 1000 })
}

// leastChange is the part of an even part below which a difference is not worth a message.
const leastChange = 0.05

// Source gives the limits in force; the zero value means none.
type Source interface {
	Limits(key Key) Amounts
}

// SnapshotFunc returns the settings in force and takes the limits of organisations from them.
type SnapshotFunc func() configurer.Snapshot

// Limits implements Source. Limits by class are the same for each organisation.
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

// Refusal says why a request may not be sent now.
type Refusal struct {
	Code classifier.Code
	// ByClass says that it is the organisation's limit in the request's class that is reached.
	ByClass bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Reason is the name under which the refusal is counted.
func (r Refusal) Reason() string {
	if r.ByClass {
		return "class_" + r.Code.String()
	}

	return r.Code.String()
}

// Options must be the same on all nodes. Zero fields take their defaults.
type Options struct {
	// BaseShare is the part of a limit that all nodes split evenly without any message, 0 to 1; default 0.1.
	BaseShare float64
	// ReportPeriod is the time over which the demand on a limit is measured, and the
	// least between two reports on it; default 1 s. A node that had to refuse
	// without a lease reports after a quarter of it.
	ReportPeriod time.Duration
	// LeaseDuration is how long a lent share lasts, counted by the node from before its
	// report and by the owner from the answer; default 60 s. A node renews it
	// after a third.
	LeaseDuration time.Duration
	// MaxRunAfterLease is how long a request may run on after the lease that it was admitted
	// under; default 30 s. For so long the owner counts the concurrency of a silent node.
	MaxRunAfterLease time.Duration
	// MaxDetectionTime is the longest time in which nodes learn who answers, after a crash, a
	// cut or a freeze; default 10 s. LeaseDuration must exceed it by more than half.
	MaxDetectionTime time.Duration
	// EvictAfter is the time after which an unused limit leaves the memory; default 60 s.
	EvictAfter time.Duration
	// MaxRetryAfter bounds what refused callers are told; default 30 s.
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

// renewAfter is the time between two reports of a node that nothing changes for.
func (o Options) renewAfter() time.Duration {
	return o.LeaseDuration / 3
}

// lapse is the time after which nothing is left of what was lent by another view of
// the nodes: a former owner may lend until it learns of its successor, which takes
// MaxDetectionTime, and as long again if it was frozen; then leases end, then requests.
func (o Options) lapse() time.Duration {
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
	// Incarnation tells two lives of one node apart.
	Incarnation uint64 `json:"-"`
	// KnownNodes is the number of nodes that the node divides limits by.
	KnownNodes int `json:"-"`
	// Sequence grows with each report of an incarnation.
	Sequence uint64 `json:"number"`
	// Acknowledged is the Sequence of the last report whose answer arrived; zero for none.
	Acknowledged uint64 `json:"received,omitempty"`
	// Wanted is what the node could use beyond its base share.
	Wanted Amounts `json:"wants,omitzero"`
	// Held is what it holds under lease now. A new owner learns from it what its predecessor lent.
	Held Amounts `json:"held,omitzero"`
	// InFlight is the number of requests that run on the node beyond its base share.
	InFlight int `json:"in_flight,omitempty"`
}

// LeaseReply is the owner's answer to one Demand.
type LeaseReply struct {
	Key Key `json:"-"`
	// Sequence is that of the Demand; zero means that the owner has no answer.
	Sequence uint64 `json:"number,omitempty"`
	// Leased lasts for Options.LeaseDuration from before the report was sent.
	Leased Amounts `json:"lent,omitzero"`
}
