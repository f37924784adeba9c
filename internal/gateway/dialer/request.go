package dialer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/headreader"
)

// Request is an HTTP request that can be sent several times.
type Request struct {
	Method string
	// Host and URI are sent unchanged.
	Host string
	URI  string
	// Header must not be modified during an exchange.
	Header http.Header
	Body   []byte
	// IDHeader is the name of the header that the upstream repeats in its response; ID is its value.
	IDHeader string
	ID       string
}

// httpRequest converts the request for net/http.
func (r *Request) httpRequest() (*http.Request, error) {
	requestURL := &url.URL{Scheme: "http", Host: r.Host, Opaque: r.URI}

	if strings.HasPrefix(r.URI, "//") || !strings.HasPrefix(r.URI, "/") {
		parsed, err := url.ParseRequestURI(r.URI)
		if err != nil {
			return nil, errors.Wrap(err, "parse request URI")
		}

		requestURL = parsed
	}

	outgoing := &http.Request{Method: r.Method, URL: requestURL, Host: r.Host, Header: r.Header, ProtoMajor: 1, ProtoMinor: 1}

	if len(r.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(r.Body))
		outgoing.ContentLength = int64(len(r.Body))
	}

	return outgoing, nil
}

func writeRequest(c *conn, outgoing *http.Request) error {
	writer := bufio.NewWriterSize(c, bufferBytes)
	if err := outgoing.Write(writer); err != nil {
		return err
	}

	return writer.Flush()
}

// readResponse reads the response to the request and skips responses with another request ID. An upstream may send
// a duplicate response to an earlier request; without the check, a caller could receive another caller's response.
func (c *conn) readResponse(outgoing *http.Request, request *Request) (*http.Response, error) {
	for range maxStaleResponses + 1 {
		c.head.Begin()

		response, err := headreader.ReadResponse(c.reader, outgoing)

		c.head.End()

		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}

		if id := response.Header.Get(request.IDHeader); id == "" || id == request.ID {
			return response, nil
		}

		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleResponseBytes)); err != nil || n == maxStaleResponseBytes {
			return nil, errors.New("stale response to an earlier request is too large")
		}
	}

	return nil, errors.New("too many responses to other requests")
}
