package relayer

import "time"

// survivalTime is how long after its first event an upstream must send another to show that the request doesn't crash it. A
// request that does so crashes it when it begins to answer.
const survivalTime = 2 * time.Second

// survivalTimer tells once when an upstream has survived a request.
type survivalTimer struct {
	// at is when it will have; zero before the first event, and once that was told.
	at time.Time
}

func (s *survivalTimer) start(now time.Time) {
	s.at = now.Add(survivalTime)
}

func (s *survivalTimer) expires(now time.Time) bool {
	if s.at.IsZero() || now.Before(s.at) {
		return false
	}

	s.at = time.Time{}

	return true
}
