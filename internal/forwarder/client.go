// Package forwarder sends requests to upstreams and tells exactly whether any
// byte of a request can have left.
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that upstreams receive.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	dialTimeout     = 2 * time.Second
	checkTimeout    = 400 * time.Millisecond
	keepAlive       = 15 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerUpstream = 256
)

// ErrNotSent marks failures before any byte of the request can have left.
var ErrNotSent = errors.New("the request was not sent")

// Options are the fixed settings of a client.
type Options struct {
	// BearerKey authenticates the node to upstreams; empty sends none.
	BearerKey string
}

// Call is one HTTP exchange with an upstream.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// RequestID, Attempt and Priority become headers.
	RequestID string
	Attempt   int
	Priority  int
	// UseNewConnection asks for a connection that carried nothing before.
	UseNewConnection bool
}

// Client sends calls to upstreams. It is safe for concurrent use.
type Client struct {
	bearerKey string
	pooled    *http.Client
	// fresh never reuses a connection. On a reused connection net/http sends a
	// request again by itself when the connection breaks and the request has an
	// Idempotency-Key header or no body; the upstream would then run it twice
	// and nothing here would show it. A connection used once never does that.
	fresh *http.Client
}

// NewClient returns a client with its own connections.
func NewClient(options Options) *Client {
	return &Client{
		bearerKey: options.BearerKey,
		pooled:    &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		fresh:     &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
	}
}

// Do sends the call and returns the answer with its body open. The error wraps
// ErrNotSent when no byte of the request can have left.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool

	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}

	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, call.URL, body(call.Body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build upstream request"), ErrNotSent)
	}

	request.ContentLength = int64(len(call.Body))
	c.fillHeader(request, call)

	client := c.pooled
	if call.UseNewConnection {
		client = c.fresh
	}

	response, err := client.Do(request)
	if err == nil {
		return response, nil
	}

	if !connected.Load() {
		return nil, errors.Mark(errors.Wrap(err, "connect to upstream"), ErrNotSent)
	}

	return nil, errors.Wrap(err, "exchange with upstream")
}

// CloseIdleConnections ends all idle connections.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func (c *Client) fillHeader(request *http.Request, call Call) {
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}

	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	request.Header.Del("Authorization")

	if c.bearerKey != "" {
		request.Header.Set("Authorization", "Bearer "+c.bearerKey)
	}
}

func body(data []byte) io.Reader {
	if len(data) == 0 {
		return http.NoBody
	}

	return &onceReader{data: data}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func newTransport(disableReuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}

	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   disableReuse,
		DisableCompression:  true,
	}
}

// onceReader is a body that net/http can't rewind, so that it can't send it twice by itself.
type onceReader struct {
	data []byte
}

// Read implements io.Reader.
func (o *onceReader) Read(p []byte) (int, error) {
	if len(o.data) == 0 {
		return 0, io.EOF
	}

	n := copy(p, o.data)
	o.data = o.data[n:]

	return n, nil
}

// IsDown says whether nothing takes a new connection at a base URL. It returns false where ctx ends first.
func IsDown(ctx context.Context, address string) bool {
	base, err := url.Parse(address)
	if err != nil {
		return false
	}

	connection, err := (&net.Dialer{Timeout: checkTimeout}).DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return !errors.Is(err, context.Canceled)
	}

	_ = connection.Close()

	return false
}
