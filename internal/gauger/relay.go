package gauger

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	methodHello    = "peer.hello"
	methodUnknown  = "unknown"
	methodDatagram = "datagram"
	// longestFrame bounds what a relay holds; a settings tree is the largest message.
	longestFrame = 16 << 20
	// longestDatagram is more than any datagram can hold.
	longestDatagram = 1 << 16
)

// relay stands before one node's address for peers and counts what passes. It
// cuts the stream at the lengths that precede the messages and reads each message's method.
type relay struct {
	tally *tally
	// node is who answers behind the relay, at target.
	node, target string
	listener     net.Listener
	packets      net.PacketConn
}

// newRelay listens for streams and datagrams on one free port of loopback.
func newRelay(ctx context.Context, tally *tally, node, target string) (*relay, error) {
	var listen net.ListenConfig

	// A port that is free for TCP may be taken for UDP.
	for range 10 {
		listener, err := listen.Listen(ctx, "tcp", anyPort)
		if err != nil {
			return nil, errors.Wrap(err, "listen for a relay")
		}

		packets, err := listen.ListenPacket(ctx, "udp", listener.Addr().String())
		if err == nil {
			return &relay{tally: tally, node: node, target: target, listener: listener, packets: packets}, nil
		}

		_ = listener.Close()
	}

	return nil, errors.New("no port is free for both TCP and UDP")
}

func (r *relay) address() string {
	return r.listener.Addr().String()
}

// run passes streams and datagrams on until ctx ends.
func (r *relay) run(ctx context.Context) {
	context.AfterFunc(ctx, func() {
		_ = r.listener.Close()
		_ = r.packets.Close()
	})

	go r.passDatagrams(ctx)

	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}

		go r.join(ctx, conn)
	}
}

func (r *relay) passDatagrams(ctx context.Context) {
	out, err := new(net.Dialer).DialContext(ctx, "udp", r.target)
	if err != nil {
		return
	}
	defer out.Close()

	buffer := make([]byte, longestDatagram)

	for {
		size, _, err := r.packets.ReadFrom(buffer)
		if err != nil {
			return
		}

		r.tally.add(methodDatagram, "", r.node, size)
		// A lost datagram is the protocol's own matter.
		_, _ = out.Write(buffer[:size])
	}
}

// join passes the messages of one connection on in both directions.
func (r *relay) join(ctx context.Context, near net.Conn) {
	defer near.Close()

	far, err := new(net.Dialer).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer far.Close()

	detach := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer detach()

	r.tally.link(1)
	defer r.tally.link(-1)

	p := &passage{relay: r}

	var group sync.WaitGroup

	group.Go(func() {
		p.pass(far, near, p.asked)

		_ = far.Close()
	})
	group.Go(func() {
		p.pass(near, far, p.answered)

		_ = near.Close()
	})
	group.Wait()
}

// message is the part of a JSON-RPC message that tells what it is.
type message struct {
	Method string          `json:"method"`
	ID     json.RawMessage `json:"id"`
	Params json.RawMessage `json:"params"`
}

// passage is one connection through a relay.
type passage struct {
	relay *relay
	// peer is who dialled, known once it said hello.
	peer atomic.Value
	// methods holds the method of each call without an answer, by its id.
	methods sync.Map
}

func (p *passage) from() string {
	name, _ := p.peer.Load().(string)

	return name
}

// asked counts a message of the node that dialled.
func (p *passage) asked(m message, bytes int) {
	if m.Method == methodHello {
		var hello struct {
			Node string `json:"node"`
		}

		if json.Unmarshal(m.Params, &hello) == nil {
			p.peer.Store(hello.Node)
		}
	}

	if len(m.ID) > 0 {
		p.methods.Store(string(m.ID), m.Method)
	}

	p.relay.tally.add(m.Method, p.from(), p.relay.node, bytes)
}

// answered counts a message of the node that was dialled.
func (p *passage) answered(m message, bytes int) {
	method := methodUnknown
	if known, ok := p.methods.LoadAndDelete(string(m.ID)); ok {
		method = known.(string)
	}

	p.relay.tally.add(method, p.relay.node, p.from(), bytes)
}

// pass copies whole messages until either end closes.
func (p *passage) pass(to io.Writer, from io.Reader, count func(message, int)) {
	reader := bufio.NewReader(from)

	for {
		frame, err := readFrame(reader)
		if err != nil {
			return
		}

		var m message
		if json.Unmarshal(frame.payload, &m) != nil {
			m.Method = methodUnknown
		}

		count(m, len(frame.whole))

		if _, err := to.Write(frame.whole); err != nil {
			return
		}
	}
}

// frame is one message with the length before it.
type frame struct {
	whole, payload []byte
}

func readFrame(reader *bufio.Reader) (frame, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return frame{}, err
	}

	if length > longestFrame {
		return frame{}, errors.Newf("a message of %d bytes is too long", length)
	}

	whole := binary.AppendUvarint(nil, length)
	head := len(whole)
	whole = append(whole, make([]byte, length)...)

	_, err = io.ReadFull(reader, whole[head:])

	return frame{whole: whole, payload: whole[head:]}, err
}
