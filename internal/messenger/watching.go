package messenger

import (
	"context"
	"time"
)

// loss says in the log why a peer can't be reached any more.
type loss string

const (
	// lossSilent means that a watched connection brought nothing for silenceLimit.
	lossSilent loss = "silent"
	// lossBroken means that sending or receiving failed.
	lossBroken loss = "broken"
	// lossNotDialled means that no connection could be made.
	lossNotDialled loss = "not_dialled"
)

// tick closes a connection that is watched and brings nothing, and one that is long unused.
//
// Open connections can go silent for good while new ones work. Without the look at
// silence every call on such a connection would run into its own deadline, one
// after the other; with it the next call dials a new connection.
func (l *link) tick(connection *dialled) {
	switch connection.state() {
	case stateUnused:
	case stateEnded:
		l.drop(connection)
	case stateSilent:
		connection.silent.Store(true)
		l.lose(connection, lossSilent, nil)
	case stateUsed:
		l.ping(connection)
	}
}

// ping asks for a sign of life. It doesn't wait for the answer: the next tick looks at what came.
func (l *link) ping(connection *dialled) {
	if _, err := connection.rpc.DispatchCall(context.Background(), methodPing, struct{}{}); err != nil {
		l.lose(connection, lossBroken, err)

		return
	}

	connection.timer.Reset(pingInterval)
}

// drop closes a connection; the next message dials a new one.
func (l *link) drop(connection *dialled) {
	l.mu.Lock()
	if l.current == connection {
		l.current = nil
	}
	l.mu.Unlock()

	_ = connection.rpc.Close()
}

// lose closes a connection that doesn't work any more.
func (l *link) lose(connection *dialled, reason loss, cause error) {
	l.mu.Lock()
	if l.current == connection {
		l.noteLost(reason, cause)
	}
	l.mu.Unlock()

	l.drop(connection)
}

// noteLost logs that the peer can't be reached, once until it can. The caller holds l.mu.
func (l *link) noteLost(reason loss, cause error) {
	if !l.lostAt.IsZero() {
		return
	}

	l.lostAt = time.Now()
	l.messenger.options.Logger.Warn().Str("peer", l.peer).Str("reason", string(reason)).AnErr("cause", cause).Msg("peer_connection_lost")
}

// noteRegained logs the first connection after a loss. The caller holds l.mu.
func (l *link) noteRegained() {
	if l.lostAt.IsZero() {
		return
	}

	l.messenger.options.Logger.Info().Str("peer", l.peer).Dur("lost_ms", time.Since(l.lostAt)).Msg("peer_connection_regained")
	l.lostAt = time.Time{}
}
