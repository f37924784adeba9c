package balancer

import "time"

const (
	// minObservedChunks is the prompt work in chunks from which the time to the first event tells how fast an engine reads.
	minObservedChunks = 1.0
	// maxAheadRatio is the part of its own prompt that may wait before a request whose time is taken for that of its prompt.
	maxAheadRatio = 1.0
	// interferingChunks is the prompt work in chunks beside a stream that makes its pauses count as those of a reading engine.
	interferingChunks = 2.0
	// minEvents is the number of events from which a stream's pace says something.
	minEvents = 3
)

// EventGaps tell how the events of a whole stream came.
type EventGaps struct {
	// Events counts them.
	Events int `json:"n"`
	// MeanMS and Longest are pauses between two events in milliseconds.
	MeanMS    float64 `json:"m"`
	LongestMS float64 `json:"l"`
}

// RecordGaps records how the events of a request came. It is told before the request's end.
func (p *Pool) RecordGaps(id string, gaps EventGaps) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.requests[id]
	if !ok || !r.answering || gaps.Events < minEvents || r.server.engine.CacheTokens == 0 {
		return
	}

	// What it had to wait for belongs to the time beside it: it may still have been read.
	beside := r.server.sentTokens - r.prefilledAtFirst

	switch {
	case beside <= 0:
		p.model.ObserveStep(gaps.MeanMS / float64(max(p.engine.EventTokens, 1)))
	case beside >= interferingChunks*chunkTokens:
		p.model.ObservePrefillGap(gaps.LongestMS)
	}
}

// observeFirst learns from the time to a first event, or to the answer of a plain service.
func (p *Pool) observeFirst(r *runningRequest, now time.Time) {
	if r.answering {
		return
	}

	took := milliseconds(now.Sub(r.sentAt)) - networkMS

	if r.server.engine.CacheTokens == 0 {
		if len(r.server.running) <= r.server.Slots {
			p.model.ObservePlainCall(took)
		}

		return
	}

	// What still waits to be read is read beside this stream.
	r.prefilledAtFirst = r.server.sentTokens - max(r.server.backlog-r.prefillTokens, 0)

	if r.prefillTokens < minObservedChunks*chunkTokens || r.backlogAhead > maxAheadRatio*r.prefillTokens {
		return
	}

	p.model.ObservePrefill(r.prefillTokens+r.backlogAhead, max(took-p.eventGapMS(), 0))
}
