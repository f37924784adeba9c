package relayer_test

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// memoryNetwork connects callers, the relayer and upstreams in memory, so that their time can be virtual.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// memoryListener implements net.Listener.
type memoryListener struct {
	network *memoryNetwork
	name    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.name) }

// memoryAddress implements net.Addr.
type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }

// listen returns a listener with an address of its own.
func (m *memoryNetwork) listen() net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()

	l := &memoryListener{network: m, name: fmt.Sprintf("10.0.0.%d:80", len(m.listeners)+1), conns: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[l.name] = l

	return l
}

// dial connects to a listener.
func (m *memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()

	if l == nil {
		return nil, fmt.Errorf("connection refused: %s", address)
	}

	near, far := net.Pipe()

	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, fmt.Errorf("connection refused: %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newServer starts a server of the fixture, in memory if the fixture has such a network.
func (w *fixture) newServer(handler http.Handler) *httptest.Server {
	if w.network == nil {
		return httptest.NewServer(handler)
	}

	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener = w.network.listen()
	server.Start()

	return server
}

// inVirtualTime runs a test with a fixture in virtual time. At its end, each attempt must have ended once, and nothing may be left in
// memory.
func inVirtualTime(t *testing.T, extra int, test func(t *testing.T, w *fixture)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, extra)
		w.server.Close()

		w.network = &memoryNetwork{listeners: make(map[string]*memoryListener)}
		w.client = &http.Client{Transport: &http.Transport{DialContext: w.network.dial, DisableKeepAlives: true}}
		w.restart()

		test(t, w)

		// Waits for the handlers.
		w.server.Close()
		assert.Equal(t, w.relayer.BodyMemory(), int64(0))
		assert.Equal(t, len(w.ends), len(w.chosen))

		for _, id := range w.chosen {
			assert.Equal(t, len(w.ends[id]), 1, "%s ended as %v", id, w.ends[id])
		}
	})
}

// outcomesOf returns the outcomes of the attempts in the order in which they got an upstream.
func (w *fixture) outcomesOf() []string {
	w.server.Close()

	var outcomes []string
	for _, id := range w.chosen {
		outcomes = append(outcomes, strings.Join(w.ends[id], " "))
	}

	return outcomes
}

// counter returns one of the relayer's counters.
func (w *fixture) counter(name string) int64 {
	if value, ok := w.attempts.Get(name).(*expvar.Int); ok {
		return value.Value()
	}

	return 0
}

// sendEvents sends events with the given IDs.
func sendEvents(rw http.ResponseWriter, ids ...int) {
	for _, id := range ids {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", id, id)
	}

	_ = http.NewResponseController(rw).Flush()
}

// beginStream sends the header of a stream.
func beginStream(rw http.ResponseWriter) {
	sign(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(rw).Flush()
}

// sixEvents returns a stream of the events from 1 to 6.
func sixEvents() string {
	var text strings.Builder
	for id := range 6 {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id+1, id+1)
	}

	return text.String()
}

// goesOnAfter sends three events, is silent and then sends three more.
func goesOnAfter(silence time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		beginStream(rw)
		sendEvents(rw, 1, 2, 3)
		time.Sleep(silence)
		sendEvents(rw, 4, 5, 6)
	}
}

// shortSilence is the silence of a sound upstream. It is longer than the attempt timeout of impatient routes.
const shortSilence = 1300 * time.Millisecond

// uselessReplacements are answers to the attempt that follows a silent one which bring the caller nothing.
func uselessReplacements() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"refuses":           rejectWith(http.StatusServiceUnavailable),
		"is another server": rejectWith(http.StatusMisdirectedRequest),
		"drops connection":  dropConnection,
		"is not reached":    nil,
		"not authentic":     func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "not its own") },
		"fails":             respondWith(http.StatusInternalServerError, "oh"),
		"breaks off": func(rw http.ResponseWriter, _ *http.Request) {
			beginStream(rw)
			time.Sleep(10 * time.Millisecond)
			panic(http.ErrAbortHandler)
		},
	}
}

// addReplacement adds an upstream, or one that can't be reached if respond is nil.
func (w *fixture) addReplacement(respond http.HandlerFunc) {
	u := w.add(respond)
	if respond == nil {
		u.address = "10.9.9.9:80"
	}
}

// Guards against a stream that is cut although its upstream goes on after a short silence, since the attempt that should
// replace it brought nothing and the retry budget allowed no other.
func TestStreamIsCompleteThoughTheReplacementBringsNothing(t *testing.T) {
	for name, respond := range uselessReplacements() {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
				first := w.add(goesOnAfter(shortSilence))
				w.addReplacement(respond)

				_, body, err := w.send("/note/1", nil)
				assert.NilError(t, err)
				assert.Equal(t, body, sixEvents())
				assert.Equal(t, first.count(), 1)
				assert.Equal(t, w.counter("replacement_sent"), int64(1))
				assert.Equal(t, w.counter("replacement_failed"), int64(1))
			})
		})
	}
}

// Guards against a short answer that is given up for a replacement which brings nothing.
func TestShortAnswerIsDeliveredThoughTheReplacementBringsNothing(t *testing.T) {
	for name, respond := range uselessReplacements() {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, func(t *testing.T, w *fixture) {
				first := w.add(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(shortSilence)
					respondWith(http.StatusOK, "late")(rw, r)
				})
				w.addReplacement(respond)

				response, body, err := w.send("/quote/1", nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "late")
				assert.Equal(t, first.count(), 1)
			})
		})
	}
}
