// Package fetcher asks engines about their caches over the node's connections to upstreams.
package fetcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cachetracker"
	"quincepath.example/quincepath/internal/gateway/dialer"
)

// maxBodyBytes limits the size of a response. A list of the most parts that are tracked has less than half of it.
const maxBodyBytes = 1 << 20

// Protocol defines the calls.
type Protocol interface {
	// ListCall returns the URI of the call for a list.
	ListCall() string
	// EventsCall returns the URI and header of the call for events.
	EventsCall(since int64, wait time.Duration) (string, http.Header)
	// DecodeList and DecodeEvents decode the bodies of responses. They reject invalid ones as a whole.
	DecodeList(body []byte) (balancer.CacheList, error)
	DecodeEvents(body []byte) (cachetracker.Changes, error)
}

// Exchanger sends requests to upstreams.
type Exchanger interface {
	Exchange(ctx context.Context, upstream dialer.Upstream, request *dialer.Request) (*dialer.Response, error)
}

// Fetcher implements cachetracker.Source.
type Fetcher struct {
	Exchanger Exchanger
	Protocol  Protocol
}

// List implements cachetracker.Source.
func (f *Fetcher) List(ctx context.Context, engine cachetracker.Engine) (balancer.CacheList, error) {
	body, err := f.get(ctx, engine, f.Protocol.ListCall(), nil)
	if err != nil {
		return balancer.CacheList{}, err
	}

	list, err := f.Protocol.DecodeList(body)

	return list, markInvalid(err)
}

// Events implements cachetracker.Source.
func (f *Fetcher) Events(ctx context.Context, engine cachetracker.Engine, since int64, wait time.Duration) (cachetracker.Changes, error) {
	uri, header := f.Protocol.EventsCall(since, wait)

	body, err := f.get(ctx, engine, uri, header)
	if err != nil {
		return cachetracker.Changes{}, err
	}

	changes, err := f.Protocol.DecodeEvents(body)

	return changes, markInvalid(err)
}

func markInvalid(err error) error {
	if err == nil {
		return nil
	}

	return errors.Mark(err, cachetracker.ErrInvalid)
}

func (f *Fetcher) get(ctx context.Context, engine cachetracker.Engine, uri string, header http.Header) ([]byte, error) {
	response, err := f.Exchanger.Exchange(ctx, dialer.Upstream{ID: engine.ID, Address: engine.Address}, &dialer.Request{
		Method: http.MethodGet, Host: engine.Address, URI: uri, Header: header,
	})
	if err != nil {
		return nil, err
	}
	defer response.Close()

	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return nil, errors.Mark(errors.Newf("status %d", response.StatusCode), cachetracker.ErrUnsupported)
	case http.StatusTooManyRequests:
		return nil, errors.Mark(errors.Newf("status %d", response.StatusCode), cachetracker.ErrBusy)
	default:
		return nil, errors.Newf("status %d", response.StatusCode)
	}

	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))

	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read the response")
	case len(body) > maxBodyBytes:
		return nil, errors.Mark(errors.Newf("the response has more than %d bytes", maxBodyBytes), cachetracker.ErrInvalid)
	}

	return body, nil
}
