package tunneler_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/tunneler"
	"quincepath.example/quincepath/internal/standin/cutter"
)

const cutBody = "the answer"

// detour leads through one peer. It implements dialer.Detour.
type detour struct {
	tunnels *tunneler.Tunneler
	peer    string
}

// Peers implements dialer.Detour.
func (d detour) Peers() (near, far []string) { return []string{d.peer}, nil }

// Connect implements dialer.Detour.
func (d detour) Connect(ctx context.Context, peer string, upstream dialer.Upstream) (net.Conn, error) {
	return d.tunnels.Connect(ctx, peer, upstream)
}

// cutFixture is a node that reaches an upstream only through a peer.
type cutFixture struct {
	upstream dialer.Upstream
	server   *cutter.Server
	peer     *carrier
	options  tunneler.Options
}

func newCutFixture(t *testing.T) *cutFixture {
	t.Helper()

	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	f := &cutFixture{server: server, upstream: dialer.Upstream{ID: upstreamID, Address: server.Address()}}
	f.options = options(f.upstream)
	f.options.MaxTunnels = 1000
	f.options.Dial = dialer.New(2 * f.options.MaxTunnels).OpenForPeer
	f.peer = startCarrier(t, f.options)

	return f
}

// exchange sends a request through the peer, on new connections, and returns the body of the response.
func (f *cutFixture) exchange(t *testing.T, path string) (string, error) {
	t.Helper()

	d := dialer.New(2)
	d.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no way") }
	d.Detour = detour{tunnels: tunneler.New(f.options), peer: f.peer.address}

	defer d.CloseStale(func(string) bool { return false })

	response, err := d.Exchange(t.Context(), f.upstream, &dialer.Request{Method: http.MethodPost, Host: "h", URI: path, Body: []byte("request")})
	if err != nil {
		return "", err
	}
	defer response.Close()

	body, err := io.ReadAll(response.Body)

	return string(body), err
}

// Guards against a peer that turns a response which an upstream cut off into a whole one.
func TestResponsesThatAreCutOffBehindAPeerAreNotWhole(t *testing.T) {
	f := newCutFixture(t)
	whole := 0

	for cut := range cutter.Cuts(cutter.Responses("HTTP/1.1 200 OK\r\n", cutBody)) {
		f.server.Answer(cut)

		body, err := f.exchange(t, "/")
		assert.DeepEqual(t, f.server.TakeRequests(), []string{"POST /"})

		if err == nil {
			whole++

			assert.Assert(t, cut.LooksWhole(), "%v", cut)
			assert.Assert(t, body == cutBody || cut.EndsWithConnection && strings.HasPrefix(cutBody, body), "%v: %q", cut, body)
		}

		assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
	}

	assert.Assert(t, whole >= 6, "only %d responses were whole", whole)
}

// Guards against responses that pass for whole though the peer that carries them was killed, at any byte of its own answers and of the
// frames.
func TestResponsesThatAPeerCutsOffAreNotWhole(t *testing.T) {
	f := newCutFixture(t)
	left := 0
	f.options.DialPeer = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)

		return &cutter.Conn{Conn: conn, Left: left}, err
	}

	for i, response := range cutter.Responses("HTTP/1.1 200 OK\r\n", cutBody) {
		f.server.Answer(cutter.Cut{Response: response, Bytes: len(response.Head + response.Body)})

		whole := 0
		unsent := make(map[string]bool)

		// A few more bytes than all answers of the peer have.
		for left = 0; whole < 4; left++ {
			assert.Assert(t, left < 4<<10, "no response was whole")

			path := fmt.Sprintf("/%d/%d", i, left)
			body, err := f.exchange(t, path)

			switch {
			case err == nil:
				whole++

				assert.Equal(t, body, cutBody, "%s, %d bytes", response.Framing, left)
			case errors.Is(err, dialer.ErrNotSent):
				unsent[path] = true
			}

			assert.Assert(t, err == nil || whole == 0, "%s, %d bytes: %v", response.Framing, left, err)
		}

		assert.Assert(t, len(unsent) > 0 && left > len(unsent)+whole, "%s", response.Framing)

		sent := make(map[string]bool)

		for _, request := range f.server.TakeRequests() {
			assert.Assert(t, !sent[request] && !unsent[strings.TrimPrefix(request, "POST ")], "%s: %s", response.Framing, request)
			sent[request] = true
		}
	}
}
