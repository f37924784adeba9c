package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	methodChallenge = "peer.challenge"
	methodHello     = "peer.hello"
	methodPing      = "peer.ping"
)

// nonceBytes is the length of the random value that both ends sign.
const nonceBytes = 16

// challengeParams and the types below prove on both sides that the other end
// knows the credential, without sending it: each signs the other's nonce.
type challengeParams struct {
	Nonce []byte `json:"nonce"`
}

type challengeAnswer struct {
	Nonce []byte `json:"nonce"`
	Proof []byte `json:"proof"`
}

type helloParams struct {
	Node  string `json:"node"`
	Proof []byte `json:"proof"`
}

// Roles keep a proof of one end from being played back by the other.
const (
	roleServer = "server"
	roleClient = "client"
)

func proof(credential, role, node string, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(credential))
	// Writes to a hash never fail.
	_, _ = mac.Write([]byte(role + "\x00" + node + "\x00"))
	_, _ = mac.Write(serverNonce)
	_, _ = mac.Write(clientNonce)

	return mac.Sum(nil)
}

// sayHello proves the credential to the peer and asks for the peer's proof.
func (m *Messenger) sayHello(ctx context.Context, rpc *jsonrpc2.Conn) error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return errors.Wrap(err, "make nonce")
	}

	var challenge challengeAnswer
	if err := rpc.Call(ctx, methodChallenge, challengeParams{Nonce: nonce}, &challenge); err != nil {
		return errors.Wrap(err, "ask for challenge")
	}

	want := proof(m.options.Credential, roleServer, "", challenge.Nonce, nonce)
	if !hmac.Equal(want, challenge.Proof) {
		return errors.New("the peer does not know the credential")
	}

	hello := helloParams{
		Node:  m.options.Self,
		Proof: proof(m.options.Credential, roleClient, m.options.Self, challenge.Nonce, nonce),
	}

	return errors.Wrap(rpc.Call(ctx, methodHello, hello, nil), "say hello")
}

// inbound is one connection that a peer dialled.
type inbound struct {
	messenger *Messenger
	conn      *countedConn
	stream    *stream
	// nonce is this node's, clientNonce the peer's; nil before its challenge.
	nonce       []byte
	clientNonce []byte
	// peer is the proven name, empty before the proof.
	peer atomic.Pointer[string]
}

func (m *Messenger) serve(ctx context.Context, raw net.Conn) {
	if m.options.ServerTLS != nil {
		raw = tls.Server(raw, m.options.ServerTLS)
	}

	counted := newCountedConn(raw, m.traffic)
	// An end that proves nothing is dropped soon and can't send much.
	counted.limitUntilProven(time.Now().Add(helloTimeout))

	in := &inbound{messenger: m, conn: counted, stream: newStream(counted), nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(in.nonce); err != nil {
		_ = counted.Close()

		return
	}

	// The library closes the connection when ctx ends.
	jsonrpc2.NewConn(ctx, in.stream, in, append(in.stream.options(), inEvents(m.options.Logger))...)
}

// Handle implements jsonrpc2.Handler. The library, or the stream after the proof, calls it for one message after the other.
func (i *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}

	if i.peer.Load() == nil {
		i.handshake(ctx, conn, request, params)

		return
	}

	if request.Method == methodPing {
		reply(ctx, conn, request, struct{}{}, nil)

		return
	}

	handler, ok := i.messenger.handlers[request.Method]
	if !ok {
		reply(ctx, conn, request, nil, errors.Newf("unknown method %q", request.Method))

		return
	}

	if request.Notif {
		// Notifications keep their order: a release must not overtake another.
		_, _ = handler(ctx, *i.peer.Load(), params)

		return
	}

	if i.messenger.inline[request.Method] {
		answer, err := handler(ctx, *i.peer.Load(), params)
		reply(ctx, conn, request, answer, err)

		return
	}

	err := i.messenger.workers.Go(func() {
		answer, err := handler(ctx, *i.peer.Load(), params)
		reply(ctx, conn, request, answer, err)
	})
	if err != nil {
		reply(ctx, conn, request, nil, errors.Wrap(err, "the node's workers are busy"))
	}
}

// handshake takes the two messages of the proof; any other ends the connection.
func (i *inbound) handshake(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	switch request.Method {
	case methodChallenge:
		i.challenge(ctx, conn, request, params)
	case methodHello:
		i.hello(ctx, conn, request, params)
	default:
		_ = conn.Close()
	}
}

// challenge proves this node's knowledge of the credential and asks for the peer's.
func (i *inbound) challenge(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	var asked challengeParams
	if err := json.Unmarshal(params, &asked); err != nil || len(asked.Nonce) != nonceBytes {
		_ = conn.Close()

		return
	}

	i.clientNonce = asked.Nonce
	reply(ctx, conn, request, challengeAnswer{
		Nonce: i.nonce,
		Proof: proof(i.messenger.options.Credential, roleServer, "", i.nonce, i.clientNonce),
	}, nil)
}

// hello checks the peer's proof; from then on its other methods are taken.
func (i *inbound) hello(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	var hello helloParams

	err := json.Unmarshal(params, &hello)
	want := proof(i.messenger.options.Credential, roleClient, hello.Node, i.nonce, i.clientNonce)

	if err != nil || i.clientNonce == nil || !hmac.Equal(want, hello.Proof) {
		i.messenger.options.Logger.Warn().Str("address", i.conn.RemoteAddr().String()).Msg("peer_refused")
		_ = conn.Close()

		return
	}

	i.conn.proven()
	i.peer.Store(&hello.Node)
	i.stream.serve = func(request *jsonrpc2.Request) { i.Handle(ctx, conn, request) }
	reply(ctx, conn, request, struct{}{}, nil)
}

func reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, answer any, err error) {
	if request.Notif {
		return
	}

	// An answer that can't be sent means that the connection is gone; the peer's call ends with it.
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, encodeError(err))

		return
	}

	_ = conn.Reply(ctx, request.ID, answer)
}
