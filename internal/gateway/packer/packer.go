// Package packer encodes messages between nodes into payloads and transfers them in pages.
//
// A payload is encoded once, however many peers request it. Each page is transferred with its own deadline, so that a
// long payload also arrives over a slow link; otherwise it would time out and start over indefinitely. A partial
// transfer can resume from any peer that has the same payload.
package packer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// pageBytes is the size of a page. A node with a 20 Mbit/s link sends one page to each of 20 peers in 0.26 s.
	pageBytes = 24 << 10
	// maxUncompressedBytes is the length up to which a payload isn't compressed: the compressor's tables cost more
	// than they save.
	maxUncompressedBytes = 2 << 10
	// maxDecodedBytes bounds a decoded payload, so that a malformed one can't exhaust the memory.
	maxDecodedBytes = 16 << 20
)

// Encodings, given by the first byte of a payload.
const (
	encodingPlain   = 'p'
	encodingDeflate = 'c'
)

// Payload is an encoded value. The zero Payload is empty.
type Payload struct {
	// ID is a hash of the payload's content.
	ID   uint64
	data []byte
}

// Pack encodes a value and compresses long ones.
func Pack(value any) (Payload, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Payload{}, errors.Wrap(err, "encode payload")
	}

	if len(encoded) <= maxUncompressedBytes {
		return newPayload(append([]byte{encodingPlain}, encoded...)), nil
	}

	packed := bytes.NewBuffer([]byte{encodingDeflate})

	writer, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return Payload{}, errors.Wrap(err, "compress payload")
	}

	if _, err := writer.Write(encoded); err != nil {
		return Payload{}, errors.Wrap(err, "compress payload")
	}

	if err := writer.Close(); err != nil {
		return Payload{}, errors.Wrap(err, "compress payload")
	}

	return newPayload(bytes.Clone(packed.Bytes())), nil
}

func newPayload(data []byte) Payload {
	return Payload{ID: xxhash.Sum64(data), data: data}
}

// Size returns the length of the payload in bytes.
func (p Payload) Size() int {
	return len(p.data)
}

// Unpack decodes the payload into value.
func (p Payload) Unpack(value any) error {
	if len(p.data) == 0 {
		return errors.New("payload is empty")
	}

	var encoded io.Reader = bytes.NewReader(p.data[1:])

	switch p.data[0] {
	case encodingPlain:
	case encodingDeflate:
		encoded = flate.NewReader(encoded)
	default:
		return errors.Newf("unknown payload encoding %q", p.data[0])
	}

	decoder := json.NewDecoder(io.LimitReader(encoded, maxDecodedBytes))
	if streamed, ok := value.(streamDecoder); ok {
		return errors.Wrap(streamed.DecodeStream(decoder), "decode payload")
	}

	return errors.Wrap(decoder.Decode(value), "decode payload")
}

// streamDecoder is implemented by values that decode themselves part by part, so that the encoded text isn't in memory as
// a whole.
type streamDecoder interface {
	DecodeStream(decoder *json.Decoder) error
}

// Page is a contiguous part of a payload.
type Page struct {
	// ID is the ID of the payload.
	ID uint64 `json:"id"`
	// Size is the length of the whole payload in bytes.
	Size int `json:"size"`
	// Offset is the position of the page in the payload.
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data"`
}

// IsLast reports whether the payload ends with this page.
func (p Page) IsLast() bool {
	return p.Offset+len(p.Data) >= p.Size
}

// Page returns the page that follows the receiver's progress, or the first one if the progress is of another payload.
func (p Payload) Page(progress Progress) Page {
	offset := 0
	if progress.ID == p.ID && progress.Bytes > 0 && progress.Bytes < len(p.data) {
		offset = progress.Bytes
	}

	end := min(offset+pageBytes, len(p.data))

	return Page{ID: p.ID, Size: len(p.data), Offset: offset, Data: p.data[offset:end]}
}

// Progress is how much of a payload has been received. The zero Progress means none.
type Progress struct {
	ID    uint64 `json:"id"`
	Bytes int    `json:"bytes"`
}

// Assembler reassembles the pages of one payload. The zero Assembler is empty.
type Assembler struct {
	id   uint64
	data []byte
}

// Progress returns how much of the payload has been received so far.
func (a *Assembler) Progress() Progress {
	return Progress{ID: a.id, Bytes: len(a.data)}
}

// Add adds a page and returns the payload once it is complete. A page that doesn't continue the current transfer
// restarts it if it is a first page, and is ignored otherwise.
func (a *Assembler) Add(page Page) (Payload, bool, error) {
	switch {
	case page.Size < 0 || page.Size > maxDecodedBytes || page.Offset < 0:
		*a = Assembler{}

		return Payload{}, false, errors.Newf("invalid page: payload of %d bytes, page at %d", page.Size, page.Offset)
	case page.Offset == 0:
		*a = Assembler{id: page.ID}
	case page.ID != a.id || page.Offset != len(a.data):
		return Payload{}, false, nil
	}

	a.data = append(a.data, page.Data...)
	if len(a.data) < page.Size {
		return Payload{}, false, nil
	}

	payload := newPayload(a.data)
	*a = Assembler{}

	if payload.ID != page.ID {
		return Payload{}, false, errors.New("payload does not match its ID")
	}

	return payload, true, nil
}
