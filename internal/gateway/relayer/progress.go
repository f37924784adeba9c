package relayer

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/dialer"
)

// counts are what the attempts of a request have come to.
type counts struct {
	// sends counts attempts, runs the attempts that an upstream may have run. underWay counts those that got no response yet and
	// are not counted in runs.
	sends, runs, underWay int
	// possibleArrivals counts the attempts that may have reached an upstream. Each but the first is an extra attempt.
	possibleArrivals int
	// unanswered is true if one of those attempts got no response, so that it may arrive after later ones.
	unanswered bool
	// chooseCalls counts the requests for an upstream.
	chooseCalls int
	// silences counts the attempts that this node ended because their upstream sent nothing.
	silences int
	// brokeAt is when attempts broke off.
	brokeAt []time.Time
	// started is true once the response to the caller has begun, lastEventID the ID of the last event in it, or that with which the
	// caller resumes the stream; empty if there is none.
	started     bool
	lastEventID string
	// callerWait is for how long events waited until the caller had taken earlier ones. The upstream isn't read meanwhile.
	callerWait time.Duration
}

// progress guards the counts of a request: two attempts overlap while one is sent in place of a silent one.
type progress struct {
	mu     sync.Mutex
	counts counts
}

// read returns the current counts.
func (p *progress) read() counts {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.counts
}

// nextChoice returns the number of another request for an upstream.
func (p *progress) nextChoice() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.chooseCalls++

	return p.counts.chooseCalls
}

// beginSend counts an attempt that is sent now, and returns the counts.
func (p *progress) beginSend() counts {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.sends++
	p.counts.underWay++

	return p.counts
}

// settle reports the result of an attempt, which is still under way, to the retry budget.
func (p *progress) settle(permit *budgeter.Permit, err error) {
	if errors.Is(err, dialer.ErrNotSent) {
		permit.Cancel()

		return
	}

	p.mu.Lock()
	p.counts.possibleArrivals++
	p.counts.unanswered = p.counts.unanswered || err != nil
	arrived := !p.counts.unanswered && p.counts.underWay == 1
	p.mu.Unlock()

	permit.Complete(arrived)
}

// recordRun counts the run of an attempt that was under way, and returns the number of runs.
func (p *progress) recordRun() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.underWay--
	p.counts.runs++

	return p.counts.runs
}

// recordNotRun records that an attempt that was under way did not run.
func (p *progress) recordNotRun() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.underWay--
}

// recordBreak records when an attempt broke off.
func (p *progress) recordBreak(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.brokeAt = append(slices.Clone(p.counts.brokeAt), now)
}

// recordSilence counts an attempt that was ended because its upstream sent nothing.
func (p *progress) recordSilence() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.silences++
}

// recordStart records that the response to the caller has begun.
func (p *progress) recordStart() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.started = true
}

// recordEvent records an event that the caller gets, and for how long it waited until the caller had taken earlier ones.
func (p *progress) recordEvent(id string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.callerWait += wait

	if id != "" {
		p.counts.lastEventID = id
	}
}
