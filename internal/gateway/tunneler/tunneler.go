// Package tunneler carries connections to upstreams over other nodes by the CONNECT
// method of HTTP/1.1 (RFC 9110, section 9.3.6), for nodes that can't reach an upstream themselves.
//
// Both ends prove that they know the peers' credential. From the peer to the node, the bytes
// of a tunnel are framed: a response without a length ends with its connection, and a peer
// that was killed must not make it look complete.
package tunneler

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

const (
	// handshakeTimeout bounds the time until a peer has sent a valid request for a tunnel.
	handshakeTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a request for a tunnel, and that of an answer to it.
	maxHeaderBytes = 4 << 10
	// lingerTimeout is how long the node may take to read the rest after the upstream closed its connection. Closing
	// earlier could discard bytes that it hasn't received.
	lingerTimeout = time.Second
	// maxRefusalLogsPerSecond limits the log lines about refused tunnels.
	maxRefusalLogsPerSecond = 5
)

// Names of header fields.
const (
	// upstreamHeader holds the ID of the upstream, as an address may be used by several ones in turn.
	upstreamHeader = "Quincepath-Upstream"
	// challengeHeader holds the server's nonce and proof, credentialsHeader the client's.
	challengeHeader   = "Proxy-Authenticate"
	credentialsHeader = "Proxy-Authorization"
)

// Options configure a Tunneler. All fields are required.
type Options struct {
	// Self is the name of this node.
	Self string
	// Credential is shared by all nodes; never empty.
	Credential string
	// MaxTunnels is the maximum number of tunnels that this node carries for others at the same time.
	MaxTunnels int
	// Dial opens a connection to an upstream for a tunnel.
	Dial func(ctx context.Context, upstream dialer.Upstream) (net.Conn, error)
	// DialPeer opens a connection to a peer's address.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// Accepted prepares a connection that a peer opened for a tunnel.
	Accepted func(c net.Conn)
	// IsListed reports whether the upstream is listed with its address.
	IsListed func(upstream dialer.Upstream) bool
	// IsLeaving reports whether this node's planned stop has begun.
	IsLeaving func() bool
	Logger    zerolog.Logger
}

// Tunneler opens tunnels through peers, and carries tunnels for them. It is safe for concurrent use.
type Tunneler struct {
	options Options
	// refusalLogger samples the log lines about refused tunnels: a peer that is cut off from upstreams asks again and again.
	refusalLogger zerolog.Logger

	open atomic.Int64
	// accepted counts carried tunnels, the others the refused ones by reason.
	accepted, forbidden, unreachable, unavailable, unproven atomic.Int64
}

// Counters are statistics of the tunnels that a node carries for others: Open is the current number, the others count
// since the start.
type Counters struct {
	Open        int64 `json:"open"`
	Accepted    int64 `json:"accepted"`
	Forbidden   int64 `json:"forbidden"`
	Unreachable int64 `json:"unreachable"`
	Unavailable int64 `json:"unavailable"`
	Unproven    int64 `json:"unproven"`
}

// New returns a Tunneler that carries no tunnels before Run.
func New(options Options) *Tunneler {
	return &Tunneler{
		options:       options,
		refusalLogger: options.Logger.Sample(&zerolog.BurstSampler{Burst: maxRefusalLogsPerSecond, Period: time.Second}),
	}
}

// Counters returns the statistics of the carried tunnels.
func (t *Tunneler) Counters() Counters {
	return Counters{
		Open:        t.open.Load(),
		Accepted:    t.accepted.Load(),
		Forbidden:   t.forbidden.Load(),
		Unreachable: t.unreachable.Load(),
		Unavailable: t.unavailable.Load(),
		Unproven:    t.unproven.Load(),
	}
}

// Open returns the number of tunnels that are carried.
func (t *Tunneler) Open() int64 {
	return t.open.Load()
}

// Run carries tunnels for peers that connect to the listener, until ctx is cancelled or the listener closed. All tunnels end
// with it.
func (t *Tunneler) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	server := &http.Server{
		Handler:           t,
		ReadHeaderTimeout: handshakeTimeout,
		IdleTimeout:       handshakeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       t.connContext,
		ErrorLog:          log.New(io.Discard, "", 0),
	}

	context.AfterFunc(ctx, func() { _ = server.Close() })

	// The listener for messages may have been closed first.
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "serve tunnels")
	}

	return nil
}

// ServeHTTP implements http.Handler.
func (t *Tunneler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodConnect {
		http.Error(w, "only CONNECT is supported", http.StatusMethodNotAllowed)

		return
	}

	upstream := dialer.Upstream{ID: request.Header.Get(upstreamHeader), Address: request.Host}

	peer, ok := t.authenticate(w, request, upstream)
	if !ok {
		return
	}

	if !t.options.IsListed(upstream) {
		t.forbidden.Add(1)
		t.refuse(w, peer, upstream, http.StatusForbidden, "the upstream is not listed")

		return
	}

	defer t.open.Add(-1)

	if t.open.Add(1) > int64(t.options.MaxTunnels) || t.options.IsLeaving() {
		t.unavailable.Add(1)
		t.refuse(w, peer, upstream, http.StatusServiceUnavailable, "this node takes no more tunnels")

		return
	}

	conn, err := t.options.Dial(request.Context(), upstream)

	switch {
	case err == nil:
	case errors.Is(err, dialer.ErrPathLost), errors.Is(err, dialer.ErrTooManyConnections):
		t.unavailable.Add(1)
		t.refuse(w, peer, upstream, http.StatusServiceUnavailable, err.Error())

		return
	default:
		t.unreachable.Add(1)
		t.refuse(w, peer, upstream, http.StatusBadGateway, err.Error())

		return
	}
	defer conn.Close()

	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer client.Close()

	t.accepted.Add(1)

	if _, err := io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}

	carry(request.Context(), client, buffered.Reader, conn)
}

func (t *Tunneler) refuse(w http.ResponseWriter, peer string, upstream dialer.Upstream, status int, reason string) {
	t.refusalLogger.Info().Str("peer", peer).Str("upstream", upstream.ID).Int("status", status).Str("reason", reason).
		Msg("tunnel_refused")
	http.Error(w, reason, status)
}

// carry copies bytes between both ends of a tunnel until one of them closes or fails, or ctx is cancelled.
func carry(ctx context.Context, client net.Conn, reader *bufio.Reader, upstream net.Conn) {
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = upstream.Close()
	})
	defer stop()

	var requests sync.WaitGroup

	requests.Go(func() {
		// An upstream that answers early may stop reading; only the node's close ends the tunnel in this direction.
		_, _ = copyBytes(upstream, reader)
		_, _ = copyBytes(io.Discard, reader)
		_ = upstream.Close()
	})

	if err := copyFrames(client, upstream); err != nil {
		_ = client.Close()
	} else {
		limit := time.Now().Add(lingerTimeout)
		_ = client.SetReadDeadline(limit)
		_ = upstream.SetWriteDeadline(limit)
	}

	requests.Wait()
}
