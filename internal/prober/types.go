// Package prober decides which nodes are live, from direct probes, news that
// peers pass on, and the platform's lagging list of VMs.
//
// It is plain code over events and time and does no input or output. The cost
// of a node does not grow with the number of nodes: it probes a fixed number of
// peers a period and carries news in the same datagrams.
package prober

import "time"

// State is what a node holds of a peer.
type State int

const (
	// Unknown means that the peer was listed but neither answered nor was vouched for.
	Unknown State = iota
	// Live means that the peer answered, or that another peer vouches for it.
	Live
	// Suspect means that a probe and its indirect probes failed; the peer may still refute it.
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

// VM is one node as the platform's list or the node's settings name it.
type VM struct {
	// Name is unique among the nodes.
	Name string `json:"n"`
	// Address is where callers connect.
	Address string `json:"a"`
	// PeerAddress is the IP number and port that receives datagrams.
	PeerAddress string `json:"p"`
	// FailureDomain is what fails together.
	FailureDomain string `json:"d"`
	// Leaving is the list's mark of a planned stop.
	Leaving bool `json:"-"`
}

// Member is one node as this node sees it.
type Member struct {
	Name          string
	Address       string
	PeerAddress   string
	FailureDomain string
	State         State
	// Incarnation grows with each restart and each refuted suspicion; it never falls. 0 means never heard of.
	Incarnation int64
	// Leaving is set by the node itself or by the platform's list.
	Leaving bool
	// Listed says that the last list named the node.
	Listed bool
	// Since is when the present state began.
	Since time.Time
	// LocalSuspicion marks a suspicion that arose while nobody answered this node; it is not passed on and never ends in Dead.
	LocalSuspicion bool
	// SuppressedUntil keeps a node that died and returned repeatedly out of Live until then.
	SuppressedUntil time.Time
	// DirectFailures counts the last direct probes in a row that only indirect probes answered.
	DirectFailures int
	// Digest is the last one received from the node itself.
	Digest Digest
}

// Digest is what each datagram tells about its sender beside membership.
type Digest struct {
	// Revision is that of the settings tree in force at the sender.
	Revision int64 `json:"r,omitempty"`
	// Load is a hint for the balance of callers: requests in flight in percent of what the sender can take.
	Load int `json:"l,omitempty"`
	// Leaving says that the sender is in a planned stop.
	Leaving bool `json:"v,omitempty"`
	// InstanceID differs between any two starts of the sender; claims and requests name it.
	InstanceID string `json:"u,omitempty"`
}

// Kind tells what a packet asks for.
type Kind int

const (
	// KindProbe asks the receiver for an ack.
	KindProbe Kind = iota + 1
	// KindAck answers a probe, directly or on behalf of Target.
	KindAck
	// KindIndirectProbe asks the receiver to probe Target.
	KindIndirectProbe
	// KindSync asks for the receiver's members after Target in name order.
	KindSync
	// KindSyncReply answers KindSync; without news the list is at its end.
	KindSyncReply
	// KindDigest only tells the sender's digest and news.
	KindDigest
)

// Update is one node's state as passed on between nodes.
type Update struct {
	Node        string `json:"n"`
	State       State  `json:"s"`
	Incarnation int64  `json:"i"`
	Leaving     bool   `json:"v,omitempty"`
	// By names the node that suspects first-hand; only with Suspect.
	By string `json:"b,omitempty"`
	// VM is given for nodes that a list may lack.
	VM *VM `json:"m,omitempty"`
}

// Packet is the content of one datagram.
type Packet struct {
	Kind Kind `json:"t"`
	// From is the sender's name.
	From string `json:"f"`
	// Incarnation and Sequence tell a replayed datagram from a new one.
	// Sequence starts at 1 in each run of a node and grows with each datagram to anyone.
	Incarnation int64  `json:"i"`
	Sequence    uint64 `json:"s"`
	// ProbeNumber is the number that the ack must repeat.
	ProbeNumber uint64 `json:"p,omitempty"`
	// Target is the node that an indirect probe is about, or the cursor of a sync.
	Target string `json:"a,omitempty"`
	// RefuteIncarnation is the receiver's incarnation that the sender holds for suspect, dead or outdated; 0 means none.
	RefuteIncarnation int64  `json:"k,omitempty"`
	Digest            Digest `json:"d"`
	// VM introduces the sender.
	VM      *VM      `json:"m,omitempty"`
	Updates []Update `json:"n,omitempty"`
}

// Message is a packet with its receiver.
type Message struct {
	To      string
	Address string
	Packet  Packet
}

// Counters count what happened since the start.
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
