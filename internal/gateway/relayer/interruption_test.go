package relayer_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// fakePaths are a node's ways to upstreams. It implements dialer.Detour.
type fakePaths struct {
	// cutOff is set while direct connects are refused, peersCutOff while those of the only peer are.
	cutOff, peersCutOff atomic.Bool
}

// newDialer returns the dialer of the relayer.
func (w *fixture) newDialer() *dialer.Dialer {
	d := dialer.New(1000)
	if w.network != nil {
		d.DialContext = w.network.dial
	}

	if w.paths == nil {
		return d
	}

	dial := d.DialContext
	d.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if w.paths.cutOff.Load() {
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}

		return dial(ctx, network, address)
	}
	d.Detour = w.paths

	return d
}

// Peers implements dialer.Detour.
func (*fakePaths) Peers() (near, far []string) { return []string{"peer"}, nil }

// Connect implements dialer.Detour.
func (p *fakePaths) Connect(ctx context.Context, _ string, upstream dialer.Upstream) (net.Conn, error) {
	if p.peersCutOff.Load() {
		return nil, errors.Mark(errors.New("cut off"), dialer.ErrPeerUnavailable)
	}

	return new(net.Dialer).DialContext(ctx, "tcp", upstream.Address)
}

// brokenExchanges records the upstreams at which exchanges broke.
type brokenExchanges struct {
	noQuarantine

	mu        sync.Mutex
	upstreams []string
}

// Broke implements relayer.Quarantine.
func (b *brokenExchanges) Broke(run quarantiner.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.upstreams = append(b.upstreams, run.Upstream)
}

func (b *brokenExchanges) list() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return slices.Clone(b.upstreams)
}

// waitForOutcomes returns the outcomes of attempts in any order once there are as many.
func (w *fixture) waitForOutcomes(count int) []string {
	for {
		w.mu.Lock()
		outcomes := slices.Sorted(slices.Values(w.outcomes))
		w.mu.Unlock()

		if len(outcomes) >= count || w.t.Context().Err() != nil {
			return outcomes
		}

		time.Sleep(time.Millisecond)
	}
}

// Guards against upstreams that are taken from all nodes, and requests that count as crashing them, because connections of a
// node broke that was cut off from upstreams.
func TestExchangeThatBrokeWithItsPathIsNoFailure(t *testing.T) {
	for name, isCut := range map[string]bool{"abandoned": true, "failed": false} {
		t.Run(name, func(t *testing.T) {
			broken := &brokenExchanges{}
			w := newFixture(t, 10)
			w.quarantine, w.paths = broken, &fakePaths{}
			w.restart()

			w.add(func(http.ResponseWriter, *http.Request) {
				w.paths.cutOff.Store(isCut)
				panic(http.ErrAbortHandler)
			})
			w.add(respondWith(http.StatusOK, "answer"))

			_, body, err := w.send("/price/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "answer")
			assert.DeepEqual(t, w.waitForOutcomes(2), []string{name, "served"})

			if isCut {
				assert.Equal(t, len(broken.list()), 0)
			} else {
				assert.DeepEqual(t, broken.list(), []string{"u0"})
			}
		})
	}
}

// Guards against upstreams that are taken from all nodes by a node that reaches nothing, neither itself nor through peers.
func TestNodeThatReachesNothingBlamesFewUpstreams(t *testing.T) {
	w := newFixture(t, 10)
	w.paths = &fakePaths{}
	w.paths.cutOff.Store(true)
	w.paths.peersCutOff.Store(true)
	w.restart()

	for range 4 {
		w.add(respondWith(http.StatusOK, "answer"))
	}

	response, _, err := w.send("/book/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.DeepEqual(t, w.waitForOutcomes(4), []string{"abandoned", "abandoned", "unreachable", "unreachable"})
}
