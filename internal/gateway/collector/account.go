package collector

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/gateway/tallier"
)

// incarnation is what the account holds about one run of a node's process.
type incarnation struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// Sequence is the sequence number of the last batch that was added.
	Sequence int64 `json:"sequence"`
}

// Report is the usage of one window as reported to the platform. Its counts never change.
type Report struct {
	Window int64 `json:"window"`
	// Counts are the requests that started to run, by organisation; nil once the window is reported.
	Counts map[string]int64 `json:"counts,omitempty"`
	// Reported is true once the platform has accepted the report.
	Reported bool `json:"sent,omitempty"`
	// ClosedBy is the node that closed the window; empty if a node of an earlier release did.
	ClosedBy string `json:"closed_by,omitempty"`
}

// Fingerprint returns a hash of the counts, by which two reports of a window can be compared in logs.
func (r Report) Fingerprint() string {
	hash := xxhash.New()

	for _, organisation := range slices.Sorted(maps.Keys(r.Counts)) {
		// A hash never returns an error.
		_, _ = fmt.Fprintf(hash, "%q:%d ", organisation, r.Counts[organisation])
	}

	return strconv.FormatUint(hash.Sum64(), 16)
}

// Requests returns the number of requests in the report.
func (r Report) Requests() int64 {
	var requests int64
	for _, n := range r.Counts {
		requests += n
	}

	return requests
}

// account holds what was collected and reported. It is stored as a single value and replaced only by compare-and-swap, so
// that each batch is added once and each window is closed once.
type account struct {
	// NextWindow is the first window that isn't closed; 0 if the account has not started yet.
	NextWindow int64 `json:"next"`
	// OpenWindows holds the counts of the windows from NextWindow on.
	OpenWindows tallier.Counts `json:"open"`
	// Incarnations are the runs of nodes whose batches were added, by their identifiers.
	Incarnations map[string]incarnation `json:"lives"`
	// Reports are the reports of the last closed windows, oldest first.
	Reports []Report `json:"reports"`
	// MissedWindows counts the windows whose reports were dropped before the platform accepted them; LateRequests the
	// requests that were collected after their window was closed.
	MissedWindows int64 `json:"missed"`
	LateRequests  int64 `json:"late"`
}

func newAccount() account {
	return account{OpenWindows: make(tallier.Counts), Incarnations: make(map[string]incarnation)}
}

// clone returns a copy that shares no mutable state.
func (a *account) clone() account {
	copied := *a
	copied.OpenWindows = make(tallier.Counts, len(a.OpenWindows))

	for window, counts := range a.OpenWindows {
		copied.OpenWindows[window] = maps.Clone(counts)
	}

	copied.Incarnations = maps.Clone(a.Incarnations)
	copied.Reports = slices.Clone(a.Reports)

	return copied
}

// isAheadOf reports whether the account holds more than other, an earlier state of it or a later one.
func (a *account) isAheadOf(other *account) bool {
	if a.NextWindow != other.NextWindow {
		return a.NextWindow > other.NextWindow
	}

	for name, known := range a.Incarnations {
		if known.Sequence > other.Incarnations[name].Sequence {
			return true
		}
	}

	return false
}

// addBatches adds the batches of a node that weren't added before.
func (a *account) addBatches(node string, result tallier.CollectResult) {
	known := a.Incarnations[result.Incarnation]
	known.Node = node

	for _, batch := range result.Batches {
		if batch.Sequence <= known.Sequence {
			continue
		}

		known.Sequence = batch.Sequence

		for window, counts := range batch.Counts {
			for organisation, requests := range counts {
				if window < a.NextWindow {
					a.LateRequests += requests

					continue
				}

				a.OpenWindows.Add(window, organisation, requests)
			}
		}
	}

	a.Incarnations[result.Incarnation] = known
}

// closeNextWindow closes the first open window and adds its report.
func (a *account) closeNextWindow(closedBy string) {
	counts := a.OpenWindows[a.NextWindow]
	if counts == nil {
		counts = make(map[string]int64)
	}

	a.Reports = append(a.Reports, Report{Window: a.NextWindow, Counts: counts, ClosedBy: closedBy})
	delete(a.OpenWindows, a.NextWindow)
	a.NextWindow++

	for len(a.Reports) > maxReports {
		if !a.Reports[0].Reported {
			a.MissedWindows++
		}

		a.Reports = a.Reports[1:]
	}
}

// markReported records that the platform accepted a window's report.
func (a *account) markReported(window int64) {
	for i := range a.Reports {
		if a.Reports[i].Window == window {
			a.Reports[i].Reported, a.Reports[i].Counts = true, nil
		}
	}
}

// pendingReports returns the reports that the platform hasn't accepted, oldest first.
func (a *account) pending() []Report {
	var pending []Report

	for _, report := range a.Reports {
		if !report.Reported {
			pending = append(pending, report)
		}
	}

	return pending
}

// clockReading is a reading of a node's wall clock.
type clockReading struct {
	// offset is the node's Unix time minus the time of the collector's monotonic clock.
	offset time.Duration
	// readAt is the time of the reading by the collector's monotonic clock.
	readAt time.Duration
}

// medianOffset returns the median of the clocks' offsets.
func medianOffset(clocks map[string]clockReading) time.Duration {
	offsets := make([]time.Duration, 0, len(clocks))
	for _, c := range clocks {
		offsets = append(offsets, c.offset)
	}

	slices.Sort(offsets)

	return offsets[len(offsets)/2]
}
