// Package heartbeater sends and receives the packets of package prober as UDP datagrams.
package heartbeater

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/prober"
)

const (
	// tickPeriod is the time between the prober's checks of its timeouts.
	tickPeriod = 100 * time.Millisecond
	// maxQueuedPackets bounds the packets that wait for the prober. In a fleet of 370 nodes, each receives about 4 per second.
	maxQueuedPackets = 256
	// readRetryDelay prevents a busy loop when reads from the socket fail immediately.
	readRetryDelay = 10 * time.Millisecond
)

// Options configure a Heartbeater; all are required.
type Options struct {
	// Name is the name of this node. Datagrams addressed to other names count as not authentic.
	Name string
	// Listen is the IP:port of the socket.
	Listen string
	Codec  *prober.Codec
	Prober *prober.Prober
	Logger zerolog.Logger
}

// Counters are numbers of datagrams, and of their bytes, since the start.
type Counters struct {
	Sent          int64 `json:"sent"`
	SentBytes     int64 `json:"sent_bytes"`
	SendFailed    int64 `json:"send_failed"`
	Received      int64 `json:"received"`
	ReceivedBytes int64 `json:"received_bytes"`
	TooLarge      int64 `json:"too_large"`
	NotAuthentic  int64 `json:"not_authentic"`
	Malformed     int64 `json:"malformed"`
	QueueFull     int64 `json:"queue_full"`
}

// Heartbeater connects a Prober to a UDP socket.
type Heartbeater struct {
	options Options
	conn    *net.UDPConn
	queue   chan prober.Packet

	sent, sentBytes, sendFailed       atomic.Int64
	received, receivedBytes           atomic.Int64
	tooLarge, notAuthentic, malformed atomic.Int64
	queueFull                         atomic.Int64
}

// Listen opens the socket. The caller must then call Run or Close.
func Listen(ctx context.Context, options Options) (*Heartbeater, error) {
	conn, err := new(net.ListenConfig).ListenPacket(ctx, "udp", options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for probes on %s", options.Listen)
	}

	return &Heartbeater{
		options: options,
		conn:    conn.(*net.UDPConn),
		queue:   make(chan prober.Packet, maxQueuedPackets),
	}, nil
}

// Address returns the IP:port of the socket.
func (h *Heartbeater) Address() string {
	return h.conn.LocalAddr().String()
}

// Close closes the socket. Run does so itself; call Close only on a Heartbeater that is never run.
func (h *Heartbeater) Close() error {
	return errors.Wrap(h.conn.Close(), "close probe socket")
}

// Run probes peers and replies to them until ctx is cancelled. A leaving node must keep it running until its last request
// has been answered.
func (h *Heartbeater) Run(ctx context.Context) error {
	var reader sync.WaitGroup

	reader.Go(func() { h.readDatagrams(ctx) })

	h.runProber(ctx)

	// The reader blocks in a socket read; closing the socket unblocks it.
	err := h.Close()
	reader.Wait()

	return err
}

// Leave announces a planned stop to all members at once.
func (h *Heartbeater) Leave() {
	h.send(h.options.Prober.Leave(time.Now()))
}

// Counters returns the current counters.
func (h *Heartbeater) Counters() Counters {
	return Counters{
		Sent:          h.sent.Load(),
		SentBytes:     h.sentBytes.Load(),
		SendFailed:    h.sendFailed.Load(),
		Received:      h.received.Load(),
		ReceivedBytes: h.receivedBytes.Load(),
		TooLarge:      h.tooLarge.Load(),
		NotAuthentic:  h.notAuthentic.Load(),
		Malformed:     h.malformed.Load(),
		QueueFull:     h.queueFull.Load(),
	}
}

// runProber makes all periodic and packet-driven calls to the prober from one goroutine. A pause
// of the process thus shows as one late call, before any overdue reply is evaluated.
func (h *Heartbeater) runProber(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.send(h.options.Prober.Tick(time.Now()))
		case packet := <-h.queue:
			h.send(h.options.Prober.Receive(time.Now(), packet))
		}
	}
}

// readDatagrams reads datagrams from the socket and queues their packets. Packets are dropped when
// the queue is full: unanswered probes are repeated, but an unbounded queue would not recover.
func (h *Heartbeater) readDatagrams(ctx context.Context) {
	buffer := make([]byte, prober.MaxDatagram+1)

	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}

		if err != nil {
			h.options.Logger.Warn().Err(err).Msg("heartbeat_read_failed")
			sleep(ctx, readRetryDelay)

			continue
		}

		h.received.Add(1)
		h.receivedBytes.Add(int64(n))

		packet, err := h.options.Codec.Decode(h.options.Name, buffer[:n])
		if err != nil {
			h.countRejected(err)

			continue
		}

		select {
		case h.queue <- packet:
		default:
			h.queueFull.Add(1)
		}
	}
}

func (h *Heartbeater) countRejected(err error) {
	switch {
	case errors.Is(err, prober.ErrTooLarge):
		h.tooLarge.Add(1)
	case errors.Is(err, prober.ErrNotAuthentic):
		h.notAuthentic.Add(1)
	default:
		h.malformed.Add(1)
	}
}

// send writes messages to the socket. A failed write is treated as a lost datagram, which the probing protocol tolerates.
func (h *Heartbeater) send(messages []prober.Message) {
	for _, m := range messages {
		n, err := h.writeMessage(m)
		if err != nil {
			h.sendFailed.Add(1)
			h.options.Logger.Debug().Err(err).Str("peer", m.To).Msg("heartbeat_send_failed")

			continue
		}

		h.sent.Add(1)
		h.sentBytes.Add(int64(n))
	}
}

func (h *Heartbeater) writeMessage(m prober.Message) (int, error) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return 0, errors.Wrapf(err, "parse address of peer %s", m.To)
	}

	datagram, err := h.options.Codec.Encode(m.To, m.Packet)
	if err != nil {
		return 0, err
	}

	n, err := h.conn.WriteToUDPAddrPort(datagram, address)

	return n, errors.Wrap(err, "write datagram")
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
