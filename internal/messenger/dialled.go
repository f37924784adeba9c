package messenger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// pingInterval is how often a connection in use asks for a sign of life.
	pingInterval = 500 * time.Millisecond
	// silenceLimit is how long a watched connection may bring no bytes.
	silenceLimit = 1500 * time.Millisecond
	// idleLimit is how long a connection may be unused before it is closed. Those to the peers
	// that hear of settings from this node are used every few seconds, and stay.
	idleLimit = 30 * time.Second
)

// state is what a tick finds of a connection.
type state int

const (
	stateUsed state = iota
	stateUnused
	stateSilent
	stateEnded
)

// dialled is one open connection of a link.
//
// A use begins and an unused connection ends under one lock, so that none is closed under a
// call: the call would fail although the peer lives, and nobody could tell whether it ran.
// The link's lock may be held when that of a connection is taken, never the other way round.
type dialled struct {
	rpc  *jsonrpc2.Conn
	conn *countedConn
	// paused returns for how long the process has stood still since its start.
	paused func() time.Duration
	// silent is set before the connection is closed for silence.
	silent atomic.Bool

	mu sync.Mutex
	// timer runs the link's tick.
	timer *time.Timer
	// uses is the number of calls in flight and of notifications being written.
	uses int
	// watched means that the silence counts and signs of life are asked for: from the
	// first use until a tick finds no use and that bytes came since the last one began.
	watched bool
	// heardAtUse is how many bytes had come when the last use began.
	heardAtUse int64
	// excused is the time that the process stood still since bytes last came, as far as known from ticks. heardAtTick and
	// pausedAtTick are how many bytes had come, and how long it had stood still, at the last tick or when the watch began.
	excused      time.Duration
	heardAtTick  int64
	pausedAtTick time.Duration
	// idleSince is the end of the last use.
	idleSince time.Time
	// ended means that the connection takes no use any more.
	ended bool
}

// begin begins a use, or returns false when the connection has ended.
func (d *dialled) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.ended || d.isBroken() {
		return false
	}

	d.uses++
	d.heardAtUse = d.conn.heard.Load()
	d.watch()

	return true
}

// watch begins to count the silence, unless it counts already. The caller holds d.mu.
//
// While the connection was not watched nobody asked for signs of life, so the silence counts
// from now on. It must not begin anew with each use: an ask for a slot ends by its own
// deadline after a tenth of silenceLimit, and one such ask after the other, or notifications, which
// wait for nothing, would keep a connection that lost its way for ever. One would notice it by a node that
// counts as silent for those that call it, though it is alive and a new connection would reach it.
func (d *dialled) watch() {
	if d.watched {
		return
	}

	d.watched = true
	d.conn.touch()
	d.excused, d.heardAtTick, d.pausedAtTick = 0, d.conn.heard.Load(), d.paused()
	d.timer.Reset(pingInterval)
}

// end ends a use. The next tick sees it.
func (d *dialled) end() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.uses--
	d.idleSince = time.Now()
}

// state tells what to do with the connection. It ends one that was unused for long.
func (d *dialled) state() state {
	d.mu.Lock()
	defer d.mu.Unlock()

	left := idleLimit - time.Since(d.idleSince)
	answered := d.conn.heard.Load() != d.heardAtUse
	d.excusePauses()

	switch {
	case d.isBroken() || (d.uses == 0 && left <= 0):
		d.ended = true

		return stateEnded
	case d.uses == 0 && answered:
		d.watched = false
		d.timer.Reset(left)

		return stateUnused
	case d.conn.idle()-d.excused > silenceLimit:
		return stateSilent
	default:
		return stateUsed
	}
}

// excusePauses adds up the time that the process stood still during the silence: what came meanwhile has not been read. The
// caller holds d.mu.
func (d *dialled) excusePauses() {
	heard, paused := d.conn.heard.Load(), d.paused()
	if heard != d.heardAtTick {
		d.excused = 0
	}

	d.excused += paused - d.pausedAtTick
	d.heardAtTick, d.pausedAtTick = heard, paused
}

// isBroken reports whether the connection was closed, at whatever end.
func (d *dialled) isBroken() bool {
	select {
	case <-d.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}
