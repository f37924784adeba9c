package capacity_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/launcher"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/prober"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const (
	// nodeWarmUp is the time in which the node comes to know the others, and gives up the pools that they hold.
	nodeWarmUp  = 40 * time.Second
	nodePhase   = 12 * time.Second
	nodeChanges = 60
)

// BenchmarkNode tells the memory of one node process among as many as are designed for, of which
// the others only answer probes, with the tree of that size; and what a change costs: of one
// branch and of one line of the root. The servers' addresses are of this machine and refuse.
func BenchmarkNode(b *testing.B) {
	program := build(b)

	for b.Loop() {
		measureNode(b, program)
	}
}

func measureNode(b *testing.B, program string) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()

	keep := keeper.New(keeper.Options{WritesPerSecond: 100_000, ReadsPerSecond: 100_000}, zerolog.Nop())
	platform := httptest.NewServer(keep.Handler())
	defer platform.Close()

	editor := configurer.NewEditor(keeper.NewLocal(keep.Store(), nil), configurer.EditorOptions{})
	for _, v := range designTree(1) {
		write(b, editor, v.Path, string(v.Value))
	}

	h := &host{program: program, folder: b.TempDir(), running: make(map[string]int)}
	settings := designNode(ctx, b, platform.URL)
	failed := make(chan error, 1)

	go func() { failed <- h.serve(ctx, settings, zerolog.Nop()) }()

	assert.NilError(b, launcher.Await(ctx, []string{settings.Node.Listen}, failed))
	time.Sleep(nodeWarmUp)

	idle := h.phase(b, "idle", func(int) {})
	root := designTree(1)[0]

	for name, change := range map[string]func(int){
		"service": func(i int) {
			write(b, editor, fmt.Sprintf("region-0/model-%02d", i%designModels), designService(0, i%designModels, 1, i+1))
		},
		"root": func(i int) {
			write(b, editor, "", strings.Replace(string(root.Value), "concurrency: 100", fmt.Sprintf("concurrency: %d", 101+i), 1))
		},
	} {
		spent := h.phase(b, name, change) - idle
		b.ReportMetric(float64(spent.Microseconds())/1e3/nodeChanges, name+"_ms/change")
	}

	cancel()
	assert.NilError(b, <-failed)
}

func write(b *testing.B, editor *configurer.Editor, path, text string) {
	b.Helper()

	tree, err := editor.Tree(b.Context())
	assert.NilError(b, err)

	current, _ := tree.Find(path)
	_, err = editor.Edit(b.Context(), configurer.Edit{
		Branch: path, Value: []byte(strings.ReplaceAll(text, "http://10.", "http://127.")), BaseRevision: current.Revision,
		Author: "capacity", ChangeID: fmt.Sprintf("c-%d", tree.Revision),
	})
	assert.NilError(b, err)
}

// designNode returns the settings of a node that watches the store, among others that answer probes.
func designNode(ctx context.Context, b *testing.B, platform string) loader.Settings {
	b.Helper()

	addresses := launcher.NewAddresses()
	listen, err := addresses.Next(ctx)
	assert.NilError(b, err)
	peerListen, err := addresses.Next(ctx)
	assert.NilError(b, err)

	settings := loader.Defaults()
	settings.Node.Name, settings.Node.Region, settings.Node.FailureDomain = "measured", "region-1", "domain-of-one"
	settings.Node.Listen, settings.Node.PeerListen = listen, peerListen
	settings.Platform.Addresses = []string{platform}
	settings.Peers.Credential = "secret"
	settings.Routing.Policy = loader.PolicyQueueSteered
	settings.Log.Level = "error"

	_, _, list := startHeartbeats(ctx, b, designNodes-1, prober.VM{
		Name: settings.Node.Name, Address: listen, PeerAddress: settings.Node.PeerListen, FailureDomain: settings.Node.FailureDomain,
	})
	for _, v := range list {
		settings.Peers.Nodes = append(settings.Peers.Nodes, loader.Peer{
			Name: v.Name, PeerAddress: v.PeerAddress, EntryAddress: v.Address, FailureDomain: v.FailureDomain,
		})
	}

	return settings
}

// phase makes the changes evenly and returns the node's processor time meanwhile.
func (h *host) phase(b *testing.B, name string, change func(int)) time.Duration {
	b.Helper()

	before, err := h.usage()
	assert.NilError(b, err)

	ticker := time.NewTicker(nodePhase / nodeChanges)
	defer ticker.Stop()

	for i := range nodeChanges {
		change(i)
		<-ticker.C
	}

	after, err := h.usage()
	assert.NilError(b, err)
	b.ReportMetric(100*(after.Processor-before.Processor).Seconds()/nodePhase.Seconds(), name+"_core_%")
	b.ReportMetric(float64(after.MemoryBytes)/1e6, name+"_resident_MB")

	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.running["measured"]))
	assert.NilError(b, err)

	for line := range strings.Lines(string(status)) {
		var size float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &size); n == 1 {
			b.ReportMetric(size*1024/1e6, name+"_anonymous_MB")
		}
	}

	return after.Processor - before.Processor
}
