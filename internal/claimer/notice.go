package claimer

// NoticeEvent names what an operator should know at once.
type NoticeEvent string

const (
	// NoticeNearlyFull means that a shard's journal passed nearlyFull of what it may hold.
	NoticeNearlyFull NoticeEvent = "claims_nearly_full"
	// NoticeLayout means that the claims in the store are of another layout: none is taken.
	NoticeLayout NoticeEvent = "claims_layout_unknown"
)

const (
	// nearlyFull is the share of Options.ShardBytes at which a shard is reported, once
	// until it has fallen below muchLower.
	nearlyFull = 0.8
	muchLower  = 0.7
)

// Notice is one event with what belongs to it.
type Notice struct {
	Event NoticeEvent
	// Shard and Share belong to NoticeNearlyFull: the share of Options.ShardBytes in use.
	Shard int
	Share float64
	// Err belongs to NoticeLayout.
	Err error
}

func (c *Claimer) notify(n Notice) {
	if c.options.Notify != nil {
		c.options.Notify(n)
	}
}

// watchSize reports a journal that fills, while claims are still taken: a full one
// refuses all claims of its keys until old segments leave the window.
func (s *shard) watchSize() {
	share := s.share()

	s.mu.Lock()
	report := share >= nearlyFull && !s.reported
	s.reported = share >= nearlyFull || s.reported && share >= muchLower
	s.mu.Unlock()

	if report {
		s.claimer.notify(Notice{Event: NoticeNearlyFull, Shard: s.number, Share: share})
	}
}

// share returns the part of the journal that is in use, from 0 to 1.
func (s *shard) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return float64(s.journal.size) / float64(s.claimer.options.ShardBytes)
}
