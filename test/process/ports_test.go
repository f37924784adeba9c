package process_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Listeners get ports below those that the system gives to outgoing connections:
// a node that is killed must find its port free when it starts again. The first
// port of a block is its guard's.
const (
	firstPort  = 12000
	portBlocks = 20
	blockPorts = 1000
)

// nextPort counts on through the block.
var nextPort atomic.Uint32

// portBlock is a block of ports that no other test process has while its guard is open.
type portBlock struct {
	first int
	guard net.Listener
}

// ownBlock is this process's until it ends.
var ownBlock = sync.OnceValues(takeBlock)

// takeBlock takes a block that no other test process has.
//
// Two test processes with one block would give a port that is free while a node
// of the other starts again. That node could not listen, or callers and
// peers of one fleet would reach the other, whose keys are the same.
func takeBlock() (portBlock, error) {
	var refusal error

	for i := range portBlocks {
		first := firstPort + (os.Getpid()+i)%portBlocks*blockPorts

		guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return portBlock{first: first, guard: guard}, nil
		}

		refusal = err
	}

	return portBlock{}, refusal
}

// Symptom: tests that start nodes again fail now and then when several test processes run on the machine.
// Events: two test processes take ports of one block; one of them gets the port of a node of the other that is just away.
// Cause: a port that nobody listens on at the moment is not free for good; the block has to be.
func TestPortBlocksAreNotShared(t *testing.T) {
	one, err := takeBlock()
	assert.NilError(t, err)

	defer one.guard.Close()

	other, err := takeBlock()
	assert.NilError(t, err)

	defer other.guard.Close()

	assert.Assert(t, one.first != other.first, "both got the ports from %d on", one.first)
}

// Symptom: a proxy or a node can't listen on the port that it was just given, although nobody uses it.
// Events: the port is tried by listening on it; meanwhile another test starts a process; the listener is closed.
// Cause: until the started process runs its own program it holds a copy of all sockets, the closed listener's too.
func TestFreeAddressIsFree(t *testing.T) {
	const tries = 200

	var starts sync.WaitGroup

	for range 4 {
		starts.Go(func() {
			for range tries / 10 {
				assert.Check(t, exec.Command(filepath.Join(programs, "standin"), "--help").Run())
			}
		})
	}

	for range tries {
		listener, err := net.Listen("tcp", freeAddress(t))
		assert.Check(t, err)

		if err == nil {
			assert.NilError(t, listener.Close())
		}
	}

	starts.Wait()

	for _, listen := range []func(address string) (io.Closer, error){
		func(address string) (io.Closer, error) { return net.Listen("tcp", address) },
		func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) },
	} {
		address := freeAddress(t)
		listener, err := listen(address)
		assert.NilError(t, err)
		assert.Assert(t, !isFree(address))
		assert.NilError(t, listener.Close())
		assert.Assert(t, isFree(address))
	}
}

// freeAddress returns a loopback address that nothing listens on at the moment. It gives none twice.
func freeAddress(tb testing.TB) string {
	tb.Helper()

	block, err := ownBlock()
	assert.NilError(tb, err)

	for range blockPorts {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+int(nextPort.Add(1)%blockPorts))
		if isFree(address) {
			return address
		}
	}

	tb.Fatal("no port is free")

	return ""
}

// isFree says whether nothing listens on the address, for connections or for
// datagrams. It asks and doesn't listen itself: a process that starts meanwhile
// would inherit the socket and keep the port for a moment.
func isFree(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}

	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}

	datagrams, err := net.Dial("udp", address)
	if err != nil {
		return false
	}

	defer datagrams.Close()

	// The refusal of the first datagram is told to the second.
	_, _ = datagrams.Write([]byte{0})
	_, err = datagrams.Write([]byte{0})

	return errors.Is(err, syscall.ECONNREFUSED)
}
