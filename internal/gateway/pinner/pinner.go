// Package pinner remembers, for all nodes together, which software version began each resumable stream. A stream may only
// go on at that version, at whichever node its caller takes it up.
//
// A stream is known by the request that brought its first event. The node that delivers that event records the stream with
// itself and with a few holders, which are found by rendezvous hashing over the live nodes. When nodes come or go, the holders
// that stay pass the records on. What a record says never changes, so that an old one is as good as a new one, and a node that
// finds none must not guess.
//
// A kill of all nodes takes all these copies. Then the platform's store tells: which software versions a service had, and while it has
// several, the records themselves. One node writes those for all (Archive).
package pinner

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/batcher"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/coalescer"
)

const (
	// copies is the number of holders of a record, beside the node that delivers the stream.
	copies = 3
	// maxAsked is the number of nodes that are asked for a record at most: its holders, and the next ones in their order,
	// which are holders to nodes that know of other live nodes.
	maxAsked = 12
	// bucketCount is the number of groups of records, each of which has holders of its own.
	bucketCount = 256
	// retention is how long a record is kept after the time limit of the request that it is from. Callers take a stream up within
	// their own time limit, which may be longer.
	retention = time.Minute
	// maxRetention limits how long a record is kept in all.
	maxRetention = time.Hour
	// maxRecords limits the records of a node, each of which takes some 100 bytes.
	maxRecords = 100_000
	// refreshInterval is the time between two looks at the live nodes, sweepInterval that between two removals of old records.
	refreshInterval = 100 * time.Millisecond
	sweepInterval   = time.Second
)

// Peers sends messages to other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Options configure a Pinner. All fields are required, unless said otherwise.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that may hold records, sorted; this node is not among them while it is leaving.
	Live func() []string
	// Leaving returns the names of the other nodes that respond and are leaving.
	Leaving func() []string
	// Listed returns the names of all nodes of the deployment, sorted, whether they respond or not.
	Listed func() []string
	// Whole reports whether all nodes of the deployment are live, as far as this node knows.
	Whole func() bool
	// FailureDomain returns the failure domain of a node.
	FailureDomain func(node string) string
	// Now returns a monotonic time that also advances while the system is suspended.
	Now   func() time.Duration
	Peers Peers
	// VersionStore may be nil; then nothing is known of streams without a record.
	VersionStore VersionStore
	// Archive may be nil; then no record outlasts all nodes.
	Archive Archive
	// StreamLifetime returns how long after a software version was last used a stream from it may be taken up.
	StreamLifetime func() time.Duration
	Logger         zerolog.Logger
}

// Origin is what began a stream.
type Origin struct {
	Service string
	// SoftwareVersion is empty if it isn't known.
	SoftwareVersion string
}

// IsKnown reports whether the stream may be resumed at another upstream.
func (o *Origin) IsKnown() bool {
	return o.SoftwareVersion != ""
}

// Key identifies a stream by the request that brought its first event.
type Key [16]byte

// KeyOf returns the key of the stream that a request of an organisation began.
func KeyOf(organisation, requestID string) Key {
	sum := sha256.New()

	var length [8]byte

	binary.LittleEndian.PutUint64(length[:], uint64(len(organisation)))
	_, _ = sum.Write(length[:])
	_, _ = io.WriteString(sum, organisation)
	_, _ = io.WriteString(sum, requestID)

	return Key(sum.Sum(nil)[:len(Key{})])
}

// bucket returns the group of a record.
func (k Key) bucket() int {
	return int(k[0])
}

// Pinner keeps records of streams. It is safe for concurrent use. Its lock is not held during calls to other nodes.
type Pinner struct {
	options  Options
	outbox   *batcher.Batcher[Entry]
	counters counters
	versions *coalescer.Coalescer[[]cataloguer.ServiceVersion]
	// archiveOutbox holds the records for the node that writes the archive.
	archiveOutbox *batcher.Batcher[Entry]
	startedAt     time.Duration

	mu sync.Mutex
	// buckets holds the records, of which there are count.
	buckets [bucketCount]map[Key]record
	count   int
	// live and leaving are the nodes at the last look. candidates holds by bucket the nodes to ask for a record, its holders first.
	live       []string
	leaving    []string
	ranking    *chooser.Ranking
	candidates [bucketCount][]string
	// listed chooses among all listed nodes. A node that has just started knows these before it knows which of them are live.
	listed *chooser.Chooser
	// transfers holds the records to pass on, by the nodes that became their holders.
	transfers map[string][]Entry
	// writer is the node that writes the archive for all.
	writer string
	// backlog are the records to send to that node that don't go with the outbox: those of services that have got a second version, and
	// those that could not be sent.
	backlog []Entry
	// unwritten are the records that this node is to write, oldest first.
	unwritten []Entry
	// seen holds the software versions that this node's list of upstreams has or had, seenSince is when it got the first one; negative
	// before that.
	seen      versionHistory
	seenSince time.Duration
	// history holds the software versions as far as this node knows; hasReadHistory is set once it knows those from before its start.
	history        versionHistory
	hasReadHistory bool
	// historyRetention is for how long a version that no upstream has any more counts.
	historyRetention time.Duration
}

// record is what is known of one stream.
type record struct {
	// origin is nil if the requests of several streams had the same ID, so that none of them can be resumed.
	origin  *Origin
	expires time.Duration
}

// New returns a Pinner without records.
func New(options Options) *Pinner {
	p := &Pinner{options: options, ranking: chooser.NewRanking(maxAsked), transfers: make(map[string][]Entry), seenSince: -1}
	p.outbox = batcher.New(p.sendRecords)
	p.archiveOutbox = batcher.New(p.sendToArchive)
	p.history.endedAt, p.seen.endedAt = make(map[string]map[string]time.Duration), make(map[string]map[string]time.Duration)

	if options.VersionStore != nil {
		p.versions = coalescer.New(options.VersionStore.Versions, versionReadTimeout, versionReadPause)
	}

	if options.Archive != nil {
		p.startedAt, p.historyRetention = options.Now(), cataloguer.MaxStreamLifetime
	}

	for i := range p.buckets {
		p.buckets[i] = make(map[Key]record)
	}

	return p
}

// Run sends records and passes them on to new holders until ctx ends.
func (p *Pinner) Run(ctx context.Context) {
	go p.outbox.Run(ctx)

	if p.options.Archive != nil {
		p.refresh()

		go p.runArchive(ctx)
	}

	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()

	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()

	for {
		p.refresh()
		p.sendTransfers(ctx)
		p.sendBacklog(ctx)

		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-sweep.C:
			p.removeExpired()
			p.forgetVersions()
		}
	}
}

// Record records what began a stream. The time limit is that of the request that delivers it.
func (p *Pinner) Record(key Key, origin Origin, timeLimit time.Duration) {
	if !origin.IsKnown() {
		return
	}

	keep := min(max(timeLimit, 0)+retention, maxRetention)
	p.counters.recorded.Add(1)
	p.refresh()

	p.mu.Lock()
	r := p.put(key, &origin, p.options.Now()+keep)
	holders := p.holders(key.bucket())
	p.archiveLocked(Entry{Key: key, Origin: r.origin, Keep: keep})
	p.mu.Unlock()

	for _, holder := range holders {
		if holder != p.options.Self {
			p.outbox.Add(holder, Entry{Key: key, Origin: r.origin, Keep: keep})
		}
	}
}

// put stores a record, merged with what is known of the stream. The caller holds p.mu.
func (p *Pinner) put(key Key, origin *Origin, expires time.Duration) record {
	bucket := p.buckets[key.bucket()]
	known, ok := bucket[key]

	switch {
	case !ok && p.count >= maxRecords:
		p.evict(bucket)

		fallthrough
	case !ok:
		p.count++
		known.origin = origin
	case known.origin != nil && (origin == nil || *origin != *known.origin):
		p.counters.conflicts.Add(1)
		known.origin = nil
	}

	known.expires = max(known.expires, expires)
	bucket[key] = known

	return known
}

// evict removes any record of the bucket. The caller holds p.mu.
func (p *Pinner) evict(bucket map[Key]record) {
	for key := range bucket {
		delete(bucket, key)
		p.count--
		p.counters.evicted.Add(1)

		return
	}
}

// get returns what this node knows of a stream.
func (p *Pinner) get(key Key) (record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	known, ok := p.buckets[key.bucket()][key]

	return known, ok && p.options.Now() < known.expires
}

func (p *Pinner) removeExpired() {
	now := p.options.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, bucket := range p.buckets {
		for key, r := range bucket {
			if now >= r.expires {
				delete(bucket, key)
				p.count--
			}
		}
	}
}

// forgetVersions removes the software versions that no stream can be from any more.
func (p *Pinner) forgetVersions() {
	if p.options.Archive == nil {
		return
	}

	lifetime := p.options.StreamLifetime()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.historyRetention = lifetime + historyMargin
	p.history.forget(p.options.Now() - p.historyRetention)
}

// holders returns the nodes that hold the records of a bucket. The caller holds p.mu.
func (p *Pinner) holders(bucket int) []string {
	candidates := p.candidates[bucket]

	return candidates[:min(copies, len(candidates))]
}

// Counters describe the records of a node.
type Counters struct {
	// Kept is the number of records now.
	Kept int `json:"kept"`
	// Recorded counts the streams that this node delivered first, Received the records that others sent, PassedOn those that it
	// sent to new holders.
	Recorded int64 `json:"recorded"`
	Received int64 `json:"received"`
	PassedOn int64 `json:"passed_on"`
	// Found counts the streams that were found here, FoundAtPeers those that other nodes knew, NotFound those that no node
	// knew, Unavailable those that a node which did not answer may have known.
	Found        int64 `json:"found"`
	FoundAtPeers int64 `json:"found_at_peers"`
	NotFound     int64 `json:"not_found"`
	Unavailable  int64 `json:"unavailable"`
	// Archived counts the records that this node wrote to the store for all nodes, Unwritten are those that wait for it, Unarchived those
	// that were dropped as the store was away for too long, ArchiveFailures the writes that failed.
	Archived        int64 `json:"archived"`
	Unwritten       int   `json:"unwritten"`
	Unarchived      int64 `json:"unarchived"`
	ArchiveFailures int64 `json:"archive_failures"`
	// FoundInArchive counts the streams that no node knew, and the store did, NotInArchive those that it didn't know either,
	// ArchiveUnavailable those for which it could not be read.
	FoundInArchive     int64 `json:"found_in_archive"`
	NotInArchive       int64 `json:"not_in_archive"`
	ArchiveUnavailable int64 `json:"archive_unavailable"`
	// Sole counts the streams that were resumed since their service had one software version only.
	Sole int64 `json:"sole"`
	// Conflicts counts the streams that can't be resumed as several requests had the same ID, Evicted the records that were
	// dropped for lack of room.
	Conflicts int64 `json:"conflicts"`
	Evicted   int64 `json:"evicted"`
}

type counters struct {
	recorded, received, passedOn, found, foundAtPeers, notFound, unavailable, sole, conflicts, evicted atomic.Int64

	archived, unarchived, archiveFailures, foundInArchive, notInArchive, archiveUnavailable atomic.Int64
}

// Counters returns the current counters.
func (p *Pinner) Counters() Counters {
	p.mu.Lock()
	kept, unwritten := p.count, len(p.unwritten)
	p.mu.Unlock()

	c := &p.counters

	return Counters{
		Kept:         kept,
		Recorded:     c.recorded.Load(),
		Received:     c.received.Load(),
		PassedOn:     c.passedOn.Load(),
		Found:        c.found.Load(),
		FoundAtPeers: c.foundAtPeers.Load(),
		NotFound:     c.notFound.Load(),
		Unavailable:  c.unavailable.Load(),
		Sole:         c.sole.Load(),
		Conflicts:    c.conflicts.Load(),
		Evicted:      c.evicted.Load(),

		Archived:           c.archived.Load(),
		Unwritten:          unwritten,
		Unarchived:         c.unarchived.Load(),
		ArchiveFailures:    c.archiveFailures.Load(),
		FoundInArchive:     c.foundInArchive.Load(),
		NotInArchive:       c.notInArchive.Load(),
		ArchiveUnavailable: c.archiveUnavailable.Load(),
	}
}

// without returns the nodes but for those in others.
func without(nodes, others []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return slices.Contains(others, node) })
}
