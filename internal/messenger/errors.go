package messenger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"quincepath.example/quincepath/pkg/classifier"
)

// errorData carries a numbered result in the data of a JSON-RPC error.
type errorData struct {
	ResultCode   int            `json:"result_code"`
	Ran          classifier.Ran `json:"ran"`
	RetryAfterNS int64          `json:"retry_after_ns"`
}

// encodeError gives the peer the numbered result of a handler that failed.
func encodeError(err error) *jsonrpc2.Error {
	numbered := classifier.From(err)
	encoded := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: numbered.Reason}
	encoded.SetError(errorData{ResultCode: int(numbered.Code), Ran: numbered.Ran, RetryAfterNS: int64(numbered.RetryAfter)})

	return encoded
}

// decodeError returns the numbered result of the peer as a classifier.Error; an
// error without data, as refuseAll answers, has no number.
func decodeError(answered *jsonrpc2.Error) error {
	if answered.Data == nil {
		return errors.Newf("peer answered %d: %s", answered.Code, answered.Message)
	}

	var data errorData
	if err := json.Unmarshal(*answered.Data, &data); err != nil {
		return errors.Wrap(err, "decode the peer's error")
	}

	numbered := classifier.New(classifier.Code(data.ResultCode), "%s", answered.Message)
	numbered.Ran = data.Ran

	return numbered.After(time.Duration(data.RetryAfterNS))
}
