// Package forwarder sends requests to upstreams and reports reliably whether any
// byte of a failed request may have been sent.
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

	"quincepath.example/quincepath/internal/breakdetector"
	"quincepath.example/quincepath/internal/headreader"
	"quincepath.example/quincepath/internal/throttler"
)

// Headers sent to upstreams.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderRateLimit is a header of upstreams' responses: the number of requests a second that the upstream accepts from all
// nodes together, for as long as it says so.
const HeaderRateLimit = "X-Rate-Limit"

const (
	dialTimeout        = 2 * time.Second
	downCheckTimeout   = 400 * time.Millisecond
	keepAliveInterval  = 15 * time.Second
	idleConnTimeout    = 30 * time.Second
	maxIdlePerUpstream = 256
)

// ErrNotSent marks failures before any byte of the request can have been sent.
var ErrNotSent = errors.New("request was not sent")

// Options configure a Client.
type Options struct {
	// BearerKey authenticates the node to upstreams. If it is empty, no Authorization header is sent.
	BearerKey string
	// RateLimits takes what responses say of rate limits; nil if that is not needed.
	RateLimits RateLimits
}

// RateLimits keeps the rate limits that upstreams name.
type RateLimits interface {
	// Version returns the version of the limit that is known of an upstream.
	Version(upstream string) int64
	// Observe takes the rate that a response named, if it named one, and the version that was known when the request was
	// sent.
	Observe(upstream string, rate float64, named bool, known int64)
}

// Call is one HTTP exchange with an upstream.
type Call struct {
	Method string
	URL    string
	// Upstream identifies the upstream for its rate limit; empty if the call doesn't count for it.
	Upstream string
	Header   http.Header
	Body     []byte
	// RequestID, Attempt and Priority are sent as headers.
	RequestID string
	Attempt   int
	Priority  int
	// UseNewConnection sends the request on a connection that has not been used before.
	UseNewConnection bool
}

// Client sends calls to upstreams. It is safe for concurrent use.
type Client struct {
	bearerKey  string
	rateLimits RateLimits
	pooled     *http.Client
	// singleUse never reuses a connection. When a reused connection breaks, net/http
	// resends the request by itself if it has an Idempotency-Key header or no body.
	// The upstream would then run it twice without this client noticing. net/http
	// doesn't resend a request that failed on a new connection.
	singleUse *http.Client
}

// NewClient returns a client with its own connection pools.
func NewClient(options Options) *Client {
	return &Client{
		bearerKey:  options.BearerKey,
		rateLimits: options.RateLimits,
		pooled:     &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		singleUse:  &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
	}
}

// Do sends the call and returns the response; the caller must close its body. The error is
// marked with ErrNotSent if no byte of the request can have been sent.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool

	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}

	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, call.URL, newBody(call.Body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build upstream request"), ErrNotSent)
	}

	request.ContentLength = int64(len(call.Body))
	c.setHeaders(request, call)

	client := c.pooled
	if call.UseNewConnection {
		client = c.singleUse
	}

	knownLimit := c.knownLimit(call.Upstream)

	response, err := client.Do(request)
	if err == nil {
		if err := headreader.CheckStatus(response.StatusCode); err != nil {
			_ = response.Body.Close()

			return nil, errors.Wrap(err, "exchange with upstream")
		}

		c.observeLimit(call.Upstream, response, knownLimit)

		return response, nil
	}

	if !connected.Load() {
		return nil, errors.Mark(errors.Wrap(err, "connect to upstream"), ErrNotSent)
	}

	return nil, errors.Wrap(err, "exchange with upstream")
}

func (c *Client) knownLimit(upstream string) int64 {
	if c.rateLimits == nil || upstream == "" {
		return 0
	}

	return c.rateLimits.Version(upstream)
}

// observeLimit passes on what a response says of the upstream's rate limit.
func (c *Client) observeLimit(upstream string, response *http.Response, known int64) {
	if c.rateLimits == nil || upstream == "" {
		return
	}

	if rate, named, ok := throttler.ParseRate(response.Header.Get(HeaderRateLimit)); ok {
		c.rateLimits.Observe(upstream, rate, named, known)
	}
}

// CloseIdleConnections closes all idle connections. The client remains usable.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

func (c *Client) setHeaders(request *http.Request, call Call) {
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

func newBody(data []byte) io.Reader {
	if len(data) == 0 {
		return http.NoBody
	}

	return &singleUseBody{data: data}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func newTransport(disableReuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}

	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}

			return &conn{Conn: c}, nil
		},
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   disableReuse,
		DisableCompression:  true,

		MaxResponseHeaderBytes: headreader.MaxBytes,
	}
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	breaks breakdetector.Detector
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.breaks.Read(c.Conn, p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.breaks.Write(c.Conn, p) }

// singleUseBody is a request body that net/http can't rewind, and therefore can't resend by itself.
type singleUseBody struct {
	data []byte
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}

	n := copy(p, b.data)
	b.data = b.data[n:]

	return n, nil
}

// IsDown reports whether no server accepts a new connection at a base URL. It returns false if ctx is cancelled first.
func IsDown(ctx context.Context, baseURL string) bool {
	base, err := url.Parse(baseURL)
	if err != nil {
		return false
	}

	connection, err := (&net.Dialer{Timeout: downCheckTimeout}).DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return !errors.Is(err, context.Canceled)
	}

	_ = connection.Close()

	return false
}
