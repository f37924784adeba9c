package follower

// Counters are totals since the start. They show what synchronisation costs and which nodes bear the cost.
type Counters struct {
	// StoreReads counts reads of the store that were started, each of one or two calls; FullReads counts those that
	// read the whole content.
	StoreReads int64 `json:"store_reads"`
	FullReads  int64 `json:"whole_reads"`
	// FailedReads counts reads that the store rejected or didn't answer.
	FailedReads int64 `json:"failed_reads"`
	// StartListings counts listings of the nodes at a start without seeds.
	StartListings int64 `json:"start_listings"`
	// Handovers counts requests to other nodes to read the store, which rejected this node.
	Handovers int64 `json:"hand_overs"`
	// AnnounceWrites counts writes that list nodes, whether they succeeded or not.
	AnnounceWrites int64 `json:"listings"`
	// Pulls counts pulls from peers; FailedPulls counts those that failed or timed out.
	Pulls       int64 `json:"questions"`
	FailedPulls int64 `json:"failed_questions"`
	// TurnedAway counts pulls of peers that got nothing, since too many others were receiving the whole state.
	TurnedAway int64 `json:"turned_away"`
	// Pages counts pages of configurations and registries received from peers, PageBytes their content.
	Pages     int64 `json:"pages"`
	PageBytes int64 `json:"page_bytes"`
}

// Counters returns the totals.
func (f *Follower) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.counters
}

// count updates the totals.
func (f *Follower) count(change func(*Counters)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	change(&f.counters)
}
