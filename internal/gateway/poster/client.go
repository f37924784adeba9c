package poster

import (
	"net"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"quincepath.example/quincepath/internal/headreader"
)

const (
	// idleConnections is enough for the concurrent calls of one node.
	idleConnections = 4
	idleTimeout     = 30 * time.Second
)

// NewClient returns a client for calls of the HTTP server at the given IP:port that need no authority. It follows no redirects
// and rejects responses with more than maxResponseBytes.
func NewClient(address string, connectTimeout time.Duration, maxResponseBytes int) *resty.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: headreader.MaxBytes,
	}

	return resty.NewWithClient(&http.Client{Transport: transport}).
		SetBaseURL("http://" + address).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		SetResponseBodyLimit(maxResponseBytes).
		SetDisableWarn(true)
}
