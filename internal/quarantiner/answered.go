package quarantiner

import (
	"sync"
	"time"
)

// maxAnswered bounds the answered requests that a node remembers, about 300 KB.
const maxAnswered = 8192

// answeredLog remembers the requests that upstreams answered most recently: a request that is answered does not crash
// its upstream. It is safe for concurrent use.
type answeredLog struct {
	mu sync.Mutex
	// answered is a ring buffer; once it is full, next is the index of its oldest entry.
	answered []answeredRequest
	next     int
}

type answeredRequest struct {
	key Key
	at  time.Time
}

func (l *answeredLog) add(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.answered) < maxAnswered {
		l.answered = append(l.answered, answeredRequest{key: key, at: now})

		return
	}

	l.answered[l.next] = answeredRequest{key: key, at: now}
	l.next = (l.next + 1) % maxAnswered
}

// contains reports whether the request was answered after the given time.
func (l *answeredLog) contains(key Key, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	for i := range l.answered {
		if l.answered[i].key == key && l.answered[i].at.After(since) {
			return true
		}
	}

	return false
}
