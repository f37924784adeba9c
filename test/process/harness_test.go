// Package process_test runs the built programs as separate processes on
// loopback and checks what callers get against what the stand-ins recorded.
package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/server"
)

const (
	// startLimit bounds the wait for a process to say its address; it decides no verdict of speed.
	startLimit = 30 * time.Second
	// testsAtOnce bounds the tests that run side by side.
	testsAtOnce = "5"
	callerKey   = "counter-key"
	engineKey   = "engine-key"
	// callerHash is the SHA-256 sum of callerKey.
	callerHash = "edbd7968212204de4f16847e8aa622c26329f5f074698dc93879d21fdb01711b"
)

var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	// The programs are built by a command that the test cache does not see.
	// Linked into the tests as well, a change to them makes the tests run again.
	runtime.KeepAlive([]any{root.Quincepath, root.Standin, server.Run})

	folder, err := os.MkdirTemp("", "quincepath-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer os.RemoveAll(folder)

	build := exec.Command("go", "build", "-o", folder, "../../cmd/quincepath", "../../cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)

		return 1
	}

	programs = folder

	// Each test runs up to some twenty processes; more tests at once would slow one another down.
	flag.Parse()

	if err := flag.Set("test.parallel", testsAtOnce); err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}

	return m.Run()
}

// process is one started program.
type process struct {
	name    string
	command *exec.Cmd
	address string
	exited  chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// start runs a program and waits until it logs the address that it listens on.
func start(tb testing.TB, name, program string, args ...string) *process {
	tb.Helper()

	p := &process{name: name, command: exec.Command(filepath.Join(programs, program), args...), exited: make(chan struct{})}
	stderr, err := p.command.StderrPipe()
	assert.NilError(tb, err)
	assert.NilError(tb, p.command.Start())

	ready := make(chan string, 1)

	go p.follow(stderr, ready)
	tb.Cleanup(func() { p.end(tb) })

	select {
	case p.address = <-ready:
	case <-p.exited:
		tb.Fatalf("%s ended before it listened:\n%s", name, p.logged())
	case <-time.After(startLimit):
		tb.Fatalf("%s did not listen:\n%s", name, p.logged())
	}

	return p
}

func (p *process) follow(stderr io.Reader, ready chan<- string) {
	defer close(p.exited)

	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		line := scanner.Text()

		p.mu.Lock()
		fmt.Fprintln(&p.log, line)
		p.mu.Unlock()

		if address, ok := listenAddress(line); ok {
			select {
			case ready <- address:
			default:
			}
		}
	}
}

// listenAddress finds the address in the line that a program logs once it listens.
func listenAddress(line string) (string, bool) {
	if !strings.Contains(line, "_listening") && !strings.Contains(line, "node_started") {
		return "", false
	}

	for _, field := range strings.Fields(line) {
		if address, ok := strings.CutPrefix(field, "address="); ok {
			return address, true
		}
	}

	return "", false
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.log.String()
}

// signal sends a signal to the process by its id.
func (p *process) signal(tb testing.TB, signal syscall.Signal) {
	tb.Helper()
	assert.NilError(tb, p.command.Process.Signal(signal))
}

// kill ends the process without warning and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
	_ = p.command.Wait()
}

// stop asks the process to end and waits for it.
func (p *process) stop(tb testing.TB) {
	tb.Helper()
	p.signal(tb, syscall.SIGTERM)
	<-p.exited
	_ = p.command.Wait()
}

func (p *process) end(tb testing.TB) {
	tb.Helper()

	if tb.Failed() {
		tb.Logf("log of %s, whole in %s:\n%s", p.name, p.keepLog(tb), tail(p.logged()))
	}

	select {
	case <-p.exited:
		return
	default:
	}

	// A frozen process takes no other signal.
	_ = p.command.Process.Signal(syscall.SIGCONT)
	p.kill()
}

// keepLog writes the whole log to a file that outlives the tests, and returns its
// path: what went wrong stands often far before the end, and a failure that
// comes once in many runs leaves nothing else.
func (p *process) keepLog(tb testing.TB) string {
	folder := filepath.Join(os.TempDir(), "quincepath-failures", strings.ReplaceAll(tb.Name(), "/", "_"))
	path := filepath.Join(folder, fmt.Sprintf("%s-%d.log", p.name, p.command.Process.Pid))

	if err := os.MkdirAll(folder, 0o750); err != nil {
		return err.Error()
	}

	if err := os.WriteFile(path, []byte(p.logged()), 0o600); err != nil {
		return err.Error()
	}

	return path
}

func tail(text string) string {
	const most = 6000
	if len(text) > most {
		return text[len(text)-most:]
	}

	return text
}

// call sends a JSON body to a stand-in or a node and decodes the answer.
func call(tb testing.TB, method, url string, body, answer any) {
	tb.Helper()

	data, err := json.Marshal(body)
	assert.NilError(tb, err)

	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	assert.NilError(tb, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)

	response, err := http.DefaultClient.Do(request)
	assert.NilError(tb, err)

	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	assert.NilError(tb, err)
	assert.Assert(tb, response.StatusCode < 300, "%s %s: %d %s", method, url, response.StatusCode, text)

	if answer != nil {
		assert.NilError(tb, json.Unmarshal(text, answer))
	}
}
