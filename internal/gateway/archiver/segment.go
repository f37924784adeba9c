package archiver

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/pinner"
)

// keyBytes are the first bytes of a key that a segment holds. Of a million records none has the same ones as another stream, but for once
// in 10^13 searches.
const keyBytes = 8

// unreadableRetention is how long a segment is kept that can't be read, as a node of another release may have written it.
const unreadableRetention = time.Hour

var errInvalidSegment = errors.New("the keys of a segment are not whole")

// segment is a number of records as the store keeps them.
type segment struct {
	name string
	// KeepS is for how many seconds the segment is kept after it was written.
	KeepS  int     `json:"keep_s"`
	Groups []group `json:"groups"`
}

// group is the records of one origin. A group without a service holds streams that can't be resumed, as several had the same ID.
type group struct {
	Service         string `json:"service,omitempty"`
	SoftwareVersion string `json:"software_version,omitempty"`
	// Keys are keyBytes of each key, sorted.
	Keys []byte `json:"keys"`
}

func newSegment(entries []pinner.Entry) segment {
	byOrigin := make(map[pinner.Origin][][]byte)

	var keep time.Duration

	for i := range entries {
		var origin pinner.Origin
		if known := entries[i].Origin; known != nil {
			origin = *known
		}

		byOrigin[origin] = append(byOrigin[origin], entries[i].Key[:keyBytes])
		keep = max(keep, entries[i].Keep)
	}

	s := segment{KeepS: int((keep + time.Second - 1) / time.Second)}

	for origin, keys := range byOrigin {
		slices.SortFunc(keys, bytes.Compare)
		s.Groups = append(s.Groups, group{Service: origin.Service, SoftwareVersion: origin.SoftwareVersion, Keys: bytes.Join(keys, nil)})
	}

	return s
}

func (s *segment) keep() time.Duration {
	return time.Duration(s.KeepS) * time.Second
}

func (s *segment) encode() ([]byte, error) {
	data, err := json.Marshal(s)

	return data, errors.Wrap(err, "encode a segment of streams")
}

func decodeSegment(name string, value []byte) (segment, error) {
	s := segment{name: name}
	if err := json.Unmarshal(value, &s); err != nil {
		return segment{}, errors.Wrap(err, "decode a segment of streams")
	}

	for i := range s.Groups {
		if len(s.Groups[i].Keys)%keyBytes != 0 {
			return segment{}, errInvalidSegment
		}
	}

	return s, nil
}

// decodeKeep returns how long a segment is kept.
func decodeKeep(value []byte) time.Duration {
	s, err := decodeSegment("", value)
	if err != nil {
		return unreadableRetention
	}

	return s.keep()
}

// find searches segments for a stream.
func find(segments []segment, key pinner.Key) (pinner.Origin, pinner.Finding) {
	var origin pinner.Origin

	finding := pinner.NotFound

	for i := range segments {
		for j := range segments[i].Groups {
			g := &segments[i].Groups[j]
			if !g.contains(key[:keyBytes]) {
				continue
			}

			next := pinner.Origin{Service: g.Service, SoftwareVersion: g.SoftwareVersion}
			if !next.IsKnown() || finding == pinner.Found && next != origin {
				return pinner.Origin{}, pinner.NotFound
			}

			origin, finding = next, pinner.Found
		}
	}

	return origin, finding
}

// contains reports whether the group holds a key.
func (g *group) contains(key []byte) bool {
	low, high := 0, len(g.Keys)/keyBytes

	for low < high {
		middle := (low + high) / 2

		switch bytes.Compare(g.Keys[middle*keyBytes:(middle+1)*keyBytes], key) {
		case 0:
			return true
		case -1:
			low = middle + 1
		default:
			high = middle
		}
	}

	return false
}
