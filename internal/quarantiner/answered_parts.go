package quarantiner

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxAnsweredParts bounds the answered prompt parts that a node remembers, about 2 MB. Those that were answered again stay
	// longer, so that requests with many parts of their own don't displace the shared ones.
	maxAnsweredParts = 8192
	// maxAnsweringServices bounds the services of which a node remembers when they answered.
	maxAnsweringServices = 1024
)

// answeredParts remembers when requests with a prompt part were last answered, and when services last answered any request. It is
// safe for concurrent use.
type answeredParts struct {
	parts    *lru.TwoQueueCache[Key, time.Time]
	services *lru.Cache[string, time.Time]
}

func newAnsweredParts() *answeredParts {
	// The only error is a size that isn't positive.
	parts, _ := lru.New2Q[Key, time.Time](maxAnsweredParts)
	services, _ := lru.New[string, time.Time](maxAnsweringServices)

	return &answeredParts{parts: parts, services: services}
}

// add records that a service answered a request with these parts.
func (a *answeredParts) add(now time.Time, service string, parts []Part) {
	a.services.Add(service, now)

	for _, part := range parts {
		a.parts.Add(part.Key, now)
	}
}

// containsSince reports whether a request with the part was answered after the given time.
func (a *answeredParts) containsSince(key Key, since time.Time) bool {
	at, ok := a.parts.Peek(key)

	return ok && at.After(since)
}

// serves reports whether the service answered a request after the given time.
func (a *answeredParts) serves(service string, since time.Time) bool {
	at, ok := a.services.Peek(service)

	return ok && at.After(since)
}

func (a *answeredParts) size() int {
	return a.parts.Len()
}
