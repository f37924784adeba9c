// Package packer encodes what nodes tell each other into parcels, and passes them on in pages.
//
// A parcel is encoded once, however many peers ask for it. It is passed on in pages, each with its own deadline, so
// that a parcel that takes long on a narrow link still comes: it would else be given up and begun anew for ever. A
// parcel of which a part came can go on from any peer that has the same one.
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
	// pageBytes is the size of a page. Twenty peers that ask a node with a link of 20 Mbit/s at once have theirs in 0.26 s.
	pageBytes = 24 << 10
	// plainBytes is the length up to which a parcel isn't compressed: the compressor's tables cost more than such a one.
	plainBytes = 2 << 10
	// mostBytes bounds a parcel as it is unpacked: a broken one must not fill the memory.
	mostBytes = 16 << 20
)

// Forms of a parcel's first byte.
const (
	formPlain      = 'p'
	formCompressed = 'c'
)

// Payload is an encoded value. The zero Payload is empty.
type Payload struct {
	// ID tells parcels apart by what they hold.
	ID   uint64
	data []byte
}

// Pack encodes a value.
func Pack(value any) (Payload, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Payload{}, errors.Wrap(err, "encode a parcel")
	}

	if len(encoded) <= plainBytes {
		return newParcel(append([]byte{formPlain}, encoded...)), nil
	}

	packed := bytes.NewBuffer([]byte{formCompressed})

	writer, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return Payload{}, errors.Wrap(err, "compress a parcel")
	}

	if _, err := writer.Write(encoded); err != nil {
		return Payload{}, errors.Wrap(err, "compress a parcel")
	}

	if err := writer.Close(); err != nil {
		return Payload{}, errors.Wrap(err, "compress a parcel")
	}

	return newParcel(bytes.Clone(packed.Bytes())), nil
}

func newParcel(data []byte) Payload {
	return Payload{ID: xxhash.Sum64(data), data: data}
}

// Unpack decodes the value.
func (p Payload) Unpack(value any) error {
	if len(p.data) == 0 {
		return errors.New("the parcel is empty")
	}

	var encoded io.Reader = bytes.NewReader(p.data[1:])

	switch p.data[0] {
	case formPlain:
	case formCompressed:
		encoded = flate.NewReader(encoded)
	default:
		return errors.Newf("the parcel has the unknown form %q", p.data[0])
	}

	err := json.NewDecoder(io.LimitReader(encoded, mostBytes)).Decode(value)

	return errors.Wrap(err, "decode a parcel")
}

// Page is a piece of a parcel.
type Page struct {
	// ID is that of the parcel.
	ID uint64 `json:"id"`
	// Size is the number of bytes of the whole parcel.
	Size int `json:"size"`
	// Offset is where in the parcel the page begins.
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data"`
}

// IsLast says whether the parcel ends with this page.
func (p Page) IsLast() bool {
	return p.Offset+len(p.Data) >= p.Size
}

// Page returns the page after the part that the asker holds: the first one if that is of another parcel.
func (p Payload) Page(held Progress) Page {
	offset := 0
	if held.ID == p.ID && held.Bytes > 0 && held.Bytes < len(p.data) {
		offset = held.Bytes
	}

	end := min(offset+pageBytes, len(p.data))

	return Page{ID: p.ID, Size: len(p.data), Offset: offset, Data: p.data[offset:end]}
}

// Progress says how much of a parcel is held. The zero Progress means none.
type Progress struct {
	ID    uint64 `json:"id"`
	Bytes int    `json:"bytes"`
}

// Assembler puts the pages of one parcel together. The zero Assembler holds nothing.
type Assembler struct {
	id   uint64
	data []byte
}

// Progress is the part that came so far.
func (a *Assembler) Progress() Progress {
	return Progress{ID: a.id, Bytes: len(a.data)}
}

// Add takes in a page. It returns the parcel once it is whole. A page that doesn't continue what is held begins
// anew if it is a first one, and else says nothing.
func (a *Assembler) Add(page Page) (Payload, bool, error) {
	switch {
	case page.Size < 0 || page.Size > mostBytes || page.Offset < 0:
		*a = Assembler{}

		return Payload{}, false, errors.Newf("a parcel of %d bytes, page at %d", page.Size, page.Offset)
	case page.Offset == 0:
		*a = Assembler{id: page.ID}
	case page.ID != a.id || page.Offset != len(a.data):
		return Payload{}, false, nil
	}

	a.data = append(a.data, page.Data...)
	if len(a.data) < page.Size {
		return Payload{}, false, nil
	}

	whole := newParcel(a.data)
	*a = Assembler{}

	if whole.ID != page.ID {
		return Payload{}, false, errors.New("the parcel isn't what its id says")
	}

	return whole, true, nil
}
