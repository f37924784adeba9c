package prober

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDatagram is the largest datagram in bytes; larger ones are neither sent nor read.
	MaxDatagram = 1200

	macBytes = 16
)

// Errors returned for datagrams that are dropped.
var (
	// ErrTooLarge means that a datagram exceeds MaxDatagram.
	ErrTooLarge = errors.New("datagram too large")
	// ErrNotAuthentic means that the MAC of a datagram matches no known credential for this receiver.
	ErrNotAuthentic = errors.New("datagram not authentic")
	// ErrMalformed means that a datagram is too short for a MAC, or that its authenticated packet can't be decoded.
	ErrMalformed = errors.New("datagram malformed")
)

// Codec encodes and decodes datagrams: 16 bytes of HMAC-SHA256, then the packet in JSON.
// The MAC covers the receiver's name, so that no other node accepts the datagram.
type Codec struct {
	// keys are the shared credentials of the peers; the first one signs, all verify.
	keys [][]byte
}

// NewCodec returns a codec. Additional credentials allow rotation without downtime.
func NewCodec(credentials ...string) (*Codec, error) {
	c := &Codec{}

	for _, v := range credentials {
		if v == "" {
			return nil, errors.New("a peer credential is empty")
		}

		c.keys = append(c.keys, []byte(v))
	}

	if len(c.keys) == 0 {
		return nil, errors.New("no peer credential is given")
	}

	return c, nil
}

// Encode returns the datagram for a receiver. Updates that do not fit are dropped from the end.
func (c *Codec) Encode(to string, packet Packet) ([]byte, error) {
	for {
		body, err := json.Marshal(packet)
		if err != nil {
			return nil, errors.Wrap(err, "encode packet")
		}

		if len(body)+macBytes <= MaxDatagram {
			return append(sign(c.keys[0], to, body), body...), nil
		}

		if len(packet.Updates) == 0 {
			return nil, ErrTooLarge
		}

		packet.Updates = packet.Updates[:len(packet.Updates)*3/4]
	}
}

// Decode authenticates a datagram addressed to the receiver and returns its packet.
func (c *Codec) Decode(to string, datagram []byte) (Packet, error) {
	if len(datagram) > MaxDatagram {
		return Packet{}, ErrTooLarge
	}

	if len(datagram) < macBytes {
		return Packet{}, ErrMalformed
	}

	body := datagram[macBytes:]
	if !c.authentic(to, datagram[:macBytes], body) {
		return Packet{}, ErrNotAuthentic
	}

	var packet Packet
	if err := json.Unmarshal(body, &packet); err != nil {
		return Packet{}, errors.Mark(errors.Wrap(err, "decode packet"), ErrMalformed)
	}

	return packet, nil
}

func (c *Codec) authentic(to string, mac, body []byte) bool {
	for _, k := range c.keys {
		if hmac.Equal(mac, sign(k, to, body)) {
			return true
		}
	}

	return false
}

func sign(key []byte, to string, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	// A zero byte separates the name from the body, so that no other pair gives the same input.
	mac.Write([]byte(to))
	mac.Write([]byte{0})
	mac.Write(body)

	return mac.Sum(nil)[:macBytes:macBytes]
}
