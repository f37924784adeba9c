// Package granter is the protocol between nodes for the decisions of package
// scheduler. The Holder runs the pools that this node holds. The Router requests
// slots from the holder of a pool on behalf of this node's requests; for the holder,
// the node that received a request is its entry.
//
// A slot request is answered at once with granted, queued or refused, so that an
// unresponsive holder is noticed within a fixed time, however long the queue is. The
// decision on a queued request follows in a later message. Messages may be lost,
// duplicated or reordered:
//
//   - A slot request has an id and may be sent again; the holder gives the same
//     answer. So the next copy of a request makes up for a lost answer or decision.
//   - An entry cancels a grant that it no longer needs by the id of the slot request,
//     whether the request still waits or was granted.
//   - The holder compares its grants with the attempts that each entry has in flight.
//     It frees a grant that the entry doesn't know in two comparisons in a row, and
//     adopts an attempt that it doesn't know itself. It compares within
//     ReconcileInterval if either side noticed a possible difference: a new holder,
//     an unresponsive holder that answers again, an entry that also has grants of
//     another holder, a decision that didn't arrive. A difference that neither side
//     noticed lasts at most MaxReconcileInterval plus ReconcileInterval.
//
// Lock order: Holder.mu, heldPool.mu, outbox.mu. Router.mu and batcher.mu are never
// held together with another lock. No lock is held while a message is sent.
package granter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/scheduler"
)

// MessagePolicy determines how slot requests and releases are sent to a holder.
type MessagePolicy string

const (
	// MessagePerRequest sends each slot request and each release at once in its own message.
	MessagePerRequest MessagePolicy = "per_request"
	// MessageBatched collects slot requests and releases for up to MaxBatchDelay; a tier 1 request sends the batch at once.
	MessageBatched MessagePolicy = "batched"
)

// Options configure a Holder and a Router. The zero value of a field means its default.
type Options struct {
	// Node is this node's name.
	Node string
	// Incarnation differs each time the node starts; it makes the ids of slot requests and grants unique.
	Incarnation string
	// Pool configures the pools that this node holds.
	Pool scheduler.Options
	// MessagePolicy determines how messages are sent. Default MessagePerRequest.
	MessagePolicy MessagePolicy
	// MaxBatchDelay is the longest time for which MessageBatched delays a message. Default 3 ms.
	MaxBatchDelay time.Duration
	// HolderTimeout is how long a holder may take to answer a slot request. Default 150 ms.
	HolderTimeout time.Duration
	// ResendInterval is the time after which a queued slot request below tier 1 is sent
	// again; for tier 1 it is HolderTimeout. Default 5 s.
	ResendInterval time.Duration
	// ReconcileInterval is the time between rounds of comparisons, and between the
	// comparisons with one entry while its state differs. Default 1 s.
	ReconcileInterval time.Duration
	// MaxReconcileInterval is the longest time between comparisons with an entry. Default 10 s.
	MaxReconcileInterval time.Duration
	// Logger logs what requests wait for and which holders are unresponsive; the zero logger writes nothing.
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
	// Call sends a request with params and decodes the answer into result.
	Call(ctx context.Context, peer, method string, params, result any) error
	// Notify sends params without an answer.
	Notify(ctx context.Context, peer, method string, params any) error
}

// Members lists the live nodes, including this one.
type Members interface {
	Live() []string
}

// Snapshotter returns the settings that are in force.
type Snapshotter interface {
	Snapshot() configurer.Snapshot
}
