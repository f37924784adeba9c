package pinner

import (
	"context"
	"slices"
	"strconv"
	"time"

	"quincepath.example/quincepath/internal/chooser"
)

const (
	// maxTransfer is the number of records in one message to a new holder.
	maxTransfer = 500
	// transferTimeout limits the sending of such a message.
	transferTimeout = 5 * time.Second
)

// refresh looks at the nodes. If the live ones changed, it finds the holders anew, and collects the records for those that are
// new.
func (p *Pinner) refresh() {
	live, listed, leaving := p.options.Live(), p.options.Listed(), p.options.Leaving()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.leaving = leaving
	p.listed = p.listed.WithNodes(listed)

	if slices.Equal(live, p.live) {
		return
	}

	p.live = live
	p.writer = chooser.New(live).Choose(archiveName)
	p.ranking.Update(live, bucketNames)

	for bucket := range p.candidates {
		former := p.holders(bucket)
		p.candidates[bucket] = p.spread(p.ranking.Best(bucketNames[bucket]))

		if p.isSender(former) {
			p.collectTransfers(bucket, without(p.holders(bucket), former))
		}
	}
}

// spread moves nodes of different failure domains to the front, so that the loss of one of these leaves a holder.
func (p *Pinner) spread(ranked []string) []string {
	front := make([]string, 0, len(ranked))
	domains := make(map[string]bool)

	for _, node := range ranked {
		if domain := p.options.FailureDomain(node); len(front) < copies && !domains[domain] {
			domains[domain] = true
			front = append(front, node)
		}
	}

	return append(front, without(ranked, front)...)
}

// isSender reports whether this node passes the records of former holders on: it is the first of them that still answers.
// The caller holds p.mu.
func (p *Pinner) isSender(former []string) bool {
	for _, node := range former {
		if node == p.options.Self {
			return true
		}

		if slices.Contains(p.live, node) || slices.Contains(p.leaving, node) {
			return false
		}
	}

	return false
}

// collectTransfers collects the records of a bucket for new holders. The caller holds p.mu.
func (p *Pinner) collectTransfers(bucket int, holders []string) {
	now := p.options.Now()

	for _, node := range without(holders, []string{p.options.Self}) {
		for key, r := range p.buckets[bucket] {
			if now < r.expires {
				p.transfers[node] = append(p.transfers[node], Entry{Key: key, Origin: r.origin, Keep: r.expires - now})
			}
		}
	}
}

// sendTransfers sends the collected records to the new holders.
func (p *Pinner) sendTransfers(ctx context.Context) {
	p.mu.Lock()
	transfers := p.transfers
	p.transfers = make(map[string][]Entry)
	p.mu.Unlock()

	for node, records := range transfers {
		go p.transfer(ctx, node, records)
	}
}

func (p *Pinner) transfer(ctx context.Context, node string, records []Entry) {
	for part := range slices.Chunk(records, maxTransfer) {
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		p.sendRecords(ctx, node, part)
		cancel()

		p.counters.passedOn.Add(int64(len(part)))
	}
}

// bucketNames are the names by which nodes find the holders of a bucket.
var bucketNames = func() []string {
	names := make([]string, bucketCount)
	for i := range names {
		names[i] = "streams/" + strconv.Itoa(i)
	}

	return names
}()
