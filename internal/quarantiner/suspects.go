package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPartCrashes is the number of crashes after which a prompt part is suspected. One more than for a request that waited,
	// since a part is shared: a wrong quarantine refuses the sound requests that name it.
	minPartCrashes = 4
	// minKnownPartCrashes is the same for a part that was answered before the first of the crashes, and how many of these must be
	// successive.
	minKnownPartCrashes = 5
	// minSuccessiveCrashes is how many of the crashes must each have a request with the part that was sent after the crash before.
	// Upstreams that end together, as in the loss of a failure domain, end under whatever part most requests name.
	minSuccessiveCrashes = 3
	// minCrashedAddresses is the number of addresses of the crashed upstreams. One that crashes by itself ends under whatever it
	// is sent, each time that it is back.
	minCrashedAddresses = 2
	// minCreditedCrashes is the number of unexplained crashes from which those count too that are explained by another part
	// which ran in them only together with this one.
	minCreditedCrashes = 2
	// maxSuspects bounds the suspects of one evaluation, and so the size of the query to all nodes.
	maxSuspects = 256
)

// suspect is a request, or a part of prompts, that may have caused crashes.
type suspect struct {
	key Key
	// part is the ID of the prompt part; empty if the suspect is a request.
	part string
	// position is the largest index of the part in the prompts.
	position int
	// service is that of the upstreams that crashed.
	service string
	crashes int
	// successive is the number of crashes with a request that was sent after the crash before.
	successive int
	// upstreams are those that crashed.
	upstreams []string
	// answering is the number of the crashes in which the request was being answered.
	answering int
	// firstCrashAt is the time of the first of the crashes.
	firstCrashAt time.Time
	// confirmed is true if the suspect is quarantined unless some node saw it answered. For the others, the next crash
	// may tell them apart from the cause.
	confirmed bool
}

// isPart reports whether the suspect is a part of prompts.
func (s *suspect) isPart() bool {
	return s.part != ""
}

// compare orders suspects, the most suspicious first. Of two parts that ran in the same crashes, the later one comes first, since
// fewer requests name it.
func (s suspect) compare(other suspect) int {
	return cmp.Or(
		cmp.Compare(other.crashes, s.crashes),
		cmp.Compare(s.answering, other.answering),
		cmp.Compare(other.position, s.position),
		slices.Compare(s.key[:], other.key[:]),
	)
}

// suspects returns the requests and prompt parts that ran in enough crashes, the most suspicious first.
func (d *detector) suspects(now time.Time) []suspect {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.expire(now)

	// ran holds the unexplained crashes of each request and part.
	ran := make(map[Key][]*crash)

	for _, c := range d.crashes {
		if c.isExplained() || now.Sub(c.firstReportedAt) < settleDelay {
			continue
		}

		for key := range c.traits() {
			ran[key] = append(ran[key], c)
		}
	}

	var found []suspect

	for key, crashes := range ran {
		_, isPart := crashes[0].parts[key]
		if isPart {
			crashes = d.withCredited(key, crashes)
		}

		// A part with fewer crashes than minPartCrashes is asked for too, as it may shield the request that is the cause.
		switch {
		case len(crashes) < minCrashes:
		case isPart:
			found = append(found, partSuspect(key, crashes))
		default:
			found = append(found, requestSuspect(key, crashes))
		}
	}

	slices.SortFunc(found, suspect.compare)

	return found[:min(len(found), maxSuspects)]
}

func newSuspect(key Key, crashes []*crash) suspect {
	s := suspect{key: key, crashes: len(crashes), firstCrashAt: crashes[0].at}

	for _, c := range crashes {
		s.upstreams = append(s.upstreams, c.instance.Upstream)
		s.service = c.service

		if c.at.Before(s.firstCrashAt) {
			s.firstCrashAt = c.at
		}
	}

	return s
}

func requestSuspect(key Key, crashes []*crash) suspect {
	s := newSuspect(key, crashes)

	for _, c := range crashes {
		if c.keys[key] {
			s.answering++
		}
	}

	isProven := 2*s.answering <= len(crashes) || len(crashes) >= minAnsweringCrashes
	s.confirmed = len(crashes) >= minAmbiguousCrashes || isProven && !hasRival(key, crashes)

	return s
}

func partSuspect(key Key, crashes []*crash) suspect {
	s := newSuspect(key, crashes)
	addresses := make(map[string]bool)

	for _, c := range crashes {
		run := c.parts[key]
		s.part, s.position = run.id, max(s.position, run.position)
		addresses[c.address] = true
	}

	s.successive = countSuccessive(key, crashes)
	isProven := len(crashes) >= minPartCrashes && s.successive >= minSuccessiveCrashes && len(addresses) >= minCrashedAddresses &&
		!isOfOneRequest(key, crashes)
	s.confirmed = isProven && (len(crashes) >= minAmbiguousCrashes || !hasRival(key, crashes))

	return s
}

// withCredited adds crashes that are explained by parts with which the part ran each time. Such a part was quarantined in its
// place if only it came with the other part at first.
func (d *detector) withCredited(key Key, crashes []*crash) []*crash {
	if len(crashes) < minCreditedCrashes {
		return crashes
	}

	for _, c := range d.crashes {
		if c.isExplained() && c.ran(key) && d.ranWithAll(key, c.explainedBy) {
			crashes = append(crashes, c)
		}
	}

	return crashes
}

// ranWithAll reports whether the part ran in all crashes that one of the others explains.
func (d *detector) ranWithAll(key Key, others []Key) bool {
	return !slices.ContainsFunc(d.crashes, func(c *crash) bool {
		isExplained := slices.ContainsFunc(others, func(other Key) bool { return slices.Contains(c.explainedBy, other) })

		return isExplained && !c.ran(key)
	})
}

// countSuccessive returns the length of a series of the crashes in which a request with the part was sent after the crash before.
func countSuccessive(key Key, crashes []*crash) int {
	ordered := slices.SortedFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })

	var (
		count int
		last  time.Time
	)

	for _, c := range ordered {
		if c.parts[key].sentAt.After(last) {
			count++
			last = c.at
		}
	}

	return count
}

// isOfOneRequest reports whether the same request named the part in all crashes, and none beside it. Then that request is the
// suspect.
func isOfOneRequest(key Key, crashes []*crash) bool {
	request := crashes[0].parts[key].request

	return request != Key{} && !slices.ContainsFunc(crashes, func(c *crash) bool { return c.parts[key].request != request })
}

// hasRival reports whether another request or part ran in all of the crashes too.
func hasRival(key Key, crashes []*crash) bool {
	for other := range crashes[0].traits() {
		if other != key && !slices.ContainsFunc(crashes, func(c *crash) bool { return !c.ranBeside(other, key) }) {
			return true
		}
	}

	return false
}
