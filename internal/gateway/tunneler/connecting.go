package tunneler

import (
	"bufio"
	"context"
	"crypto/hmac"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/headreader"
)

// maxReasonBytes bounds the reason that is read from a peer's refusal.
const maxReasonBytes = 512

// Connect opens a tunnel to the upstream through the peer that listens on the address. Failures that say
// nothing about the upstream are marked with dialer.ErrPeerUnavailable.
func (t *Tunneler) Connect(ctx context.Context, address string, upstream dialer.Upstream) (net.Conn, error) {
	raw, err := t.options.DialPeer(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect to peer"), dialer.ErrPeerUnavailable)
	}

	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	// The heads of a peer's answers fit into what needs no shared memory.
	head := headreader.New(raw, maxHeaderBytes, headreader.NewMemory(0))
	c := &conn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, bufferBytes)}
	err = t.request(c, upstream)

	if !stop() && err == nil {
		err = errors.Mark(context.Cause(ctx), dialer.ErrPeerUnavailable)
	}

	if err != nil {
		_ = raw.Close()

		return nil, err
	}

	return c, nil
}

// request proves the credential to the peer and asks for the tunnel.
func (t *Tunneler) request(c *conn, upstream dialer.Upstream) error {
	nonce := newNonce()

	first, err := c.roundTrip(upstream, encodeParameters(nonce))
	if err != nil {
		return err
	}

	challenge, ok := parseParameters(first.challenge, 2)
	if first.status != http.StatusProxyAuthRequired || !ok {
		return errors.Mark(errors.Newf("peer sent no challenge: status %d", first.status), dialer.ErrPeerUnavailable)
	}

	if want := proof(t.options.Credential, roleServer, "", upstream, challenge[0], nonce); !hmac.Equal([]byte(want), []byte(challenge[1])) {
		return errors.Mark(errors.New("the peer does not know the credential"), dialer.ErrPeerUnavailable)
	}

	credentials := proof(t.options.Credential, roleClient, t.options.Self, upstream, challenge[0], nonce)

	second, err := c.roundTrip(upstream, encodeParameters(t.options.Self, nonce, credentials))
	if err != nil {
		return err
	}

	if second.status == http.StatusOK {
		return nil
	}

	err = errors.Newf("peer refused the tunnel: status %d: %s", second.status, second.reason)

	if second.status != http.StatusBadGateway {
		err = errors.Mark(err, dialer.ErrPeerUnavailable)
	}

	return err
}

// answer is a peer's answer to a request for a tunnel.
type answer struct {
	status    int
	challenge string
	// reason is the text of a refusal.
	reason string
}

// roundTrip sends a request for a tunnel and reads the answer.
func (c *conn) roundTrip(upstream dialer.Upstream, credentials string) (answer, error) {
	request := &http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Opaque: upstream.Address},
		Host:   upstream.Address,
		Header: http.Header{
			"User-Agent":      {""},
			upstreamHeader:    {upstream.ID},
			credentialsHeader: {credentials},
		},
	}

	if err := request.Write(c.Conn); err != nil {
		return answer{}, errors.Mark(errors.Wrap(err, "ask peer for a tunnel"), dialer.ErrPeerUnavailable)
	}

	c.head.Begin()

	response, err := http.ReadResponse(c.reader, request)

	c.head.End()

	if err != nil {
		return answer{}, errors.Mark(errors.Wrap(err, "ask peer for a tunnel"), dialer.ErrPeerUnavailable)
	}

	received := answer{status: response.StatusCode, challenge: response.Header.Get(challengeHeader)}
	// What follows the header of a successful response belongs to the tunnel.
	if received.status == http.StatusOK {
		return received, nil
	}
	defer response.Body.Close()

	reason, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	if err != nil {
		return answer{}, errors.Mark(errors.Wrap(err, "read the peer's answer"), dialer.ErrPeerUnavailable)
	}

	received.reason = strings.TrimSpace(string(reason))

	return received, nil
}
