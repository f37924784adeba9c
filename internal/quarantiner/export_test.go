package quarantiner

// CoordinatorsOf returns the nodes that a node reports crashes to, the one that decides first.
func CoordinatorsOf(q *Quarantiner) []string {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.coordinators
}
