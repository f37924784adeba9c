// Package capacity_test measures nodes as processes of their own: processor
// time and memory of each from /proc, messages from the relays of package gauger.
// Nothing of it runs but with -bench, since each run takes minutes and much of the machine:
//
//	go test ./test/capacity -run '^$' -bench Control -benchtime 1x -timeout 30m
package capacity_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gauger"
	"quincepath.example/quincepath/internal/loader"
)

var (
	sizes    = flag.String("nodes", "3,9,30,100", "sizes of fleet, parted by commas")
	policies = flag.String("policies", "power_of_two,queue_per_request,queue_credits", "policies, parted by commas")
	seconds  = flag.Int("seconds", 10, "length of a phase")
	rate     = flag.Float64("rate", 200, "requests a second of all callers")
	limits   = flag.Float64("limits", 0, "limit of each organisation as a multiple of what it sends; 0 means none")
	step     = flag.Duration("token-step", 0, "time of each of an answer's 16 tokens; 0 means 1 ms")
	servers  = flag.Int("upstreams", 0, "upstreams of each of the four services; 0 means 4")
	changes  = flag.Int("changes", 3, "settings changes in the last phase")
)

// mostMemory ends a measurement before the nodes take half of the machine's memory.
const mostMemory = 8 << 30

// BenchmarkControl prints the figures of each size and policy as metrics.
func BenchmarkControl(b *testing.B) {
	program := build(b)

	for _, policy := range strings.Split(*policies, ",") {
		for _, size := range strings.Split(*sizes, ",") {
			nodes, err := strconv.Atoi(size)
			assert.NilError(b, err)

			b.Run(policy+"/nodes="+size, func(b *testing.B) {
				for b.Loop() {
					measure(b, program, nodes, loader.Policy(policy))
				}
			})
		}
	}
}

func measure(b *testing.B, program string, nodes int, policy loader.Policy) {
	h := &host{program: program, folder: b.TempDir(), running: make(map[string]int)}

	all, err := gauger.Gauge(b.Context(), gauger.Options{
		Serve: h.serve, Nodes: nodes, Duration: time.Duration(*seconds) * time.Second,
		Rate: *rate, LimitFactor: *limits, TokenStep: *step, Upstreams: *servers, Changes: *changes, Policy: policy, Usage: h.usage,
	})
	assert.NilError(b, err)

	for _, v := range all {
		report(b, v)
	}
}

func report(b *testing.B, f gauger.Figures) {
	phase := string(f.Phase)
	b.ReportMetric(100*f.Cores, phase+"_core_%")
	b.ReportMetric(f.MemoryBytes/1e6, phase+"_MB")
	b.ReportMetric(f.PeerBytes, phase+"_peer_B/s")
	b.ReportMetric(f.BusiestPeerBytes, phase+"_busiest_B/s")
	b.ReportMetric(f.PeerMessages, phase+"_messages/s")
	b.ReportMetric(f.Links, phase+"_links")
	b.ReportMetric(f.PlatformBytes, phase+"_platform_B/s")
	answered, failed := f.Answered()
	b.ReportMetric(float64(answered)/f.Seconds, phase+"_answered/s")
	b.ReportMetric(float64(failed), phase+"_failed")
	b.Logf("%s %d nodes %s: ends %v", f.Policy, f.Nodes, phase, f.Ends)

	for name, m := range f.Methods {
		b.Logf("%s %d nodes %s: %s %.2f messages/s, %.0f B/s, %.0f B a message", f.Policy, f.Nodes, phase, name, m.Messages, m.Bytes, m.Bytes/m.Messages)
	}

	for path, calls := range f.PlatformCalls {
		b.Logf("%s %d nodes %s: platform %s %.2f calls/s of the fleet", f.Policy, f.Nodes, phase, path, calls)
	}

	b.Logf("%s %d nodes %s: %.2f polls/s a node, %.0f B a poll", f.Policy, f.Nodes, phase, f.Polls, f.PollBytes)
}

func build(b *testing.B) string {
	b.Helper()

	program := filepath.Join(b.TempDir(), "quincepath")
	output, err := exec.Command("go", "build", "-o", program, "../../cmd/quincepath").CombinedOutput()
	assert.NilError(b, err, "%s", output)

	return program
}

// host runs nodes as processes.
type host struct {
	program, folder string

	mu sync.Mutex
	// running holds the process ids of the nodes by name.
	running map[string]int
}

// serve implements gauger.Serve.
func (h *host) serve(ctx context.Context, settings loader.Settings, _ zerolog.Logger) error {
	text, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}

	file := filepath.Join(h.folder, settings.Node.Name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}

	var log bytes.Buffer

	command := exec.Command(h.program, "serve", "--settings", file)
	command.Stderr = &log

	if err := command.Start(); err != nil {
		return err
	}

	h.mu.Lock()
	h.running[settings.Node.Name] = command.Process.Pid
	h.mu.Unlock()

	failure, ended := await(ctx, command)
	if ended {
		return errors.Wrapf(failure, "%s", log.String())
	}

	return nil
}

// await returns how the process ended by itself, or kills it when ctx ends first.
func await(ctx context.Context, command *exec.Cmd) (failure error, ended bool) {
	done := make(chan struct{})

	go func() {
		failure = command.Wait()

		close(done)
	}()

	select {
	case <-done:
		return failure, true
	case <-ctx.Done():
	}

	// The figures are taken; a drain would only cost time.
	_ = command.Process.Kill()
	<-done

	return nil, false
}

// usage adds up processor time and resident memory of all nodes.
func (h *host) usage() (gauger.Usage, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	var sum gauger.Usage

	for name, id := range h.running {
		usage, err := readUsage(id)
		if err != nil {
			return gauger.Usage{}, errors.Wrap(err, name)
		}

		sum.Processor += usage.Processor
		sum.MemoryBytes += usage.MemoryBytes
	}

	if sum.MemoryBytes > mostMemory {
		return gauger.Usage{}, errors.Newf("the nodes take %d bytes of memory", sum.MemoryBytes)
	}

	return sum, nil
}

// ticks is the unit of processor time in /proc, as on all Linux systems that Go runs on.
const ticks = time.Second / 100

// Fields of /proc/PID/stat, counted from 0 behind the name of the program.
const (
	fieldUserTicks     = 11
	fieldSystemTicks   = 12
	fieldResidentPages = 21
)

// readUsage returns the processor time and resident memory of a process.
func readUsage(id int) (gauger.Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return gauger.Usage{}, err
	}

	// The name in the second field may hold spaces; the fields after it don't.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, errUser := strconv.ParseInt(fields[fieldUserTicks], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystemTicks], 10, 64)
	pages, errPages := strconv.ParseInt(fields[fieldResidentPages], 10, 64)

	if err := errors.Join(errUser, errSystem, errPages); err != nil {
		return gauger.Usage{}, err
	}

	return gauger.Usage{Processor: time.Duration(user+system) * ticks, MemoryBytes: pages * int64(os.Getpagesize())}, nil
}
