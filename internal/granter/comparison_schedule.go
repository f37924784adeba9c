package granter

import "time"

// comparisonSchedule determines when a holder compares the grants of one pool with
// the attempts of each entry.
//
// An entry that is new, or that was reset because its state differs or may differ,
// is compared in the next two rounds: the difference that caused the reset may arise
// only after the first comparison, or while its answer is in transit. Each further
// match doubles the interval, from minInterval to maxInterval. In a fleet without
// faults nearly all comparisons match; maxInterval bounds how long a difference that
// nobody reported can go unnoticed. It is guarded by the lock of its pool.
type comparisonSchedule struct {
	minInterval, maxInterval time.Duration
	entries                  map[string]entrySchedule
}

// entrySchedule is the state of one entry whose last comparison matched.
type entrySchedule struct {
	interval time.Duration
	nextAt   time.Time
}

func newComparisonSchedule(minInterval, maxInterval time.Duration) *comparisonSchedule {
	return &comparisonSchedule{minInterval: minInterval, maxInterval: max(minInterval, maxInterval), entries: make(map[string]entrySchedule)}
}

// due reports whether the entry is compared in the round that starts at now. Rounds
// are minInterval apart, except for timer jitter; half an interval of tolerance absorbs it.
func (s *comparisonSchedule) due(now time.Time, entry string) bool {
	return !now.Add(s.minInterval / 2).Before(s.entries[entry].nextAt)
}

// recordMatch records a comparison without differences; now is the start of its round.
func (s *comparisonSchedule) recordMatch(now time.Time, entry string) {
	interval := min(s.maxInterval, max(s.minInterval, 2*s.entries[entry].interval))
	s.entries[entry] = entrySchedule{interval: interval, nextAt: now.Add(interval)}
}

// reset makes the entry due in the next two rounds.
func (s *comparisonSchedule) reset(entry string) {
	delete(s.entries, entry)
}

// resetAll makes all entries due in the next two rounds.
func (s *comparisonSchedule) resetAll() {
	clear(s.entries)
}

// retain removes all entries but these.
func (s *comparisonSchedule) retain(entries []string) {
	kept := make(map[string]entrySchedule, len(entries))

	for _, entry := range entries {
		if known, ok := s.entries[entry]; ok {
			kept[entry] = known
		}
	}

	s.entries = kept
}
