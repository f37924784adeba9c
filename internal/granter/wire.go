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
	// MethodAsk is a call from an entry to a holder; it may contain releases and cancellations too.
	MethodAsk = "slot.ask"
	// MethodRelease is a notification from an entry to a holder.
	MethodRelease = "slot.release"
	// MethodDecided is a notification from a holder to an entry: later grants, refusals and preemptions.
	MethodDecided = "slot.decided"
	// MethodInFlight is a call from a holder to an entry, which returns its running attempts.
	MethodInFlight = "slot.in_flight"
)

// entryParams contains the parameters of MethodAsk and MethodRelease.
type entryParams struct {
	Requests []slotRequest `json:"asks,omitempty"`
	Releases []slotRelease `json:"releases,omitempty"`
	Cancels  []slotCancel  `json:"cancels,omitempty"`
	// MovedPools contains the pools for which the entry now sends its slot requests to another holder.
	MovedPools []string `json:"elsewhere,omitempty"`
}

func (p *entryParams) empty() bool {
	return len(p.Requests) == 0 && len(p.Releases) == 0 && len(p.Cancels) == 0 && len(p.MovedPools) == 0
}

// slotRequest requests one slot.
type slotRequest struct {
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
	// CompareSoon is set if the entry may have grants of this pool that the holder doesn't know, or the reverse.
	CompareSoon bool `json:"compare,omitempty"`
	// NotRepeatable keeps the holder from preempting the request.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}

func (s *slotRequest) schedulerRequest(entry string) scheduler.Request {
	return scheduler.Request{
		ID:           s.ID,
		Entry:        entry,
		Class:        s.Class,
		Organisation: s.Organisation,
		Exclude:      s.Exclude,
		Waited:       s.Waited,
		Queued:       s.Queued,
		Progress:     s.Progress,
		Prefixes:     s.Prefixes,
		Spare:        s.Spare,

		NotRepeatable: s.NotRepeatable,
	}
}

// slotRelease ends one grant.
type slotRelease struct {
	Pool       string            `json:"pool"`
	GrantID    string            `json:"grant_id"`
	Result     dispatcher.Result `json:"result"`
	FirstToken time.Duration     `json:"first_token_ns,omitempty"`
	TokenGap   time.Duration     `json:"token_gap_ns,omitempty"`
	Tokens     int               `json:"tokens,omitempty"`
	Duration   time.Duration     `json:"duration_ns"`
}

func (r *slotRelease) schedulerReport() scheduler.Report {
	return scheduler.Report{
		Result:     r.Result,
		FirstToken: r.FirstToken,
		TokenGap:   r.TokenGap,
		Tokens:     r.Tokens,
		Duration:   r.Duration,
	}
}

// slotCancel cancels one slot request, even if it was granted.
type slotCancel struct {
	Pool string `json:"pool"`
	ID   string `json:"id"`
}

// entryResult is the result of MethodAsk: one decision for each slot request, in the same order.
type entryResult struct {
	Answers []decision `json:"answers,omitempty"`
}

type decisionState string

const (
	stateQueued  decisionState = "queued"
	stateGranted decisionState = "granted"
	stateRefused decisionState = "refused"
	statePreempt decisionState = "preempt"
)

// decision is a holder's decision on one slot request.
type decision struct {
	State      decisionState   `json:"state"`
	ID         string          `json:"id"`
	Pool       string          `json:"pool"`
	GrantID    string          `json:"grant_id,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	Priority   int             `json:"priority,omitempty"`
	Code       classifier.Code `json:"code,omitempty"`
	RetryAfter time.Duration   `json:"retry_after_ns,omitempty"`
}

var decisionStates = map[scheduler.DecisionKind]decisionState{
	scheduler.Grant:   stateGranted,
	scheduler.Refuse:  stateRefused,
	scheduler.Preempt: statePreempt,
}

func newDecision(pool string, d scheduler.Decision) decision {
	return decision{
		State:      decisionStates[d.Kind],
		ID:         d.RequestID,
		Pool:       pool,
		GrantID:    d.GrantID,
		Upstream:   d.Upstream,
		Priority:   d.Priority,
		Code:       d.Code,
		RetryAfter: d.RetryAfter,
	}
}

// decidedParams contains the parameters of MethodDecided.
type decidedParams struct {
	Decisions []decision `json:"decisions"`
}

// inFlightParams contains the parameters of MethodInFlight: the grants of the entry that the holder knows, as a digest.
type inFlightParams struct {
	Pool string `json:"pool"`
	digest
}

// inFlightResult is the result of MethodInFlight.
type inFlightResult struct {
	// Same is set if the entry's attempts match the holder's digest; Attempts is empty then.
	Same     bool           `json:"same,omitempty"`
	Attempts []attemptState `json:"flights,omitempty"`
}

// digest identifies a set of grants, independent of their order. The digests of two
// different sets are equal with a probability of at most 2^-64, and differ again after
// the next grant or release.
type digest struct {
	Count int    `json:"count,omitempty"`
	Hash  uint64 `json:"hash,omitempty"`
}

func (d *digest) add(grantID string) {
	d.Count++
	d.Hash += xxhash.Sum64String(grantID)
}

// attemptState describes one running attempt. It has an age instead of a start time because the clocks of nodes differ.
type attemptState struct {
	GrantID      string        `json:"grant_id"`
	ID           string        `json:"id"`
	Upstream     string        `json:"upstream"`
	Class        string        `json:"class"`
	Organisation string        `json:"organisation"`
	Age          time.Duration `json:"age_ns"`
	// NotRepeatable keeps the next holder from preempting the attempt.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}
