// Package prober detects which nodes are live, in the manner of SWIM: from direct
// and indirect probes, membership updates that peers forward, and the platform's
// list of VMs, which may be out of date.
//
// It is a state machine driven by events and the time that callers pass in; it
// does no I/O. The cost per node does not grow with the number of nodes: each
// probes a fixed number of peers per period and piggybacks updates on the same
// datagrams.
package prober

import "time"

// State is the state of a peer as this node sees it.
type State int

const (
	// Unknown means that the peer is listed, but neither it nor another peer has reported it live.
	Unknown State = iota
	// Live means that the peer sent a packet, or that another peer reported it live.
	Live
	// Suspect means that a probe and its indirect probes failed; the peer can still refute the suspicion.
	Suspect
	// Dead means that a suspicion was not refuted in time.
	Dead
)

// String returns the snake-case name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// VM is a node as given in the platform's list, in the settings, or by the node itself.
type VM struct {
	// Name is unique among the nodes.
	Name string `json:"n"`
	// Address is the address that callers connect to.
	Address string `json:"a"`
	// PeerAddress is the IP address and port that receive datagrams.
	PeerAddress string `json:"p"`
	// FailureDomain names the group of nodes that can fail together.
	FailureDomain string `json:"d"`
	// Leaving is set when the list marks the node for a planned stop.
	Leaving bool `json:"-"`
}

// Member is one node as this node sees it.
type Member struct {
	Name          string
	Address       string
	PeerAddress   string
	FailureDomain string
	State         State
	// Incarnation grows with each restart and each refuted suspicion and never decreases. 0 means that nothing was received about the node.
	Incarnation int64
	// Leaving is set by the node itself or by the platform's list.
	Leaving bool
	// Listed is set if the last list named the node.
	Listed bool
	// Since is the time at which the current state began.
	Since time.Time
	// LocalSuspicion marks a suspicion raised while no peer answered this node; it is not forwarded and never leads to Dead.
	LocalSuspicion bool
	// SuppressedUntil is the time until which Live omits a node that died and returned repeatedly.
	SuppressedUntil time.Time
	// DirectFailures counts consecutive probes that were answered only through indirect probes.
	DirectFailures int
	// Digest is the last digest received from the node itself.
	Digest Digest
}

// Digest is the sender's status in each datagram, apart from membership.
type Digest struct {
	// Revision is the revision of the settings tree in force at the sender.
	Revision int64 `json:"r,omitempty"`
	// Load is a load-balancing hint: requests in flight as a percentage of the sender's capacity.
	Load int `json:"l,omitempty"`
	// Leaving is set while the sender is in a planned stop.
	Leaving bool `json:"v,omitempty"`
	// InstanceID is unique to each start of the sender; claims and requests refer to it.
	InstanceID string `json:"u,omitempty"`
}

// Kind is the type of a packet.
type Kind int

const (
	// KindProbe asks the receiver for an ack.
	KindProbe Kind = iota + 1
	// KindAck answers a probe, directly or on behalf of Target.
	KindAck
	// KindIndirectProbe asks the receiver to probe Target for the sender.
	KindIndirectProbe
	// KindSync requests the receiver's members whose names sort after Target.
	KindSync
	// KindSyncReply answers KindSync; a reply without updates marks the end of the list.
	KindSyncReply
	// KindDigest carries only the sender's digest and updates and needs no answer.
	KindDigest
)

// Update is the state of one node as forwarded between nodes.
type Update struct {
	Node        string `json:"n"`
	State       State  `json:"s"`
	Incarnation int64  `json:"i"`
	Leaving     bool   `json:"v,omitempty"`
	// By names the node whose own probe failed; only set with Suspect.
	By string `json:"b,omitempty"`
	// VM is set for nodes that the receiver's list may lack.
	VM *VM `json:"m,omitempty"`
}

// Packet is the content of one datagram.
type Packet struct {
	Kind Kind `json:"t"`
	// From is the sender's name.
	From string `json:"f"`
	// Incarnation and Sequence distinguish replayed datagrams from new ones.
	// Sequence starts at 1 when a node starts and grows with each datagram to any receiver.
	Incarnation int64  `json:"i"`
	Sequence    uint64 `json:"s"`
	// ProbeNumber is the number that the ack must echo.
	ProbeNumber uint64 `json:"p,omitempty"`
	// Target is the target of an indirect probe, or the cursor of a sync.
	Target string `json:"a,omitempty"`
	// RefuteIncarnation is the receiver's incarnation that the sender considers suspect, dead or outdated; 0 means none.
	RefuteIncarnation int64  `json:"k,omitempty"`
	Digest            Digest `json:"d"`
	// VM describes the sender to receivers that may not know its addresses.
	VM      *VM      `json:"m,omitempty"`
	Updates []Update `json:"n,omitempty"`
}

// Message is a packet and its receiver.
type Message struct {
	To      string
	Address string
	Packet  Packet
}

// Counters are totals since the start.
type Counters struct {
	ProbesSent       int64 `json:"probes_sent"`
	ProbesFailed     int64 `json:"probes_failed"`
	IndirectProbes   int64 `json:"indirect_probes"`
	Suspicions       int64 `json:"suspicions"`
	Deaths           int64 `json:"deaths"`
	Refutations      int64 `json:"refutations"`
	Freezes          int64 `json:"freezes"`
	SelfDoubts       int64 `json:"self_doubts"`
	ReplaysDropped   int64 `json:"replays_dropped"`
	OutdatedDropped  int64 `json:"outdated_dropped"`
	UnknownSenders   int64 `json:"unknown_senders"`
	MembersForgotten int64 `json:"members_forgotten"`
}
