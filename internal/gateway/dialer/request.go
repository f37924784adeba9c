package dialer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// Request is one request; it may be sent several times.
type Request struct {
	Method string
	// Host and URI are sent as they are.
	Host string
	URI  string
	// Header must not be changed while an exchange runs.
	Header http.Header
	Body   []byte
	// IDHeader names the header that the upstream repeats in its answer; ID is its value.
	IDHeader string
	ID       string
}

// outgoing returns the request as net/http writes it.
func (r *Request) outgoing() (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: r.Host, Opaque: r.URI}

	if strings.HasPrefix(r.URI, "//") || !strings.HasPrefix(r.URI, "/") {
		parsed, err := url.ParseRequestURI(r.URI)
		if err != nil {
			return nil, errors.Wrap(err, "parse the path")
		}

		target = parsed
	}

	outgoing := &http.Request{Method: r.Method, URL: target, Host: r.Host, Header: r.Header, ProtoMajor: 1, ProtoMinor: 1}

	if len(r.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(r.Body))
		outgoing.ContentLength = int64(len(r.Body))
	}

	return outgoing, nil
}

func writeRequest(c *conn, outgoing *http.Request) error {
	writer := bufio.NewWriterSize(c, readBuffer)
	if err := outgoing.Write(writer); err != nil {
		return err
	}

	return writer.Flush()
}

// readAnswer reads the answer to the request. An upstream may send a second answer to an earlier
// request; taken for the next one's it would give a caller somebody else's answer. The id tells.
func readAnswer(reader *bufio.Reader, outgoing *http.Request, request *Request) (*http.Response, error) {
	for range strayAnswers + 1 {
		answer, err := readFinal(reader, outgoing)
		if err != nil {
			return nil, err
		}

		if id := answer.Header.Get(request.IDHeader); id == "" || id == request.ID {
			return answer, nil
		}

		if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, strayBytes)); err != nil || n == strayBytes {
			return nil, errors.New("the answer to another request is too long")
		}
	}

	return nil, errors.New("the upstream answers other requests")
}

// readFinal skips interim answers.
func readFinal(reader *bufio.Reader, outgoing *http.Request) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(reader, outgoing)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}

		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}

		if answer.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switches protocols")
		}
	}
}
