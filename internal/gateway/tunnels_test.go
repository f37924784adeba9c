package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway"
	"quincepath.example/quincepath/internal/loader"
)

// tunnelPair is a node that is cut off from the only upstream, and a peer that carries its connections.
type tunnelPair struct {
	cutOff, peer loader.Settings
	stopPeer     context.CancelFunc
	peerEnded    chan error
	// held is set while the upstream holds requests; each is sent to running, and answered once release is closed.
	held    atomic.Bool
	running chan *http.Request
	release chan struct{}
}

func startTunnelPair(t *testing.T) *tunnelPair {
	t.Helper()

	p := &tunnelPair{cutOff: nodeSettings(1), peer: nodeSettings(2), running: make(chan *http.Request, 1), release: make(chan struct{})}

	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.held.Load() {
			p.running <- r

			select {
			case <-p.release:
			case <-r.Context().Done():
			}
		}

		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "sig")
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(upstream.Close)

	s := &store{revision: 1, address: strings.TrimPrefix(upstream.URL, "http://")}
	encode := func(addresses []string, _ time.Duration) ([]byte, error) { return json.Marshal(addresses) }
	refuse := func(gateway.DialFunc) gateway.DialFunc {
		return func(context.Context, string, string) (net.Conn, error) {
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}
	}

	stopCutOff, cutOffEnded := runNodeWith(t, encode, func(ctx context.Context, protocol gateway.Protocol) error {
		return gateway.RunWithDial(ctx, p.cutOff, s, protocol, zerolog.Nop(), refuse)
	})
	t.Cleanup(func() {
		stopCutOff()
		assert.Check(t, <-cutOffEnded)
	})

	p.stopPeer, p.peerEnded = runNode(t, s, p.peer, encode)

	waitUntil(t, func() bool {
		status, body, _ := get(p.cutOff.Node.Listen, "/price")

		return status == http.StatusOK && body == "answer"
	})

	return p
}

// Guards against requests that get no answer because the peer that carries them stops.
func TestPlannedStopWaitsForTunnels(t *testing.T) {
	// holdTime is longer than a node without requests takes to stop.
	const holdTime = 4 * time.Second

	p := startTunnelPair(t)
	p.held.Store(true)

	answered := make(chan string, 1)

	go func() {
		_, body, _ := get(p.cutOff.Node.Listen, "/price")
		answered <- body
	}()

	<-p.running
	p.stopPeer()
	time.Sleep(holdTime)
	p.held.Store(false)
	close(p.release)
	assert.Equal(t, <-answered, "answer")
	assert.NilError(t, <-p.peerEnded)
}

// Guards against an upstream that works on for a caller that left: its connection is carried by a peer.
func TestCallerThatLeavesEndsItsRequestBehindATunnel(t *testing.T) {
	p := startTunnelPair(t)
	p.held.Store(true)

	ctx, leave := context.WithCancel(context.Background())
	defer leave()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.cutOff.Node.Listen+"/price", http.NoBody)
	assert.NilError(t, err)

	request.Host = "shop.example"

	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()

	running := <-p.running

	leave()
	<-running.Context().Done()
	p.held.Store(false)
	p.stopPeer()
	assert.NilError(t, <-p.peerEnded)
}
