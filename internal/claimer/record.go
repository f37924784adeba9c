package claimer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// record is one item of a segment, which is a sequence of CBOR items. Exactly
// one of Opened, Claim, Done and Void is set.
type record struct {
	// Opened is the shard's time in milliseconds at which the segment began; the first record holds it.
	Opened *int64 `cbor:"1,keyasint,omitempty"`
	// Through and Packed stand beside Opened in a compacted segment: the number of
	// the last segment that went into it, and the packed claims of ended runs.
	Through int64  `cbor:"2,keyasint,omitempty"`
	Packed  []byte `cbor:"3,keyasint,omitempty"`
	// Claim, Done and Void hold a claim's id.
	Claim string `cbor:"4,keyasint,omitempty"`
	Done  string `cbor:"5,keyasint,omitempty"`
	Void  string `cbor:"6,keyasint,omitempty"`
	// Key, Body and Request belong to Claim; Key and Body are hashes of hashBytes.
	Key     []byte `cbor:"7,keyasint,omitempty"`
	Body    []byte `cbor:"8,keyasint,omitempty"`
	Request string `cbor:"9,keyasint,omitempty"`
	// Result belongs to Done.
	Result *Result `cbor:"10,keyasint,omitempty"`
}

// head is the value of a shard's head key.
type head struct {
	// At is the shard's time in milliseconds at the last write.
	At int64 `cbor:"1,keyasint"`
	// First and Last number the segments of the window; Last is 0 before the first write.
	First int64 `cbor:"2,keyasint"`
	Last  int64 `cbor:"3,keyasint"`
	// Compactions counts them. A node that knows another number holds segments
	// that the store no longer has, and would delete what it doesn't know.
	Compactions int64 `cbor:"4,keyasint"`
}

// The modes are made from fixed options, which are valid. A field that this code doesn't
// know is an error: skipping it could make a claimed key look free.
var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

func (r record) encode() []byte {
	// A record has only strings, numbers and bytes, which always encode.
	encoded, _ := encoding.Marshal(r)

	return encoded
}

// decodeRecords calls take for each record of a sequence until one returns false.
func decodeRecords(sequence []byte, take func(record) bool) error {
	for len(sequence) > 0 {
		var r record

		rest, err := decoding.UnmarshalFirst(sequence, &r)
		if err != nil {
			return errors.Wrap(err, "decode a record")
		}

		if !take(r) {
			return nil
		}

		sequence = rest
	}

	return nil
}
