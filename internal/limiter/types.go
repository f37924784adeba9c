// Package limiter holds organisations to their limits on requests, concurrency
// and tokens across all nodes, without a message for each request. Every node
// has a share, of which the larger part is lent by the limit's owner.
package limiter

import (
	"math"
	"time"

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

func (k Key) text() string {
	return k.Service + "\x00" + k.Organisation + "\x00" + k.Class
}

// Amounts are quantities of the three limits. In Limits a zero means no limit;
// everywhere else it means none.
type Amounts struct {
	// Requests is in requests per second.
	Requests float64 `json:"requests,omitempty"`
	// Concurrency is in requests at once and always whole in shares.
	Concurrency float64 `json:"concurrency,omitempty"`
	// Tokens is in generated tokens per second.
	Tokens float64 `json:"tokens,omitempty"`
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

// whole cuts the concurrency to whole requests. A sum of shares may lie a hair below a whole number.
func (a Amounts) whole() Amounts {
	a.Concurrency = math.Floor(a.Concurrency + 1e-9)

	return a
}

// brief cuts the amounts to thousandths, which keeps messages short.
func (a Amounts) brief() Amounts {
	return a.combine(a, func(x, _ float64) float64 { return math.Floor(x*1000+1e-6) / 1000 })
}

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
	// Period is the time between the reports of a node on a limit in use; default 1 s.
	// A node that had to refuse without a lease reports after a quarter of it.
	Period time.Duration
	// LeaseFor is how long a lent share lasts, counted by the node from before its
	// report and by the owner from the answer; default 5 s.
	LeaseFor time.Duration
	// Settle is the time in which all nodes learn of a joined or lost node; default 2 s.
	Settle time.Duration
	// Forget is the time after which an unused limit leaves the memory; default 60 s.
	Forget time.Duration
	// LongestRetryAfter bounds what refused callers are told; default 30 s.
	LongestRetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.BaseShare == 0 {
		o.BaseShare = 0.1
	}

	setDefault(&o.Period, time.Second)
	setDefault(&o.LeaseFor, 5*time.Second)
	setDefault(&o.Settle, 2*time.Second)
	setDefault(&o.Forget, time.Minute)
	setDefault(&o.LongestRetryAfter, 30*time.Second)

	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Demand is a node's report on one limit.
type Demand struct {
	Key Key `json:"key"`
	// Incarnation tells two lives of one node apart.
	Incarnation uint64 `json:"incarnation"`
	// Number grows by one with each report of an incarnation on the key.
	Number uint64 `json:"number"`
	// Received is the Number of the last report whose answer arrived; zero for none.
	Received uint64 `json:"received,omitempty"`
	// Wants is what the node could use beyond its base share.
	Wants Amounts `json:"wants"`
	// Held is what it holds under lease now. A new owner learns from it what its predecessor lent.
	Held Amounts `json:"held"`
	// InFlight is the number of requests that run on the node beyond its base share.
	InFlight int `json:"in_flight,omitempty"`
}

// Share is the owner's answer to one Demand.
type Share struct {
	Key    Key    `json:"key"`
	Number uint64 `json:"number"`
	// Lent lasts for Options.LeaseFor from before the report was sent.
	Lent Amounts `json:"lent"`
	// Grace says that the owner is new and doesn't know all leases yet. The node may
	// go on with an even part meanwhile, so that no caller is refused for want of an
	// owner: the sum of shares may reach twice the limit for LeaseFor and Settle.
	Grace bool `json:"grace,omitempty"`
}
