package quarantiner

// Counters are totals since the start of the node, and what it holds now.
type Counters struct {
	// Crashes are upstreams that crashed with requests of this node, BrokeOff those that broke off requests and still
	// took connections.
	Crashes  int64 `json:"crashes"`
	BrokeOff int64 `json:"broke_off"`
	// Acquitted and Quarantined are suspects that this node judged.
	Acquitted   int64 `json:"acquitted"`
	Quarantined int64 `json:"quarantined"`
	// Refused are requests that were kept from running here.
	Refused int64 `json:"refused"`
	// RecordsFailed are writes to the store that failed.
	RecordsFailed int64 `json:"records_failed"`
	// Held is the number of requests in quarantine.
	Held int `json:"held"`
	// Seen are the requests of this node that broke off lately, Marks those that it counts crashes against as a judge.
	Seen  int `json:"seen"`
	Marks int `json:"marks"`
}

// Counters returns the totals.
func (q *Quarantiner) Counters() Counters {
	q.mu.Lock()
	defer q.mu.Unlock()

	counters := q.counters
	counters.Held, counters.Seen, counters.Marks = q.table.size(), q.runCount(), q.judge.size()

	return counters
}

func (q *Quarantiner) count(change func(*Counters)) {
	q.mu.Lock()
	defer q.mu.Unlock()

	change(&q.counters)
}
