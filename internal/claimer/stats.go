package claimer

import "sync/atomic"

// Stats counts what a claimer did since its start; sizes are in bytes.
type Stats struct {
	// Claims counts calls of Begin, Replays those answered by an earlier result.
	Claims  int64 `json:"claims"`
	Replays int64 `json:"replays"`
	// Refused counts claims that the store did not record in time, Full those that met a full journal.
	Refused int64 `json:"refused_claim_unavailable"`
	Full    int64 `json:"refused_claims_full"`
	// Conflicts, InProgress and UnknownOutcomes count answers given here, for other nodes too.
	Conflicts       int64 `json:"refused_key_conflict"`
	InProgress      int64 `json:"refused_key_in_progress"`
	UnknownOutcomes int64 `json:"refused_outcome_unknown"`
	// Writes counts transactions sent; LostWrites of them found a moved head, UnknownWrites lost their reply.
	Writes        int64 `json:"writes"`
	LostWrites    int64 `json:"writes_lost"`
	UnknownWrites int64 `json:"writes_unknown"`
	// FailedCalls counts failed calls of the store, Reads its reads.
	FailedCalls int64 `json:"calls_failed"`
	Reads       int64 `json:"reads"`
	// Records counts lines written with effect and KeptBytes their bytes; SentBytes counts the segments sent for them.
	Records   int64 `json:"records"`
	KeptBytes int64 `json:"kept_bytes"`
	SentBytes int64 `json:"sent_bytes"`
	// Forwarded counts calls of shard holders, ForwardsFailed those without a reply.
	Forwarded      int64 `json:"forwarded"`
	ForwardsFailed int64 `json:"forwards_failed"`
	// JournalBytes and JournalClaims describe what is held in memory now; Open counts claims without a recorded end.
	JournalBytes  int64 `json:"journal_bytes"`
	JournalClaims int64 `json:"journal_claims"`
	Open          int64 `json:"open"`
	// FullestShare is the largest share in use, from 0 to 1, of the shards in memory; at 1 claims are refused.
	FullestShare float64 `json:"fullest_shard_share"`
	// Capacity is how many claims a second all shards of the fleet take for good.
	Capacity float64 `json:"capacity_per_second"`
}

type counters struct {
	claims, replays, refused, full         atomic.Int64
	conflicts, inProgress, unknownOutcomes atomic.Int64
	writes, lost, unknown, failed, reads   atomic.Int64
	records, bytesKept, bytesSent          atomic.Int64
	forwarded, forwardsFailed              atomic.Int64
}

// Stats returns the present counts.
func (c *Claimer) Stats() Stats {
	n := &c.stats

	stats := Stats{
		Claims: n.claims.Load(), Replays: n.replays.Load(),
		Refused: n.refused.Load(), Full: n.full.Load(),
		Conflicts: n.conflicts.Load(), InProgress: n.inProgress.Load(), UnknownOutcomes: n.unknownOutcomes.Load(),
		Writes: n.writes.Load(), LostWrites: n.lost.Load(), UnknownWrites: n.unknown.Load(),
		FailedCalls: n.failed.Load(), Reads: n.reads.Load(),
		Records: n.records.Load(), KeptBytes: n.bytesKept.Load(), SentBytes: n.bytesSent.Load(),
		Forwarded: n.forwarded.Load(), ForwardsFailed: n.forwardsFailed.Load(),
		Open: int64(c.Open()), Capacity: c.options.Capacity(),
	}
	for _, s := range c.shards {
		stats.FullestShare = max(stats.FullestShare, s.share())

		s.mu.Lock()
		stats.JournalBytes += int64(s.journal.size)
		stats.JournalClaims += int64(s.journal.claims())
		s.mu.Unlock()
	}

	return stats
}
