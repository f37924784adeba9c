package pinner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// writeInterval is the time between two writes of the node that writes records for all. What began within it, the time that nodes
	// gather records and that of a write before all nodes are killed is lost: less than half a second of streams.
	writeInterval = 200 * time.Millisecond
	// gatherTimePerNode is for how long a node gathers records for that node, for each node of the deployment, so that it gets some two
	// messages a millisecond at most from hundreds of them. The sum is kept within minGatherTime and maxGatherTime.
	gatherTimePerNode = 600 * time.Microsecond
	minGatherTime     = 20 * time.Millisecond
	maxGatherTime     = 150 * time.Millisecond
	// writeTimeout limits a write.
	writeTimeout = 700 * time.Millisecond
	// maxUnwritten limits the records that wait while the store is away, each of which takes some 40 bytes. The oldest are dropped first.
	maxUnwritten = 200_000
	// historyMargin is how much longer than streams live the versions of a service count as its versions: the store may list them a
	// little longer.
	historyMargin = time.Minute
	// archiveName is the name by which nodes find the one that writes the archive.
	archiveName = "streams/archive"
)

// Entry is a record on its way to another node, or to the archive.
type Entry struct {
	Key Key
	// Origin is nil if several streams had the same ID.
	Origin *Origin
	// Keep is for how much longer the record is kept.
	Keep time.Duration
	// IsNeeded is set on the way to the archive if the sender knows of several software versions of the service.
	IsNeeded bool
}

// Archive keeps records where they outlast all nodes. Find is safe for concurrent use, the others are called by one goroutine.
type Archive interface {
	// Write adds records. Writing one twice is safe.
	Write(ctx context.Context, entries []Entry) error
	// Adopt takes over what earlier writers wrote, which Sweep then removes when it has expired. It is safe to repeat.
	Adopt(ctx context.Context) error
	Sweep(ctx context.Context) error
	// Find returns Unavailable if the archive could not be read, and else sees all records that were written before the call.
	Find(ctx context.Context, key Key) (Origin, Finding)
}

// UpdateVersions takes over which software versions the upstreams have. The records of a service that gets a second one are archived,
// since that service no longer tells what began a stream.
func (p *Pinner) UpdateVersions(upstreams *cataloguer.Index[cataloguer.Upstream]) {
	inUse := make(map[cataloguer.ServiceVersion]bool)
	for upstream := range upstreams.All() {
		inUse[upstream.Version()] = true
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	now := p.options.Now()

	if p.seenSince < 0 {
		p.seenSince = now
	}

	p.seen.update(now, inUse)
	p.seen.forget(now - p.options.StreamLifetime())

	for _, service := range p.history.update(now, inUse) {
		p.archiveServiceLocked(service, now)
	}
}

// archiveServiceLocked archives all records of a service of which this node is the first holder. p.mu must be held.
func (p *Pinner) archiveServiceLocked(service string, now time.Duration) {
	if p.options.Archive == nil {
		return
	}

	for bucket, records := range p.buckets {
		if !p.isFirstHolderLocked(bucket) {
			continue
		}

		for key, r := range records {
			if r.origin != nil && r.origin.Service == service && now < r.expires {
				p.backlog = append(p.backlog, Entry{Key: key, Origin: r.origin, Keep: r.expires - now, IsNeeded: true})
			}
		}
	}
}

// sendBacklog sends the backlog to the node that writes.
func (p *Pinner) sendBacklog(ctx context.Context) {
	p.mu.Lock()
	backlog, writer := p.backlog, p.writer
	p.backlog = nil
	p.mu.Unlock()

	for part := range slices.Chunk(backlog, maxTransfer) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, transferTimeout)
			defer cancel()

			p.sendToArchive(ctx, writer, part)
		}()
	}
}

// archiveLocked sends the record of a stream that this node delivers to the node that writes, unless it isn't needed. p.mu must be held.
func (p *Pinner) archiveLocked(entry Entry) {
	entry.IsNeeded = entry.Origin == nil || p.history.hasSeveral(entry.Origin.Service)

	if p.options.Archive != nil && (entry.IsNeeded || p.mayHaveSeveralLocked(entry.Origin.Service, p.options.Now())) {
		p.archiveOutbox.AddWithin(p.writer, entry, p.gatherTimeLocked())
	}
}

// gatherTimeLocked returns how long records are gathered for the node that writes. p.mu must be held.
func (p *Pinner) gatherTimeLocked() time.Duration {
	return min(max(time.Duration(len(p.live))*gatherTimePerNode, minGatherTime), maxGatherTime)
}

func (p *Pinner) isFirstHolderLocked(bucket int) bool {
	holders := p.holders(bucket)

	return len(holders) > 0 && holders[0] == p.options.Self
}

// mayHaveSeveralLocked reports whether a service has or lately had several software versions, as far as this node can rule that out.
// p.mu must be held.
func (p *Pinner) mayHaveSeveralLocked(service string, now time.Duration) bool {
	return !p.knowsHistoryLocked(now) || p.history.hasSeveral(service)
}

// knowsHistoryLocked reports whether this node knows all versions that a stream can be from. One that has just started doesn't.
// p.mu must be held.
func (p *Pinner) knowsHistoryLocked(now time.Duration) bool {
	return p.hasReadHistory || now-p.startedAt >= p.historyRetention
}

// sendToArchive sends records to the node that writes them. If it can't be reached, they go to the next one.
func (p *Pinner) sendToArchive(ctx context.Context, node string, entries []Entry) {
	if node == p.options.Self {
		p.addUnwritten(entries)

		return
	}

	if err := p.options.Peers.Notify(ctx, node, MethodArchive, newRecordParams(entries)); err != nil {
		p.options.Logger.Debug().Err(err).Str("peer", node).Int("records", len(entries)).Msg("stream_records_not_archived")

		p.mu.Lock()
		defer p.mu.Unlock()

		if len(p.backlog)+len(entries) <= maxUnwritten {
			p.backlog = append(p.backlog, entries...)
		}
	}
}

// HandleArchive handles MethodArchive.
func (p *Pinner) HandleArchive(_ context.Context, _ string, params json.RawMessage) (any, error) {
	entries, err := decodeRecords(params)

	switch {
	case err != nil:
		return nil, err
	case p.options.Archive == nil:
		return nil, errArchiveUnavailable
	}

	p.addUnwritten(entries)

	return struct{}{}, nil
}

func (p *Pinner) addUnwritten(entries []Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.unwritten = append(p.unwritten, entries...)
	p.dropExcessLocked()
}

func (p *Pinner) dropExcessLocked() {
	if excess := len(p.unwritten) - maxUnwritten; excess > 0 {
		p.unwritten = slices.Clone(p.unwritten[excess:])
		p.counters.unarchived.Add(int64(excess))
	}
}

// runArchive writes records until ctx ends.
func (p *Pinner) runArchive(ctx context.Context) {
	go p.archiveOutbox.Run(ctx)

	for sleeper.Sleep(ctx, writeInterval) {
		p.writeUnwritten(ctx)

		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		if err := p.options.Archive.Sweep(callCtx); err != nil {
			p.options.Logger.Debug().Err(err).Msg("stream_archive_not_swept")
		}
		cancel()
	}
}

// writeUnwritten writes the records that wait and that are needed. What can't be written waits for the next time.
func (p *Pinner) writeUnwritten(ctx context.Context) {
	p.mu.Lock()
	entries := p.unwritten
	p.unwritten = nil
	p.mu.Unlock()

	if len(entries) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()

	err := p.write(ctx, entries)
	if err == nil {
		return
	}

	p.counters.archiveFailures.Add(1)
	p.options.Logger.Warn().Err(err).Int("records", len(entries)).Msg("stream_archive_not_written")

	p.mu.Lock()
	defer p.mu.Unlock()

	p.unwritten = append(entries, p.unwritten...)
	p.dropExcessLocked()
}

// write writes the entries that are needed.
func (p *Pinner) write(ctx context.Context, entries []Entry) error {
	if err := p.readHistory(ctx); err != nil {
		return err
	}

	needed := p.needed(entries)
	if len(needed) == 0 {
		return nil
	}

	if err := p.options.Archive.Write(ctx, needed); err != nil {
		return err
	}

	p.counters.archived.Add(int64(len(needed)))

	return nil
}

// needed returns the entries of services that have or lately had several software versions. The sender may have heard of these first.
func (p *Pinner) needed(entries []Entry) []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := p.options.Now()
	needed := make([]Entry, 0, len(entries))

	for _, entry := range entries {
		if entry.IsNeeded || entry.Origin == nil || p.mayHaveSeveralLocked(entry.Origin.Service, now) {
			needed = append(needed, entry)
		}
	}

	return needed
}

// readHistory reads from the store which versions there were before this node started, once.
func (p *Pinner) readHistory(ctx context.Context) error {
	p.mu.Lock()
	isKnown := p.hasReadHistory
	p.mu.Unlock()

	if isKnown {
		return nil
	}

	if err := p.options.Archive.Adopt(ctx); err != nil {
		return err
	}

	var versions []cataloguer.ServiceVersion

	if p.options.VersionStore != nil {
		var err error
		if versions, err = p.versions.Get(ctx); err != nil {
			return err
		}
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	now := p.options.Now()

	for _, service := range p.history.add(now, versions) {
		p.archiveServiceLocked(service, now)
	}

	p.hasReadHistory = true

	return nil
}
