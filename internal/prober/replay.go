package prober

// replayWindow is the number of datagrams by which one may be overtaken and still count.
const replayWindow = 64

// replayGuard remembers which datagrams of one sender were received.
//
// A recorded datagram that is sent again would carry a valid authentication;
// one would notice old news coming back. The number of each datagram is
// accepted once, so a replay within the sender's run is dropped.
type replayGuard struct {
	// run is the lowest incarnation of the sender's present run.
	run int64
	// highest is the highest sequence number accepted.
	highest uint64
	// seen has one bit for each of the last replayWindow numbers; bit 0 is highest.
	seen uint64
}

// accept says whether the sequence number is new, and records it.
func (g *replayGuard) accept(sequence uint64) bool {
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

func (g *replayGuard) advance(by uint64) {
	if by >= replayWindow {
		g.seen = 1

		return
	}

	g.seen = g.seen<<by | 1
}
