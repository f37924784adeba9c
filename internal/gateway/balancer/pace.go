package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// priorSeconds is the weight of the assumption that a server has the usual pace, in seconds of streams.
	priorSeconds = 1.0
	// maxPaceSeconds limits the weight of all observations of the lasting pace, in seconds of streams: older ones fade out
	// as newer ones come.
	maxPaceSeconds = 30.0
	// paceHalfLife is the half-life of that weight without observations. A lasting pace rarely changes.
	paceHalfLife = time.Minute
	// lastingInterval is how long a lasting pace holds without new observations: it only fades within minutes.
	lastingInterval = time.Second
	// maxFirstSeconds limits the weight of one first event. It says less than a stream: the cached part of its prompt and the
	// order at the server are estimates.
	maxFirstSeconds = 0.1
	// minPace and maxPace bound the lasting pace and the momentary slowness.
	minPace = 0.25
	maxPace = 12.0
	// slownessGain is the weight of one first event in the momentary slowness, slownessHalfLife the half-life of that
	// without new ones.
	slownessGain     = 0.15
	slownessHalfLife = 1500 * time.Millisecond
	// usualWorkTime is the report of a server on which work takes as long as usual.
	usualWorkTime = 100.0
	// meanReportGain is the weight of one report in their mean, which the lasting pace already contains.
	meanReportGain = 0.02
	// foreignSlack is the part of a request by which the decayed count of foreign requests is rounded down.
	foreignSlack = 0.5
	// reportValidity is the age from which a report says nothing, reportHalfLife the half-life of its difference from the mean.
	// With reports that are 200 ms late and vary by a quarter, 39 of 785 chats exceeded their gap limit with this half-life, 57
	// with the last report as it is, 71 without reports. With exact ones at once, both filters had 28 (load of
	// TestPromptsKeepAwayFromStreams, 8 seeds).
	reportValidity = 2 * time.Second
	reportHalfLife = 300 * time.Millisecond
	// peakHalfLife is the half-life of the largest recent backlog: about the length of a long stream.
	peakHalfLife = 1500 * time.Millisecond
	// saturatedFraction is the fraction of a stream's time from which prefill beside it counts as continuous. The rest is
	// the time of decode steps.
	saturatedFraction = 0.85
)

// streamGroup counts the running streams of one gap limit and priority.
type streamGroup struct {
	limit    time.Duration
	priority int
	count    int
}

// pace is the estimated pace of one server: the ratio of its times to those of the pool's usual server.
type pace struct {
	// logSum is the sum of the logarithms of the observed ratios, each weighted by the seconds that it covers; weight is the
	// sum of these seconds. Both are as of at.
	logSum, weight float64
	at             time.Time
	// slowness is the recent ratio of real times to those at the lasting pace, as of slownessAt.
	slowness   float64
	slownessAt time.Time
	// reported is how long work takes by the last report, in percent of the usual time, as of reportedAt; 0 before the first.
	// meanReported is the mean of the reports.
	reported, meanReported float64
	reportedAt             time.Time
	// slots is the number of slots that the server reported; 0 before.
	slots int
	// cachedAt is the time for which cachedLasting, cachedSlowness and cachedNow hold: a decision needs them many times.
	cachedAt                                 time.Time
	cachedLasting, cachedSlowness, cachedNow float64
	// lastingFrom is when cachedLasting was computed.
	lastingFrom time.Time
	// groups holds the running streams that have a gap limit.
	groups []streamGroup
	// peakBacklog is the largest recent prompt backlog, as of peakAt.
	peakBacklog float64
	peakAt      time.Time
}

// newPace returns the pace of a server that isn't known yet; nil if the pool keeps none.
func (p *Pool) newPace(now time.Time) *pace {
	if !p.options.ServerPace {
		return nil
	}

	return &pace{at: now, slowness: 1, slownessAt: now, peakAt: now}
}

// lastingPace returns the lasting pace; 1 if the pool keeps none.
func (s *server) lastingPace(now time.Time) float64 {
	if s.pace == nil {
		return 1
	}

	return s.pace.lasting(now)
}

// update computes the values at the given time.
func (v *pace) update(now time.Time) {
	if v.cachedAt.Equal(now) {
		return
	}

	v.cachedAt = now

	if now.Sub(v.lastingFrom) > lastingInterval {
		v.cachedLasting, v.lastingFrom = v.lastingAt(now), now
	}

	v.cachedSlowness = v.slownessAtTime(now)
	v.cachedNow = min(max(v.cachedLasting*v.cachedSlowness, minPace), maxPace)
}

// lasting returns the lasting pace.
func (v *pace) lasting(now time.Time) float64 {
	v.update(now)

	return v.cachedLasting
}

// slownessNow returns the momentary slowness, relative to the lasting pace.
func (v *pace) slownessNow(now time.Time) float64 {
	v.update(now)

	return v.cachedSlowness
}

// now returns the ratio of the server's times to the usual ones at the moment.
func (v *pace) now(now time.Time) float64 {
	v.update(now)

	return v.cachedNow
}

// forget drops the computed values after an observation.
func (v *pace) forget() {
	v.cachedAt = time.Time{}
}

// lastingAt computes the lasting pace.
func (v *pace) lastingAt(now time.Time) float64 {
	fade := decayed(1, now.Sub(v.at), paceHalfLife)

	return math.Exp(v.logSum * fade / (v.weight*fade + priorSeconds))
}

// observe takes a ratio of a real to a usual time that covers the given seconds.
func (v *pace) observe(now time.Time, ratio, seconds float64) {
	if !(ratio > 0) || !(seconds > 0) { // Also true for NaN.
		return
	}

	fade := decayed(1, now.Sub(v.at), paceHalfLife) * min(1, maxPaceSeconds/(v.weight+seconds))
	v.logSum = v.logSum*fade + seconds*math.Log(min(max(ratio, minPace), maxPace))
	v.weight = v.weight*fade + seconds
	v.at, v.lastingFrom = now, time.Time{}
	v.forget()
}

// workTime returns how long work takes at the server relative to its usual time, by its own reports; 0 if they are too old.
func (v *pace) workTime(now time.Time) float64 {
	age := now.Sub(v.reportedAt)
	if v.reported == 0 || age > reportValidity {
		return 0
	}

	return 1 + decayed(v.reported/v.meanReported-1, age, reportHalfLife)
}

// observeLoad takes the load that the server reported.
func (v *pace) observeLoad(now time.Time, load Load) {
	if load.Slots > 0 {
		v.slots = load.Slots
	}

	if load.WorkTime <= 0 {
		return
	}

	if v.reported == 0 {
		v.meanReported = usualWorkTime
	}

	v.reported, v.reportedAt = load.WorkTime, now
	v.meanReported += meanReportGain * (load.WorkTime - v.meanReported)
	v.forget()
}

// slownessAtTime computes the momentary slowness: what the server reports, or else what its first events say.
func (v *pace) slownessAtTime(now time.Time) float64 {
	if reported := v.workTime(now); reported > 0 {
		return reported
	}

	return 1 + decayed(v.slowness-1, now.Sub(v.slownessAt), slownessHalfLife)
}

// observeFirst takes the ratio of the real to the usual time to a first event.
func (v *pace) observeFirst(now time.Time, r *runningRequest, ratio float64) {
	relative := min(max(ratio/v.lasting(now), minPace), maxPace)
	v.slowness = math.Exp((1-slownessGain)*math.Log(v.slownessNow(now)) + slownessGain*math.Log(relative))
	v.slownessAt = now
	v.forget()

	// Urgent prompts pass those ahead of them, so that their time says little about the server.
	if r.backlogAhead <= maxAheadRatio*r.prefillTokens {
		v.observe(now, ratio, min(now.Sub(r.sentAt).Seconds(), maxFirstSeconds))
	}
}

// peakNow returns the largest recent backlog.
func (v *pace) peakNow(now time.Time, s *server) float64 {
	return max(s.backlog, decayed(v.peakBacklog, now.Sub(v.peakAt), peakHalfLife))
}

// addStream counts a request that was sent to the server, whose backlog includes it.
func (v *pace) addStream(added *runningRequest, s *server, now time.Time) {
	v.peakBacklog, v.peakAt = v.peakNow(now, s), now

	for _, r := range s.running {
		if r.answering {
			r.peakBacklog = max(r.peakBacklog, s.backlog)
		}
	}

	v.forget()

	if added.request.GapLimit == 0 || s.engine.EventTokens == 0 {
		return
	}

	if group := v.group(&added.request); group != nil {
		group.count++
	} else {
		v.groups = append(v.groups, streamGroup{limit: added.request.GapLimit, priority: added.request.Priority, count: 1})
	}
}

func (v *pace) removeStream(r *runningRequest) {
	v.forget()

	if group := v.group(&r.request); group != nil {
		group.count--
		v.groups = slices.DeleteFunc(v.groups, func(g streamGroup) bool { return g.count == 0 })
	}
}

// group returns the streams that have the limit and priority of the request; nil if there is none.
func (v *pace) group(request *Request) *streamGroup {
	for i := range v.groups {
		if g := &v.groups[i]; g.limit == request.GapLimit && g.priority == request.Priority {
			return g
		}
	}

	return nil
}

// observePace takes the gaps of a complete stream, during which the given number of prompt tokens was read.
func (p *Pool) observePace(r *runningRequest, gaps EventGaps, prefilledDuring float64) {
	s, idleMS := r.server, p.eventGapMS()
	gapCount := float64(gaps.Events - 1)
	explained := p.model.Gaps().ExplainedMS(idleMS, s.prefillMS(max(prefilledDuring, 0))/gapCount)
	// The gaps are reported when the stream has ended.
	now := r.firstAt.Add(time.Duration(gaps.MeanMS * gapCount * float64(time.Millisecond)))
	s.pace.observe(now, gaps.MeanMS/explained, gaps.MeanMS*gapCount/1000)

	if r.request.GapLimit == 0 {
		return
	}

	lasting := s.pace.lasting(now)
	if lasting*s.prefillMS(prefilledDuring) >= saturatedFraction*gaps.MeanMS*gapCount {
		p.model.Gaps().ObserveSaturated(gaps.MeanMS / lasting)

		return
	}

	explained = p.model.Gaps().ExplainedMS(idleMS, s.prefillMS(r.peakBacklog))
	p.model.Gaps().Observe(r.request.GapLimit, gaps.LongestMS/lasting, explained)
}

// gapMissProbability returns the probability that a stream with the given limit has too long a gap at the server while the
// backlog there is as large as given.
func (p *Pool) gapMissProbability(now time.Time, s *server, limit time.Duration, backlog float64) float64 {
	spread := p.model.Gaps().Spread(limit)
	explained := p.model.Gaps().ExplainedMS(p.eventGapMS(), s.prefillMS(backlog))
	// The spread includes the usual slow phases. A server that is slower than that now has longer gaps at once.
	slowness := max(1, s.pace.slownessNow(now)/spread.Median())

	return spread.MissProbability(milliseconds(limit), s.pace.lasting(now)*slowness*explained)
}

// gapLoss returns the loss from prefill that delays streams, and the cost of the prefill work itself.
func (p *Pool) gapLoss(now time.Time, s *server, request *Request) float64 {
	prefillTokens := s.prefillTokens(request)
	// The cost of the work counts in tokens, whatever the pace: counted in time, prompts waited for fast servers with a full
	// backlog while slow ones were idle.
	loss := chunkLoss*prefillTokens/chunkTokens + p.streamLoss(now, s, prefillTokens)

	if request.GapLimit == 0 || p.engine.EventTokens == 0 {
		return loss
	}

	loss += priorityWeight(request.Priority) * p.gapMissProbability(now, s, request.GapLimit, s.pace.peakNow(now, s))

	if s.pace.group(request) == nil {
		spread, saturated := p.model.Gaps().Spread(request.GapLimit), p.model.Gaps().ExplainedMS(0, math.Inf(1))
		loss += firstStreamLoss * spread.MissProbability(milliseconds(request.GapLimit), saturated)
	}

	return loss
}

// streamLoss returns the expected loss of the running streams if the backlog grows by the given tokens. A stream that exceeds
// its gap limit loses what it is worth: counted three times, prompts found no engine under overload.
func (p *Pool) streamLoss(now time.Time, s *server, tokens float64) float64 {
	loss := 0.0

	for _, g := range s.pace.groups {
		after := p.gapMissProbability(now, s, g.limit, s.backlog+tokens)
		if after > 0 {
			loss += float64(g.count) * priorityWeight(g.priority) * (after - p.gapMissProbability(now, s, g.limit, s.backlog))
		}
	}

	return loss
}

// plainRequests returns the number of requests at a server of a plain service, with those of nodes that chose it by
// themselves if the pool knows of them.
func (p *Pool) plainRequests(now time.Time, s *server) int {
	if s.pace == nil {
		return len(s.running)
	}

	return len(s.running) + int(math.Ceil(s.foreignNow(now)-foreignSlack))
}
