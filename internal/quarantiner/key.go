// Package quarantiner detects requests that crash the upstreams that run them, and prevents them from running.
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cockroachdb/errors"
)

// keyBytes is the length of a Key. It is long enough that no two requests share a key by chance or by design.
const keyBytes = 16

// Key identifies a request by its content and caller, whatever its request id: a request that is sent again has the same
// key. The keys of prompt parts have the same form.
type Key [keyBytes]byte

// KeyOf returns the key of a request. caller is its organisation, empty if it has none; uri is the path with the query.
func KeyOf(caller, method, host, uri string, body []byte) Key {
	sum := sha256.New()
	writeFields(sum, caller, method, host, uri)
	_, _ = sum.Write(body)

	return Key(sum.Sum(nil)[:keyBytes])
}

// writeFields writes fields with their lengths, so that no other fields give the same bytes.
func writeFields(sum hash.Hash, fields ...string) {
	for _, field := range fields {
		var length [8]byte

		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = sum.Write(length[:])
		_, _ = io.WriteString(sum, field)
	}
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
		return errors.Newf("request key must have %d hexadecimal digits, not %d", hex.EncodedLen(keyBytes), len(text))
	}

	_, err := hex.Decode(k[:], text)

	return errors.Wrap(err, "decode request key")
}
