package pinner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// archiveTimeout limits a search of the archive by another node.
const archiveTimeout = time.Second

// errArchiveUnavailable means that the archive could not be read, or that this node has none.
var errArchiveUnavailable = errors.New("the archive of streams can't be read")

// Archived returns what began a stream, from the records that outlast all nodes. One node reads them for many, as all may have just
// started.
func (p *Pinner) Archived(ctx context.Context, key Key) (Origin, Finding) {
	if p.options.Archive == nil {
		return Origin{}, NotFound
	}

	origin, finding := p.findArchived(ctx, key)

	switch finding {
	case Found:
		p.counters.foundInArchive.Add(1)
	case NotFound:
		p.counters.notInArchive.Add(1)
	case Unavailable:
		p.counters.archiveUnavailable.Add(1)
	}

	return origin, finding
}

func (p *Pinner) findArchived(ctx context.Context, key Key) (Origin, Finding) {
	for _, node := range p.archiveReaders() {
		callCtx, cancel := context.WithTimeout(ctx, archiveTimeout)
		result := findResult{}
		err := p.options.Peers.Call(callCtx, node, MethodFindArchived, findParams{Key: encodeKey(key)}, &result)

		cancel()

		switch {
		case err == nil && result.Origin != nil:
			return Origin(*result.Origin), Found
		case err == nil:
			return Origin{}, NotFound
		}
	}

	return p.options.Archive.Find(ctx, key)
}

// archiveReaders returns the other nodes to ask, none if this node is the one that reads. A node that has just started takes itself for
// the one that writes.
func (p *Pinner) archiveReaders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	var readers []string

	if p.writer != p.options.Self {
		readers = append(readers, p.writer)
	}

	if p.listed != nil {
		if first := p.listed.Choose(archiveName); first != p.options.Self && first != p.writer && len(p.live) <= 1 {
			readers = append(readers, first)
		}
	}

	return slices.DeleteFunc(readers, func(node string) bool { return node == "" })
}

// HandleFindArchived handles MethodFindArchived.
func (p *Pinner) HandleFindArchived(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	key, err := decodeFind(params)

	switch {
	case err != nil:
		return nil, err
	case p.options.Archive == nil:
		return nil, errArchiveUnavailable
	}

	origin, finding := p.options.Archive.Find(ctx, key)

	switch finding {
	case Unavailable:
		return nil, errArchiveUnavailable
	case Found:
		found := originParams(origin)

		return findResult{Known: true, Origin: &found}, nil
	default:
		return findResult{}, nil
	}
}
