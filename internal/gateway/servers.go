package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/acceptor"
	"quincepath.example/quincepath/internal/headreader"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// defaultIdleTimeout is how long a caller's connection may be idle if the operators' configuration sets no timeout.
	defaultIdleTimeout = 40 * time.Second
	// maxHeaderBytes limits a request header, also where the operators' limit is higher. That one is checked once the header is
	// complete.
	maxHeaderBytes = headreader.MaxBytes
	// maxProbeHeaderBytes limits the header of a request for entries, readiness or metrics.
	maxProbeHeaderBytes = 16 << 10
	// reservedDescriptors is the number of file descriptors kept for files, the store, peers and requests for entries.
	reservedDescriptors = 400
	// callerConnectionFraction is the fraction of the other descriptors for callers' connections. Connections to
	// upstreams get as many, since a running request needs one of each.
	callerConnectionFraction = 0.5
	// defaultDescriptors is used if the VM's descriptor limit isn't set; it is the usual limit of a login session.
	defaultDescriptors = 1024
	// probeHeaderTimeout limits the time to read the header of a request for entries, readiness or metrics.
	probeHeaderTimeout = 5 * time.Second
)

// startServers starts the servers for callers' requests, entries, readiness and metrics. It returns them with the
// callers' server first, and a channel that receives the errors of servers that fail.
func (n *Node) startServers(ctx context.Context) ([]*http.Server, <-chan error, error) {
	probes := http.NewServeMux()
	probes.HandleFunc("GET "+n.protocol.ReadyPath, n.handleReady)
	probes.HandleFunc("GET "+n.protocol.EntriesPath, n.handleEntries)

	// The acceptor enforces the timeouts of callers' connections.
	callers := &http.Server{Handler: n.relayer, MaxHeaderBytes: maxHeaderBytes}
	ready := &http.Server{Handler: probes, ReadHeaderTimeout: probeHeaderTimeout, MaxHeaderBytes: maxProbeHeaderBytes}
	entries := &http.Server{Handler: probes, ReadHeaderTimeout: probeHeaderTimeout, MaxHeaderBytes: maxProbeHeaderBytes}

	servers := map[*http.Server]string{
		callers: n.settings.Node.Listen,
		ready:   n.settings.Gateway.ReadyListen,
		entries: n.settings.Gateway.EntriesListen,
	}

	if address := n.settings.Gateway.MetricsListen; address != "" {
		mux := http.NewServeMux()
		mux.Handle("GET "+MetricsPath, n.metrics())
		servers[&http.Server{Handler: mux, ReadHeaderTimeout: probeHeaderTimeout, MaxHeaderBytes: maxProbeHeaderBytes}] = address
	}

	failed := make(chan error, len(servers))

	for server, address := range servers {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on %s", address)
		}

		go func() {
			serve := server.Serve
			if server == callers {
				serve = func(l net.Listener) error { return n.acceptor.Serve(callers, l) }
			}

			if err := serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}

	// drain shuts the first server down before the others.
	order := []*http.Server{callers}

	for server := range servers {
		if server != callers {
			order = append(order, server)
		}
	}

	return order, failed, nil
}

// maxConnections returns the maximum number of connections from callers, which is also the maximum number of
// connections to upstreams, for a process with the given descriptor limit.
func maxConnections(descriptors int) int {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}

	return int(callerConnectionFraction * float64(max(descriptors-reservedDescriptors, 2)))
}

// callerTimeouts returns the timeouts of callers' connections: those of the operators' configuration, or the node's
// defaults until it has been received.
func (n *Node) callerTimeouts() acceptor.Timeouts {
	times := acceptor.Timeouts{Header: n.current.Load().Node.HeaderTimeout, Idle: defaultIdleTimeout}

	table := n.table.Load()
	if table == nil {
		return times
	}

	if table.Limits.HeaderTimeout > 0 {
		times.Header = table.Limits.HeaderTimeout
	}

	if table.Limits.IdleTimeout > 0 {
		times.Idle = table.Limits.IdleTimeout
	}

	return times
}

// recordRefusal counts and logs a request that was refused before its header was read.
func (n *Node) recordRefusal(failure *classifier.Error) {
	n.meter.Refused("", failure.Code)
	n.logger.Info().
		Int("result_code", int(failure.Code)).
		Str("result", failure.Code.String()).
		Str("reason", failure.Reason).
		Msg("request_refused")
}

// ready reports whether the node accepts requests.
func (n *Node) ready() bool {
	return n.leavingFor() == 0 && n.table.Load() != nil
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}

func (n *Node) handleEntries(w http.ResponseWriter, request *http.Request) {
	addresses := n.currentRoster().entriesFor(callerKey(request), n.protocol.MaxEntries)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	body, err := n.protocol.EncodeEntries(addresses, n.current.Load().Node.EntryLifetime)
	if err != nil {
		n.logger.Error().Err(err).Msg("entries_not_encoded")
		w.WriteHeader(http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(body)
}

// callerKey returns a text that stays the same for a caller and differs between callers as far as that is known: the
// caller's address without its port, and what it asks for.
func callerKey(request *http.Request) string {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		host = request.RemoteAddr
	}

	return host + "?" + request.URL.RawQuery
}

// drain performs the planned stop: the node removes itself from the entries immediately, accepts requests while callers
// may still have its address cached, and returns when all answers are written and nothing is in flight for others, or the drain timeout
// is nearly over. Requests that can't be answered by then get their final answer before.
func (n *Node) drain(servers []*http.Server) {
	n.leavingAt.Store(int64(n.catalog.Now()))
	n.heartbeats.Leave()
	n.logger.Info().Int64("in_flight", n.relayer.InFlight()).Msg("node_stopping")

	timeout := n.current.Load().Node.DrainTimeout
	limit := time.Duration(float64(timeout) * drainFraction)
	closed := false

	n.relayer.BeginStop(time.Now().Add(limit - n.leavingFor()))

	for n.leavingFor() < limit {
		n.relayer.RefuseLate()

		if n.leavingFor() >= leavingGrace {
			if !closed {
				closed = true
				n.acceptor.Shutdown(servers[0])
			}

			// The server starts a handler after it has read the request, and writes the last bytes after the handler.
			if n.acceptor.Busy() == 0 && n.tunnels.Open() == 0 {
				break
			}
		}

		time.Sleep(drainPollInterval)
	}

	n.logger.Info().Int64("in_flight", n.relayer.InFlight()).Dur("took_ms", n.leavingFor()).Msg("node_stopped")
	n.relayer.Abort()

	for n.acceptor.Busy() > 0 && n.leavingFor() < time.Duration(float64(timeout)*answerFraction) {
		time.Sleep(answerPollInterval)
	}

	n.acceptor.Close()

	for _, server := range servers {
		_ = server.Close()
	}
}
