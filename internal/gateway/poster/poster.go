// Package poster sends HTTP calls for which the sender needs an authority that may end at any time: no byte of a call is sent after
// its authority was found to have ended, and none arrives after the call was abandoned.
package poster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/headreader"
)

// headMemory is the memory that the head of a response may take, in bytes.
const headMemory = 256 << 10

// Call is one POST call with a JSON body.
type Call struct {
	// Address is the IP:port of the server.
	Address string
	Path    string
	Header  map[string]string
	Body    any
	// Authorise returns an error if the call must not be sent any more.
	Authorise func() error
}

// Send makes the call on a new connection and returns the status of the response. It doesn't use http.Client, which would write
// the header before reading a body that may fail, and would dial after the authority was checked.
func Send(ctx context.Context, dialer *net.Dialer, call Call) (int, error) {
	message, err := call.encode(ctx)
	if err != nil {
		return 0, errors.Wrap(err, call.Path)
	}

	connection, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return 0, errors.Wrap(err, call.Path)
	}

	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	defer connection.Close()

	if tcp, ok := connection.(*net.TCPConn); ok {
		// Data that is still unsent because the link is cut must not arrive after the call was abandoned.
		_ = tcp.SetLinger(0)
	}

	if err := call.Authorise(); err != nil {
		return 0, errors.Wrap(err, call.Path)
	}

	if _, err := connection.Write(message); err != nil {
		return 0, errors.Wrap(err, call.Path)
	}

	head := headreader.New(connection, headreader.MaxBytes, headreader.NewMemory(headMemory))
	head.Begin()

	response, err := headreader.ReadResponse(bufio.NewReader(head), nil)
	if err != nil {
		return 0, errors.Wrap(err, call.Path)
	}

	_ = response.Body.Close()

	return response.StatusCode, nil
}

// encode returns the HTTP request as bytes.
func (c *Call) encode(ctx context.Context) ([]byte, error) {
	data, err := json.Marshal(c.Body)
	if err != nil {
		return nil, err
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+c.Path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}

	request.Close = true
	request.Header.Set("Content-Type", "application/json")

	for name, value := range c.Header {
		request.Header.Set(name, value)
	}

	var message bytes.Buffer

	err = request.Write(&message)

	return message.Bytes(), err
}
