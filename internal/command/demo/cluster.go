package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/launcher"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/standin/generator"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/standin/responder"
	"quincepath.example/quincepath/internal/tracer"
)

const (
	anyPort    = "127.0.0.1:0"
	engineKey  = "demo-engine"
	peerKey    = "demo-peer"
	tokenStep  = 8 * time.Millisecond
	prefill    = 50 * time.Microsecond
	plainSlots = 8
	plainWork  = 10 * time.Millisecond
	loadLag    = 300 * time.Millisecond
	startLimit = 10 * time.Second
)

// nodeFailureDomains hold one node each, in turn.
var nodeFailureDomains = []string{"catania-sala", "brest", "siracusa-sala"}

// serve runs a node until its context ends.
type serve func(ctx context.Context, settings loader.Settings, logger zerolog.Logger) error

// cluster is a platform, stand-ins and nodes in this process.
type cluster struct {
	serve  serve
	logger zerolog.Logger
	// running ends when each part has stopped.
	running sync.WaitGroup
	// failed gets the first error of a part.
	failed chan error

	// addresses hands out the nodes' addresses.
	addresses *launcher.Addresses
	settings  loader.Settings
	entries   []string
	standIns  []string
}

func newCluster(serve serve, logger zerolog.Logger) *cluster {
	settings := loader.Defaults()
	settings.Upstreams.BearerKey = engineKey
	settings.Peers.Credential = peerKey
	settings.Services = map[string]loader.Service{}
	settings.Node.EntryLifetime = time.Second
	settings.Node.DrainTimeout = 5 * time.Second

	return &cluster{serve: serve, logger: logger, failed: make(chan error, 1), addresses: launcher.NewAddresses(), settings: settings}
}

// start starts all parts, the nodes last. They run until ctx ends.
func (c *cluster) start(ctx context.Context, nodes int, events []tracer.Event) error {
	address, err := c.launch(ctx, "platform", func(ready func(string)) error {
		return keeper.Run(ctx, keeper.Options{Listen: anyPort, VMLag: loadLag, Ready: ready}, c.logger)
	})
	if err != nil {
		return err
	}

	c.settings.Platform.Addresses = []string{"http://" + address}

	names := organisations(events)
	for _, v := range shops() {
		if err := c.startShop(ctx, v, names); err != nil {
			return err
		}
	}

	return c.startNodes(ctx, nodes)
}

func (c *cluster) startShop(ctx context.Context, s shop, names map[string][]string) error {
	if err := c.startEngines(ctx, s, names[s.engine]); err != nil {
		return err
	}

	return c.startPlain(ctx, s, names[s.plain])
}

func (c *cluster) startEngines(ctx context.Context, s shop, organisations []string) error {
	service := s.service(s.engine, configurer.KindEngine, organisations)

	for i, slots := range s.slots {
		name := fmt.Sprintf("%s-%d", s.engine, i+1)
		options := generator.Options{
			Listen: anyPort, Name: name, BearerKey: engineKey, Slots: slots, TokenStep: tokenStep,
			PrefillPerToken: prefill, LoadLag: loadLag, Seed: uint64(i),
		}

		address, err := c.launch(ctx, name, func(ready func(string)) error {
			options.Ready = ready

			return generator.Run(ctx, options, c.logger)
		})
		if err != nil {
			return err
		}

		c.standIns = append(c.standIns, address)
		service.Upstreams[name] = configurer.Upstream{Address: "http://" + address, FailureDomain: s.failureDomains[i], Slots: slots}
	}

	c.settings.Services[s.engine] = service

	return nil
}

func (c *cluster) startPlain(ctx context.Context, s shop, organisations []string) error {
	service := s.service(s.plain, configurer.KindPlain, organisations)
	name := s.plain + "-1"

	address, err := c.launch(ctx, name, func(ready func(string)) error {
		options := responder.Options{Listen: anyPort, Name: name, Slots: plainSlots, Work: plainWork, LoadLag: loadLag, Ready: ready}

		return responder.Run(ctx, options, c.logger)
	})
	if err != nil {
		return err
	}

	c.standIns = append(c.standIns, address)
	service.Upstreams[name] = configurer.Upstream{Address: "http://" + address, FailureDomain: s.failureDomains[0], Slots: plainSlots}
	c.settings.Services[s.plain] = service

	return nil
}

// launch runs a part and waits until it tells its address.
func (c *cluster) launch(ctx context.Context, name string, run func(ready func(string)) error) (string, error) {
	ready := make(chan string, 1)

	c.run(name, func() error { return run(func(address string) { ready <- address }) })

	select {
	case address := <-ready:
		return address, nil
	case err := <-c.failed:
		return "", err
	case <-ctx.Done():
		return "", ctx.Err()
	case <-time.After(startLimit):
		return "", errors.Newf("%s did not start", name)
	}
}

func (c *cluster) run(name string, part func() error) {
	c.running.Go(func() {
		err := part()
		if err == nil {
			return
		}

		select {
		case c.failed <- errors.Wrap(err, name):
		default:
		}
	})
}

func (c *cluster) startNodes(ctx context.Context, count int) error {
	nodes := make([]loader.Node, 0, count)

	for i := range count {
		node, err := c.newNode(ctx, i)
		if err != nil {
			return err
		}

		nodes = append(nodes, node)
		c.entries = append(c.entries, node.Listen)
		c.settings.Peers.Nodes = append(c.settings.Peers.Nodes, loader.Peer{
			Name: node.Name, PeerAddress: node.PeerListen, EntryAddress: node.Listen, FailureDomain: node.FailureDomain,
		})
	}

	for _, v := range nodes {
		settings := c.settings
		settings.Node = v

		c.run(v.Name, func() error { return c.serve(ctx, settings, c.logger) })
	}

	return launcher.Await(ctx, c.entries, c.failed)
}

// newNode returns the settings of the node with the given index, on free addresses.
func (c *cluster) newNode(ctx context.Context, index int) (loader.Node, error) {
	node := c.settings.Node
	node.Name = fmt.Sprintf("node-%d", index+1)
	node.Region = "demo"
	node.FailureDomain = nodeFailureDomains[index%len(nodeFailureDomains)]

	for _, listen := range []*string{&node.Listen, &node.PeerListen, &node.AdminListen} {
		address, err := c.addresses.Next(ctx)
		if err != nil {
			return loader.Node{}, err
		}

		*listen = address
	}

	node.Advertise = node.Listen

	return node, nil
}
