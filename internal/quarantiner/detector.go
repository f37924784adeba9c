package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of crashes after which a request is suspected.
	minCrashes = 3
	// minAnsweringCrashes is the same if the request was being answered in most of the crashes.
	minAnsweringCrashes = 4
	// minAmbiguousCrashes is the number of crashes at which a request is quarantined even if another request ran in all
	// of them. Below it, the next crash may tell the two apart.
	minAmbiguousCrashes = 5
	// settleDelay is how long after the first report of a crash the reports of other nodes are awaited.
	settleDelay = 250 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = 10 * time.Minute
	// sameCrashWindow is the largest time between two reports of one crash if the upstream's start time is not known.
	sameCrashWindow = 3 * time.Second
	// maxDetectorEntries bounds the requests over all crashes; beyond it, the oldest crashes are dropped.
	maxDetectorEntries = 8192
)

// Instance is one run of an upstream, from its start to its end.
type Instance struct {
	Upstream string `json:"upstream"`
	// Born distinguishes two runs with the same id; 0 if it is not known.
	Born int64 `json:"born,omitempty"`
}

// isSameStart reports whether two broken connections, apart in time as given, belong to the same run of an upstream. If
// the start time of either is unknown, only the time between them can tell, since the same upstream may have crashed
// before.
func (i Instance) isSameStart(other Instance, apart time.Duration) bool {
	if i.Upstream != other.Upstream {
		return false
	}

	if i.Born != 0 && other.Born != 0 {
		return i.Born == other.Born
	}

	return apart.Abs() <= sameCrashWindow
}

// crash is one crash of an upstream, with the requests that were running on it.
type crash struct {
	instance Instance
	// at is when the crash happened, firstReportedAt when this node received the first report of it.
	at, firstReportedAt time.Time
	// keys are the requests that ran there; the value is true for those that were being answered.
	keys map[Key]bool
	// explained is true if a quarantined request ran there: the crash does not count against the others.
	explained bool
}

// suspect is a request that may have caused crashes.
type suspect struct {
	key     Key
	crashes int
	// answering is the number of the crashes in which the request was being answered.
	answering int
	// firstCrashAt is the time of the first of the crashes.
	firstCrashAt time.Time
	// confirmed is true if the request is quarantined unless some node saw it answered. For the others, the next crash
	// may tell them apart from the cause.
	confirmed bool
}

// detector finds the requests that ran in several crashes. It is safe for concurrent use.
//
// Most requests that run on a crashing upstream did not cause the crash, and in a series of crashes some of them, such
// as long streams that resume on another upstream, run in several. So a suspect is only confirmed once no other request
// ran in all of its crashes. A crash with a known cause does not count against other requests. A crash in the middle of
// an answer counts less, because a request that crashes an upstream mostly does so when it starts to run.
type detector struct {
	mu sync.Mutex
	// crashes are in the order in which they were first reported; entries is the number of requests over all of them.
	crashes []*crash
	entries int
	// lastAddedAt is when the last new entry was added.
	lastAddedAt time.Time
}

// addReport adds requests that ran on an upstream when it crashed.
func (d *detector) addReport(now, at time.Time, report crashReport, quarantined func(Key) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.expire(now)

	c := d.findOrAddCrash(now, at, report.Instance)

	for _, key := range report.Waiting {
		d.addRequest(now, c, key, false)
	}

	for _, key := range report.Answering {
		d.addRequest(now, c, key, true)
	}

	for key := range c.keys {
		c.explained = c.explained || quarantined(key)
	}

	for d.entries > maxDetectorEntries && len(d.crashes) > 1 {
		d.dropOldest()
	}
}

// addRequest records that a request ran in a crash; d.mu is held.
func (d *detector) addRequest(now time.Time, c *crash, key Key, answering bool) {
	known, ok := c.keys[key]
	if !ok {
		d.entries++
		d.lastAddedAt = now
	}

	c.keys[key] = answering && (!ok || known)
}

// findOrAddCrash returns the crash of an instance and adds it if it is unknown; d.mu is held.
func (d *detector) findOrAddCrash(now, at time.Time, instance Instance) *crash {
	i := slices.IndexFunc(d.crashes, func(c *crash) bool { return c.instance.isSameStart(instance, at.Sub(c.at)) })
	if i >= 0 {
		return d.crashes[i]
	}

	c := &crash{instance: instance, at: at, firstReportedAt: now, keys: make(map[Key]bool)}
	d.crashes = append(d.crashes, c)

	return c
}

func (d *detector) expire(now time.Time) {
	for len(d.crashes) > 0 && now.Sub(d.crashes[0].firstReportedAt) > crashTTL {
		d.dropOldest()
	}
}

func (d *detector) dropOldest() {
	d.entries -= len(d.crashes[0].keys)
	d.crashes[0] = nil
	d.crashes = d.crashes[1:]
}

// hasSettledSince reports whether reports that arrived since the last evaluation have settled. An evaluation visits all
// entries, so it is skipped when there is nothing new.
func (d *detector) hasSettledSince(now, evaluatedAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	at := d.lastAddedAt.Add(settleDelay)

	return !d.lastAddedAt.IsZero() && !now.Before(at) && evaluatedAt.Before(at)
}

// suspects returns the requests that ran in enough crashes, the most suspicious first.
func (d *detector) suspects(now time.Time) []suspect {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.expire(now)

	// ran holds the unexplained crashes of each request.
	ran := make(map[Key][]*crash)

	for _, c := range d.crashes {
		if c.explained || now.Sub(c.firstReportedAt) < settleDelay {
			continue
		}

		for key := range c.keys {
			ran[key] = append(ran[key], c)
		}
	}

	var found []suspect

	for key, crashes := range ran {
		if len(crashes) < minCrashes {
			continue
		}

		first := slices.MinFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		answering := countAnswering(key, crashes)
		isProven := 2*answering <= len(crashes) || len(crashes) >= minAnsweringCrashes
		found = append(found, suspect{
			key:          key,
			crashes:      len(crashes),
			answering:    answering,
			firstCrashAt: first.at,
			confirmed:    len(crashes) >= minAmbiguousCrashes || isProven && !hasRival(key, crashes),
		})
	}

	slices.SortFunc(found, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.answering, b.answering), slices.Compare(a.key[:], b.key[:]))
	})

	return found
}

// countAnswering returns the number of the crashes in which the request was being answered.
func countAnswering(key Key, crashes []*crash) int {
	count := 0

	for _, c := range crashes {
		if c.keys[key] {
			count++
		}
	}

	return count
}

// hasRival reports whether another request ran in all of the crashes too.
func hasRival(key Key, crashes []*crash) bool {
	for other := range crashes[0].keys {
		if other == key {
			continue
		}

		if !slices.ContainsFunc(crashes, func(c *crash) bool { _, ran := c.keys[other]; return !ran }) {
			return true
		}
	}

	return false
}

// clear removes a request from all crashes, after some node saw it answered.
func (d *detector) clear(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, c := range d.crashes {
		if _, ran := c.keys[key]; ran {
			delete(c.keys, key)
			d.entries--
		}
	}
}

// explain marks the crashes in which a quarantined request ran as explained.
func (d *detector) explain(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, c := range d.crashes {
		if _, ran := c.keys[key]; ran {
			c.explained = true
		}
	}
}

// size returns the number of requests over all crashes.
func (d *detector) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.entries
}
