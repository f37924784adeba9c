package collector

import (
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/tallier"
)

// life is what the account knows of one run of a node's process.
type life struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// Sequence is that of the last batch which was added.
	Sequence int64 `json:"sequence"`
}

// Report is the usage of one window as it is reported. Its counts never change.
type Report struct {
	Window int64 `json:"window"`
	// Counts are the requests that began to run, by organisation; nil once it is sent.
	Counts map[string]int64 `json:"counts,omitempty"`
	// Reported says that the platform accepted it.
	Reported bool `json:"sent,omitempty"`
}

// account is what was collected and reported. It is kept in the store as a whole, and written only in the place of the
// account that was read, so that each batch is added once and each window closed once.
type account struct {
	// Next is the first window that isn't closed; 0 before any window is.
	Next int64 `json:"next"`
	// Open holds the counts of the windows from Next on.
	Open tallier.Counts `json:"open"`
	// Lives are the runs of nodes whose batches were added, by their names.
	Lives map[string]life `json:"lives"`
	// Reports are the last closed windows, oldest first.
	Reports []Report `json:"reports"`
	// Missed counts the windows that were never accepted by the platform in time to be kept; Late the requests that came
	// to be known after their window was closed.
	Missed int64 `json:"missed"`
	Late   int64 `json:"late"`
}

func newAccount() account {
	return account{Open: make(tallier.Counts), Lives: make(map[string]life)}
}

// clone returns a copy that shares nothing that changes.
func (a *account) clone() account {
	copied := *a
	copied.Open = make(tallier.Counts, len(a.Open))

	for window, counts := range a.Open {
		copied.Open[window] = maps.Clone(counts)
	}

	copied.Lives = maps.Clone(a.Lives)
	copied.Reports = slices.Clone(a.Reports)

	return copied
}

// add adds the batches of a node that weren't added before.
func (a *account) add(node string, answer tallier.CollectResult) {
	known := a.Lives[answer.Incarnation]
	known.Node = node

	for _, batch := range answer.Batches {
		if batch.Sequence <= known.Sequence {
			continue
		}

		known.Sequence = batch.Sequence

		for window, counts := range batch.Counts {
			for organisation, requests := range counts {
				if window < a.Next {
					a.Late += requests

					continue
				}

				a.Open.Add(window, organisation, requests)
			}
		}
	}

	a.Lives[answer.Incarnation] = known
}

// close closes the next window.
func (a *account) close() {
	counts := a.Open[a.Next]
	if counts == nil {
		counts = make(map[string]int64)
	}

	a.Reports = append(a.Reports, Report{Window: a.Next, Counts: counts})
	delete(a.Open, a.Next)
	a.Next++

	for len(a.Reports) > mostReports {
		if !a.Reports[0].Reported {
			a.Missed++
		}

		a.Reports = a.Reports[1:]
	}
}

// markSent notes that the platform accepted a window's report.
func (a *account) markSent(window int64) {
	for i := range a.Reports {
		if a.Reports[i].Window == window {
			a.Reports[i].Reported, a.Reports[i].Counts = true, nil
		}
	}
}

// due returns the reports that the platform hasn't accepted, oldest first.
func (a *account) due() []Report {
	var due []Report

	for _, report := range a.Reports {
		if !report.Reported {
			due = append(due, report)
		}
	}

	return due
}

// clock is a node's time of day as it was read.
type clock struct {
	// offset is the node's time of day since 1970 less the collector's time by its own clock that nobody sets.
	offset time.Duration
	// readAt is when, by the collector's clock.
	readAt time.Duration
}

// median returns the middle one of the clocks' offsets.
func median(clocks map[string]clock) time.Duration {
	offsets := make([]time.Duration, 0, len(clocks))
	for _, c := range clocks {
		offsets = append(offsets, c.offset)
	}

	slices.Sort(offsets)

	return offsets[len(offsets)/2]
}
