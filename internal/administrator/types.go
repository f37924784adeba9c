package administrator

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// Branch is one branch of the settings tree as it is stored.
type Branch struct {
	// Path names the branch, such as "sicilia-est/assistente"; empty for the root.
	Path string `json:"path"`
	// Revision is that of the last change to the branch; an edit names it as its base.
	Revision int64 `json:"revision"`
	// Content is the branch's own YAML, without what it inherits.
	Content string `json:"content"`
	// Origins says for each value in force which branch it comes from; only when asked for.
	Origins []Origin `json:"origins,omitempty"`
}

// Origin is one value in force on a branch and the branch that gives it.
type Origin struct {
	// Key is the path of the value within the branch, such as "classes.booking.tier".
	Key   string `json:"key"`
	Value string `json:"value"`
	// Branch is the path of the branch that gives the value; empty for the root.
	Branch string `json:"branch"`
	// Line is where the value stands in that branch, from 1.
	Line int `json:"line"`
	// Level is the service level that the value comes by; empty when it is written in place.
	Level string `json:"level"`
}

// Edit is one change that an operator asks for.
type Edit struct {
	Path string
	// BaseRevision is the revision of the branch that the operator saw; 0 for a branch that is to be new.
	BaseRevision int64
	// ChangeID names the change, so that a repeat is the same change and its outcome can be asked for.
	ChangeID string
	// Author is the operator's name for the history.
	Author string
	// Content is the new YAML of the branch; unused when Delete is set.
	Content string
	Delete  bool
}

// State says what is known of a change.
type State string

// States of a change.
const (
	StateApplied    State = "applied"
	StateNotApplied State = "not_applied"
	StateUnknown    State = "unknown"
)

// Change is one entry of the tree's history.
type Change struct {
	ID    string `json:"change_id"`
	State State  `json:"state"`
	// Revision is the tree's revision with the change; 0 unless the change is applied.
	Revision int64     `json:"revision"`
	Path     string    `json:"path"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Difference shows the lines removed and added.
	Difference string `json:"difference"`
}

// Undo takes one change back by a new change.
type Undo struct {
	// Undone is the change that is taken back.
	Undone string
	// ChangeID names the new change.
	ChangeID string
	Author   string
}

// Tree reads and changes the settings tree. Its errors carry numbered results:
// classifier.UnknownBranch, EditConflict (the reason shows the difference),
// EditUnknown, SettingsInvalid, KeyConflict or PlatformUnavailable.
type Tree interface {
	// Snapshot returns the settings in force on this node.
	Snapshot() configurer.Snapshot
	// Branches returns all branches in the order of their paths, without origins.
	Branches(ctx context.Context) ([]Branch, error)
	// Branch returns one branch; with explain it fills Origins.
	Branch(ctx context.Context, path string, explain bool) (Branch, error)
	// Apply changes one branch if its revision is still the edit's base.
	Apply(ctx context.Context, edit Edit) (Change, error)
	// Undo takes one change back if its branch was not changed since.
	Undo(ctx context.Context, undo Undo) (Change, error)
	// History returns at most limit changes, the newest first; path "" means all
	// branches, and one slash before the path is left out, so that "/" means the root.
	History(ctx context.Context, path string, limit int) ([]Change, error)
	// Change returns what is known of a change; its state is never wrong, but may be unknown.
	Change(ctx context.Context, id string) (Change, error)
	// Settle finds out whether a change was applied, and if not, sees to it that it never will be.
	Settle(ctx context.Context, id, author string) (Change, error)
}

// PeerStatus is what a node knows of another node.
type PeerStatus struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	// State is "alive", "doubted", "leaving" or "dead".
	State string `json:"state"`
}

// NodeStatus describes a node.
type NodeStatus struct {
	Node          string    `json:"node"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	StartedAt     time.Time `json:"started_at"`
	// Revision is that of the settings tree in force on the node.
	Revision int64 `json:"revision"`
	// Leaving means that the node takes no new requests.
	Leaving     bool         `json:"leaving"`
	InFlight    int          `json:"in_flight"`
	MaxInFlight int          `json:"max_in_flight"`
	Peers       []PeerStatus `json:"peers"`
}

// UpstreamStatus is what a node knows of an upstream.
type UpstreamStatus struct {
	Service       string `json:"service"`
	Upstream      string `json:"upstream"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// State is "serving", "leaving", "straggling" or "unreachable".
	State string `json:"state"`
	// InFlight counts the attempts that this node has on the upstream.
	InFlight int `json:"in_flight"`
	// ReportedLoad is the last load that the upstream reported, in requests.
	ReportedLoad int `json:"reported_load"`
	// ReportAge is the age of that report in seconds; negative when there was none.
	ReportAge float64 `json:"report_age_seconds"`
}

// Status describes the node and the upstreams that it knows.
type Status interface {
	NodeStatus() NodeStatus
	// UpstreamStatuses returns the upstreams in the order of service and name.
	UpstreamStatuses() []UpstreamStatus
}

// RequestStatus is what a node knows of one request.
type RequestStatus struct {
	RequestID    string `json:"request_id"`
	Service      string `json:"service"`
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// State is "waiting", "running" or "ended".
	State string `json:"state"`
	// Upstream is that of the last attempt; empty before the first.
	Upstream  string    `json:"upstream"`
	Attempts  int       `json:"attempts"`
	ArrivedAt time.Time `json:"arrived_at"`
	Tokens    int       `json:"tokens"`
	// Result and Ran are empty before the end.
	Result string `json:"result"`
	Ran    string `json:"ran"`
}

// Requests finds requests by their ids, also those that another node holds.
type Requests interface {
	// Request fails with classifier.UnknownRequest when no node holds the id.
	Request(ctx context.Context, id string) (RequestStatus, error)
}
