package server

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// incarnationLength is the number of hexadecimal digits that tell two runs of a node apart.
const incarnationLength = 8

// identity names one run of a node and the requests that it takes in.
type identity struct {
	node string
	// incarnation differs between any two runs of the node.
	incarnation string
	last        atomic.Uint64
}

func newIdentity(node string) *identity {
	return &identity{node: node, incarnation: strings.ReplaceAll(uuid.NewString(), "-", "")[:incarnationLength]}
}

// nextRequest returns a request id that names the node and incarnation that hold the answer.
func (i *identity) nextRequest() string {
	return i.node + "." + i.incarnation + "." + strconv.FormatUint(i.last.Add(1), 36)
}

// seed gives each run of each node its own random sequence.
func (i *identity) seed() uint64 {
	return xxhash.Sum64String(i.node + i.incarnation)
}

// requestOwner splits a request id into the node and the incarnation that hold its answer.
func requestOwner(id string) (node, incarnation string, ok bool) {
	parts := strings.Split(id, ".")
	if len(parts) < 3 {
		return "", "", false
	}

	last := len(parts) - 1

	return strings.Join(parts[:last-1], "."), parts[last-1], true
}
