package connector

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"golang.org/x/time/rate"

	"quincepath.example/quincepath/internal/headreader"
	"quincepath.example/quincepath/internal/storer"
)

const (
	defaultCallTimeout    = 2 * time.Second
	defaultConnectTimeout = time.Second
	defaultWrites         = 100
	defaultReads          = 200
	defaultPageSize       = 500
	maxReplyBytes         = 64 << 20
	maxErrorBytes         = 64 << 10
	maxIdleConnections    = 16
)

// Paths of the calls; all but pathVMs are those of the published mapping.
const (
	pathRange     = "/v3/kv/range"
	pathPut       = "/v3/kv/put"
	pathDelete    = "/v3/kv/deleterange"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
	pathVMs       = "/vms"
)

// Options configure a Client.
type Options struct {
	// Addresses are the platform's host:port pairs or base URLs; at least one.
	Addresses []string
	// Token is the bearer token; empty means none.
	Token string
	// CallTimeout bounds a call on one address, and the opening of a watch; 0 means 2 s.
	CallTimeout time.Duration
	// ConnectTimeout bounds a connect; 0 means 1 s.
	ConnectTimeout time.Duration
	// WritesPerSecond and ReadsPerSecond are the client's own rates, each with a burst of one
	// second; 0 means 100 and 200. A call waits for its turn as long as its timeout allows.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// PageSize is the number of keys that List asks for at once; 0 means 500.
	PageSize int64
}

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = defaultWrites
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = defaultReads
	}
	if o.PageSize == 0 {
		o.PageSize = defaultPageSize
	}

	return o
}

// Client calls the platform. It is safe for concurrent use.
//
// A read that fails goes to the next address. A write goes to the next address only when
// no connection was made; once bytes may have left, it ends with ErrUnknown.
type Client struct {
	options  Options
	bases    []string
	first    atomic.Uint32
	resty    *resty.Client
	writes   *rate.Limiter
	reads    *rate.Limiter
	released func()
}

// New returns a Client; it makes no call. It fails when no address is given.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("no platform address")
	}
	options = options.withDefaults()
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: options.ConnectTimeout}).DialContext,
		ResponseHeaderTimeout: options.CallTimeout,
		MaxIdleConnsPerHost:   maxIdleConnections,
		IdleConnTimeout:       time.Minute,

		MaxResponseHeaderBytes: headreader.MaxBytes,
	}
	c := &Client{
		options:  options,
		resty:    newResty(transport, options.Token),
		writes:   limiter(options.WritesPerSecond),
		reads:    limiter(options.ReadsPerSecond),
		released: transport.CloseIdleConnections,
	}
	for _, address := range options.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.bases = append(c.bases, strings.TrimSuffix(address, "/"))
	}

	return c, nil
}

// newResty allows no redirect: following one would send a write a second time.
func newResty(transport *http.Transport, token string) *resty.Client {
	made := resty.NewWithClient(&http.Client{Transport: transport})
	made.SetRedirectPolicy(resty.RedirectPolicyFunc(func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}))
	made.SetResponseBodyLimit(maxReplyBytes)
	if token != "" {
		made.SetHeader("Authorization", "Bearer "+token)
	}

	return made
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Close releases idle connections; calls and watches end with their contexts.
func (c *Client) Close() {
	c.released()
}

// request is one call before an address is chosen for it.
type request struct {
	method string
	path   string
	// body is sent as JSON; nil means none.
	body any
	// write says that the call may change the store, so that it must not be sent twice.
	write bool
}

// read makes a call that changes nothing.
func (c *Client) read(ctx context.Context, path string, body, reply any) error {
	return c.call(ctx, request{method: http.MethodPost, path: path, body: body}, reply)
}

// write makes a call that may change the store.
func (c *Client) write(ctx context.Context, path string, body, reply any) error {
	return c.call(ctx, request{method: http.MethodPost, path: path, body: body, write: true}, reply)
}

// call tries the addresses in turn, beginning with the one that worked last.
func (c *Client) call(ctx context.Context, q request, reply any) error {
	limit := c.reads
	if q.write {
		limit = c.writes
	}
	if err := c.turn(ctx, limit); err != nil {
		return err
	}

	return c.each(ctx, func(base string) (bool, error) {
		return c.try(ctx, base, q, reply)
	})
}

func (c *Client) turn(ctx context.Context, limit *rate.Limiter) error {
	wait, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	err := limit.Wait(wait)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return storer.NotApplied(ctx.Err())
	}

	return storer.Throttled(errors.Wrap(err, "client rate"))
}

// each runs try on one address after another until it says that no other may help.
func (c *Client) each(ctx context.Context, try func(base string) (next bool, err error)) error {
	var err error
	first := c.first.Load()
	for i := range c.bases {
		at := (int(first) + i) % len(c.bases)
		var next bool
		next, err = try(c.bases[at])
		if !next {
			c.first.CompareAndSwap(first, uint32(c.after(at, err)))
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.first.CompareAndSwap(first, (first+1)%uint32(len(c.bases)))

	return err
}

// after returns the address that the next call tries first. A write whose reply
// is lost is not tried elsewhere, but the next one is: an address that takes
// connections and never answers would else hold up a client that only writes.
func (c *Client) after(at int, err error) int {
	if errors.Is(err, storer.ErrUnknown) {
		return (at + 1) % len(c.bases)
	}

	return at
}

func (c *Client) try(ctx context.Context, base string, q request, reply any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	var connected atomic.Bool
	response, err := c.request(ctx, &connected, q).Execute(q.method, base+q.path)
	if err != nil {
		return c.broken(err, q, connected.Load())
	}
	if response.StatusCode() != http.StatusOK {
		err := statusError(response.StatusCode(), response.Body(), q.write)
		return mayMove(err, q), err
	}
	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return c.broken(errors.Wrap(err, "reply"), q, true)
	}

	return false, nil
}

// request notes when a connection is taken: from then on bytes may have left.
func (c *Client) request(ctx context.Context, connected *atomic.Bool, q request) *resty.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	made := c.resty.R().SetContext(httptrace.WithClientTrace(ctx, trace))
	if q.body != nil {
		made.SetHeader("Content-Type", "application/json").SetBody(q.body)
	}

	return made
}

func (c *Client) broken(err error, q request, connected bool) (bool, error) {
	if q.write && connected {
		return false, storer.Unknown(err)
	}

	return true, storer.NotApplied(err)
}

func mayMove(err error, q request) bool {
	return !q.write && !errors.IsAny(err, storer.ErrRefused, storer.ErrCompacted, storer.ErrThrottled, storer.ErrLeaseNotFound)
}

// statusError trusts the answer's gRPC code; without one only statuses that refuse a call count as such.
func statusError(status int, body []byte, write bool) error {
	var answer wireFailure
	if json.Unmarshal(body, &answer) == nil && answer.Code > 0 {
		return storer.FromStatus(answer.Code, answer.Message, write)
	}
	code := storer.StatusUnavailable
	switch status {
	case http.StatusTooManyRequests:
		code = storer.StatusResourceExhausted
	case http.StatusUnauthorized:
		code = storer.StatusUnauthenticated
	case http.StatusForbidden:
		code = storer.StatusPermissionDenied
	case http.StatusBadRequest:
		code = storer.StatusInvalidArgument
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		code = storer.StatusUnimplemented
	}

	return storer.FromStatus(code, http.StatusText(status), write)
}

// Watch reports the changes of all keys with a prefix from a revision on; 0 means from now.
//
// It returns once the platform has answered; the channel closes when ctx ends or after a message
// with Err. The client doesn't reopen it and can't tell an idle watch from one that silently
// died: a caller reads the prefix anew from time to time, and opens a new watch from the
// revision read when that shows a change the watch didn't tell. After an error a caller
// waits, each time longer and for a random time, before it opens a new one.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan storer.WatchEvents, error) {
	if err := c.turn(ctx, c.reads); err != nil {
		return nil, err
	}
	key, end := storer.PrefixRange(prefix)
	body := wireWatch{Create: wireWatchCreate{Key: []byte(key), RangeEnd: []byte(end), StartRevision: from}}
	stream, err := c.open(ctx, request{method: http.MethodPost, path: pathWatch, body: body})
	if err != nil {
		return nil, err
	}
	messages := make(chan storer.WatchEvents)
	go deliver(ctx, stream, messages)

	return messages, nil
}

// open returns the stream of the first address that answers a watch with one.
func (c *Client) open(ctx context.Context, q request) (io.ReadCloser, error) {
	var stream io.ReadCloser
	err := c.each(ctx, func(base string) (bool, error) {
		var connected atomic.Bool
		response, err := c.request(ctx, &connected, q).SetDoNotParseResponse(true).Execute(q.method, base+q.path)
		if err != nil {
			return true, storer.NotApplied(err)
		}
		if response.StatusCode() == http.StatusOK {
			stream = response.RawBody()
			return false, nil
		}
		defer response.RawBody().Close()
		answer, err := io.ReadAll(io.LimitReader(response.RawBody(), maxErrorBytes))
		if err != nil {
			return true, storer.NotApplied(errors.Wrap(err, "reply"))
		}
		err = statusError(response.StatusCode(), answer, false)
		return mayMove(err, q), err
	})

	return stream, err
}

func deliver(ctx context.Context, stream io.ReadCloser, messages chan<- storer.WatchEvents) {
	defer close(messages)
	defer stream.Close()
	decoder := json.NewDecoder(stream)
	for {
		var reply wireWatchReply
		err := decoder.Decode(&reply)
		if ctx.Err() != nil {
			return
		}
		message := reply.message()
		if err != nil {
			message = storer.WatchEvents{Err: storer.NotApplied(errors.Wrap(err, "watch"))}
		}
		select {
		case messages <- message:
		case <-ctx.Done():
			return
		}
		if message.Err != nil {
			return
		}
	}
}
