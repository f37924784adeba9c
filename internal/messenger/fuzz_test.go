package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// FuzzReadObject checks that no bytes of a peer end the reader by a panic or
// get past the bound on a message's length.
func FuzzReadObject(f *testing.F) {
	const limit = 1 << 10

	for _, seed := range []string{`{"jsonrpc":"2.0","id":1,"method":"peer.ping"}`, `{}`, `[`, `{"id":null,"params":{}}`} {
		f.Add(append(binary.AppendUvarint(nil, uint64(len(seed))), seed...))
	}

	f.Add(binary.AppendUvarint(nil, 1<<40))
	f.Add(bytes.Repeat([]byte{0xff}, 12))

	f.Fuzz(func(t *testing.T, message []byte) {
		length, read := binary.Uvarint(message)

		var request jsonrpc2.Request

		err := boundedCodec{limit: limit}.ReadObject(bufio.NewReader(bytes.NewReader(message)), &request)
		if read > 0 && length > limit {
			assert.Assert(t, err != nil)
		}
	})
}
