package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/acceptor"
)

const (
	// idleTimeout is how long a caller's connection may rest while the operators name no time.
	idleTimeout = 40 * time.Second
	// maxHeaderBytes bounds the memory for a header that is being read. The operators' bound is checked
	// when it is whole.
	maxHeaderBytes = 1 << 20
	// reservedDescriptors are kept for files, the store, peers and questions for entries, and callersPart
	// is the part of the others that callers' connections may take. Upstreams may take as many: a request
	// that runs takes one of each.
	reservedDescriptors = 400
	callersPart         = 0.5
	// defaultDescriptors is used where the VM's bound isn't set; it is the usual one of a login session.
	defaultDescriptors = 1024
	// probeTimeout bounds the header of a question for entries or readiness.
	probeTimeout = 5 * time.Second
)

// listen begins to answer callers, their questions for entries, and the platform's for readiness.
func (n *Node) listen(ctx context.Context) ([]*http.Server, <-chan error, error) {
	probes := http.NewServeMux()
	probes.HandleFunc("GET "+n.protocol.ReadyPath, n.handleReady)
	probes.HandleFunc("GET "+n.protocol.EntriesPath, n.handleEntries)

	// The acceptor bounds the times of callers' connections.
	callers := &http.Server{Handler: n.relayer, MaxHeaderBytes: maxHeaderBytes}
	ready := &http.Server{Handler: probes, ReadHeaderTimeout: probeTimeout}
	entries := &http.Server{Handler: probes, ReadHeaderTimeout: probeTimeout}

	servers := map[*http.Server]string{
		callers: n.settings.Node.Listen,
		ready:   n.settings.Gateway.ReadyListen,
		entries: n.settings.Gateway.EntriesListen,
	}

	if address := n.settings.Gateway.MetricsListen; address != "" {
		mux := http.NewServeMux()
		mux.Handle("GET "+MetricsPath, n.metrics())
		servers[&http.Server{Handler: mux, ReadHeaderTimeout: probeTimeout}] = address
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

	// The callers' server comes first: a planned stop ends it before the others.
	order := []*http.Server{callers}

	for server := range servers {
		if server != callers {
			order = append(order, server)
		}
	}

	return order, failed, nil
}

// mostConnections is the number of connections that callers may have to a process with so many descriptors, and
// that it may have to upstreams.
func mostConnections(descriptors int) int {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}

	return int(callersPart * float64(max(descriptors-reservedDescriptors, 2)))
}

// callerTimes are the bounds of callers' connections: the operators', or the node's own before it knows them.
func (n *Node) callerTimes() acceptor.Timeouts {
	times := acceptor.Timeouts{Header: n.current.Load().Node.HeaderTimeout, Idle: idleTimeout}

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

// ready says whether the node takes requests.
func (n *Node) ready() bool {
	return n.leaving() == 0 && n.table.Load() != nil
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}

func (n *Node) handleEntries(w http.ResponseWriter, _ *http.Request) {
	addresses := n.entries()
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
	// A failed write means that the caller left.
	_, _ = w.Write(body)
}

// stop carries out the planned stop: the node leaves the entries at once, takes requests while
// callers may still hold an answer that names it, and ends when nothing is in flight.
func (n *Node) stop(servers []*http.Server) {
	n.leavingAt.Store(int64(n.catalog.Now()))
	n.heartbeats.Leave()
	n.logger.Info().Int64("in_flight", n.relayer.InFlight()).Msg("node_stopping")

	last := time.Duration(float64(n.current.Load().Node.DrainTimeout) * stopPart)
	shut := false

	for n.leaving() < last {
		if n.leaving() >= lastRequests {
			if !shut {
				shut = true
				// Shutdown closes idle connections and the listener; it waits in vain for long answers.
				ended, cancel := context.WithCancel(context.Background())
				cancel()

				_ = servers[0].Shutdown(ended)
			}

			if n.relayer.InFlight() == 0 {
				break
			}
		}

		time.Sleep(stopTick)
	}

	n.logger.Info().Int64("in_flight", n.relayer.InFlight()).Dur("took_ms", n.leaving()).Msg("node_stopped")

	for _, server := range servers {
		_ = server.Close()
	}
}
