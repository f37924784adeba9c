package review_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTime is how long a node may take to be ready after its start.
	startTime = 20 * time.Second
	// readyInterval is the time between two questions whether a node is ready.
	readyInterval = 50 * time.Millisecond
	// maxSeeds is the number of nodes that the settings name as seeds.
	maxSeeds = 3
	// programPath is what the build of the deploy file makes, from the root of the repository.
	programPath = "target/quincepath"
)

// settingsTemplate is deploy/node.yaml.tmpl with the figures of the sheet of barbagallo.
const settingsTemplate = `node:
  name: "%[1]s"
  region: "sicilia-est"
  failure_domain: "%[2]s"
  listen: "%[3]s:7301"
  peer_listen: "%[3]s:7302"
  header_timeout: 10s
  drain_timeout: 8s
  entry_lifetime: 1s
platform:
  addresses: ["http://%[4]s"]
  call_timeout: 700ms
peers:
  credential: "quincepath-review"
gateway:
  ready_listen: "%[3]s:7303"
  entries_listen: "%[3]s:7304"
  metrics_listen: "%[3]s:7305"
  seeds: %[5]s
  start_without_seeds: true
  key_lifetime: 5000ms
  retry_ratio: 0.2
  retry_extra: 58
  retry_window: 10s
  scheduling:
    server_pace: true
    cache_tracking: true
  cores: 0.4
  link_mbps: 1000
  memory_mb: 134
  descriptors: 4100
log:
  level: info
`

// node is one process of the program.
type node struct {
	name, ip, settings, log string
	// store is the node's own address of the store.
	store string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is the nodes of a case, with their files in one temporary folder.
type fleet struct {
	record *record
	folder string
	nodes  []*node
}

// newFleet prepares nodes at loopback addresses whose ports are free. storeFor starts the store's address for each node.
func newFleet(ctx context.Context, r *record, count int, storeFor func(name string) (string, error)) (*fleet, error) {
	folder, err := os.MkdirTemp("", "quincepath-review")
	if err != nil {
		return nil, err
	}

	f := &fleet{record: r, folder: folder}
	zones := []string{"catania-sala", "siracusa-sala", "acireale-sala"}

	var seeds []string

	for i := range count {
		ip, err := freeAddress(ctx, i)
		if err != nil {
			return nil, err
		}

		n := &node{name: fmt.Sprint("front-", i+1), ip: ip}
		f.nodes = append(f.nodes, n)

		if len(seeds) < maxSeeds {
			seeds = append(seeds, strconv.Quote(ip+":7302"))
		}

		if n.store, err = storeFor(n.name); err != nil {
			return nil, err
		}
	}

	for i, n := range f.nodes {
		n.settings, n.log = filepath.Join(folder, n.name+".yaml"), filepath.Join(folder, n.name+".log")
		text := fmt.Sprintf(settingsTemplate, n.name, zones[i%len(zones)], n.ip, n.store, "["+strings.Join(seeds, ", ")+"]")

		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}

	return f, nil
}

// freeAddress returns a loopback address on which the ports of a node are free.
func freeAddress(ctx context.Context, number int) (string, error) {
	pid := os.Getpid()

	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+try, pid>>4&127+1, pid&15<<4+number+1)
		if portsAreFree(ctx, ip) {
			return ip, nil
		}
	}

	return "", errors.New("no loopback address has free ports")
}

func portsAreFree(ctx context.Context, ip string) bool {
	for port := 7301; port <= 7305; port++ {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}

		_ = listener.Close()
	}

	return true
}

// start starts the node's process.
func (f *fleet) start(ctx context.Context, n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.command = exec.CommandContext(ctx, programPath, "serve", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	n.ended = make(chan struct{})

	if err := n.command.Start(); err != nil {
		_ = log.Close()

		return err
	}

	f.record.write("node %s started, pid %d", n.name, n.command.Process.Pid)

	go func(command *exec.Cmd, ended chan struct{}) {
		err := command.Wait()
		_ = log.Close()
		f.record.write("node %s ended: %v", n.name, err)
		close(ended)
	}(n.command, n.ended)

	return nil
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for _, n := range f.nodes {
		if err := f.start(ctx, n); err != nil {
			return err
		}
	}

	for _, n := range f.nodes {
		if err := f.awaitReady(ctx, n); err != nil {
			return err
		}
	}

	return nil
}

// awaitReady waits until a node says that it is ready.
func (f *fleet) awaitReady(ctx context.Context, n *node) error {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(readyInterval) {
		if n.isReady(ctx) {
			f.record.write("node %s is ready", n.name)

			return nil
		}
	}

	return errors.Newf("node %s isn't ready", n.name)
}

func (n *node) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ip+":7303/-/readiness", nil)
	if err != nil {
		return false
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()

	_, _ = io.Copy(io.Discard, response.Body)

	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the node's process and returns what is closed at its end.
func (f *fleet) signal(n *node, s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()

	f.record.write("node %s gets %s", n.name, s)
	_ = n.command.Process.Signal(s)

	return n.ended
}

// end ends all processes and removes their files.
func (f *fleet) end() {
	for _, n := range f.nodes {
		if n.command == nil {
			continue
		}

		select {
		case <-n.ended:
		default:
			_ = n.command.Process.Signal(syscall.SIGCONT)
			<-f.signal(n, syscall.SIGKILL)
		}
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
