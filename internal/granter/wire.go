package granter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/scheduler"
	"quincepath.example/quincepath/pkg/classifier"
)

// Methods of the messages between entries and holders.
const (
	// MethodAsk is a call from an entry to a holder; it may carry releases and cancels too.
	MethodAsk = "slot.ask"
	// MethodRelease is a notification from an entry to a holder.
	MethodRelease = "slot.release"
	// MethodDecided is a notification from a holder to an entry: later grants, refusals and preemptions.
	MethodDecided = "slot.decided"
	// MethodInFlight is a call from a holder to an entry.
	MethodInFlight = "slot.in_flight"
)

// askParams is the content of MethodAsk and MethodRelease.
type askParams struct {
	Asks     []askItem     `json:"asks,omitempty"`
	Releases []releaseItem `json:"releases,omitempty"`
	Cancels  []cancelItem  `json:"cancels,omitempty"`
	// Elsewhere names pools for which the entry now asks another holder.
	Elsewhere []string `json:"elsewhere,omitempty"`
}

func (p *askParams) empty() bool {
	return len(p.Asks) == 0 && len(p.Releases) == 0 && len(p.Cancels) == 0 && len(p.Elsewhere) == 0
}

// askItem asks for one slot.
type askItem struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Part         int           `json:"part,omitempty"`
	Class        string        `json:"class"`
	Organisation string        `json:"organisation"`
	Exclude      []string      `json:"exclude,omitempty"`
	Waited       time.Duration `json:"waited_ns"`
	Queued       time.Duration `json:"queued_ns,omitempty"`
	Progress     int           `json:"progress,omitempty"`
	Prefixes     []uint64      `json:"prefixes,omitempty"`
	Spare        bool          `json:"spare,omitempty"`
	// Compare says that the entry may have grants of this pool that the holder doesn't know, or the reverse.
	Compare bool `json:"compare,omitempty"`
	// NotRepeatable keeps the request from being preempted.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}

func (a *askItem) request(entry string) scheduler.Request {
	return scheduler.Request{
		ID:           a.ID,
		Entry:        entry,
		Class:        a.Class,
		Organisation: a.Organisation,
		Exclude:      a.Exclude,
		Waited:       a.Waited,
		Queued:       a.Queued,
		Progress:     a.Progress,
		Prefixes:     a.Prefixes,
		Spare:        a.Spare,

		NotRepeatable: a.NotRepeatable,
	}
}

// releaseItem ends one grant.
type releaseItem struct {
	Pool       string            `json:"pool"`
	GrantID    string            `json:"grant_id"`
	Result     dispatcher.Result `json:"result"`
	FirstToken time.Duration     `json:"first_token_ns,omitempty"`
	TokenGap   time.Duration     `json:"token_gap_ns,omitempty"`
	Tokens     int               `json:"tokens,omitempty"`
	Duration   time.Duration     `json:"duration_ns"`
}

func (r *releaseItem) report() scheduler.Report {
	return scheduler.Report{
		Result:     r.Result,
		FirstToken: r.FirstToken,
		TokenGap:   r.TokenGap,
		Tokens:     r.Tokens,
		Duration:   r.Duration,
	}
}

// cancelItem takes one ask back, also when it was granted.
type cancelItem struct {
	Pool string `json:"pool"`
	ID   string `json:"id"`
}

// askResult answers MethodAsk: one decision for each ask, in the same order.
type askResult struct {
	Answers []decision `json:"answers,omitempty"`
}

type state string

const (
	stateQueued  state = "queued"
	stateGranted state = "granted"
	stateRefused state = "refused"
	statePreempt state = "preempt"
)

// decision is what a holder tells about one ask.
type decision struct {
	State      state           `json:"state"`
	ID         string          `json:"id"`
	Pool       string          `json:"pool"`
	GrantID    string          `json:"grant_id,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	Priority   int             `json:"priority,omitempty"`
	Code       classifier.Code `json:"code,omitempty"`
	RetryAfter time.Duration   `json:"retry_after_ns,omitempty"`
}

var states = map[scheduler.DecisionKind]state{
	scheduler.Grant:   stateGranted,
	scheduler.Refuse:  stateRefused,
	scheduler.Preempt: statePreempt,
}

func newDecision(pool string, d scheduler.Decision) decision {
	return decision{
		State:      states[d.Kind],
		ID:         d.RequestID,
		Pool:       pool,
		GrantID:    d.GrantID,
		Upstream:   d.Upstream,
		Priority:   d.Priority,
		Code:       d.Code,
		RetryAfter: d.RetryAfter,
	}
}

// decidedParams is the content of MethodDecided.
type decidedParams struct {
	Decisions []decision `json:"decisions"`
}

// inFlightParams is the content of MethodInFlight: what the holder knows of the entry.
type inFlightParams struct {
	Pool string `json:"pool"`
	digest
}

// inFlightResult answers MethodInFlight.
type inFlightResult struct {
	// Same says that the entry runs what the holder's digest stands for; then there are no flights.
	Same    bool         `json:"same,omitempty"`
	Flights []flightItem `json:"flights,omitempty"`
}

// digest stands for a set of grants, in any order. Sets that differ look equal
// once in 2^64 at most, and the next grant or release tells them apart.
type digest struct {
	Count int    `json:"count,omitempty"`
	Hash  uint64 `json:"hash,omitempty"`
}

func (d *digest) add(grantID string) {
	d.Count++
	d.Hash += xxhash.Sum64String(grantID)
}

// flightItem is one running attempt. Age stands in place of a time, since clocks of nodes differ.
type flightItem struct {
	GrantID      string        `json:"grant_id"`
	ID           string        `json:"id"`
	Upstream     string        `json:"upstream"`
	Class        string        `json:"class"`
	Organisation string        `json:"organisation"`
	Age          time.Duration `json:"age_ns"`
	// NotRepeatable keeps the attempt from being preempted by the next holder too.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}
