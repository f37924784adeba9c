package balancer

import "time"

const (
	// minObservedChunks is the shortest prompt, in chunks, whose time to the first event is used to estimate the prefill rate.
	minObservedChunks = 1.0
	// maxAheadRatio is the largest backlog ahead of a request, relative to its own prompt, for which its time is used to estimate the prefill rate.
	maxAheadRatio = 1.0
	// interferingChunks is the prompt work in chunks during a stream from which its longest gap counts as a gap during prefill.
	interferingChunks = 2.0
	// minEvents is the number of events from which the gaps of a stream are used.
	minEvents = 3
)

// EventGaps describes the gaps between the events of a complete stream.
type EventGaps struct {
	// Events is the number of events.
	Events int `json:"n"`
	// MeanMS and LongestMS are the mean and the longest gap between two events.
	MeanMS    float64 `json:"m"`
	LongestMS float64 `json:"l"`
}

// RecordGaps records the gaps between the events of a request. It must be called before RecordEnd.
func (p *Pool) RecordGaps(id string, gaps EventGaps) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.requests[id]
	if !ok || !r.answering || gaps.Events < minEvents || r.server.engine.CacheTokens == 0 {
		return
	}

	r.generatedTokens = gaps.Events * p.engine.EventTokens

	// Prompts that were in the backlog at the first event count as read during the stream, as they may have been.
	prefilledDuring := r.server.sentTokens - r.prefilledAtFirst

	if r.server.pace != nil {
		p.observePace(r, gaps, prefilledDuring)
	}

	switch {
	case prefilledDuring <= 0:
		p.model.ObserveStep(gaps.MeanMS / float64(max(p.engine.EventTokens, 1)) / r.server.lastingPace(r.firstAt))
	case prefilledDuring >= interferingChunks*chunkTokens:
		p.model.ObservePrefillGap(gaps.LongestMS)
	}
}

// RecordLoad records the load that the server of a request reported in a response that isn't a stream. It must be called before
// RecordEnd.
func (p *Pool) RecordLoad(now time.Time, id string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if r, ok := p.requests[id]; ok && r.server.pace != nil {
		r.server.recordLoad(now, load)
	}
}

// observeFirst updates the estimates from the time to the first event, or to the response of a plain service.
func (p *Pool) observeFirst(r *runningRequest, now time.Time) {
	if r.answering {
		return
	}

	elapsedMS := milliseconds(now.Sub(r.sentAt)) - networkMS

	if r.server.engine.CacheTokens == 0 {
		if len(r.server.running) <= r.server.Slots {
			p.model.ObservePlainCall(elapsedMS)
		}

		return
	}

	// The remaining backlog is read while this stream runs.
	r.firstAt = now
	r.peakBacklog = max(r.server.backlog-r.prefillTokens, 0)
	r.prefilledAtFirst = r.server.sentTokens - r.peakBacklog

	if r.prefillTokens < minObservedChunks*chunkTokens || r.backlogAhead > maxAheadRatio*r.prefillTokens {
		return
	}

	p.model.ObservePrefill(r.prefillTokens+r.backlogAhead, max(elapsedMS/r.server.lastingPace(now)-p.eventGapMS(), 0))
}
