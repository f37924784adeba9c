package quarantiner

import (
	"sync"
	"time"
)

// mostAnswered bounds the answered requests that a node remembers, some 300 KB.
const mostAnswered = 8192

// witness remembers the requests that upstreams answered last: one that is answered crashes nothing. It is safe for
// concurrent use.
type witness struct {
	mu sync.Mutex
	// answered is a ring; next is the place of its oldest entry once it is full.
	answered []answered
	next     int
}

type answered struct {
	key Key
	at  time.Time
}

func (w *witness) note(now time.Time, key Key) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if len(w.answered) < mostAnswered {
		w.answered = append(w.answered, answered{key: key, at: now})

		return
	}

	w.answered[w.next] = answered{key: key, at: now}
	w.next = (w.next + 1) % mostAnswered
}

// saw says whether the request was answered after the given time.
func (w *witness) saw(key Key, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	for i := range w.answered {
		if w.answered[i].key == key && w.answered[i].at.After(since) {
			return true
		}
	}

	return false
}
