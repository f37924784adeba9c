package acceptor

import (
	"net/http"
	"time"
)

// Close implements net.Conn.
func (c *connection) Close() error {
	if c.acceptor.isLeftToReaper(c) {
		return nil
	}

	return c.Conn.Close()
}

// isLeftToReaper reports whether a connection that the server closes stays open, as it may have been taken for idle.
func (a *Acceptor) isLeftToReaper(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	_, isTracked := a.connections[c]

	return a.isSweeping && isTracked
}

// Shutdown accepts the connections that wait and closes the listener, then each idle connection, once what its caller has sent was read.
// Other connections are closed after their answers, for which it doesn't wait.
//
// http.Server.Shutdown takes connections for idle whose request lies unread or has been read in part, and drops requests that are read
// later.
func (a *Acceptor) Shutdown(server *http.Server) {
	a.mu.Lock()
	a.isStopping = true
	listener := a.listener
	a.mu.Unlock()

	if listener != nil {
		listener.drain()
	}

	// Answers say from now on that their connection ends. The server also closes the connections that it takes for idle.
	a.setSweeping(true)
	server.SetKeepAlivesEnabled(false)
	a.setSweeping(false)

	a.reap()
	time.Sleep(judgeInterval)
	a.reap()
}

func (a *Acceptor) setSweeping(sweeping bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.isSweeping = sweeping
}

// Close closes all connections, also those that the server no longer knows after Shutdown.
func (a *Acceptor) Close() {
	a.mu.Lock()

	closing := make([]*connection, 0, len(a.connections))
	for c := range a.connections {
		closing = append(closing, c)
	}

	for _, c := range closing {
		a.retire(c)
	}
	a.mu.Unlock()

	for _, c := range closing {
		_ = c.Close()
	}
}
