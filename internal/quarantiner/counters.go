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
}

// Counters returns the totals.
func (q *Quarantiner) Counters() Counters {
	q.mu.Lock()
	defer q.mu.Unlock()

	counters := q.counters
	counters.InQuarantine, counters.TrackedRequests, counters.DetectorEntries = q.table.size(), q.requestCount(), q.detector.size()

	return counters
}

func (q *Quarantiner) count(change func(*Counters)) {
	q.mu.Lock()
	defer q.mu.Unlock()

	change(&q.counters)
}
