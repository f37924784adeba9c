package prober

// replayWindow is how far a sequence number may be behind the highest one and still be accepted.
const replayWindow = 64

// replayFilter tracks which sequence numbers of one sender were received.
//
// A recorded datagram that is sent again still has a valid MAC and would bring
// back outdated updates. Each sequence number is accepted only once, so replays
// are dropped for as long as the sender's process runs.
type replayFilter struct {
	// incarnation is the highest incarnation in a packet of the sender so far.
	incarnation int64
	// highest is the highest sequence number accepted since the sender started.
	highest uint64
	// seen is a bit set of the last replayWindow numbers; bit 0 stands for highest.
	seen uint64
}

// accept records a sequence number and reports whether it is new.
func (g *replayFilter) accept(sequence uint64) bool {
	if sequence == 0 {
		return false
	}

	if sequence > g.highest {
		g.advance(sequence - g.highest)
		g.highest = sequence

		return true
	}

	behind := g.highest - sequence
	if behind >= replayWindow || g.seen&(1<<behind) != 0 {
		return false
	}

	g.seen |= 1 << behind

	return true
}

func (g *replayFilter) advance(by uint64) {
	if by >= replayWindow {
		g.seen = 1

		return
	}

	g.seen = g.seen<<by | 1
}
