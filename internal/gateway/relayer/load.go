package relayer

import (
	"strconv"
	"strings"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
)

// reportedLoad returns the load that the upstream reports in its response, or nil if it reports none that can be read.
func (r *Relayer) reportedLoad(response *dialer.Response) *balancer.Load {
	text := response.Header.Get(r.options.Headers.Load)
	if text == "" {
		return nil
	}

	load, result := parseLoad(text)
	if result != loadRead {
		r.options.FailedAttempts.Add(result, 1)
	}

	return load
}

// recordLoad records the load that the upstream reports in a response other than a stream, whose load is recorded with its
// first event.
func (r *Relayer) recordLoad(a *attempt) {
	if isEventStream(a.request, a.response) {
		return
	}

	if load := r.reportedLoad(a.response); load != nil {
		r.options.Chooser.RecordLoad(a.id, *load)
	}
}

const (
	// maxReportedRequests is the largest number of requests or slots that a server can report, maxWorkTime the longest time that
	// work can take, in percent of the usual time. Larger figures are errors.
	maxReportedRequests = 1 << 16
	maxWorkTime         = 10_000
	// maxLoadFigures is the number of figures in the header.
	maxLoadFigures = 4
)

// The results of parseLoad are the names of the counters, except loadRead.
const (
	loadRead       = ""
	loadUnreadable = "load_unreadable"
	// loadFigureInvalid means that the requests could be read, but not the slots or how long work takes.
	loadFigureInvalid = "load_figure_invalid"
)

// parseLoad parses the load that an upstream reports, separated by commas: the requests that run and that wait there, its
// slots, and how long work takes in percent of the usual time. The last two may be missing. If one of them is invalid, or more
// figures follow, neither is used. The load is nil if the requests can't be read.
func parseLoad(text string) (load *balancer.Load, result string) {
	// One more than allowed is enough to tell that there are too many.
	figures := strings.SplitN(text, ",", maxLoadFigures+1)

	running, waiting := parseFigure(figures, 0), parseFigure(figures, 1)
	if running < 0 || waiting < 0 {
		return nil, loadUnreadable
	}

	load = &balancer.Load{Running: running, Waiting: waiting}

	switch len(figures) {
	case 2:
		return load, loadRead
	case 3, maxLoadFigures:
	default:
		return load, loadFigureInvalid
	}

	slots, workTime := parseFigure(figures, 2), 0.0
	if slots < 1 {
		return load, loadFigureInvalid
	}

	if len(figures) == maxLoadFigures {
		var err error

		workTime, err = strconv.ParseFloat(strings.TrimSpace(figures[3]), 64)
		if err != nil || !(workTime > 0 && workTime <= maxWorkTime) { // Also true for NaN.
			return load, loadFigureInvalid
		}
	}

	load.Slots, load.WorkTime = slots, workTime

	return load, loadRead
}

// parseFigure returns the figure with the given index, or -1 if it is no valid count.
func parseFigure(figures []string, i int) int {
	if i >= len(figures) {
		return -1
	}

	count, err := strconv.Atoi(strings.TrimSpace(figures[i]))
	if err != nil || count < 0 || count > maxReportedRequests {
		return -1
	}

	return count
}
