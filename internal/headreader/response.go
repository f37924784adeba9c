package headreader

import (
	"bufio"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxStatus is the highest status of a response (RFC 9110, section 15).
const maxStatus = 599

var (
	// ErrInvalidStatus means that a response has a status that the protocol doesn't know. What it says of the request is unknown.
	ErrInvalidStatus = errors.New("the response has an invalid status")
	errSwitched      = errors.New("the server switched protocols")
)

// CheckStatus returns ErrInvalidStatus unless the status is that of a final response.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrInvalidStatus, "%d", status)
	}

	return nil
}

// ReadResponse reads a final response, of which the reader holds the head, and skips the interim (1xx) ones before it, which count as
// parts of its head.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}

		switch status := response.StatusCode; {
		case status == http.StatusSwitchingProtocols:
			return nil, errSwitched
		case status < http.StatusContinue || status >= http.StatusOK:
			return response, CheckStatus(status)
		}
	}
}
