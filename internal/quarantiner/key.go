// Package quarantiner finds requests that crash the upstreams that run them, and
// keeps them from running.
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// keyBytes is the length of a Key; enough that no two requests share one by chance or by design.
const keyBytes = 16

// Key names what a request asks for and who asks, whatever its id: a request that is sent again has the same one.
type Key [keyBytes]byte

// KeyOf returns the key of a request. The caller is its organisation, empty where it shows none; uri is the path with the query.
func KeyOf(caller, method, host, uri string, body []byte) Key {
	sum := sha256.New()

	for _, part := range []string{caller, method, host, uri} {
		var length [8]byte

		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:])
		_, _ = io.WriteString(sum, part)
	}

	_, _ = sum.Write(body)

	return Key(sum.Sum(nil)[:keyBytes])
}

// String returns the key in hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, k[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keyBytes) {
		return errors.Newf("a request key has %d digits, not %d", hex.EncodedLen(keyBytes), len(text))
	}

	_, err := hex.Decode(k[:], text)

	return errors.Wrap(err, "read a request key")
}
