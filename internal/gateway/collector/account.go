package collector

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

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
	// Withheld is true if the window may have been reported before the store lost the account, and nobody remembered its counts. It then
	// counts as reported and isn't sent.
	Withheld bool `json:"withheld,omitempty"`
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
	// AccountVersion is the version of the account; its number of writes is 0 if a node of an earlier release wrote it.
	tallier.AccountVersion

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
	// LostWindows is the first window that can't have been reported before the store last returned from a copy. An earlier one that
	// isn't closed is reported only as somebody remembers it.
	LostWindows int64 `json:"lost_before,omitempty"`
	// WithheldWindows counts the windows that are withheld.
	WithheldWindows int64 `json:"withheld,omitempty"`
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

// decodeAccount decodes a stored account.
func decodeAccount(value []byte) (account, error) {
	decoded := newAccount()
	if err := json.Unmarshal(value, &decoded); err != nil {
		return decoded, errors.Wrap(err, "decode the usage account")
	}

	for i := range decoded.Reports {
		// A report without counts must be the same for the node that closed the window and for one that read it.
		if r := &decoded.Reports[i]; !r.Reported && r.Counts == nil {
			r.Counts = make(map[string]int64)
		}
	}

	return decoded, nil
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

// closeNextWindow closes the first open window with the counts that were collected.
func (a *account) closeNextWindow(closedBy string) {
	counts := a.OpenWindows[a.NextWindow]
	if counts == nil {
		counts = make(map[string]int64)
	}

	a.addReport(Report{Window: a.NextWindow, Counts: counts, ClosedBy: closedBy})
}

// withholdNextWindow closes the first open window without a report.
func (a *account) withholdNextWindow(closedBy string) {
	a.WithheldWindows++
	a.addReport(Report{Window: a.NextWindow, ClosedBy: closedBy, Reported: true, Withheld: true})
}

// addReport closes the first open window with the given report.
func (a *account) addReport(report Report) {
	if report.Reported {
		report.Counts = nil
	}

	a.Reports = append(a.Reports, report)
	delete(a.OpenWindows, a.NextWindow)
	a.NextWindow++

	for len(a.Reports) > maxReports {
		if !a.Reports[0].Reported {
			a.MissedWindows++
		}

		a.Reports = a.Reports[1:]
	}
}

// reopenLost takes note that windows before the given one may have been reported otherwise than the account says. It reopens the first
// such window that isn't reported, and all later ones, and returns the reports of those that are.
func (a *account) reopenLost(before int64) []Report {
	a.LostWindows = max(a.LostWindows, before)

	first := slices.IndexFunc(a.Reports, func(r Report) bool { return !r.Reported && r.Window < a.LostWindows })
	if first < 0 {
		return nil
	}

	var reported []Report

	for _, report := range a.Reports[first:] {
		if report.Reported {
			reported = append(reported, report)
		} else {
			a.OpenWindows[report.Window] = maps.Clone(report.Counts)
		}
	}

	a.NextWindow = a.Reports[first].Window
	a.Reports = slices.Clone(a.Reports[:first])

	return reported
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
