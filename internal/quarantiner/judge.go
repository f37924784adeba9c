package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// provenCrashes is the number of crashes after which a request is suspected.
	provenCrashes = 3
	// answeringCrashes is the same where the request was being answered in most of them.
	answeringCrashes = 4
	// mostCrashes is the same where another request ran in all of these crashes too: up to then the next crash may part them.
	mostCrashes = 5
	// settleTime is how long after the first report of a crash those of other nodes are waited for.
	settleTime = 250 * time.Millisecond
	// crashLife is how long a crash counts.
	crashLife = 10 * time.Minute
	// sameCrashTime is how far apart two reports of one crash may lie where the upstream's start isn't known.
	sameCrashTime = 3 * time.Second
	// mostMarks bounds the requests that are remembered over all crashes; the oldest crashes are dropped.
	mostMarks = 8192
)

// Instance is one start of an upstream.
type Instance struct {
	Upstream string `json:"upstream"`
	// Born tells two starts under one id apart; 0 if it isn't known.
	Born int64 `json:"born,omitempty"`
}

// isSame says whether two ends of connections, so far apart, are those of one start. Where one doesn't know when the
// upstream was started, the time tells: the same upstream may have crashed before.
func (i Instance) isSame(other Instance, apart time.Duration) bool {
	if i.Upstream != other.Upstream {
		return false
	}

	if i.Born != 0 && other.Born != 0 {
		return i.Born == other.Born
	}

	return apart.Abs() <= sameCrashTime
}

// crash is one upstream that ended with what it ran.
type crash struct {
	instance Instance
	// at is when it happened, heardAt when this node first heard of it.
	at, heardAt time.Time
	// keys are the requests that ran there; true for those that were being answered.
	keys map[Key]bool
	// solved says that a quarantined request ran there: the others are no culprits.
	solved bool
}

// suspect is a request that may be the cause of crashes.
type suspect struct {
	key     Key
	crashes int
	// answering is the number of them in which it was being answered.
	answering int
	// since is when the first of them happened.
	since time.Time
	// decided says that it is quarantined unless it was answered; the others may be parted from the culprit by the next crash.
	decided bool
}

// judge finds the requests that ran in one crash after the other. It is safe for concurrent use.
//
// Most requests that ran where an upstream crashed have nothing to do with it, and in a series of crashes some, such as
// long streams that go on elsewhere, meet several. So a suspect is decided only once no other request ran in all of its
// crashes, a crash with a known culprit counts against nobody else, and one that happened in the middle of an answer
// counts less: what crashes an upstream mostly does so when it begins to run.
type judge struct {
	mu sync.Mutex
	// crashes are in the order in which they were heard of.
	crashes []*crash
	marks   int
	// reportedAt is when the last new mark came.
	reportedAt time.Time
}

// report notes requests that ran on an upstream when it crashed.
func (j *judge) report(now, at time.Time, told crashReport, quarantined func(Key) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.expire(now)

	c := j.of(now, at, told.Instance)

	for _, key := range told.Waiting {
		j.mark(now, c, key, false)
	}

	for _, key := range told.Answering {
		j.mark(now, c, key, true)
	}

	for key := range c.keys {
		c.solved = c.solved || quarantined(key)
	}

	for j.marks > mostMarks && len(j.crashes) > 1 {
		j.dropOldest()
	}
}

// mark notes that a request ran in a crash; j.mu is held.
func (j *judge) mark(now time.Time, c *crash, key Key, answering bool) {
	known, ok := c.keys[key]
	if !ok {
		j.marks++
		j.reportedAt = now
	}

	c.keys[key] = answering && (!ok || known)
}

// of returns the crash of an instance; j.mu is held.
func (j *judge) of(now, at time.Time, instance Instance) *crash {
	i := slices.IndexFunc(j.crashes, func(c *crash) bool { return c.instance.isSame(instance, at.Sub(c.at)) })
	if i >= 0 {
		return j.crashes[i]
	}

	c := &crash{instance: instance, at: at, heardAt: now, keys: make(map[Key]bool)}
	j.crashes = append(j.crashes, c)

	return c
}

func (j *judge) expire(now time.Time) {
	for len(j.crashes) > 0 && now.Sub(j.crashes[0].heardAt) > crashLife {
		j.dropOldest()
	}
}

func (j *judge) dropOldest() {
	j.marks -= len(j.crashes[0].keys)
	j.crashes[0] = nil
	j.crashes = j.crashes[1:]
}

// settled says whether crashes have settled that were reported since the last look. A look goes through all marks, so it
// isn't taken without need.
func (j *judge) settled(now, lookedAt time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()

	at := j.reportedAt.Add(settleTime)

	return !j.reportedAt.IsZero() && !now.Before(at) && lookedAt.Before(at)
}

// suspects returns the requests that ran in enough crashes, the most suspicious first.
func (j *judge) suspects(now time.Time) []suspect {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.expire(now)

	// ran holds the open crashes of each request.
	ran := make(map[Key][]*crash)

	for _, c := range j.crashes {
		if c.solved || now.Sub(c.heardAt) < settleTime {
			continue
		}

		for key := range c.keys {
			ran[key] = append(ran[key], c)
		}
	}

	var found []suspect

	for key, crashes := range ran {
		if len(crashes) < provenCrashes {
			continue
		}

		first := slices.MinFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		answering := answeringIn(key, crashes)
		isProven := 2*answering <= len(crashes) || len(crashes) >= answeringCrashes
		found = append(found, suspect{
			key:       key,
			crashes:   len(crashes),
			answering: answering,
			since:     first.at,
			decided:   len(crashes) >= mostCrashes || isProven && !hasRival(key, crashes),
		})
	}

	slices.SortFunc(found, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.answering, b.answering), slices.Compare(a.key[:], b.key[:]))
	})

	return found
}

// answeringIn is the number of the crashes in which the request was being answered.
func answeringIn(key Key, crashes []*crash) int {
	count := 0

	for _, c := range crashes {
		if c.keys[key] {
			count++
		}
	}

	return count
}

// hasRival says whether another request ran in all of the crashes too.
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

// acquit drops what is held against a request.
func (j *judge) acquit(key Key) {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, c := range j.crashes {
		if _, ran := c.keys[key]; ran {
			delete(c.keys, key)
			j.marks--
		}
	}
}

// solve marks the crashes in which a quarantined request ran.
func (j *judge) solve(key Key) {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, c := range j.crashes {
		if _, ran := c.keys[key]; ran {
			c.solved = true
		}
	}
}

// size is the number of requests over all crashes.
func (j *judge) size() int {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.marks
}
