package broker

import "time"

const (
	// lateTick is how much later than planned a periodic task must run to count: half of what nodes that ask wait for an answer.
	lateTick = chooseTimeout / 2
	// lateTime is how long a holder counts as late, for itself and for the nodes that it tells.
	lateTime = time.Second
)

// lateness tells whether a node runs late: it lacks processor time, so its answers come late too. One late run is no evidence, as
// any node may be frozen for a moment; two of three are.
type lateness struct {
	// ranAt is when the periodic task last ran; zero before its first run.
	ranAt time.Time
	// before tells which of the last two runs were late.
	before [2]bool
	until  time.Time
}

// recordRun records a run of a task that runs every interval. It returns true if the node becomes late by it.
func (l *lateness) recordRun(now time.Time, interval time.Duration) bool {
	late := !l.ranAt.IsZero() && now.Sub(l.ranAt) > interval+lateTick
	l.ranAt = now
	enough := late && (l.before[0] || l.before[1])
	l.before = [2]bool{l.before[1], late}

	if !enough {
		return false
	}

	began := !l.isLate(now)
	l.until = now.Add(lateTime)

	return began
}

func (l *lateness) isLate(now time.Time) bool {
	return now.Before(l.until)
}

// HolderCounters counts how this node got on with holders, as one itself and with others, since its start.
type HolderCounters struct {
	// Doubted counts the asks that a holder didn't answer in time, Prolonged the doubts that were longer than the first.
	Doubted   int64 `json:"doubted"`
	Prolonged int64 `json:"prolonged"`
	// Late counts the times when this node began to run late, HandedOver the asks that went to a standby because the holder
	// said that it runs late, and Alone the choices that this node made because no holder answered.
	Late       int64 `json:"late"`
	HandedOver int64 `json:"handed_over"`
	Alone      int64 `json:"alone"`
}

// HolderCounters returns the counters.
func (b *Broker) HolderCounters() HolderCounters {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.holderCounters
}

// recordTick records a run of the periodic task.
func (b *Broker) recordTick(now time.Time) {
	b.mu.Lock()

	began := b.lateness.recordRun(now, grantInterval)
	if began {
		b.holderCounters.Late++
	}
	b.mu.Unlock()

	if began {
		b.doubtLogger.Info().Bool("hands_over", b.options.SpreadHolders).Msg("node_runs_late")
	}
}

// saysLate reports whether this node asks others to ask the standby instead: it runs late, and the standby may decide as much as
// this node, which it may not for upstreams that name a limit or are brittle.
func (b *Broker) saysLate(now time.Time, result *chooseResult) bool {
	if !b.options.SpreadHolders || result.Choice.Limit != nil || result.Choice.LimitWaitMS > 0 || result.Choice.Brittle != nil {
		return false
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	return b.lateness.isLate(now)
}

// recordAnswer takes what the answer of a holder says about it: that it answers, and whether it runs late.
func (b *Broker) recordAnswer(now time.Time, holder string, late bool) {
	if !b.options.SpreadHolders || holder == b.options.Self {
		return
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	delete(b.doubts, holder)

	if late {
		b.lateUntil[holder] = now.Add(lateTime)
	}
}

// askOrder returns the indexes of the holders in the order in which they are asked: the standby goes first while the holder runs
// late and the standby doesn't.
func (b *Broker) askOrder(now time.Time, holders []string) []int {
	order := make([]int, len(holders))
	for i := range order {
		order[i] = i
	}

	if !b.options.SpreadHolders || len(holders) < 2 {
		return order
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	runsLate := func(holder string) bool {
		if holder == b.options.Self {
			return b.lateness.isLate(now)
		}

		return now.Before(b.lateUntil[holder]) || now.Before(b.backoffUntil[holder])
	}

	if runsLate(holders[0]) && !runsLate(holders[1]) {
		order[0], order[1] = 1, 0
		b.holderCounters.HandedOver++
	}

	return order
}

// doubtTime returns how long a holder isn't asked after it failed to answer. Where holders are spread, each failure after another
// doubles it: a starved holder would otherwise cost a request of each node chooseTimeout again and again, and be asked
// alternately with its standby. The caller holds b.mu.
func (b *Broker) doubtTime(node string) time.Duration {
	if !b.options.SpreadHolders {
		return holderBackoff
	}

	doubts := b.doubts[node]
	b.doubts[node] = min(doubts+1, maxDoubtDoublings)

	if doubts > 0 {
		b.holderCounters.Prolonged++
	}

	return holderBackoff << doubts
}

// shortenDoubts ends the longer doubts of the holders of a pool, since none of them answers. The caller holds b.mu.
func (b *Broker) shortenDoubts(now time.Time, holders []string) {
	latest := now.Add(holderBackoff)

	for _, holder := range holders {
		if !now.Before(b.backoffUntil[holder]) {
			return
		}
	}

	for _, holder := range holders {
		delete(b.doubts, holder)

		if b.backoffUntil[holder].After(latest) {
			b.backoffUntil[holder] = latest
		}
	}
}
