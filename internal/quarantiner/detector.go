package quarantiner

import (
	"cmp"
	"iter"
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
	// maxDetectorParts bounds the prompt parts over all crashes likewise. An upstream with 30 slots whose requests all name
	// maxParts parts of their own brings 1,920 in a crash, so that the latest eight of such crashes are kept.
	maxDetectorParts = 16384
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
	address, service    string
	// keys are the requests that ran there; the value is true for those that were being answered.
	keys map[Key]bool
	// parts are the prompt parts that these requests named.
	parts map[Key]*partRun
	// explainedBy are the quarantined requests and parts that ran there. If there is one, the crash does not count against
	// the others.
	explainedBy []Key
}

// partRun is a prompt part that requests named which ran in a crash.
type partRun struct {
	id string
	// position is the largest index of the part in the prompts.
	position int
	// sentAt is when the latest of the requests was sent.
	sentAt time.Time
	// request is the only request that named the part; the zero Key if there were several.
	request Key
}

// add adds another request that named the part, or several as a node reports them.
func (p *partRun) add(other partRun) {
	p.position = max(p.position, other.position)

	if other.sentAt.After(p.sentAt) {
		p.sentAt = other.sentAt
	}

	if p.request != other.request {
		p.request = Key{}
	}
}

// isExplained reports whether a quarantined request or part ran in the crash.
func (c *crash) isExplained() bool {
	return len(c.explainedBy) > 0
}

// traits iterates over the requests and parts that ran in the crash.
func (c *crash) traits() iter.Seq[Key] {
	return func(yield func(Key) bool) {
		for key := range c.keys {
			if !yield(key) {
				return
			}
		}

		for key := range c.parts {
			if !yield(key) {
				return
			}
		}
	}
}

// ranBeside reports whether another request or part ran in the crash beside a suspect. If the suspect is a request, parts that only
// it named don't count.
func (c *crash) ranBeside(other, suspect Key) bool {
	if run, ok := c.parts[other]; ok {
		return run.request != suspect
	}

	return c.ran(other)
}

// ran reports whether a request, or one that names the part, ran in the crash.
func (c *crash) ran(key Key) bool {
	_, isRequest := c.keys[key]
	_, isPart := c.parts[key]

	return isRequest || isPart
}

// explain records that a quarantined request or part ran in the crash, if it did.
func (c *crash) explain(key Key) {
	if c.ran(key) && !slices.Contains(c.explainedBy, key) {
		c.explainedBy = append(c.explainedBy, key)
	}
}

// detector finds the requests, and the parts of their prompts, that ran in several crashes. It is safe for concurrent use.
//
// Most requests that run on a crashing upstream did not cause the crash, and in a series of crashes some of them, such
// as long streams that resume on another upstream, run in several. So a suspect is only confirmed once no other request
// ran in all of its crashes. A crash with a known cause does not count against other requests. A crash in the middle of
// an answer counts less, because a request that crashes an upstream mostly does so when it starts to run.
type detector struct {
	mu sync.Mutex
	// crashes are in the order in which they were first reported; entries is the number of requests over all of them, and
	// partEntries that of prompt parts.
	crashes     []*crash
	entries     int
	partEntries int
	// lastAddedAt is when the last new entry was added.
	lastAddedAt time.Time
}

// addReport adds requests that ran on an upstream when it crashed.
func (d *detector) addReport(now, at time.Time, report crashReport, quarantined func(Key) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.expire(now)

	c := d.findOrAddCrash(now, at, report.Instance)
	c.address, c.service = cmp.Or(c.address, report.Address), cmp.Or(c.service, report.Service)

	for _, key := range report.Waiting {
		d.addRequest(now, c, key, false)
	}

	for _, key := range report.Answering {
		d.addRequest(now, c, key, true)
	}

	for _, part := range report.Parts {
		d.addPart(now, c, part)
	}

	for key := range c.traits() {
		if quarantined(key) {
			c.explain(key)
		}
	}

	for (d.entries > maxDetectorEntries || d.partEntries > maxDetectorParts) && len(d.crashes) > 1 {
		d.dropOldest()
	}
}

// addPart records that requests which name a prompt part ran in a crash; d.mu is held.
func (d *detector) addPart(now time.Time, c *crash, reported reportedPart) {
	run := partRun{
		id: reported.ID, position: reported.Position, request: reported.Request,
		sentAt: now.Add(-time.Duration(reported.SentAgeMS) * time.Millisecond),
	}

	if known, ok := c.parts[reported.Key]; ok {
		known.add(run)

		return
	}

	d.partEntries++
	d.lastAddedAt = now
	c.parts[reported.Key] = &run
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

	c := &crash{instance: instance, at: at, firstReportedAt: now, keys: make(map[Key]bool), parts: make(map[Key]*partRun)}
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
	d.partEntries -= len(d.crashes[0].parts)
	d.crashes[0] = nil
	d.crashes = d.crashes[1:]
}

// hasSettledSince reports whether reports that arrived since the last evaluation have settled. An evaluation visits all
// entries, so it is skipped when there is nothing new.
func (d *detector) hasSettledSince(now, evaluatedAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	// Each crash settles by itself: in a series of crashes there is always one that has not.
	hasSettled := func(reportedAt time.Time) bool {
		at := reportedAt.Add(settleDelay)

		return !now.Before(at) && evaluatedAt.Before(at)
	}

	return !d.lastAddedAt.IsZero() && hasSettled(d.lastAddedAt) ||
		slices.ContainsFunc(d.crashes, func(c *crash) bool { return hasSettled(c.firstReportedAt) })
}

// clear removes a request or part from all crashes, after some node saw it answered.
func (d *detector) clear(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, c := range d.crashes {
		if _, ran := c.keys[key]; ran {
			delete(c.keys, key)
			d.entries--
		}

		if _, ran := c.parts[key]; ran {
			delete(c.parts, key)
			d.partEntries--
		}
	}
}

// explain marks the crashes in which a quarantined request or part ran as explained.
func (d *detector) explain(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, c := range d.crashes {
		c.explain(key)
	}
}

// unexplain makes the crashes in which a released request or part ran count against the others that ran there.
func (d *detector) unexplain(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, c := range d.crashes {
		c.explainedBy = slices.DeleteFunc(c.explainedBy, func(k Key) bool { return k == key })
	}
}

// size returns the numbers of requests and of prompt parts over all crashes.
func (d *detector) size() (requests, parts int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.entries, d.partEntries
}
