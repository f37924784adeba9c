package follower

// Counters are totals since the start, to tell from outside what keeping up to date costs and who pays for it.
type Counters struct {
	// StoreReads are reads of the store that were begun, each of one or two calls; FullReads are those of them that read all.
	StoreReads int64 `json:"store_reads"`
	FullReads  int64 `json:"whole_reads"`
	// FailedReads are those that the store didn't answer or turned away.
	FailedReads int64 `json:"failed_reads"`
	// Handovers are nodes that this one asked to read the store, which refused it.
	Handovers int64 `json:"hand_overs"`
	// AnnounceWrites are writes that listed nodes, whether they succeeded or not.
	AnnounceWrites int64 `json:"listings"`
	// Pulls are questions to peers; FailedPulls had no answer in time.
	Pulls       int64 `json:"questions"`
	FailedPulls int64 `json:"failed_questions"`
	// Pages are pieces of configurations and registries that came from peers, PageBytes what they hold.
	Pages     int64 `json:"pages"`
	PageBytes int64 `json:"page_bytes"`
}

// Counters returns the totals.
func (f *Follower) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.counters
}

// count changes the totals.
func (f *Follower) count(change func(*Counters)) {
	f.mu.Lock()
	defer f.mu.Unlock()

	change(&f.counters)
}
