package gauger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/connector"
	"quincepath.example/quincepath/internal/launcher"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/standin/generator"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
)

// The fleet's shape. Few services and organisations keep the number of
// connections between nodes below the limit on open files.
const (
	services         = 4
	defaultUpstreams = 4
	organisations    = 4
	failureDomains   = 3
	// region is the branch of the settings tree that holds the services.
	region           = "gauge"
	upstreamSlots    = 32
	defaultTokenStep = time.Millisecond
	entryLifetime    = time.Second
	drainTimeout     = 5 * time.Second
	author           = "gauger"
	upstreamKey      = "gauge-upstream"
	// platformPerSecond is the rate of the platform's stand-in, for reads and for writes.
	platformPerSecond = 100_000
)

// fleet is a platform, upstreams and nodes with a relay before each.
type fleet struct {
	options   Options
	tally     *tally
	platform  *standIn
	upstreams []*standIn
	editor    *configurer.Editor
	// entries are the addresses of the nodes for callers.
	entries []string
	// running ends when each node has stopped.
	running sync.WaitGroup
	failed  chan error
	// addresses hands out the nodes' addresses.
	addresses *launcher.Addresses
}

func newFleet(options Options) *fleet {
	return &fleet{options: options, tally: newTally(), failed: make(chan error, 1), addresses: launcher.NewAddresses()}
}

func (f *fleet) start(ctx context.Context) error {
	if err := f.startStandIns(ctx); err != nil {
		return err
	}

	if err := f.writeTree(ctx); err != nil {
		return errors.Wrap(err, "write the first tree")
	}

	return f.startNodes(ctx)
}

func (f *fleet) startStandIns(ctx context.Context) error {
	// The stand-in's own rates would hide what the fleet asks for.
	keep := keeper.New(keeper.Options{WritesPerSecond: platformPerSecond, ReadsPerSecond: platformPerSecond}, zerolog.Nop())

	keep.Store().SetVMs(f.listOfVMs())

	platform, err := newStandIn(ctx, keep.Handler())
	if err != nil {
		return err
	}

	f.platform = platform

	for i := range services * f.options.Upstreams {
		engine := generator.New(generator.Options{
			Name: fmt.Sprintf("engine-%d", i+1), BearerKey: upstreamKey, Slots: upstreamSlots, TokenStep: f.options.TokenStep,
		})

		upstream, err := newStandIn(ctx, engine.Handler())
		if err != nil {
			return err
		}

		f.upstreams = append(f.upstreams, upstream)
	}

	store, err := connector.New(connector.Options{Addresses: []string{"http://" + platform.address}})
	if err != nil {
		return err
	}

	f.editor = configurer.NewEditor(store, configurer.EditorOptions{})

	return nil
}

// listOfVMs is what the platform tells of the nodes; their addresses are not known yet.
func (f *fleet) listOfVMs() []storer.VM {
	var list []storer.VM

	for i := range f.options.Nodes {
		list = append(list, storer.VM{Name: nodeName(i), Address: "127.0.0.1", FailureDomain: failureDomain(i), State: "live"})
	}

	return list
}

// writeTree writes the root, the region and a branch for each service.
func (f *fleet) writeTree(ctx context.Context) error {
	branches := []struct{ path, text string }{{"", f.root()}, {region, "# The region of all services.\n"}}

	for i := range services {
		branches = append(branches, struct{ path, text string }{branchName(i), f.service(i, 0)})
	}

	for i, v := range branches {
		_, err := f.editor.Edit(ctx, configurer.Edit{
			Branch: v.path, Value: []byte(v.text), ChangeID: fmt.Sprintf("first-%d", i), Author: author,
		})
		if err != nil {
			return err
		}
	}

	return nil
}

// root gives each organisation its key and, where asked for, a limit.
func (f *fleet) root() string {
	var text strings.Builder

	text.WriteString("organisations:\n")

	for i := range organisations {
		sum := sha256.Sum256([]byte(organisationKey(i)))
		fmt.Fprintf(&text, "  organisation-%d:\n    key_hashes: [%s]\n    weight: 1\n", i+1, hex.EncodeToString(sum[:]))

		if limit := f.options.LimitFactor * f.options.Rate / (services * organisations); limit > 0 {
			fmt.Fprintf(&text, "    requests_per_second: %g\n", limit)
		}
	}

	return text.String()
}

// service is the text of a service's branch; another version differs in one value.
func (f *fleet) service(index, version int) string {
	var text strings.Builder

	fmt.Fprintf(&text, "kind: engine\ndefault_class: lookup\nclasses:\n  lookup: {tier: 1, target: %dms, token_gap: 50ms, gap_limit: 2s, max_wait: 10s, repeatable: true, retry_budget: 0.1}\nupstreams:\n",
		1000+version)

	for i := range f.options.Upstreams {
		number := index*f.options.Upstreams + i
		fmt.Fprintf(&text, "  engine-%d: {address: \"http://%s\", failure_domain: %s, slots: %d}\n",
			number+1, f.upstreams[number].address, failureDomain(i), upstreamSlots)
	}

	return text.String()
}

func nodeName(index int) string {
	return fmt.Sprintf("node-%d", index+1)
}

func failureDomain(index int) string {
	return fmt.Sprintf("domain-%d", index%failureDomains+1)
}

func serviceName(index int) string {
	return fmt.Sprintf("model-%d", index+1)
}

// branchName is the path of a service's branch in the settings tree.
func branchName(index int) string {
	return region + "/" + serviceName(index)
}

func organisationKey(index int) string {
	return fmt.Sprintf("gauge-key-%d", index+1)
}

// startNodes starts a node behind each relay and waits until all take connections.
func (f *fleet) startNodes(ctx context.Context) error {
	settings := loader.Defaults()
	settings.Platform.Addresses = []string{"http://" + f.platform.address}
	settings.Peers.Credential = "gauge-peer"
	settings.Upstreams.BearerKey = upstreamKey
	settings.Routing.Policy = f.options.Policy
	settings.Log.Level = "error"

	var nodes []loader.Node

	for i := range f.options.Nodes {
		node, err := f.node(ctx, i, settings.Node)
		if err != nil {
			return err
		}

		relay, err := newRelay(ctx, f.tally, node.Name, node.PeerListen)
		if err != nil {
			return err
		}

		go relay.run(ctx)

		nodes = append(nodes, node)
		f.entries = append(f.entries, node.Listen)
		settings.Peers.Nodes = append(settings.Peers.Nodes, loader.Peer{
			Name: node.Name, PeerAddress: relay.address(), EntryAddress: node.Listen, FailureDomain: node.FailureDomain,
		})
	}

	for _, v := range nodes {
		own := settings
		own.Node = v

		f.running.Go(func() { f.serve(ctx, own) })
	}

	return launcher.Await(ctx, f.entries, f.failed)
}

// node returns the settings of one node, with free addresses, from the given ones.
func (f *fleet) node(ctx context.Context, index int, node loader.Node) (loader.Node, error) {
	listen, err := f.addresses.Next(ctx)
	if err != nil {
		return loader.Node{}, err
	}

	peerListen, err := f.addresses.Next(ctx)
	if err != nil {
		return loader.Node{}, err
	}

	node.Name = nodeName(index)
	node.Region = region
	node.FailureDomain = failureDomain(index)
	node.Listen, node.Advertise, node.PeerListen = listen, listen, peerListen
	node.EntryLifetime, node.DrainTimeout = entryLifetime, drainTimeout

	return node, nil
}

func (f *fleet) serve(ctx context.Context, settings loader.Settings) {
	err := f.options.Serve(ctx, settings, zerolog.Nop())
	if err == nil {
		return
	}

	select {
	case f.failed <- errors.Wrap(err, settings.Node.Name):
	default:
	}
}
