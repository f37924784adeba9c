package server

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// quarantinePrefix is where the platform's store keeps requests in quarantine, by their keys.
	quarantinePrefix = "/quincepath/quarantine/"
	// quarantineInterval is the least time between two reads of them by this node, and quarantineIntervalPerNode stretches it, so
	// that the whole fleet reads at most ten times a second.
	quarantineInterval        = 30 * time.Second
	quarantineIntervalPerNode = 100 * time.Millisecond
	// quarantineReadLimit bounds one read.
	quarantineReadLimit = 2 * time.Second
)

// requestKey is the same each time that a caller sends the same request. The hash is that of method, path and body.
func requestKey(request dispatcher.Request, hash [sha256.Size]byte) quarantiner.Key {
	return quarantiner.KeyOf(request.Organisation.Name, "", request.Service.Name, "", hash[:])
}

// quarantine judges the requests of a node by how their attempts end.
type quarantine struct {
	*quarantiner.Quarantiner

	node *Node
}

func (n *Node) newQuarantine() *quarantine {
	q := &quarantine{node: n}
	q.Quarantiner = quarantiner.New(quarantiner.Options{
		Self:                  n.identity.node,
		Live:                  n.members.Live,
		CoordinatorCandidates: n.members.Live,
		Peers:                 n.messages,
		IsDown: func(ctx context.Context, _, address string) (down, silent bool, err error) {
			return forwarder.IsDown(ctx, address), false, nil
		},
		Recorder: q,
		Logger:   n.logger,
	})
	n.messages.Handle(quarantiner.MethodReport, q.HandleReport)
	n.messages.Handle(quarantiner.MethodQueryAnswered, q.HandleQueryAnswered)
	n.messages.Handle(quarantiner.MethodQuarantine, q.HandleQuarantine)
	n.messages.Handle(quarantiner.MethodRelease, q.HandleRelease)

	return q
}

// Check implements dispatcher.Quarantine.
func (q *quarantine) Check(request dispatcher.Request) (quarantiner.Verdict, bool) {
	verdict, mayRun := q.Quarantiner.Check(traitsOf(request), quarantiner.Key{})

	return verdict, !mayRun
}

// traitsOf returns the whole request as its only trait: callers of this interface don't name the parts of their prompts.
func traitsOf(request dispatcher.Request) quarantiner.Traits {
	return quarantiner.Traits{Content: request.Key}
}

// Ended implements dispatcher.Quarantine. Upstreams are told apart by their address: their names are unique within a service only.
func (q *quarantine) Ended(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome) {
	address := attempt.Slot.Upstream.Address

	switch outcome.Result {
	case dispatcher.ResultDone:
		q.Answered(traitsOf(request), request.Service.Name)
	case dispatcher.ResultRejected:
		q.Failed(traitsOf(request))
	case dispatcher.ResultFailed, dispatcher.ResultSilent:
		if _, leaving := q.node.leaving.Leaving(address); !leaving && !attempt.Slot.Upstream.Leaving {
			q.Broke(quarantiner.Run{
				Traits: traitsOf(request), Service: request.Service.Name, Upstream: address, Address: address,
				Answering: outcome.Tokens > 0 || outcome.DiscardedTokens > 0,
			})
		}
	}
}

// follow reads what the platform's store holds until ctx ends: nodes that start, or that missed a message, learn it there.
func (q *quarantine) follow(ctx context.Context) {
	if q.node.store == nil {
		return
	}

	for {
		q.read(ctx)

		pause := max(quarantineInterval, time.Duration(q.node.members.known())*quarantineIntervalPerNode)
		if !sleeper.Sleep(ctx, pause) {
			return
		}
	}
}

func (q *quarantine) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quarantineReadLimit)
	defer cancel()

	listed, _, err := q.node.store.List(ctx, quarantinePrefix)
	if err != nil {
		q.node.logger.Debug().Err(err).Msg("quarantine_not_read")

		return
	}

	var entries []quarantiner.Quarantine

	for _, item := range listed {
		var entry quarantiner.Quarantine
		if err := json.Unmarshal(item.Value, &entry); err != nil || quarantinePrefix+entry.Key.String() != item.Key {
			q.node.logger.Warn().Err(err).Str("key", item.Key).Msg("entry_unreadable")

			continue
		}

		entries = append(entries, entry)
	}

	q.Update(quarantiner.List(q.upstreams()), entries, 0)
}

// upstreams returns all of the settings in force.
func (q *quarantine) upstreams() []quarantiner.Upstream {
	var upstreams []quarantiner.Upstream

	for _, service := range q.node.tree.Snapshot().Services {
		for _, upstream := range service.Upstreams {
			upstreams = append(upstreams, quarantiner.Upstream{Instance: quarantiner.Instance{Upstream: upstream.Address}})
		}
	}

	return upstreams
}

// Record implements quarantiner.Recorder. On a node without a platform quarantines last as long as some node lives.
func (q *quarantine) Record(ctx context.Context, entries []quarantiner.Quarantine) error {
	if q.node.store == nil {
		return nil
	}

	for _, entry := range entries {
		value, err := json.Marshal(entry)
		if err != nil {
			return err
		}

		if _, err := q.node.store.Put(ctx, quarantinePrefix+entry.Key.String(), value, 0); err != nil {
			return err
		}
	}

	// Until this node reads that they are stored it tells all others of them each second.
	q.read(ctx)

	return nil
}

// Release implements quarantiner.Recorder.
func (q *quarantine) Release(ctx context.Context, keys []quarantiner.Key) error {
	if q.node.store == nil {
		return nil
	}

	for _, key := range keys {
		if _, err := q.node.store.Delete(ctx, quarantinePrefix+key.String()); err != nil {
			return err
		}
	}

	return nil
}
