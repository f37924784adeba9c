package quarantiner

// Counters are totals since the node started, and current sizes.
type Counters struct {
	// Crashes are upstreams that crashed with requests of this node. Interruptions are upstreams that broke off requests
	// and still accepted connections.
	Crashes       int64 `json:"crashes"`
	Interruptions int64 `json:"broke_off"`
	// ClearedSuspects and QuarantinedSuspects are suspects that this node decided on as coordinator.
	ClearedSuspects     int64 `json:"acquitted"`
	QuarantinedSuspects int64 `json:"quarantined"`
	// Refused are requests that this node refused because they were in quarantine.
	Refused int64 `json:"refused"`
	// FailedStoreWrites are writes to the store that failed.
	FailedStoreWrites int64 `json:"records_failed"`
	// InQuarantine is the number of requests in quarantine.
	InQuarantine int `json:"held"`
	// TrackedRequests is the number of this node's own requests that broke off recently. DetectorEntries is the number of
	// pairs of a crash and a request that it keeps as coordinator.
	TrackedRequests int `json:"seen"`
	DetectorEntries int `json:"marks"`
	// TrackedParts and DetectorParts are the same for the prompt parts of the requests, AnsweredParts the number of those that it
	// remembers as answered.
	TrackedParts  int `json:"seen_parts"`
	DetectorParts int `json:"part_marks"`
	AnsweredParts int `json:"answered_parts"`
	// Trials are requests that ran to find out whether a prompt part still crashes upstreams, Released the quarantines that ended
	// because this node saw a request with the part answered.
	Trials   int64 `json:"trials"`
	Released int64 `json:"released"`
}

// Counters returns the totals.
func (q *Quarantiner) Counters() Counters {
	q.mu.Lock()
	defer q.mu.Unlock()

	counters := q.counters
	counters.InQuarantine, counters.AnsweredParts = q.table.size(), q.answeredParts.size()
	counters.TrackedRequests, counters.TrackedParts = q.tracked()
	counters.DetectorEntries, counters.DetectorParts = q.detector.size()

	return counters
}

func (q *Quarantiner) count(change func(*Counters)) {
	q.mu.Lock()
	defer q.mu.Unlock()

	change(&q.counters)
}
