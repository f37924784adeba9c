package launcher_test

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/launcher"
)

func TestAddressesComeOnceAndAreFree(t *testing.T) {
	addresses := launcher.NewAddresses()
	seen := map[string]bool{}

	for range 50 {
		address, err := addresses.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !seen[address])
		seen[address] = true

		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, launcher.Await(t.Context(), []string{address}, nil))
		assert.NilError(t, listener.Close())
	}
}

func TestAwaitEndsWithTheFailureOfANode(t *testing.T) {
	address, err := launcher.NewAddresses().Next(t.Context())
	assert.NilError(t, err)

	failed := make(chan error, 1)
	failed <- errors.New("the node's settings are wrong")

	assert.ErrorContains(t, launcher.Await(t.Context(), []string{address}, failed), "settings are wrong")
}
