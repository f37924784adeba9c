package distributor

import "sync/atomic"

type counters struct {
	storeCalls, storeFailures, silentWatches atomic.Int64
	pulls, pullFailures, announcements       atomic.Int64
	applied, ignored, rejected               atomic.Int64
	watching                                 atomic.Int64
}

// Counters returns the counts since the start, by the names under which they are published.
func (d *Distributor) Counters() map[string]int64 {
	c := &d.counters

	return map[string]int64{
		"tree_store_calls":    c.storeCalls.Load(),
		"tree_store_failures": c.storeFailures.Load(),
		"tree_silent_watches": c.silentWatches.Load(),
		"tree_pulls":          c.pulls.Load(),
		"tree_pull_failures":  c.pullFailures.Load(),
		"tree_announcements":  c.announcements.Load(),
		"tree_applied":        c.applied.Load(),
		"tree_ignored_older":  c.ignored.Load(),
		"tree_rejected":       c.rejected.Load(),
		"tree_watching":       c.watching.Load(),
	}
}
