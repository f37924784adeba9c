// Package heartbeater carries the probes of package prober in UDP datagrams.
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
	// tickPeriod is how often the prober looks at its timeouts.
	tickPeriod = 100 * time.Millisecond
	// queueLength bounds the packets that wait for the prober. Of 370 nodes each gets some 4 a second.
	queueLength = 256
	// readPause keeps a socket that fails at once from turning into a busy loop.
	readPause = 10 * time.Millisecond
)

// Options are the parts of a Heartbeater; all are required.
type Options struct {
	// Name is this node's; datagrams for others are not authentic.
	Name string
	// Listen is the IP:port of the socket.
	Listen string
	Codec  *prober.Codec
	Prober *prober.Prober
	Logger zerolog.Logger
}

// Counters count datagrams since the start.
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

// Heartbeater joins one Prober to one socket.
type Heartbeater struct {
	options Options
	conn    *net.UDPConn
	packets chan prober.Packet

	sent, sentBytes, sendFailed       atomic.Int64
	received, receivedBytes           atomic.Int64
	tooLarge, notAuthentic, malformed atomic.Int64
	queueFull                         atomic.Int64
}

// Listen opens the socket. Run or Close must follow.
func Listen(ctx context.Context, options Options) (*Heartbeater, error) {
	conn, err := new(net.ListenConfig).ListenPacket(ctx, "udp", options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for probes on %s", options.Listen)
	}

	return &Heartbeater{
		options: options,
		conn:    conn.(*net.UDPConn),
		packets: make(chan prober.Packet, queueLength),
	}, nil
}

// Address returns the IP:port of the socket.
func (h *Heartbeater) Address() string {
	return h.conn.LocalAddr().String()
}

// Close closes the socket of a Heartbeater that was never run.
func (h *Heartbeater) Close() error {
	return errors.Wrap(h.conn.Close(), "close the probes' socket")
}

// Run probes and answers until the context ends; a leaving node runs on until its last request is answered.
func (h *Heartbeater) Run(ctx context.Context) error {
	var reader sync.WaitGroup

	reader.Go(func() { h.read(ctx) })

	h.drive(ctx)

	// The reader waits in the socket; closing it ends the wait.
	err := h.Close()
	reader.Wait()

	return err
}

// Leave announces a planned stop to all members at once.
func (h *Heartbeater) Leave() {
	h.send(h.options.Prober.Leave(time.Now()))
}

// Counters returns the counts since the start.
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

// drive is the only goroutine that runs the prober, so that a pause of the
// process shows as one late tick before any answer is looked at.
func (h *Heartbeater) drive(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.send(h.options.Prober.Tick(time.Now()))
		case packet := <-h.packets:
			h.send(h.options.Prober.Receive(time.Now(), packet))
		}
	}
}

// read takes datagrams from the socket. What can't be handled in time is dropped:
// a probe without an answer is repeated, a queue without a bound is not mended.
func (h *Heartbeater) read(ctx context.Context) {
	buffer := make([]byte, prober.MaxDatagram+1)

	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}

		if err != nil {
			h.options.Logger.Warn().Err(err).Msg("heartbeat_read_failed")
			pause(ctx, readPause)

			continue
		}

		h.received.Add(1)
		h.receivedBytes.Add(int64(n))

		packet, err := h.options.Codec.Decode(h.options.Name, buffer[:n])
		if err != nil {
			h.countBad(err)

			continue
		}

		select {
		case h.packets <- packet:
		default:
			h.queueFull.Add(1)
		}
	}
}

func (h *Heartbeater) countBad(err error) {
	switch {
	case errors.Is(err, prober.ErrTooLarge):
		h.tooLarge.Add(1)
	case errors.Is(err, prober.ErrNotAuthentic):
		h.notAuthentic.Add(1)
	default:
		h.malformed.Add(1)
	}
}

// send writes messages; a failure counts as a lost datagram, which probes are made for.
func (h *Heartbeater) send(messages []prober.Message) {
	for _, m := range messages {
		n, err := h.write(m)
		if err != nil {
			h.sendFailed.Add(1)
			h.options.Logger.Debug().Err(err).Str("peer", m.To).Msg("heartbeat_send_failed")

			continue
		}

		h.sent.Add(1)
		h.sentBytes.Add(int64(n))
	}
}

func (h *Heartbeater) write(m prober.Message) (int, error) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return 0, errors.Wrapf(err, "peer address of %s", m.To)
	}

	datagram, err := h.options.Codec.Encode(m.To, m.Packet)
	if err != nil {
		return 0, err
	}

	n, err := h.conn.WriteToUDPAddrPort(datagram, address)

	return n, errors.Wrap(err, "write datagram")
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
