package balancer

import "time"

const (
	// leastObserved is the prompt work in chunks from which the time to the first event tells how fast an engine reads.
	leastObserved = 1.0
	// mostAhead is the part of its own prompt that may wait before a request whose time is taken for that of its prompt.
	mostAhead = 1.0
	// disturbing is the prompt work in chunks beside a stream that makes its pauses count as those of a reading engine.
	disturbing = 2.0
	// leastEvents is the number of events from which a stream's pace says something.
	leastEvents = 3
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
func (p *Pool) RecordGaps(id string, pauses EventGaps) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.requests[id]
	if !ok || !r.answering || pauses.Events < leastEvents || r.server.engine.CacheTokens == 0 {
		return
	}

	// What it had to wait for belongs to the time beside it: it may still have been read.
	beside := r.server.given - r.readBefore

	switch {
	case beside <= 0:
		p.model.ObserveStep(pauses.MeanMS / float64(max(p.engine.EventTokens, 1)))
	case beside >= disturbing*chunkTokens:
		p.model.ObservePrefillGap(pauses.LongestMS)
	}
}

// observeFirst learns from the time to a first event, or to the answer of a plain service.
func (p *Pool) observeFirst(r *sent, now time.Time) {
	if r.answering {
		return
	}

	took := milliseconds(now.Sub(r.at)) - networkTime

	if r.server.engine.CacheTokens == 0 {
		if len(r.server.running) <= r.server.Slots {
			p.model.ObservePlainCall(took)
		}

		return
	}

	// What still waits to be read is read beside this stream.
	r.readBefore = r.server.given - max(r.server.backlog-r.reading, 0)

	if r.reading < leastObserved*chunkTokens || r.ahead > mostAhead*r.reading {
		return
	}

	p.model.ObservePrefill(r.reading+r.ahead, max(took-p.eventTime(), 0))
}
