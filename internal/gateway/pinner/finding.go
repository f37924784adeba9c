package pinner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// findTimeout limits the calls of one round to other nodes.
	findTimeout = 150 * time.Millisecond
	// transitTime is how long a record may be on its way to its holders while its caller is back already.
	transitTime = 30 * time.Millisecond
)

// Finding is the result of the search for a record.
type Finding int

const (
	// Found means that the record was found.
	Found Finding = iota
	// NotFound means that no node knows what began the stream.
	NotFound
	// Unavailable means that a node which did not answer may know.
	Unavailable
)

// String returns the finding as logs name it.
func (f Finding) String() string {
	switch f {
	case Found:
		return "found"
	case NotFound:
		return "not_found"
	default:
		return "unavailable"
	}
}

// Find returns what began a stream, from the records of this node or of others.
func (p *Pinner) Find(ctx context.Context, key Key) (Origin, Finding) {
	if known, ok := p.get(key); ok {
		return p.result(known, &p.counters.found)
	}

	p.refresh()

	holders, others := p.nodesToAsk(key)
	allAnswered := true

	for _, nodes := range [][]string{holders, others} {
		known, ok, answered := p.ask(ctx, nodes, key)
		if ok {
			return p.result(known, &p.counters.foundAtPeers)
		}

		allAnswered = allAnswered && answered
	}

	if sleeper.Sleep(ctx, transitTime) {
		known, ok := p.get(key)
		if !ok {
			known, ok, _ = p.ask(ctx, holders, key)
		}

		if ok {
			return p.result(known, &p.counters.foundAtPeers)
		}
	}

	if allAnswered && p.options.Whole() {
		p.counters.notFound.Add(1)

		return Origin{}, NotFound
	}

	p.counters.unavailable.Add(1)

	return Origin{}, Unavailable
}

// result counts a record that was found, and returns what it says.
func (p *Pinner) result(known record, counter *atomic.Int64) (Origin, Finding) {
	if known.origin == nil {
		p.counters.notFound.Add(1)

		return Origin{}, NotFound
	}

	counter.Add(1)

	return *known.origin, Found
}

// nodesToAsk returns the holders of a record, and the nodes that were its holders a moment ago or are so to other nodes.
func (p *Pinner) nodesToAsk(key Key) (holders, others []string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	bucket := key.bucket()
	candidates := p.candidates[bucket]
	holders = p.holders(bucket)
	others = slices.Concat(candidates[len(holders):], p.leaving[:min(len(p.leaving), maxAsked)])

	if p.listed != nil {
		others = append(others, p.listed.ChooseN(bucketNames[bucket], maxAsked)...)
	}

	slices.Sort(others)

	asked := append(slices.Clone(holders), p.options.Self)

	return without(holders, asked[len(holders):]), without(slices.Compact(others), asked)
}

// ask asks nodes for a record at the same time. It returns the first one found, and whether all nodes answered if there is none.
func (p *Pinner) ask(ctx context.Context, nodes []string, key Key) (known record, found, allAnswered bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()

	type reply struct {
		findResult
		err error
	}

	replies := make(chan reply, len(nodes))

	for _, node := range nodes {
		go func() {
			var r reply

			r.err = p.options.Peers.Call(ctx, node, MethodFind, findParams{Key: encodeKey(key)}, &r.findResult)
			replies <- r
		}()
	}

	allAnswered = true

	for range nodes {
		r := <-replies

		if r.err != nil {
			allAnswered = false

			continue
		}

		if r.Known {
			if r.Origin != nil {
				origin := Origin(*r.Origin)
				known.origin = &origin
			}

			return known, true, true
		}
	}

	return record{}, false, allAnswered
}
