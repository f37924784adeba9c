// Package granter carries the decisions of package scheduler between nodes: the
// Holder runs the pools of this node, and the Router asks the holder of a pool
// for slots on behalf of this node's requests.
//
// An ask is answered at once with granted, queued or refused, so that silence
// shows within a fixed time whatever the queue. A queued ask is decided by a
// later message. Messages may be lost, doubled or cross each other:
//
//   - An ask has an id and may be sent again; the holder answers the same. A lost
//     answer or decision is made good by the next ask with that id.
//   - A grant that its entry doesn't want any more is cancelled by the ask's id,
//     whether the ask still waits or was granted.
//   - The holder compares its grants with what each entry has in flight; what
//     the entry doesn't know twice running is free again, and what the holder
//     doesn't know is taken over. It does so within ReconcileInterval when either
//     end noticed that something may differ: a new holder, a silent one that
//     answers again, an entry that grants of another holder serve, a decision
//     that didn't arrive. What neither noticed ends by MaxReconcileInterval and
//     ReconcileInterval together.
//
// Locks, in the order in which they may be taken: Holder.mu, heldPool.mu,
// outbox.mu. Router.mu and batcher.mu are taken alone. None is held during a message.
package granter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/scheduler"
)

// MessagePolicy says how asks and releases travel to a holder.
type MessagePolicy string

const (
	// MessagePerRequest sends each ask and each release at once in a message of its own.
	MessagePerRequest MessagePolicy = "per_request"
	// MessageBatched gathers asks and releases for MaxBatchDelay; tier 1 asks flush at once.
	MessageBatched MessagePolicy = "batched"
)

// Options of a Holder and a Router. The zero value of a field means its default.
type Options struct {
	// Node is this node's name.
	Node string
	// Incarnation differs each time the node starts; it makes ask and grant ids unique.
	Incarnation string
	// Pool is the policy of the pools that this node holds.
	Pool scheduler.Options
	// MessagePolicy of the messages. Default MessagePerRequest.
	MessagePolicy MessagePolicy
	// MaxBatchDelay is the longest time for which MessageBatched gathers. Default 3 ms.
	MaxBatchDelay time.Duration
	// HolderTimeout is how long a holder may take to acknowledge an ask. Default 150 ms.
	HolderTimeout time.Duration
	// ResendInterval is the time after which a queued ask below tier 1 is sent again;
	// tier 1 asks again after HolderTimeout. Default 5 s.
	ResendInterval time.Duration
	// ReconcileInterval is the time between rounds of comparisons, and between those
	// with an entry while they differ. Default 1 s.
	ReconcileInterval time.Duration
	// MaxReconcileInterval is the longest time between comparisons with an entry. Default 10 s.
	MaxReconcileInterval time.Duration
	// Logger takes what requests wait for and which holders are silent; the zero logger writes nothing.
	Logger zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.MessagePolicy == "" {
		o.MessagePolicy = MessagePerRequest
	}

	if o.MaxBatchDelay == 0 {
		o.MaxBatchDelay = 3 * time.Millisecond
	}

	if o.HolderTimeout == 0 {
		o.HolderTimeout = 150 * time.Millisecond
	}

	if o.ResendInterval == 0 {
		o.ResendInterval = 5 * time.Second
	}

	if o.ReconcileInterval == 0 {
		o.ReconcileInterval = time.Second
	}

	if o.MaxReconcileInterval == 0 {
		o.MaxReconcileInterval = 10 * time.Second
	}

	return o
}

// Caller sends messages to other nodes.
type Caller interface {
	// Call sends params and decodes the answer into result.
	Call(ctx context.Context, peer, method string, params, result any) error
	// Notify sends params without an answer.
	Notify(ctx context.Context, peer, method string, params any) error
}

// Members tells which nodes are alive, this one included.
type Members interface {
	Live() []string
}

// Snapshotter gives the settings that are in force.
type Snapshotter interface {
	Snapshot() configurer.Snapshot
}
